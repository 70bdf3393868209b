package admission

import (
	"container/list"

	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// maxEstimates bounds how many classes and accounts are remembered.
	maxEstimates = 2048
	// estimateGain is the part of a new length in an estimate.
	estimateGain = 0.2
)

// estimates learns how long answers are. The least lately learnt is forgotten.
type estimates struct {
	known map[estimateKey]*list.Element
	// recent holds *estimate, the latest learnt in front.
	recent list.List
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

// guess estimates an answer's length in tokens: what class and account
// produced, else what the class did, and no more than the offer's own cost.
func (e *estimates) guess(class table.Class, account table.AccountName, cost table.Tokens) float64 {
	bound := estimated(class, cost)
	for _, k := range []estimateKey{{class.Name, account}, {class.Name, ""}} {
		if l := e.known[k]; l != nil {
			return min(l.Value.(*estimate).tokens, bound)
		}
	}
	return bound
}

// learn takes the length of a whole answer.
func (e *estimates) learn(class table.ClassName, account table.AccountName, tokens table.Tokens) {
	e.learnOne(estimateKey{class, account}, float64(tokens))
	if account != "" {
		e.learnOne(estimateKey{class, ""}, float64(tokens))
	}
}

func (e *estimates) learnOne(k estimateKey, tokens float64) {
	if e.known == nil {
		e.known = map[estimateKey]*list.Element{}
	}
	if l := e.known[k]; l != nil {
		old := l.Value.(*estimate)
		old.tokens += estimateGain * (tokens - old.tokens)
		e.recent.MoveToFront(l)
		return
	}
	if e.recent.Len() >= maxEstimates {
		last := e.recent.Remove(e.recent.Back()).(*estimate)
		delete(e.known, last.key)
	}
	e.known[k] = e.recent.PushFront(&estimate{key: k, tokens: tokens})
}
