package simulation

import (
	"container/list"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/eventloop"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
)

// task is one attempt of a request on an engine.
type task struct {
	prompt []placement.Part
	output int
	rank   route.Rank
	// fetched lists prompt parts that were fetched from another engine.
	fetched map[placement.PartID]bool
	// onEvent is called for the first token and then for each event; onEnd is called
	// once, with false if the engine crashed.
	onEvent func()
	onEnd   func(completed bool)

	// prefill is the number of prompt tokens still to process, context the length of
	// the prompt, and produced the number of tokens generated.
	prefill, context, produced int
}

// memory returns the memory that the task uses when it completes, in tokens.
func (t *task) memory() int {
	tokens := t.output
	for _, p := range t.prompt {
		tokens += p.Tokens
	}
	return tokens
}

// engine is a simulated engine with continuous batching: a step processes a chunk of
// prompts in the order of their admission and generates a token for each running
// request.
type engine struct {
	loop  *eventloop.Loop
	model *Engine
	speed float64
	down  bool
	// leaving reports that the engine says that it leaves. pause is what it asks for when
	// it refuses a request; zero if it takes requests.
	leaving bool
	pause   time.Duration

	waiting    []*task
	prefilling []*task
	decoding   []*task
	stepping   bool
	generation int
	// reserved is the memory of the tasks in the batch, in tokens.
	reserved int
	cache    partCache

	// processed counts prompt tokens, and recomputed those of shared parts that
	// another engine had cached.
	processed, recomputed int
	// known holds the parts that any engine processed before.
	known map[placement.PartID]bool
}

// add queues a task and reports whether it was accepted.
func (e *engine) add(t *task) bool {
	if e.down || e.pause > 0 || len(e.waiting) >= e.model.QueueSize || t.memory() > e.model.MemoryTokens {
		return false
	}
	e.waiting = append(e.waiting, t)
	e.step()
	return true
}

// admit moves waiting tasks into the batch, the most urgent first.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *task) int { return int(a.rank) - int(b.rank) })
	for len(e.waiting) > 0 && len(e.prefilling)+len(e.decoding) < e.model.BatchSize {
		t := e.waiting[0]
		if e.reserved > 0 && e.reserved+t.memory() > e.model.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.reserved += t.memory()
		held := true
		for i, p := range t.prompt {
			t.context += p.Tokens
			held = held && (e.cache.touch(p) || t.fetched[p.ID])
			if held {
				continue
			}
			t.prefill += p.Tokens
			if i < len(t.prompt)-1 && e.known[p.ID] {
				e.recomputed += p.Tokens
			}
		}
		e.prefilling = append(e.prefilling, t)
	}
}

// step starts a step unless one is in progress or there is nothing to do.
func (e *engine) step() {
	if e.stepping || e.down {
		return
	}
	e.admit()
	if len(e.prefilling)+len(e.decoding) == 0 {
		return
	}
	e.stepping = true
	chunk, attention := e.prefillChunk()
	context := 0
	for _, t := range e.decoding {
		context += t.context + t.produced
	}
	running := slices.Clone(e.decoding)
	took := e.model.Step + time.Duration(len(running))*e.model.StepPerRequest +
		time.Duration(float64(context)/1000*float64(e.model.StepPerContext)) +
		time.Duration(float64(chunk)/e.model.PrefillRate*float64(time.Second)) + attention
	e.generation++
	generation := e.generation
	e.loop.After(time.Duration(float64(took)*e.speed), func() {
		if generation == e.generation {
			e.endStep(running)
		}
	})
}

// prefillChunk takes up to a chunk of tokens from the prompts, and returns their
// number and the time of their attention.
func (e *engine) prefillChunk() (tokens int, attention time.Duration) {
	for _, t := range e.prefilling {
		n := min(t.prefill, e.model.ChunkTokens-tokens)
		before := t.context - t.prefill
		pairs := float64(n) * (float64(before) + float64(n)/2) / 1e6
		attention += time.Duration(pairs * float64(e.model.PairTime))
		t.prefill -= n
		tokens += n
		if tokens >= e.model.ChunkTokens {
			break
		}
	}
	e.processed += tokens
	return tokens, attention
}

func (e *engine) endStep(running []*task) {
	e.stepping = false
	for _, t := range running {
		e.generateToken(t)
	}
	for _, t := range slices.Clone(e.prefilling) {
		if t.prefill > 0 {
			continue
		}
		e.prefilling = slices.DeleteFunc(e.prefilling, func(o *task) bool { return o == t })
		e.decoding = append(e.decoding, t)
		for _, p := range t.prompt {
			e.known[p.ID] = true
		}
		e.cache.add(t.prompt, e.model.MemoryTokens-e.reserved)
		e.generateToken(t)
	}
	e.step()
}

func (e *engine) generateToken(t *task) {
	if !slices.Contains(e.decoding, t) {
		return
	}
	t.produced++
	if t.produced == 1 || t.produced%e.model.EventTokens == 0 {
		t.onEvent()
	}
	if t.produced >= t.output {
		e.remove(t)
		t.onEnd(true)
	}
}

// remove takes a task off the engine.
func (e *engine) remove(t *task) {
	is := func(o *task) bool { return o == t }
	if slices.ContainsFunc(e.prefilling, is) || slices.ContainsFunc(e.decoding, is) {
		e.reserved -= t.memory()
	}
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.prefilling = slices.DeleteFunc(e.prefilling, is)
	e.decoding = slices.DeleteFunc(e.decoding, is)
}

// crash ends all tasks and empties the cache.
func (e *engine) crash() {
	lost := slices.Concat(e.waiting, e.prefilling, e.decoding)
	e.waiting, e.prefilling, e.decoding = nil, nil, nil
	e.down, e.stepping, e.reserved = true, false, 0
	e.generation++
	e.cache = partCache{}
	for _, t := range lost {
		t.onEnd(false)
	}
}

// partCache holds the prompt parts in an engine's memory, with the least recently
// used parts evicted first.
type partCache struct {
	order  list.List
	byID   map[placement.PartID]*list.Element
	tokens int
}

// touch reports whether a part is cached, and marks it as used.
func (c *partCache) touch(p placement.Part) bool {
	e := c.byID[p.ID]
	if e != nil {
		c.order.MoveToFront(e)
	}
	return e != nil
}

// add caches the parts of a prompt within a capacity in tokens.
func (c *partCache) add(prompt []placement.Part, capacity int) {
	if c.byID == nil {
		c.byID = make(map[placement.PartID]*list.Element)
	}
	for _, p := range prompt {
		if !c.touch(p) {
			c.byID[p.ID] = c.order.PushFront(p)
			c.tokens += p.Tokens
		}
	}
	for c.tokens > capacity && c.order.Len() > 0 {
		p := c.order.Remove(c.order.Back()).(placement.Part)
		delete(c.byID, p.ID)
		c.tokens -= p.Tokens
	}
}
