package admin

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/gateway"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Page sizes of /v1/accounts, in client accounts.
const (
	defaultPage = 100
	maxPage     = 500
)

// Upstreams is the answer of /v1/upstreams.
type Upstreams struct {
	Upstreams []UpstreamStatus `json:"upstreams"`
	// OutsideSubset counts the sidecars in the VM list that are not in the subset
	// to which this gateway connects.
	OutsideSubset int `json:"outside_subset"`
}

// UpstreamStatus is the state of an upstream as this gateway knows it.
type UpstreamStatus struct {
	Upstream   table.UpstreamName   `json:"upstream"`
	DataCentre table.DataCentreName `json:"data_centre"`
	// VM is empty for an upstream that has no sidecar in the VM list.
	VM          fleet.VMName `json:"vm"`
	OfferedWork bool         `json:"offered_work"`
	// Reason is why the upstream is offered no work; code 0 if it is offered work.
	Reason   Reason `json:"reason"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in_flight"`
	Parked   int    `json:"parked"`
	// OpenOffers counts the open offers of this gateway.
	OpenOffers int  `json:"offered"`
	Cold       bool `json:"cold"`
	// ReportAgeMillis is the age of the last report in milliseconds; -1 means that
	// there is none yet.
	ReportAgeMillis int64 `json:"report_age_ms"`
}

func (a *API) serveUpstreams(w http.ResponseWriter, _ *http.Request) {
	if t, ok := a.currentTable(w); ok {
		writeJSON(w, http.StatusOK, upstreams(a.now(), t, a.Fleet.View().VMs, a.Gateway.Members()))
	}
}

func upstreams(now time.Time, t *table.Table, vms fleet.VMList, members []dispatch.Member) Upstreams {
	u := Upstreams{Upstreams: []UpstreamStatus{}}
	for _, m := range members {
		u.Upstreams = append(u.Upstreams, memberStatus(now, m))
	}
	listed := make(map[table.UpstreamName]bool)
	for _, vm := range vms.VMs {
		if _, ok := t.Upstreams[vm.Upstream]; ok && vm.Role == fleet.Sidecar {
			listed[vm.Upstream] = true
			u.OutsideSubset++
		}
	}
	u.OutsideSubset = max(u.OutsideSubset-len(members), 0)
	for name, row := range t.Upstreams {
		if !listed[name] {
			u.Upstreams = append(u.Upstreams, unlistedStatus(t, row))
		}
	}
	slices.SortFunc(u.Upstreams, func(a, b UpstreamStatus) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.VM, b.VM))
	})
	return u
}

func memberStatus(now time.Time, m dispatch.Member) UpstreamStatus {
	code := m.RefusalCode(now)
	s := UpstreamStatus{
		Upstream: m.Candidate.Upstream, DataCentre: m.DataCentre, VM: m.Candidate.VM,
		OfferedWork: code == result.OK, Reason: reasonOf(code),
		Limit: m.Report.Limit, InFlight: m.Report.InFlight, Parked: m.Report.Parked, Cold: m.Report.Cold,
		OpenOffers: m.OpenOffers, ReportAgeMillis: -1,
	}
	if !m.ReportedAt.IsZero() {
		s.ReportAgeMillis = millis(now.Sub(m.ReportedAt))
	}
	return s
}

// unlistedStatus returns the status of an upstream that has no sidecar in the VM
// list.
func unlistedStatus(t *table.Table, row table.Upstream) UpstreamStatus {
	code := t.RefusalCode(row)
	if code == result.OK {
		code = result.SidecarUnreached
	}
	return UpstreamStatus{Upstream: row.Name, DataCentre: row.DataCentre, Reason: reasonOf(code), ReportAgeMillis: -1}
}

// Classes is the answer of /v1/classes.
type Classes struct {
	WindowSeconds float64       `json:"window_s"`
	Classes       []ClassStatus `json:"classes"`
}

// ClassStatus reports how many requests of a class met their target at this
// gateway within the window, and their first-token times.
type ClassStatus struct {
	Class table.ClassName `json:"class"`
	Tier  table.Tier      `json:"tier"`
	Total int             `json:"all"`
	Met   int             `json:"met"`
	// Attainment is Met divided by Total; null if there were no requests.
	Attainment       *float64 `json:"attainment"`
	FirstTokenTarget int64    `json:"first_token_target_ms"`
	FirstTokenP50    int64    `json:"first_token_p50_ms"`
	FirstTokenP95    int64    `json:"first_token_p95_ms"`
}

