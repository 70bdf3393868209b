package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"jasminewing.dev/jasminewing/internal/fleet"
)

// BenchmarkDo measures one small answer that is not streamed.
func BenchmarkDo(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer s.Close()
	c := &Client{Address: fleet.Address(strings.TrimPrefix(s.URL, "http://"))}
	defer c.CloseIdle()
	r := Request{Method: "POST", Path: "/", Body: []byte("{}"), Idempotent: true}
	for b.Loop() {
		if out := c.Do(b.Context(), r, &recorder{}); !out.Complete {
			b.Fatal(out.Detail)
		}
	}
}
