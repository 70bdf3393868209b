package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"jasminewing.dev/jasminewing/internal/fleet"
)

// BenchmarkDo measures one small answer that is not streamed, on a shared and
// on a fresh connection.
func BenchmarkDo(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer s.Close()
	for _, idempotent := range []bool{true, false} {
		name := map[bool]string{true: "shared", false: "fresh"}[idempotent]
		b.Run(name, func(b *testing.B) {
			c := &Client{Address: fleet.Address(strings.TrimPrefix(s.URL, "http://"))}
			defer c.CloseIdle()
			r := Request{Method: "POST", Path: "/", Body: []byte("{}"), Idempotent: idempotent}
			for b.Loop() {
				if out := c.Do(b.Context(), r, &recorder{}); !out.Complete {
					b.Fatal(out.Detail)
				}
			}
		})
	}
}
