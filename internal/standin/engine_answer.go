package standin

// completion is a complete answer or one chunk of a stream in the OpenAI
// format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int             `json:"index"`
	Delta        *completionText `json:"delta,omitempty"`
	Message      *completionText `json:"message,omitempty"`
	Text         string          `json:"text,omitempty"`
	FinishReason string          `json:"finish_reason,omitempty"`
}

type completionText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (run *engineRun) answer(text string, tokens int) completion {
	c := completion{ID: run.requestID, Object: "text_completion", Model: run.request.Model}
	c.Usage = &completionUsage{CompletionTokens: tokens, TotalTokens: tokens}
	choice := completionChoice{Text: text, FinishReason: "stop"}
	if run.chat {
		c.Object = "chat.completion"
		choice.Text, choice.Message = "", &completionText{Role: "assistant", Content: text}
	}
	c.Choices = []completionChoice{choice}
	return c
}

func (run *engineRun) chunk(text string) completion {
	c := completion{ID: run.requestID, Object: "text_completion", Model: run.request.Model}
	choice := completionChoice{Text: text}
	if run.chat {
		c.Object = "chat.completion.chunk"
		choice.Text, choice.Delta = "", &completionText{Content: text}
	}
	c.Choices = []completionChoice{choice}
	return c
}
