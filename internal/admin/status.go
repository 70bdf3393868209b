package admin

import (
	"net/http"
	"strings"
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Status is the answer of /v1/status.
type Status struct {
	Program     string            `json:"program"`
	VM          fleet.VMName      `json:"vm"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Ready       bool              `json:"ready"`
	// Reason is why it takes no work; code 0 if it does.
	Reason        Reason            `json:"reason"`
	Paused        bool              `json:"paused"`
	TableRevision table.Revision    `json:"table_revision"`
	VMListVersion fleet.ListVersion `json:"vm_list_version"`
	// TableAgeMillis is the time since the configuration service confirmed the
	// table, as far as this process has heard; -1 for never.
	TableAgeMillis int64 `json:"table_age_ms"`
	// Refused lists values that are known and not in force.
	Refused []RefusedValue `json:"refused"`
	// Load is there in a gateway.
	Load *Load `json:"load,omitempty"`
	// Upstream is there in a sidecar.
	Upstream *UpstreamState `json:"upstream,omitempty"`
}

// RefusedValue is a value of the configuration service that is not in force.
type RefusedValue struct {
	Section         string         `json:"section"`
	Revision        table.Revision `json:"revision"`
	InForceRevision table.Revision `json:"in_force_revision"`
	AgeMillis       int64          `json:"age_ms"`
	// Faults are the first that were found.
	Faults []string `json:"faults"`
}

// Load is what a gateway holds.
type Load struct {
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
}

// UpstreamState is what a sidecar decides by.
type UpstreamState struct {
	Upstream table.UpstreamName `json:"upstream"`
	// Reason is why it takes no work; code 0 if it does.
	Reason   Reason `json:"reason"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in_flight"`
	Parked   int    `json:"parked"`
	Cold     bool   `json:"cold"`
}

func (a *API) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.status(a.now()))
}

func (a *API) status(now time.Time) Status {
	v := a.Fleet.View()
	code := a.Ready()
	s := Status{
		Program:        a.Program,
		VM:             a.VM,
		Incarnation:    a.Incarnation,
		Ready:          code == result.OK,
		Reason:         reasonOf(code),
		Paused:         v.Paused,
		VMListVersion:  v.VMs.Version,
		TableAgeMillis: -1,
		Refused:        refusedValues(now, a.Fleet.Refused()),
	}
	if v.Table != nil {
		s.TableRevision = v.Table.Revision
	}
	if !v.ConfirmedAt.IsZero() {
		s.TableAgeMillis = millis(now.Sub(v.ConfirmedAt))
	}
	if a.Gateway != nil {
		s.Load = &Load{InFlight: a.Gateway.InFlight(), Waiting: a.Gateway.Waiting()}
	}
	if a.Upstream != nil {
		s.Upstream = upstreamState(a.UpstreamName, a.Upstream.State())
	}
	return s
}

func upstreamState(name table.UpstreamName, s admission.State) *UpstreamState {
	return &UpstreamState{
		Upstream: name, Reason: reasonOf(s.Refusing),
		Limit: s.Limit, InFlight: s.InFlight, Parked: s.Parked, Cold: s.Cold,
	}
}

// refusedGracePeriod keeps quiet about values that came without those they belong
// to: these come one by one.
const refusedGracePeriod = 2 * time.Second

func refusedValues(now time.Time, rs []fleet.Refusal) []RefusedValue {
	vs := make([]RefusedValue, 0, len(rs))
	for _, r := range rs {
		if now.Sub(r.Since) < refusedGracePeriod {
			continue
		}
		v := RefusedValue{
			Section: r.Name, Revision: r.Revision, InForceRevision: r.InForce,
			AgeMillis: millis(now.Sub(r.Since)), Faults: []string{},
		}
		if r.Err != nil {
			v.Faults = strings.Split(r.Err.Error(), "\n")
		}
		vs = append(vs, v)
	}
	return vs
}
