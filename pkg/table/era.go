package table

import "fmt"

// Era is the number of times that a service was restored from a copy. A service
// that is restored gives its revision numbers out again.
type Era uint64

const (
	// MaxEra is the highest era.
	MaxEra Era = 1<<(63-numberBits) - 1
	// MaxNumber is the highest number of a revision within an era.
	MaxNumber = 1<<numberBits - 1

	// numberBits is the size of a number. The bits above it hold the era, so that
	// comparing two revisions compares their eras first, also in a process that does
	// not know of eras.
	numberBits = 44
)

// Join returns the revision with this number in an era. It returns an error if the
// era or the number is too high.
func (e Era) Join(number uint64) (uint64, error) {
	if e > MaxEra || number > MaxNumber {
		return 0, fmt.Errorf("number %d of era %d is over the limit of %d or %d", number, e, uint64(MaxNumber), MaxEra)
	}
	return uint64(e)<<numberBits | number, nil
}

// Split returns the era and the number that Join was given.
func Split(revision uint64) (Era, uint64) {
	return Era(revision >> numberBits), revision & MaxNumber
}

// Era returns the era in which the service gave the revision.
func (r Revision) Era() Era {
	e, _ := Split(uint64(r))
	return e
}
