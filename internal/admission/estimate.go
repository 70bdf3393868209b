package admission

import (
	"container/list"

	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// maxEstimates bounds how many classes and client accounts have a stored
	// estimate.
	maxEstimates = 2048
	// estimateSmoothing is the weight of a new length in the moving average.
	estimateSmoothing = 0.2
)

// estimates tracks answer lengths by class and client account. When it is full,
// the least recently updated estimate is evicted.
type estimates struct {
	entries map[estimateKey]*list.Element
	// recency holds *estimate values, the most recently updated first.
	recency list.List
}

// estimateKey identifies a client account within a class; an empty account
// means the whole class.
type estimateKey struct {
	class   table.ClassName
	account table.AccountName
}

type estimate struct {
	key    estimateKey
	tokens float64
}

// predict returns the expected length of an answer in tokens: the estimate for
// the class and account, else the estimate for the class. The result never
// exceeds costBound, which is also the fallback.
func (e *estimates) predict(class table.Class, account table.AccountName, cost table.Tokens) float64 {
	bound := costBound(class, cost)
	for _, k := range []estimateKey{{class.Name, account}, {class.Name, ""}} {
		if l := e.entries[k]; l != nil {
			return min(l.Value.(*estimate).tokens, bound)
		}
	}
	return bound
}

// observe records the length of a complete answer.
func (e *estimates) observe(class table.ClassName, account table.AccountName, tokens table.Tokens) {
	e.observeKey(estimateKey{class, account}, float64(tokens))
	if account != "" {
		e.observeKey(estimateKey{class, ""}, float64(tokens))
	}
}

func (e *estimates) observeKey(k estimateKey, tokens float64) {
	if e.entries == nil {
		e.entries = map[estimateKey]*list.Element{}
	}
	if l := e.entries[k]; l != nil {
		old := l.Value.(*estimate)
		old.tokens += estimateSmoothing * (tokens - old.tokens)
		e.recency.MoveToFront(l)
		return
	}
	if e.recency.Len() >= maxEstimates {
		last := e.recency.Remove(e.recency.Back()).(*estimate)
		delete(e.entries, last.key)
	}
	e.entries[k] = e.recency.PushFront(&estimate{key: k, tokens: tokens})
}
