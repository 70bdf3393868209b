package table

import (
	"cmp"
	"maps"
	"slices"
)

// EffectiveSection is a section with every column present, defaults filled in
// and rows sorted by name. Its cells are formatted as in the CSV.
type EffectiveSection struct {
	Section string
	Columns []string
	Rows    [][]string
}

// Sections returns the names of the sections in the order of the docs.
func Sections() []string { return slices.Clone(sectionOrder) }

// EffectiveSection returns a section with its defaults filled in. It returns
// false if the name is not the name of a section; the name of a part such as
// accounts_00 is not one.
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

// BaseSection returns the name of the section that a part such as accounts_00
// belongs to. It returns false if the name is neither a section nor a part of
// one.
func BaseSection(name string) (string, bool) { return baseSectionName(name), IsSection(name) }
