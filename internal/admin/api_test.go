package admin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/gateway"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

var testNow = time.Date(2026, 6, 1, 5, 30, 0, 0, time.UTC)

// fakeFleet is a Fleet with a fixed view.
type fakeFleet struct {
	view    fleet.View
	values  []fleet.Value
	refused []fleet.Refusal
}

func (f *fakeFleet) View() *fleet.View        { return &f.view }
func (f *fakeFleet) Refused() []fleet.Refusal { return f.refused }
func (f *fakeFleet) InForce() []fleet.Value   { return f.values }

// fakeGateway is a Gateway with fixed members, attainments, usage and trace.
type fakeGateway struct{ table *table.Table }

func (g *fakeGateway) InFlight() int { return 3 }
func (g *fakeGateway) Waiting() int  { return 1 }

func (g *fakeGateway) Members() []dispatch.Member {
	member := func(upstream table.UpstreamName, heard time.Duration, out result.Code, r dispatch.Report) dispatch.Member {
		row := g.table.Upstreams[upstream]
		return dispatch.Member{
			Candidate: dispatch.Candidate{VM: fleet.VMName("vm_" + upstream), Upstream: upstream},
			Row:       row, DataCentre: row.DataCentre, OutCode: out, Report: r, ReportedAt: testNow.Add(-heard), OpenOffers: 1,
		}
	}
	return []dispatch.Member{
		member("draft_1", 100*time.Millisecond, result.OK, dispatch.Report{Limit: 8, InFlight: 4, Parked: 2}),
		member("draft_2", 2*time.Second, result.OK, dispatch.Report{Limit: 8}),
		member("draft_3", time.Millisecond, result.DataCentreOut, dispatch.Report{Limit: 1, Cold: true}),
		member("booking_1", time.Millisecond, result.OK, dispatch.Report{Refusing: result.UpstreamUnhealthy}),
	}
}

func (g *fakeGateway) Attainments(time.Time) []gateway.Attainment {
	return []gateway.Attainment{{
		Class: "booth_question", Total: 40, Met: 39, FirstP50: 120 * time.Millisecond, FirstP95: 900 * time.Millisecond,
	}}
}

func (g *fakeGateway) UsageOf(_ time.Time, n table.AccountName) gateway.Usage {
	if n != "market" {
		return gateway.Usage{}
	}
	return gateway.Usage{InFlight: 2, Requests: 30, Tokens: 900}
}

func (g *fakeGateway) Trace(id dispatch.RequestID) (gateway.Trace, bool) {
	return gateway.Trace{
		RequestID: id, Account: "market", Class: "booth_question", Arrived: testNow, Ended: true,
		Steps: []gateway.TraceStep{
			{AfterMillis: 0.2, What: "offer", VM: "vm_draft_2"},
			{AfterMillis: 3, What: "refused", Code: result.SidecarQueueFull},
			{AfterMillis: 3.1, What: "offer", VM: "vm_draft_1"},
			{AfterMillis: 140, What: "finished"},
		},
	}, id == "req_1"
}

type fakeUpstream struct{}

func (fakeUpstream) State() admission.State {
	return admission.State{Refusing: result.UpstreamLeaving, Limit: 8, InFlight: 2, Parked: 1}
}

// demoValues returns the table of the demo as values of the configuration
// service.
func demoValues(t *testing.T) []fleet.Value {
	t.Helper()
	var vs []fleet.Value
	for n, name := range table.Sections() {
		data, err := os.ReadFile(filepath.Join("../demo/table", name+".csv"))
		assert.NilError(t, err)
		vs = append(vs, fleet.Value{Name: name, Revision: table.Revision(n + 1), Data: data})
	}
	return vs
}

