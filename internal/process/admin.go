package process

import (
	"crypto/subtle"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"jasminewing.dev/jasminewing/internal/setting"
	"jasminewing.dev/jasminewing/pkg/result"
)

// administered is a program's part of the admin listener.
type administered interface {
	// Ready gives result.OK if the program takes work.
	Ready() result.Code
	WriteMetrics(w io.Writer)
}

// adminHandler serves operators and the collector of metrics.
func adminHandler(token setting.Secret, p administered) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if code := p.Ready(); code != result.OK {
			http.Error(w, fmt.Sprintf("%d %s", code, code), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	}).Methods(http.MethodGet)
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.WriteMetrics(w)
		metrics.WriteProcessMetrics(w)
	}).Methods(http.MethodGet)
	return guard(token, r)
}

// guard lets in who presents the token; without one the listener is on
// loopback only.
func guard(token setting.Secret, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			info := result.BadAdminToken.Info()
			http.Error(w, fmt.Sprintf("%d %s: %s", info.Code, info.Name, info.Text), info.Status)
			return
		}
		next.ServeHTTP(w, r)
	})
}
