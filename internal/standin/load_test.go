package standin

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"jasminewing.dev/jasminewing/pkg/table"
)

// wrongAnswer answers each request with the answer to another request.
func wrongAnswer(w http.ResponseWriter, _ *http.Request) {
	run := &engineRun{requestID: "r1"}
	writeJSON(w, http.StatusOK, run.answer("[r1] amber amber amber amber", 5))
}

func unavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
	w.Write([]byte(`{"error":{"message":"x"},"code":3004}`))
}

// unterminated ends a stream without its end marker.
func unterminated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Write([]byte("data: {\"choices\":[{\"text\":\"[r1] \"}]}\n\n"))
}

func TestLoad(t *testing.T) {
	engine := &Engine{Slots: 2, FirstToken: 100 * time.Millisecond, TokenGap: 20 * time.Millisecond}
	coldEngine := &Engine{ColdSlots: 1, WarmAfter: 1000, TokenGap: 20 * time.Millisecond}
	tests := []struct {
		name    string
		handler http.Handler
	}{
		{"engine", engine},
		{"cold engine", coldEngine},
		{"wrong answer", http.HandlerFunc(wrongAnswer)},
		{"error response", http.HandlerFunc(unavailable)},
		{"no end marker", http.HandlerFunc(unterminated)},
	}
	var text []byte
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			p := make(pipeListener)
			s := &http.Server{Handler: tt.handler}
			go s.Serve(p)
			defer s.Close()
			l := &Load{
				Gateway: "gateway:1", Rate: 10, Duration: 5 * time.Second, Streamed: 0.5, Concurrency: 4, Seed: 7,
				Transport: &http.Transport{DialContext: p.dial, DisableKeepAlives: true},
				Profiles: []RequestProfile{
					{Class: "quick", Share: 3, FirstToken: 150 * time.Millisecond, MaxTokens: 10},
					{Class: "draft", Share: 1, FirstToken: time.Second},
				},
			}
			report, err := l.Run(t.Context())
			assert.NilError(t, err)
			quick := report.Classes[table.ClassName("quick")]
			assert.Equal(t, quick.Wrong == 0, tt.name != "wrong answer")
			js, err := json.MarshalIndent(report, "", " ")
			assert.NilError(t, err)
			text = append(append(append(text, tt.name...), '\n'), append(js, '\n')...)
		})
	}
	golden.AssertBytes(t, text, "load.golden")
}
