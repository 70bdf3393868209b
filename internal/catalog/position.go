package catalog

import (
	"cmp"
	"fmt"
)

// Revision is a revision of the store. Within an era it increases with each change.
type Revision uint64

// Era numbers the histories of the store. It increases when the store is restored from a copy:
// what was written since the copy was made is lost, and its revisions are given out again.
type Era int64

// NoEra is the era of a response that doesn't tell it.
const NoEra Era = -1

// Position is a point in the histories of the store.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns -1, 0 or 1 if p is older than q, the same, or newer. A position of a later era is
// newer, whatever its revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// String returns the era and the revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
