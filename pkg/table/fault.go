package table

import (
	"cmp"
	"fmt"
	"slices"

	"jasminewing.dev/jasminewing/pkg/result"
)

// Fault is one validation error of a proposed table.
type Fault struct {
	// Section is the name of the section as it was given, which may be the name
	// of a part such as accounts_01.
	Section string
	// Row is the row number as a spreadsheet shows it, starting at 1; zero for
	// the section as a whole.
	Row int
	// Column is the name of the column; empty for the row as a whole.
	Column string
	Code   result.Code
	Detail string
}

// Error returns the location, the code and the detail.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s", f.Location(), f.Unwrap())
}

// Location returns the section, row and column that are known, separated by
// colons.
func (f Fault) Location() string {
	if f.Row == 0 {
		return f.Section
	}
	if f.Column == "" {
		return fmt.Sprintf("%s:%d", f.Section, f.Row)
	}
	return fmt.Sprintf("%s:%d:%s", f.Section, f.Row, f.Column)
}

// Unwrap returns the code and the detail as a result.Error without the
// location, so that result.CodeOf finds the code.
func (f Fault) Unwrap() error {
	return &result.Error{Code: f.Code, Detail: f.Detail}
}

// sortFaults sorts faults in the order in which an operator goes through the
// sheets: by section, row and column.
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
