package table

import (
	"testing"

	"gotest.tools/v3/assert"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	validDataCentres = "name,region\ndc_a,north\ndc_b,north\n"
	validClasses     = "name,tier,kind,service,idempotent,first_token,token_gap\n" +
		"quick,1,engine,,yes,1.6s,29ms\nlong,3,engine,,yes,8s,60ms\nbooking,2,plain,desk,no,500ms,\n"
	validUpstreams = "name,data_centre,kind,serves,limit\n" +
		"draft_b,dc_b,engine,mini maxi,8\ndraft_a,dc_a,engine,mini,8\ndesk_a,dc_a,plain,desk,4\n"
	validAccounts = "name,key_sha256,classes,requests_per_second\n" +
		"walker,64ec88ca00b268e5ba1a35678a1b5316d212f4f366b2477232534a8aeca37f3c,quick booking,2.5\n"
)

func validSections() []Section {
	return []Section{
		{DataCentresSection, 3, []byte(validDataCentres)},
		{ClassesSection, 9, []byte(validClasses)},
		{UpstreamsSection, 4, []byte(validUpstreams)},
		{AccountsSection, 5, []byte(validAccounts)},
	}
}

// withSection returns the valid sections with one of them replaced or added.
func withSection(name, data string) []Section {
	ss := validSections()
	for i := range ss {
		if ss[i].Name == name {
			ss[i].Data = []byte(data)
			return ss
		}
	}
	return append(ss, Section{name, 1, []byte(data)})
}

func mustParse(t *testing.T, ss []Section) *Table {
	t.Helper()
	tb, faults := Parse(ss)
	assert.Equal(t, len(faults), 0, "%v", faults)
	return tb
}

func TestParseValidTable(t *testing.T) {
	tb := mustParse(t, validSections())
	assert.Equal(t, tb.Revision, Revision(9))
	assert.Equal(t, tb.UpstreamsRevision, Revision(4))
	assert.Equal(t, tb.Classes["booking"].MaxWait, tb.Classes["booking"].Deadline/4)
	assert.Equal(t, tb.Accounts["walker"].Burst, 3)
	assert.Equal(t, tb.Upstreams["desk_a"].State, In)

	a, ok := tb.AccountByKey(HashKey("hello world!?"))
	assert.Assert(t, !ok, a.Name)
	a, ok = tb.AccountByKey(tb.Accounts["walker"].KeyHash)
	assert.Assert(t, ok)
	assert.Equal(t, a.Name, AccountName("walker"))

	us := tb.UpstreamsServing(Engine, "mini")
	assert.Equal(t, len(us), 2)
	assert.Equal(t, us[0].Name, UpstreamName("draft_a"))
	assert.Equal(t, len(tb.UpstreamsServing(Plain, "mini")), 0)
}

func TestClassFor(t *testing.T) {
	tb := mustParse(t, validSections())
	a := tb.Accounts["walker"]
	tests := []struct {
		name     string
		kind     UpstreamKind
		explicit ClassName
		want     ClassName
		code     result.Code
	}{
		{"first of kind", Engine, "", "quick", result.OK},
		{"first of other kind", Plain, "", "booking", result.OK},
		{"named", Plain, "booking", "booking", result.OK},
		{"class not allowed", Engine, "long", "", result.ClassNotAllowed},
		{"unknown class", Engine, "none", "", result.UnknownClass},
		{"class of the other kind", Engine, "booking", "", result.UnknownClass},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := tb.ClassFor(a, tt.kind, tt.explicit)
			assert.Equal(t, result.CodeOf(err), tt.code)
			assert.Equal(t, c.Name, tt.want)
		})
	}
}

func TestRefusalCode(t *testing.T) {
	tb := mustParse(t, withSection(DataCentresSection, "name,region,state\ndc_a,north,out\ndc_b,north,in\n"))
	assert.Equal(t, tb.RefusalCode(tb.Upstreams["desk_a"]), result.DataCentreOut)
	assert.Assert(t, !tb.Out(tb.Upstreams["draft_b"]))
	u := tb.Upstreams["draft_b"]
	u.State = Out
	assert.Equal(t, tb.RefusalCode(u), result.UpstreamOut)
}

// An engine may load one name, optionally with a version; a plain upstream must
// not have a load.
func TestLoad(t *testing.T) {
	const header = "name,data_centre,kind,serves,limit,load\n"
	const desk = "desk_a,dc_a,plain,desk,4,\n"
	tests := []struct {
		name, rows string
		want       LoadName
		code       result.Code
	}{
		{"name with a version", "draft_a,dc_a,engine,mini,8,draft@v7\n" + desk, "draft@v7", result.OK},
		{"no load", "draft_a,dc_a,engine,mini,8,\n" + desk, "", result.OK},
		{"two names", "draft_a,dc_a,engine,mini,8,a b\n" + desk, "", result.BadCell},
		{"load of a plain upstream", "draft_a,dc_a,engine,mini,8,\ndesk_a,dc_a,plain,desk,4,desk@v1\n", "", result.InconsistentRow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, faults := Parse(withSection(UpstreamsSection, header+tt.rows))
			if tt.code != result.OK {
				assert.Equal(t, len(faults), 1, "%v", faults)
				assert.Equal(t, faults[0].Code, tt.code)
				assert.Equal(t, faults[0].Column, "load")
				return
			}
			assert.Equal(t, len(faults), 0, "%v", faults)
			assert.Equal(t, tb.Upstreams["draft_a"].Load, tt.want)
		})
	}
}
