package table

import (
	"fmt"

	"jasminewing.dev/jasminewing/pkg/result"
)

// row is a row of a section and the place it came from.
type row[T any] struct {
	value   T
	section string
	number  int
	// whole says that no cell of the row is at fault.
	whole bool
}

func (r *row[T]) fault(column string, code result.Code, format string, args ...any) Fault {
	return Fault{Section: r.section, Row: r.number, Column: column, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// readRows reads the cells of a sheet. It goes on after a fault, so that an
// operator sees all of them.
func readRows[T any](s sheet, columns []column[T]) ([]row[T], []Fault) {
	places, faults := readHeader(s, columns)
	var rows []row[T]
	for _, rec := range s.records {
		r, fs := readRow(s.section, rec, columns, places)
		rows = append(rows, r)
		faults = append(faults, fs...)
		faults = append(faults, readUnnamed(s, rec)...)
	}
	return rows, faults
}

// readHeader finds the place of each column: -1 for one that is not there.
func readHeader[T any](s sheet, columns []column[T]) ([]int, []Fault) {
	var faults []Fault
	places := make([]int, len(columns))
	first := firstPlaces(s.header)
	known := map[string]bool{commentColumn: true}
	for i, c := range columns {
		known[c.name] = true
		places[i] = placeOf(first, c.name)
		if c.required && places[i] < 0 {
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
	return places, faults
}

func firstPlaces(header []string) map[string]int {
	first := make(map[string]int, len(header))
	for i, name := range header {
		if _, held := first[name]; !held {
			first[name] = i
		}
	}
	return first
}

func placeOf(first map[string]int, name string) int {
	i, held := first[name]
	if !held {
		return -1
	}
	return i
}

// readUnnamed refuses cells under a header cell that is empty: nobody would
// read them.
func readUnnamed(s sheet, rec record) []Fault {
	var faults []Fault
	for i, name := range s.header {
		if name == "" && rec.cells[i] != "" {
			detail := fmt.Sprintf("cell %d has no column name", i+1)
			faults = append(faults, Fault{s.section, rec.row, "", result.UnknownColumn, detail})
		}
	}
	return faults
}

func readRow[T any](section string, rec record, columns []column[T], places []int) (row[T], []Fault) {
	r := row[T]{section: section, number: rec.row, whole: true}
	var faults []Fault
	for i, c := range columns {
		cell := ""
		if places[i] >= 0 {
			cell = rec.cells[places[i]]
		}
		if cell == "" && c.required {
			r.whole = false
			if places[i] >= 0 {
				faults = append(faults, r.fault(c.name, result.BadCell, "the cell is empty"))
			}
			continue
		}
		if cell == "" {
			cell = c.fallback
		}
		if cell == "" {
			continue
		}
		if err := c.kind.set(&r.value, cell); err != nil {
			r.whole = false
			faults = append(faults, r.fault(c.name, err.Code, "%s", err.Detail))
		}
	}
	return r, faults
}
