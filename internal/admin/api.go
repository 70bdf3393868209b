// Package admin provides the administration API, through which operators inspect
// a process. It changes no shared state: the platform stores the configuration,
// and edits are made there.
//
// # Usage
//
//	a := &admin.API{Program: "gateway", VM: "gw_1", Fleet: f, Ready: g.Ready, Gateway: g}
//	a.Register(router)
package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/gateway"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Fleet is the part of the fleet view that the API uses.
type Fleet interface {
	View() *fleet.View
	Refused() []fleet.Refusal
	InForce() []fleet.Value
}

// Gateway is the part of a gateway that the API uses.
type Gateway interface {
	InFlight() int
	Waiting() int
	Members() []dispatch.Member
	Attainments(now time.Time) []gateway.Attainment
	UsageOf(now time.Time, name table.AccountName) gateway.Usage
	Trace(id dispatch.RequestID) (gateway.Trace, bool)
}

// Upstream is the part of a sidecar that the API uses.
type Upstream interface {
	State() admission.State
}

// API answers the requests of operators. Set its exported fields before calling
// Register.
type API struct {
	Program     string
	VM          fleet.VMName
	Incarnation fleet.Incarnation
	Fleet       Fleet
	Ready       func() result.Code
	// Gateway is nil in a sidecar, and Upstream is nil in a gateway.
	Gateway  Gateway
	Upstream Upstream
	// UpstreamName is the table row of the upstream that a sidecar serves.
	UpstreamName table.UpstreamName
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Register adds the routes of the API to r.
func (a *API) Register(r *mux.Router) {
	r.HandleFunc("/v1/status", a.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/table/check", a.serveCheck).Methods(http.MethodPost)
	r.HandleFunc("/v1/table/{section}", a.serveTable).Methods(http.MethodGet)
	if a.Gateway != nil {
		r.HandleFunc("/v1/upstreams", a.serveUpstreams).Methods(http.MethodGet)
		r.HandleFunc("/v1/classes", a.serveClasses).Methods(http.MethodGet)
		r.HandleFunc("/v1/accounts", a.serveAccounts).Methods(http.MethodGet)
		r.HandleFunc("/v1/requests/{request_id}", a.serveRequest).Methods(http.MethodGet)
	}
	r.NotFoundHandler = refusalHandler(result.NotFound)
	r.MethodNotAllowedHandler = refusalHandler(result.MethodNotAllowed)
}

func (a *API) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

// currentTable returns the table in force. If there is none yet, it refuses the
// request and returns false.
func (a *API) currentTable(w http.ResponseWriter) (*table.Table, bool) {
	t := a.Fleet.View().Table
	if t == nil {
		Refuse(w, result.Errorf(result.NotReady, "no table yet"))
	}
	return t, t != nil
}

func refusalHandler(code result.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Refuse(w, result.Errorf(code, "%s %s", r.Method, r.URL.Path))
	})
}

// Refuse answers with an error in the JSON format that callers also receive.
func Refuse(w http.ResponseWriter, err error) {
	code := result.CodeOf(err)
	info := code.Info()
	writeJSON(w, info.Status, code.Answer(result.DetailOf(err), info.NotRun, ""))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

// Reason is a result code and its name.
type Reason struct {
	Code result.Code `json:"code"`
	Name string      `json:"name"`
}

func reasonOf(c result.Code) Reason { return Reason{c, c.String()} }
