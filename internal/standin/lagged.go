package standin

import "time"

// lagged shows a value as it was some time ago.
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

// at gives the value that is shown now; the zero value before the first is.
func (l *lagged[T]) at(now time.Time) T {
	l.prune(now)
	var v T
	if len(l.entries) > 0 && l.visible(now, 0) {
		v = l.entries[0].value
	}
	return v
}

func (l *lagged[T]) prune(now time.Time) {
	for len(l.entries) > 1 && l.visible(now, 1) {
		l.entries = l.entries[1:]
	}
}

func (l *lagged[T]) visible(now time.Time, i int) bool {
	return now.Sub(l.entries[i].since) >= l.lag
}
