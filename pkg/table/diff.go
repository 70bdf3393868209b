package table

import (
	"cmp"
	"maps"
	"slices"
)

// ChangeKind says what became of a row.
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
	// Row is the row's name.
	Row  string
	Kind ChangeKind
	// Cells lists the cells that differ, in the order of columns; it is empty
	// for a row that was removed.
	Cells []CellChange
}

// CellChange is a cell that differs; its values are as the table writes them.
type CellChange struct {
	Column string
	Old    string
	New    string
}

// Diff gives the rows that differ, in the order of sections and names. A table
// that is nil has no rows.
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

// diffCells compares two rows; an old one that is nil has empty cells.
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
