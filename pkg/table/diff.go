package table

import (
	"cmp"
	"maps"
	"slices"
)

// ChangeKind is the way in which a row differs between two tables.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Edited  ChangeKind = "edited"
)

// Change is a row that differs between two tables.
type Change struct {
	Section string
	// Row is the name of the row.
	Row  string
	Kind ChangeKind
	// Cells lists the cells that differ, in column order; it is empty for a
	// removed row.
	Cells []CellChange
}

// CellChange is a cell that differs. Old and New are formatted as in the CSV.
type CellChange struct {
	Column string
	Old    string
	New    string
}

// Diff returns the rows that differ, in the order of Sections and then by name. A
// nil table counts as an empty one.
func Diff(old, next *Table) []Change {
	if old == nil {
		old = &Table{}
	}
	if next == nil {
		next = &Table{}
	}
	var cs []Change
	cs = append(cs, diffRows(DataCentresSection, dataCentreColumns, old.DataCentres, next.DataCentres)...)
	cs = append(cs, diffRows(ClassesSection, classColumns, old.Classes, next.Classes)...)
	cs = append(cs, diffRows(UpstreamsSection, upstreamColumns, old.Upstreams, next.Upstreams)...)
	cs = append(cs, diffRows(AccountsSection, accountColumns, old.Accounts, next.Accounts)...)
	return cs
}

func diffRows[K ~string, T any](section string, columns []column[T], old, next map[K]T) []Change {
	names := make(map[K]bool, len(next))
	for n := range old {
		names[n] = true
	}
	for n := range next {
		names[n] = true
	}
	var cs []Change
	for _, n := range slices.SortedFunc(maps.Keys(names), cmp.Compare[K]) {
		o, inOld := old[n]
		r, inNext := next[n]
		c := Change{Section: section, Row: string(n), Kind: Edited}
		switch {
		case !inOld:
			c.Kind = Added
			c.Cells = diffCells(columns, nil, &r)
		case !inNext:
			c.Kind = Removed
		default:
			c.Cells = diffCells(columns, &o, &r)
			if len(c.Cells) == 0 {
				continue
			}
		}
		cs = append(cs, c)
	}
	return cs
}

// diffCells compares two rows cell by cell. If old is nil, all old cells are
// empty.
func diffCells[T any](columns []column[T], old, next *T) []CellChange {
	var cs []CellChange
	for _, c := range columns {
		x := CellChange{Column: c.name, New: c.codec.format(next)}
		if old != nil {
			x.Old = c.codec.format(old)
		}
		if x.Old != x.New {
			cs = append(cs, x)
		}
	}
	return cs
}
