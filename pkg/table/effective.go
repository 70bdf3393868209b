package table

import (
	"cmp"
	"maps"
	"slices"
)

// EffectiveSection is a section as it is in force: every column, defaults filled in, rows
// in the order of names. Its cells are as the table writes them.
type EffectiveSection struct {
	Section string
	Columns []string
	Rows    [][]string
}

// Sections names the sections in the order of the docs.
func Sections() []string { return slices.Clone(sectionOrder) }

// EffectiveSection gives a whole section as it is in force, false for a name that is no
// whole section's.
func (t *Table) EffectiveSection(section string) (EffectiveSection, bool) {
	switch section {
	case DataCentresSection:
		return effectiveSection(section, dataCentreColumns, t.DataCentres), true
	case ClassesSection:
		return effectiveSection(section, classColumns, t.Classes), true
	case UpstreamsSection:
		return effectiveSection(section, upstreamColumns, t.Upstreams), true
	case AccountsSection:
		return effectiveSection(section, accountColumns, t.Accounts), true
	default:
		return EffectiveSection{}, false
	}
}

func effectiveSection[K ~string, T any](section string, columns []column[T], rows map[K]T) EffectiveSection {
	s := EffectiveSection{Section: section}
	for _, c := range columns {
		s.Columns = append(s.Columns, c.name)
	}
	for _, n := range slices.SortedFunc(maps.Keys(rows), cmp.Compare[K]) {
		r := rows[n]
		cells := make([]string, 0, len(columns))
		for _, c := range columns {
			cells = append(cells, c.codec.format(&r))
		}
		s.Rows = append(s.Rows, cells)
	}
	return s
}

// BaseSection gives the name of the section that a part such as accounts_00
// belongs to, and false for a name that is no section's.
func BaseSection(name string) (string, bool) { return baseSectionName(name), IsSection(name) }
