package placement

import "container/list"

// prefixCache is this gateway's estimate of the contents of an engine's prefix
// cache: the prompt parts that it sent to the engine, with the least recently used
// parts evicted first.
type prefixCache struct {
	order    *list.List
	byID     map[PartID]*list.Element
	tokens   int
	capacity int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), byID: make(map[PartID]*list.Element)}
}

// missingTokens returns the number of tokens that the engine has to process: those
// of the first part that is not cached and of all parts after it.
func (c *prefixCache) missingTokens(prompt []Part) int {
	tokens := 0
	held := true
	for _, p := range prompt {
		held = held && c.byID[p.ID] != nil
		if !held {
			tokens += p.Tokens
		}
	}
	return tokens
}

// add records that the engine processed a prompt, and evicts old parts if the
// cache exceeds its capacity.
func (c *prefixCache) add(prompt []Part) {
	for _, p := range prompt {
		if e := c.byID[p.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.byID[p.ID] = c.order.PushFront(p)
		c.tokens += p.Tokens
	}
	for c.capacity > 0 && c.tokens > c.capacity && c.order.Len() > len(prompt) {
		last := c.order.Back()
		p := c.order.Remove(last).(Part)
		delete(c.byID, p.ID)
		c.tokens -= p.Tokens
	}
}
