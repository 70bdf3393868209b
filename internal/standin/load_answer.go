package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// loadResult is the result of one request.
type loadResult struct {
	notSent, complete, correct bool
	code                       string
	text                       string
	firstToken                 time.Duration
}

// loadEvent is a complete answer, an event of a stream or an error.
type loadEvent struct {
	completion
	Code  json.Number `json:"code"`
	Error *struct {
		Code json.RawMessage `json:"code"`
	} `json:"error"`
}

// code returns the result code, or "http_" and the status if there is none.
func (e loadEvent) code(status int) string {
	if e.Code != "" {
		return e.Code.String()
	}
	if e.Error != nil && len(e.Error.Code) > 0 && string(e.Error.Code) != "null" {
		return strings.Trim(string(e.Error.Code), `"`)
	}
	return "http_" + strconv.Itoa(status)
}

func (e loadEvent) text() string {
	var b strings.Builder
	for _, c := range e.Choices {
		b.WriteString(c.Text)
		if c.Delta != nil {
			b.WriteString(c.Delta.Content)
		}
		if c.Message != nil {
			b.WriteString(c.Message.Content)
		}
	}
	return b.String()
}

func readLoadAnswer(resp *http.Response, start time.Time) loadResult {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readLoadStream(resp, start)
	}
	var e loadEvent
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return loadResult{code: "cut_off"}
	}
	if err := json.Unmarshal(body, &e); err != nil {
		return loadResult{code: "http_" + strconv.Itoa(resp.StatusCode)}
	}
	if resp.StatusCode != http.StatusOK || e.Error != nil {
		return loadResult{code: e.code(resp.StatusCode)}
	}
	return loadResult{complete: true, text: e.text(), firstToken: time.Since(start)}
}
