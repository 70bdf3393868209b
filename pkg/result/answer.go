package result

// Answer is the JSON of an error in the OpenAI shape, with what jasminewing
// adds. Callers and operators get the same.
type Answer struct {
	Error AnswerError `json:"error"`
}

// AnswerError is the error of an Answer.
type AnswerError struct {
	Message string `json:"message"`
	// Type is the code's name.
	Type string `json:"type"`
	Code int    `json:"code"`
	// NotRun says that the request was not run.
	NotRun    bool   `json:"not_run"`
	RequestID string `json:"request_id"`
}

// Answer gives the error that a caller or operator sees.
func (c Code) Answer(detail string, notRun bool, requestID string) Answer {
	info := c.Info()
	message := info.Text
	if detail != "" {
		message += ": " + detail
	}
	return Answer{AnswerError{Message: message, Type: info.Name, Code: int(c), NotRun: notRun, RequestID: requestID}}
}