func (a *API) serveClasses(w http.ResponseWriter, _ *http.Request) {
	if t, ok := a.currentTable(w); ok {
		writeJSON(w, http.StatusOK, classes(t, a.Gateway.Attainments(a.now())))
	}
}

func classes(t *table.Table, attainments []gateway.Attainment) Classes {
	byName := make(map[table.ClassName]gateway.Attainment, len(attainments))
	for _, s := range attainments {
		byName[s.Class] = s
	}
	cs := Classes{WindowSeconds: gateway.AttainmentWindow.Seconds(), Classes: []ClassStatus{}}
	for name, c := range t.Classes {
		s := byName[name]
		row := ClassStatus{
			Class: name, Tier: c.Tier, Total: s.Total, Met: s.Met, FirstTokenTarget: millis(c.FirstToken),
			FirstTokenP50: millis(s.FirstP50), FirstTokenP95: millis(s.FirstP95),
		}
		if s.Total > 0 {
			attainment := float64(s.Met) / float64(s.Total)
			row.Attainment = &attainment
		}
		cs.Classes = append(cs.Classes, row)
	}
	slices.SortFunc(cs.Classes, func(a, b ClassStatus) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class))
	})
	return cs
}

// Accounts is the answer of /v1/accounts.
type Accounts struct {
	WindowSeconds float64        `json:"window_s"`
	Accounts      []AccountUsage `json:"accounts"`
	// Next is the value of the parameter after for the next page; empty on the last
	// page.
	Next string `json:"next"`
}

// AccountUsage is the usage of a client account at this gateway. The limits apply
// to the whole fleet; zero means no limit.
type AccountUsage struct {
	Account           table.AccountName `json:"account"`
	InFlight          int               `json:"in_flight"`
	InFlightLimit     int               `json:"in_flight_limit"`
	RequestsPerSecond float64           `json:"requests_per_second"`
	RequestsLimit     float64           `json:"requests_per_second_limit"`
	TokensPerMinute   table.Tokens      `json:"tokens_per_minute"`
	TokensLimit       table.Tokens      `json:"tokens_per_minute_limit"`
}

func (a *API) serveAccounts(w http.ResponseWriter, r *http.Request) {
	t, ok := a.currentTable(w)
	if !ok {
		return
	}
	q := r.URL.Query()
	writeJSON(w, http.StatusOK, a.accounts(t, q.Get("prefix"), table.AccountName(q.Get("after")), pageSize(q.Get("limit"))))
}

// pageSize parses a requested page size and limits it to maxPage. It returns
// defaultPage if the text is not a positive number.
func pageSize(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return defaultPage
	}
	return min(n, maxPage)
}

func (a *API) accounts(t *table.Table, prefix string, after table.AccountName, size int) Accounts {
	var names []table.AccountName
	for n := range t.Accounts {
		if strings.HasPrefix(string(n), prefix) && n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	page := Accounts{WindowSeconds: gateway.UsageWindow.Seconds(), Accounts: []AccountUsage{}}
	if len(names) > size {
		names = names[:size]
		page.Next = string(names[size-1])
	}
	for _, n := range names {
		page.Accounts = append(page.Accounts, accountUsage(t.Accounts[n], a.Gateway.UsageOf(a.now(), n)))
	}
	return page
}

func accountUsage(row table.Account, u gateway.Usage) AccountUsage {
	return AccountUsage{
		Account:           row.Name,
		InFlight:          u.InFlight,
		InFlightLimit:     row.InFlight,
		RequestsPerSecond: float64(u.Requests) / gateway.UsageWindow.Seconds(),
		RequestsLimit:     row.RequestsPerSecond,
		TokensPerMinute:   u.Tokens * table.Tokens(time.Minute/gateway.UsageWindow),
		TokensLimit:       row.TokensPerMinute,
	}
}

func (a *API) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["request_id"]
	t, ok := a.Gateway.Trace(dispatch.RequestID(id))
	if !ok {
		Refuse(w, result.Errorf(result.NotFound, "this gateway has no recent request %q", id))
		return
	}
	writeJSON(w, http.StatusOK, t)
}
