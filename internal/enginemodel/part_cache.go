package enginemodel

import "container/list"

// partCache caches parts of prompts in the memory that the batch of an engine doesn't use. It evicts the least recently used parts
// first.
type partCache struct {
	usedTokens int
	lru        *list.List // of Part, most recently used first
	entries    map[string]*list.Element
}

// prefixTokens returns the number of tokens from the start of a prompt whose parts are all cached.
func (c *partCache) prefixTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		if _, ok := c.entries[p.ID]; !ok {
			return n
		}
		n += p.Tokens
	}
	return n
}

// add caches parts and then evicts parts beyond the capacity, given in tokens. The first part is shared by most prompts, so it is
// added last and evicted after the others.
func (c *partCache) add(parts []Part, capacity int) {
	for i := len(parts) - 1; i >= 0; i-- {
		if e, ok := c.entries[parts[i].ID]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.entries[parts[i].ID] = c.lru.PushFront(parts[i])
		c.usedTokens += parts[i].Tokens
	}
	c.evictTo(capacity)
}

// evictTo evicts the least recently used parts until the cache uses at most capacity tokens.
func (c *partCache) evictTo(capacity int) {
	for c.usedTokens > capacity && c.lru.Len() > 0 {
		oldest := c.lru.Back()
		part := oldest.Value.(Part)
		c.lru.Remove(oldest)
		delete(c.entries, part.ID)
		c.usedTokens -= part.Tokens
	}
}
