package table

import (
	"cmp"
	"maps"
	"slices"
)

// Sheet is a section as it is in force: every column, defaults filled in, rows
// in the order of names. Its cells are as the table writes them.
type Sheet struct {
	Section string
	Columns []string
	Rows    [][]string
}

// Sections names the sections in the order of the docs.
func Sections() []string { return slices.Clone(sectionOrder) }

// Sheet gives a whole section as it is in force, false for a name that is no
// whole section's.
func (t *Table) Sheet(section string) (Sheet, bool) {
	switch section {
	case DataCentresSection:
		return sheetOf(section, dataCentreColumns, t.DataCentres), true
	case ClassesSection:
		return sheetOf(section, classColumns, t.Classes), true
	case UpstreamsSection:
		return sheetOf(section, upstreamColumns, t.Upstreams), true
	case AccountsSection:
		return sheetOf(section, accountColumns, t.Accounts), true
	default:
		return Sheet{}, false
	}
}

func sheetOf[K ~string, T any](section string, columns []column[T], rows map[K]T) Sheet {
	s := Sheet{Section: section}
	for _, c := range columns {
		s.Columns = append(s.Columns, c.name)
	}
	for _, n := range slices.SortedFunc(maps.Keys(rows), cmp.Compare[K]) {
		r := rows[n]
		cells := make([]string, 0, len(columns))
		for _, c := range columns {
			cells = append(cells, c.kind.get(&r))
		}
		s.Rows = append(s.Rows, cells)
	}
	return s
}

// WholeSection gives the name of the section that a part such as accounts_00
// belongs to, and false for a name that is no section's.
func WholeSection(name string) (string, bool) { return wholeName(name), IsSection(name) }