func testFleet(t *testing.T) *fakeFleet {
	t.Helper()
	f := &fakeFleet{values: demoValues(t)}
	var sections []table.Section
	for _, v := range f.values {
		sections = append(sections, table.Section(v))
	}
	tab, faults := table.Parse(sections)
	assert.Equal(t, len(faults), 0)
	f.view = fleet.View{
		Table: tab, Ready: true, ConfirmedAt: testNow.Add(-1500 * time.Millisecond),
		VMs: fleet.VMList{Version: 7, VMs: []fleet.VM{
			{Name: "vm_draft_1", Role: fleet.Sidecar, Upstream: "draft_1"},
			{Name: "vm_draft_2", Role: fleet.Sidecar, Upstream: "draft_2"},
			{Name: "vm_draft_3", Role: fleet.Sidecar, Upstream: "draft_3"},
			{Name: "vm_booking_1", Role: fleet.Sidecar, Upstream: "booking_1"},
			{Name: "vm_booking_2", Role: fleet.Sidecar, Upstream: "booking_2"},
		}},
	}
	f.refused = []fleet.Refusal{{
		Name: "classes", Revision: 9, InForce: 2, Since: testNow.Add(-time.Minute),
		Err: errors.New("classes:2:tier: 1103 bad_cell: \"first\" is no whole number\nand 2 more"),
	}, {Name: "accounts", Revision: 10, InForce: 4, Since: testNow.Add(-time.Second), Err: errors.New("other values have not arrived")}}
	return f
}

func writeTranscript(w io.Writer, h http.Handler, method, path, accept, body string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Accept", accept)
	got := httptest.NewRecorder()
	h.ServeHTTP(got, r)
	fmt.Fprintf(w, "> %s %s %s\n%s< %d %s\n%s\n", method, path, accept, body, got.Code, got.Header().Get("Content-Type"), got.Body)
}

// The golden file contains what the API of a gateway answers, word for word.
func TestGateway(t *testing.T) {
	f := testFleet(t)
	a := &API{
		Program: "gateway", VM: "gw_1", Incarnation: "00ff", Fleet: f, Gateway: &fakeGateway{f.view.Table},
		Ready: func() result.Code { return result.OK }, Now: func() time.Time { return testNow },
	}
	r := mux.NewRouter()
	a.Register(r)
	dataCentres := "name,region,state\nnorth,demo,out\nsouth,demo,in\neast,demo,in\n"
	requests := []struct{ method, path, accept, body string }{
		{"GET", "/v1/status", "", ""},
		{"GET", "/v1/table/data_centres", "", ""},
		{"GET", "/v1/table/classes", "text/csv", ""},
		{"GET", "/v1/table/none", "", ""},
		{"GET", "/v1/upstreams", "", ""},
		{"GET", "/v1/classes", "", ""},
		{"GET", "/v1/accounts?limit=1", "", ""},
		{"GET", "/v1/accounts?limit=1&after=manager", "", ""},
		{"GET", "/v1/accounts?prefix=x", "", ""},
		{"GET", "/v1/accounts?limit=100000&prefix=ma", "", ""},
		{"GET", "/v1/requests/req_1", "", ""},
		{"GET", "/v1/requests/req_2", "", ""},
		{"POST", "/v1/table/check?section=data_centres", "", dataCentres},
		{"POST", "/v1/table/check?section=data_centres", "", "name,region,state\nnorth,demo,shut\n"},
		{"POST", "/v1/table/check?section=shifts", "", ""},
		{"POST", "/v1/table/check?section=accounts", "", strings.Repeat(" ", table.MaxSectionBytes+1)},
		{"PUT", "/v1/table/classes", "", ""},
		{"GET", "/v1/nothing", "", ""},
	}
	var b strings.Builder
	for _, q := range requests {
		writeTranscript(&b, r, q.method, q.path, q.accept, q.body)
	}
	golden.Assert(t, strings.ReplaceAll(b.String(), strings.Repeat(" ", table.MaxSectionBytes+1), "(1,000,001 spaces)\n"), "gateway.golden")
	assert.Equal(t, string(f.values[0].Data), string(demoValues(t)[0].Data), "a check changed the values in force")
}

// The golden file contains what the API answers in a sidecar that has no table.
func TestSidecar(t *testing.T) {
	a := &API{
		Program: "sidecar", VM: "vm_draft_1", Incarnation: "00ff", Fleet: &fakeFleet{}, UpstreamName: "draft_1",
		Upstream: fakeUpstream{}, Ready: func() result.Code { return result.NotReady }, Now: func() time.Time { return testNow },
	}
	r := mux.NewRouter()
	a.Register(r)
	var b strings.Builder
	for _, path := range []string{"/v1/status", "/v1/table/classes", "/v1/upstreams", "/v1/accounts"} {
		writeTranscript(&b, r, http.MethodGet, path, "", "")
	}
	golden.Assert(t, b.String(), "sidecar.golden")
}
