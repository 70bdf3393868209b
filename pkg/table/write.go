package table

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"maps"
	"slices"
)

// CSV writes a section of the table with all columns, sorted by name; nil for
// a name that is no section. Accounts are given as one, however many parts they
// came in.
func (t *Table) CSV(section string) []byte {
	switch section {
	case DataCentresSection:
		return writeRows(dataCentreColumns, t.DataCentres)
	case ClassesSection:
		return writeRows(classColumns, t.Classes)
	case UpstreamsSection:
		return writeRows(upstreamColumns, t.Upstreams)
	case AccountsSection:
		return writeRows(accountColumns, t.Accounts)
	}
	return nil
}

func writeRows[K ~string, T any](columns []column[T], rows map[K]T) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	cells := make([]string, len(columns))
	for i, c := range columns {
		cells[i] = c.name
	}
	// Writing to a bytes.Buffer does not fail.
	_ = w.Write(cells)
	for _, n := range slices.SortedFunc(maps.Keys(rows), cmp.Compare[K]) {
		r := rows[n]
		for i, c := range columns {
			cells[i] = c.codec.format(&r)
		}
		_ = w.Write(cells)
	}
	w.Flush()
	return b.Bytes()
}
