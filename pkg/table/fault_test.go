package table

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"jasminewing.dev/jasminewing/pkg/result"
)

// Parse must report all faults of a table, not only the first, and in an order
// that does not depend on the order of the sections. The test data has every
// kind of fault that a sheet can have.
func TestFaultyTable(t *testing.T) {
	paths, err := filepath.Glob("testdata/faulty/*.csv")
	assert.NilError(t, err)
	var ss []Section
	for _, p := range paths {
		data, err := os.ReadFile(p)
		assert.NilError(t, err)
		ss = append(ss, Section{strings.TrimSuffix(filepath.Base(p), ".csv"), 1, data})
	}
	tb, faults := Parse(ss)
	assert.Assert(t, tb == nil)
	var b strings.Builder
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	golden.Assert(t, b.String(), "faulty.golden")

	slices.Reverse(ss)
	_, again := Parse(ss)
	assert.DeepEqual(t, faults, again)
}

func TestSingleFaults(t *testing.T) {
	classes := "name,tier,kind,service,idempotent,first_token,token_gap"
	tests := []struct {
		name     string
		sections []Section
		want     string
	}{
		{
			"row after blank rows and a cell of two lines",
			withSection(DataCentresSection, "name,region,comment\r\n\r\n,,\r\ndc_a,north,\"one\r\ntwo\"\r\ndc_b,north,\r\ndc_b,south,\r\n"),
			"data_centres:6:name: 1104 duplicate_row: data_centres row 5 has the same",
		},
		{
			"malformed CSV, without faults about the rows that could not be read",
			withSection(ClassesSection, classes+"\nquick,1,engine,,yes,\"1.6s,29ms\n"),
			"classes:2: 1106 bad_csv: extraneous or missing \" in quoted-field",
		},
		{
			"cut off in a row", withSection(ClassesSection, classes+"\nquick,1,eng"),
			"classes:2: 1106 bad_csv: 3 cells under a header of 7; the text may be cut off",
		},
		{"not UTF-8", withSection(DataCentresSection, "name,region\ndc_a,n\xf6rth\n"), "data_centres:2: 1106 bad_csv: the text is not UTF-8"},
		{"no data", withSection(UpstreamsSection, ""), "upstreams: 1102 missing_column: the section has no header"},
		{"emptied sheet", withSection(AccountsSection, "name,key_sha256,classes\n"), "accounts: 1107 missing_section: the section has no rows"},
		{
			"no such section", withSection("klasses", "name\n"),
			"klasses: 1107 missing_section: no section has this name; sections are data_centres, classes, upstreams, accounts",
		},
		{"missing section", validSections()[1:], "data_centres: 1107 missing_section: the table needs this section"},
		{"section twice", append(validSections(), validSections()[0]), "data_centres: 1104 duplicate_row: the section is given twice"},
		{
			"large", withSection(AccountsSection, validAccounts+strings.Repeat(",,,\n", MaxSectionBytes/4)),
			fmt.Sprintf("accounts: 1109 table_too_large: %d bytes, at most %d are held", len(validAccounts)+MaxSectionBytes, MaxSectionBytes),
		},
		{
			"same account in two parts", withSection("accounts_01", strings.Replace(validAccounts, "64ec", "54ec", 1)),
			"accounts_01:2:name: 1104 duplicate_row: accounts row 2 has the same",
		},
		{
			"same key in two parts", withSection("accounts_01", strings.Replace(validAccounts, "walker", "runner", 1)),
			"accounts_01:2:key_sha256: 1104 duplicate_row: accounts row 2 has the same",
		},
		{
			"hash of an empty key", withSection(AccountsSection, "name,key_sha256,classes\nwalker,"+HashKey("").String()+",quick\n"),
			"accounts:2:key_sha256: 1108 cell_out_of_range: the hash of an empty key",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, faults := Parse(tt.sections)
			assert.Assert(t, tb == nil)
			assert.Equal(t, len(faults), 1, "%v", faults)
			assert.Equal(t, faults[0].Error(), tt.want)
			assert.Equal(t, result.CodeOf(faults[0]), faults[0].Code)
		})
	}
}

// Formatting that spreadsheets add must not change the table: byte order mark,
// CRLF, blank rows, extra columns, quoting, padding and split accounts.
func TestSpreadsheetFormatting(t *testing.T) {
	plain := mustParse(t, validSections())
	text := "\xef\xbb\xbfregion,comment,\"name\",state,\r\n,,,,\r\n north ,\"kept, for now\",dc_b,,\r\n\r\n\"north\",\"a \"\"b\"\"\r\nc\",dc_a,in,\r\n"
	assert.DeepEqual(t, Diff(plain, mustParse(t, withSection(DataCentresSection, text))), []Change(nil))

	split := append(withSection(AccountsSection, strings.Split(validAccounts, "\n")[0]), Section{"accounts_00", 2, []byte(validAccounts)})
	assert.DeepEqual(t, Diff(plain, mustParse(t, split)), []Change(nil))
}

func TestDiff(t *testing.T) {
	old := mustParse(t, validSections())
	edited := strings.Replace(validUpstreams, "draft_a,dc_a,engine,mini,8", "draft_c,dc_b,engine,mini,6", 1)
	edited = strings.Replace(edited, "desk,4", "desk,5", 1)
	var b strings.Builder
	for _, c := range Diff(old, mustParse(t, withSection(UpstreamsSection, edited))) {
		fmt.Fprintf(&b, "%s %s %s %v\n", c.Section, c.Row, c.Kind, c.Cells)
	}
	golden.Assert(t, b.String(), "diff.golden")
	assert.Equal(t, len(Diff(nil, old)), 2+3+3+1)
	assert.Equal(t, len(Diff(old, nil)), 2+3+3+1)
}

// A table that parses must survive a round trip through CSV unchanged. Every
// fault must refer to a row of the text.
func FuzzParse(f *testing.F) {
	for i, s := range validSections() {
		f.Add(i, s.Data)
	}
	f.Add(1, []byte("\xef\xbb\xbfname,tier\r\n\r\n,\r\n\"a\nb\",1"))
	f.Fuzz(func(t *testing.T, i int, data []byte) {
		ss := validSections()
		ss[uint(i)%uint(len(ss))].Data = data
		tb, faults := Parse(ss)
		assert.Equal(t, tb == nil, len(faults) > 0)
		for _, x := range faults {
			assert.Assert(t, x.Row <= max(4, bytes.Count(data, []byte("\n"))+1), "%v", x)
		}
		if tb == nil {
			return
		}
		for n, a := range tb.Accounts {
			found, ok := tb.AccountByKey(a.KeyHash)
			assert.Assert(t, ok && found.Name == n)
		}
		var written []Section
		for _, name := range sectionOrder {
			written = append(written, Section{name, tb.Revision, tb.CSV(name)})
		}
		assert.DeepEqual(t, Diff(tb, mustParse(t, written)), []Change(nil))
	})
}
