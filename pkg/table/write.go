package table

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"maps"
	"slices"
)

// CSV returns a section of the table as CSV with all columns, sorted by name;
// nil if the section does not exist. Accounts are returned as one section,
// however many parts they were read from.
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
	// Writes to a bytes.Buffer do not fail.
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
