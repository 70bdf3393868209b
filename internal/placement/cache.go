package placement

import "container/list"

// prefixCache is what this gateway believes an engine's cache to hold: the parts
// of prompts it sent there, the least recently used go first.
type prefixCache struct {
	order    *list.List
	byID     map[PartID]*list.Element
	tokens   int
	capacity int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), byID: make(map[PartID]*list.Element)}
}

// missingTokens gives the tokens that an engine has to read: all from the first part
// that it does not hold.
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

// add notes that a prompt was read.
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
