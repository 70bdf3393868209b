package process

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"jasminewing.dev/jasminewing/internal/admin"
	"jasminewing.dev/jasminewing/internal/setting"
	"jasminewing.dev/jasminewing/pkg/result"
)

// adminTarget is a program that the admin listener gives access to.
type adminTarget interface {
	refusalCounter
	// Ready returns result.OK if the program accepts requests, and otherwise the
	// code of the reason.
	Ready() result.Code
	WriteMetrics(w io.Writer)
}

// refusalCounter counts the refusals of a program.
type refusalCounter interface {
	// CountRefusal counts a request or connection that was refused before it
	// reached the program.
	CountRefusal(code result.Code)
}

// adminHandler serves operators and the metrics collector.
func adminHandler(token setting.Secret, p adminTarget, api *admin.API) http.Handler {
	r := mux.NewRouter()
	api.Register(r)
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if code := p.Ready(); code != result.OK {
			http.Error(w, fmt.Sprintf("%d %s", code, code), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	}).Methods(http.MethodGet)
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.WriteMetrics(w)
		api.WriteMetrics(w)
		metrics.WriteProcessMetrics(w)
	}).Methods(http.MethodGet)
	return requireToken(token, p.CountRefusal, r)
}

// requireToken passes only requests that present the token to next. An empty
// token admits all requests; the settings permit it only if the listener is on
// loopback.
func requireToken(token setting.Secret, count func(result.Code), next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		values := r.Header.Values("Authorization")
		if len(values) != 1 || !matchesToken(values[0], want) {
			count(result.BadAdminToken)
			admin.Refuse(w, result.Errorf(result.BadAdminToken, "one header Authorization: Bearer is expected"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// matchesToken compares hashes in constant time, so that the duration reveals
// nothing about the token, not even its length.
func matchesToken(authorization string, want [sha256.Size]byte) bool {
	scheme, token, _ := strings.Cut(authorization, " ")
	given := sha256.Sum256([]byte(token))
	return strings.EqualFold(scheme, "Bearer") && subtle.ConstantTimeCompare(given[:], want[:]) == 1
}
