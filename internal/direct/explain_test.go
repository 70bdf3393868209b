package direct

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func (f *fixture) explain(t *testing.T, request string) (int, Explanation) {
	t.Helper()
	w := httptest.NewRecorder()
	f.gateway.ServeExplain(w, httptest.NewRequest(http.MethodPost, "/explain", strings.NewReader(request)))
	var x Explanation
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &x), w.Body.String())
	return w.Code, x
}

// A request is explained from its head alone and reaches no upstream.
func TestExplain(t *testing.T) {
	f := newFixture(t, 2, responseText(200, "Signed: 1\r\n", "ok"))
	f.view.Upstreams[0].Leaving = true
	f.view.Upstreams[1].DataCentre = "b"
	f.gateway.ApplyView(f.view)
	status, x := f.explain(t, "POST /look/1 HTTP/1.1\r\nHost: desk.example\r\nId: 1\r\nKey: k\r\nContent-Length: 10240\r\n\r\n")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, x.Route, "look")
	assert.Equal(t, string(x.Upstream), "u1")
	assert.Equal(t, x.LeavesFor, "no_upstream")
	assert.Equal(t, len(x.Candidates), 2)
	assert.Equal(t, x.Candidates[0].Crossing, int64(50), "10 KB at 5 ms")
	assert.Equal(t, x.Candidates[1].LeftOut, "leaving")
	assert.Equal(t, f.attempts(), 0)
}

// What is no request, or one that callers would be refused, is an error.
func TestExplainRefused(t *testing.T) {
	f := newFixture(t, 1, "!")
	for _, request := range []string{
		"",
		"GET / HTTP/1.1\r\nHost: desk.example\r\nKey: k\r\n\r\n",
		"GET /none HTTP/1.1\r\nHost: desk.example\r\nId: 1\r\nKey: k\r\n\r\n",
		"GET /look/1 HTTP/1.1\r\nHost: desk.example\r\nId: 1\r\nKey: other\r\n\r\n",
		"GET /look/1 HTTP/1.1\r\nHost: desk.example\r\nId: 1\r\nX: " + strings.Repeat("x", maxExplainBytes) + "\r\n\r\n",
	} {
		status, _ := f.explain(t, request)
		assert.Equal(t, status, http.StatusUnprocessableEntity, "%.60q", request)
	}
}
