package standin

import "time"

// lagged holds a value of which changes become visible after a lag.
type lagged[T any] struct {
	lag     time.Duration
	entries []laggedEntry[T]
}

type laggedEntry[T any] struct {
	since time.Time
	value T
}

func (l *lagged[T]) set(now time.Time, v T) {
	l.entries = append(l.entries, laggedEntry[T]{now, v})
	l.prune(now)
}

// at returns the value that is visible now, or the zero value if no value is
// visible yet.
func (l *lagged[T]) at(now time.Time) T {
	l.prune(now)
	var v T
	if len(l.entries) > 0 && l.visible(now, 0) {
		v = l.entries[0].value
	}
	return v
}

// prune drops the entries that a newer visible entry replaces.
func (l *lagged[T]) prune(now time.Time) {
	for len(l.entries) > 1 && l.visible(now, 1) {
		l.entries = l.entries[1:]
	}
}

// visible returns true if entry i is at least as old as the lag.
func (l *lagged[T]) visible(now time.Time, i int) bool {
	return now.Sub(l.entries[i].since) >= l.lag
}
