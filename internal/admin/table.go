package admin

import (
	"encoding/csv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// revisionHeader is the header that carries the table's revision in CSV answers.
const revisionHeader = "Jasminewing-Table-Revision"

// TableSection is the answer of /v1/table/{section}.
type TableSection struct {
	Section string `json:"section"`
	// Revision is the revision of the whole table.
	Revision table.Revision `json:"revision"`
	// Source lists the values of the configuration service that contain the rows.
	Source  []SourceValue `json:"source"`
	Columns []string      `json:"columns"`
	Rows    [][]string    `json:"rows"`
}

// SourceValue is a value of the configuration service that is in force.
type SourceValue struct {
	Value    string         `json:"value"`
	Revision table.Revision `json:"revision"`
}

// serveTable sends the rows of a section as JSON, or as CSV if the client asks for
// it.
func (a *API) serveTable(w http.ResponseWriter, r *http.Request) {
	t, ok := a.currentTable(w)
	if !ok {
		return
	}
	name := mux.Vars(r)["section"]
	s, ok := t.EffectiveSection(name)
	if !ok {
		Refuse(w, result.Errorf(result.NotFound, "no section %q; sections are %s", name, strings.Join(table.Sections(), ", ")))
		return
	}
	if wantsCSV(r) {
		writeCSV(w, t, s)
		return
	}
	writeJSON(w, http.StatusOK, TableSection{
		Section: s.Section, Revision: t.Revision, Source: sourceOf(s.Section, a.Fleet.InForce()),
		Columns: s.Columns, Rows: s.Rows,
	})
}

func wantsCSV(r *http.Request) bool {
	return r.URL.Query().Get("format") == "csv" || strings.HasPrefix(r.Header.Get("Accept"), "text/csv")
}

func writeCSV(w http.ResponseWriter, t *table.Table, s table.EffectiveSection) {
	w.Header().Set("Content-Type", "text/csv; charset=utf-8")
	w.Header().Set(revisionHeader, strconv.FormatUint(uint64(t.Revision), 10))
	c := csv.NewWriter(w)
	_ = c.Write(s.Columns)
	_ = c.WriteAll(s.Rows)
}

func sourceOf(section string, vs []fleet.Value) []SourceValue {
	source := []SourceValue{}
	for _, v := range vs {
		if base, _ := table.BaseSection(v.Name); base == section {
			source = append(source, SourceValue{v.Name, v.Revision})
		}
	}
	return source
}

// TableCheck is the answer of /v1/table/check.
type TableCheck struct {
	Section string `json:"section"`
	// Revision is the revision of the table that the proposal was compared with.
	Revision table.Revision `json:"revision"`
	Accepted bool           `json:"accepted"`
	// Note states that the check wrote nothing.
	Note        string       `json:"note"`
	Faults      []TableFault `json:"faults"`
	Differences []Difference `json:"differences"`
}

// TableFault is one fault of a proposal.
type TableFault struct {
	Section string      `json:"section"`
	Row     int         `json:"row"`
	Column  string      `json:"column"`
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Detail  string      `json:"detail"`
}

// Difference is a row that the proposal would change.
type Difference struct {
	Section string           `json:"section"`
	Row     string           `json:"row"`
	Kind    table.ChangeKind `json:"kind"`
	Cells   []CellDifference `json:"cells"`
}

// CellDifference is a cell that the proposal would change.
type CellDifference struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

const dryRunNote = "dry run: nothing was written; publish the section at the configuration service to put it in force"

// serveCheck reports the faults of a proposed section, or what it would change.
func (a *API) serveCheck(w http.ResponseWriter, r *http.Request) {
	t, ok := a.currentTable(w)
	if !ok {
		return
	}
	name := r.URL.Query().Get("section")
	if _, ok := table.BaseSection(name); !ok {
		Refuse(w, result.Errorf(result.MissingSection, "section=%q; sections are %s", name, strings.Join(table.Sections(), ", ")))
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, table.MaxSectionBytes))
	if err != nil {
		Refuse(w, result.Errorf(result.TableTooLarge, "read section, at most %d bytes: %w", table.MaxSectionBytes, err))
		return
	}
	writeJSON(w, http.StatusOK, checkSection(t, a.Fleet.InForce(), name, data))
}

// checkSection parses the values in force with one value replaced, and compares
// the result with the table.
func checkSection(t *table.Table, inForce []fleet.Value, name string, data []byte) TableCheck {
	sections := []table.Section{{Name: name, Data: data, Revision: t.Revision}}
	for _, v := range inForce {
		if v.Name != name {
			sections = append(sections, table.Section{Name: v.Name, Revision: v.Revision, Data: v.Data})
		}
	}
	next, faults := table.Parse(sections)
	c := TableCheck{
		Section: name, Revision: t.Revision, Accepted: len(faults) == 0, Note: dryRunNote,
		Faults: tableFaults(faults), Differences: []Difference{},
	}
	if c.Accepted {
		c.Differences = differences(table.Diff(t, next))
	}
	return c
}

func tableFaults(faults []table.Fault) []TableFault {
	fs := []TableFault{}
	for _, f := range faults {
		fs = append(fs, TableFault{f.Section, f.Row, f.Column, f.Code, f.Code.String(), f.Detail})
	}
	return fs
}

func differences(cs []table.Change) []Difference {
	ds := []Difference{}
	for _, c := range cs {
		d := Difference{c.Section, c.Row, c.Kind, []CellDifference{}}
		for _, x := range c.Cells {
			d.Cells = append(d.Cells, CellDifference(x))
		}
		ds = append(ds, d)
	}
	return slices.Clip(ds)
}
