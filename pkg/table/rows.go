package table

import (
	"fmt"

	"jasminewing.dev/jasminewing/pkg/result"
)

// row is a parsed row of a section and its location.
type row[T any] struct {
	value   T
	section string
	number  int
	// valid reports that no cell of the row has a fault.
	valid bool
}

func (r *row[T]) fault(column string, code result.Code, format string, args ...any) Fault {
	return Fault{Section: r.section, Row: r.number, Column: column, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// readRows parses the cells of a section. It continues after a fault, so that
// an operator sees all of them.
func readRows[T any](s rawSection, columns []column[T]) ([]row[T], []Fault) {
	positions, faults := readHeader(s, columns)
	var rows []row[T]
	for _, rec := range s.records {
		r, fs := readRow(s.section, rec, columns, positions)
		rows = append(rows, r)
		faults = append(faults, fs...)
		faults = append(faults, checkUnnamedCells(s, rec)...)
	}
	return rows, faults
}

// readHeader returns the position of each column in the header, or -1 for a
// column that is missing.
func readHeader[T any](s rawSection, columns []column[T]) ([]int, []Fault) {
	var faults []Fault
	positions := make([]int, len(columns))
	first := firstPositions(s.header)
	known := map[string]bool{commentColumn: true}
	for i, c := range columns {
		known[c.name] = true
		positions[i] = positionOf(first, c.name)
		if c.required && positions[i] < 0 {
			faults = append(faults, Fault{s.section, s.headerRow, c.name, result.MissingColumn, "the section needs this column"})
		}
	}
	for i, name := range s.header {
		if name == "" {
			continue
		}
		if !known[name] {
			faults = append(faults, Fault{s.section, s.headerRow, name, result.UnknownColumn, "the section has no such column"})
		} else if first[name] != i {
			faults = append(faults, Fault{s.section, s.headerRow, name, result.UnknownColumn, "the column is there twice"})
		}
	}
	return positions, faults
}

func firstPositions(header []string) map[string]int {
	first := make(map[string]int, len(header))
	for i, name := range header {
		if _, found := first[name]; !found {
			first[name] = i
		}
	}
	return first
}

func positionOf(first map[string]int, name string) int {
	i, found := first[name]
	if !found {
		return -1
	}
	return i
}

// checkUnnamedCells reports cells under an empty header cell, because they
// would be ignored silently.
func checkUnnamedCells(s rawSection, rec record) []Fault {
	var faults []Fault
	for i, name := range s.header {
		if name == "" && rec.cells[i] != "" {
			detail := fmt.Sprintf("cell %d has no column name", i+1)
			faults = append(faults, Fault{s.section, rec.row, "", result.UnknownColumn, detail})
		}
	}
	return faults
}

func readRow[T any](section string, rec record, columns []column[T], positions []int) (row[T], []Fault) {
	r := row[T]{section: section, number: rec.row, valid: true}
	var faults []Fault
	for i, c := range columns {
		cell := ""
		if positions[i] >= 0 {
			cell = rec.cells[positions[i]]
		}
		if cell == "" && c.required {
			r.valid = false
			if positions[i] >= 0 {
				faults = append(faults, r.fault(c.name, result.BadCell, "the cell is empty"))
			}
			continue
		}
		if cell == "" {
			cell = c.defaultValue
		}
		if cell == "" {
			continue
		}
		if err := c.codec.parse(&r.value, cell); err != nil {
			r.valid = false
			faults = append(faults, r.fault(c.name, err.Code, "%s", err.Detail))
		}
	}
	return r, faults
}
