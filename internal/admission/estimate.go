package admission

import (
	"container/list"

	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// maxEstimates bounds how many classes and accounts are remembered.
	maxEstimates = 2048
	// estimateSmoothing is the part of a new length in an estimate.
	estimateSmoothing = 0.2
)

// estimates learns how long answers are. The least lately learnt is forgotten.
type estimates struct {
	entries map[estimateKey]*list.Element
	// recency holds *estimate, the latest learnt in front.
	recency list.List
}

// estimateKey names a client account in a class; the empty account stands for
// the whole class.
type estimateKey struct {
	class   table.ClassName
	account table.AccountName
}

type estimate struct {
	key    estimateKey
	tokens float64
}

// predict estimates an answer's length in tokens: what class and account
// produced, else what the class did, and no more than the offer's own cost.
func (e *estimates) predict(class table.Class, account table.AccountName, cost table.Tokens) float64 {
	bound := costBound(class, cost)
	for _, k := range []estimateKey{{class.Name, account}, {class.Name, ""}} {
		if l := e.entries[k]; l != nil {
			return min(l.Value.(*estimate).tokens, bound)
		}
	}
	return bound
}

// observe takes the length of a whole answer.
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
