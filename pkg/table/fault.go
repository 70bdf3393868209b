package table

import (
	"cmp"
	"fmt"
	"slices"

	"jasminewing.dev/jasminewing/pkg/result"
)

// Fault is one thing wrong with a proposed table.
type Fault struct {
	// Section is the name of the section as it was given.
	Section string
	// Row is counted as a spreadsheet shows it, from 1; zero is for the section
	// as a whole.
	Row int
	// Column is the name of the column; empty for the row as a whole.
	Column string
	Code   result.Code
	Detail string
}

// Error gives the place, the code and the detail.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s", f.Location(), f.Unwrap())
}

// Location gives section, row and column, separated by colons, as far as they are
// known.
func (f Fault) Location() string {
	if f.Row == 0 {
		return f.Section
	}
	if f.Column == "" {
		return fmt.Sprintf("%s:%d", f.Section, f.Row)
	}
	return fmt.Sprintf("%s:%d:%s", f.Section, f.Row, f.Column)
}

// Unwrap gives the code and the detail without the place, so that
// result.CodeOf finds the code.
func (f Fault) Unwrap() error {
	return &result.Error{Code: f.Code, Detail: f.Detail}
}

// sortFaults orders faults as an operator would go through the sheets.
func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(sectionRank(a.Section), sectionRank(b.Section)),
			cmp.Compare(a.Section, b.Section),
			cmp.Compare(a.Row, b.Row),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Code, b.Code),
		)
	})
}
