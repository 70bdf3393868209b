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
	// Reason is why the process accepts no requests; code 0 if it accepts them.
	Reason        Reason            `json:"reason"`
	Paused        bool              `json:"paused"`
	TableRevision table.Revision    `json:"table_revision"`
	VMListVersion fleet.ListVersion `json:"vm_list_version"`
	// TableAgeMillis is the time in milliseconds since the configuration service
	// last confirmed the table, as far as this process knows; -1 means never.
	TableAgeMillis int64 `json:"table_age_ms"`
	// Refused lists the values that the process has received but not put in force.
	Refused []RefusedValue `json:"refused"`
	// Load is set only in a gateway.
	Load *Load `json:"load,omitempty"`
	// Upstream is set only in a sidecar.
	Upstream *UpstreamState `json:"upstream,omitempty"`
}

// RefusedValue is a value of the configuration service that is not in force.
type RefusedValue struct {
	Section         string         `json:"section"`
	Revision        table.Revision `json:"revision"`
	InForceRevision table.Revision `json:"in_force_revision"`
	AgeMillis       int64          `json:"age_ms"`
	// Faults lists the first faults that were found.
	Faults []string `json:"faults"`
}

// Load counts the requests that a gateway holds.
type Load struct {
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
}

// UpstreamState is the state from which a sidecar decides about offers.
type UpstreamState struct {
	Upstream table.UpstreamName `json:"upstream"`
	// Reason is why the sidecar accepts no offers; code 0 if it accepts them.
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

// refusedGracePeriod is how long a refused value is left out of the status. Values
// that depend on each other arrive one by one, so that a value may be refused
// only until the others have arrived.
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
