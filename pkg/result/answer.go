package result

// Answer is the JSON body of an error response: the OpenAI error format with
// additional fields. Callers and operators receive the same format.
type Answer struct {
	Error AnswerError `json:"error"`
}

// AnswerError is the error object of an Answer.
type AnswerError struct {
	Message string `json:"message"`
	// Type is the name of the code.
	Type string `json:"type"`
	Code int    `json:"code"`
	// NotRun reports that the request was not run.
	NotRun    bool   `json:"not_run"`
	RequestID string `json:"request_id"`
}

// Answer returns the error response for the code. A detail that is not empty is
// appended to the text of the code.
func (c Code) Answer(detail string, notRun bool, requestID string) Answer {
	info := c.Info()
	message := info.Text
	if detail != "" {
		message += ": " + detail
	}
	return Answer{AnswerError{Message: message, Type: info.Name, Code: int(c), NotRun: notRun, RequestID: requestID}}
}
