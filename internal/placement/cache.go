package placement

import (
	"container/list"
	"time"
)

// Part is a segment of a prompt. Prompts with a common prefix start with parts of the same IDs.
type Part struct {
	ID     string
	Tokens int
}

// cacheIndex estimates which prompt parts are in an engine's KV cache: the most recently used ones, up to the cache's capacity.
type cacheIndex struct {
	capacity int64      // in tokens
	used     int64      // in tokens
	lru      *list.List // of *cachedPart, most recently used first
	entries  map[string]*list.Element
}

// cachedPart is a part that is in an engine's cache, or will be once the engine has prefilled it.
type cachedPart struct {
	Part
	// availableAt is when the engine is expected to have prefilled the part. Until then other engines can't fetch it.
	availableAt time.Time
}

func newCacheIndex(capacity int64) *cacheIndex {
	return &cacheIndex{capacity: capacity, lru: list.New(), entries: make(map[string]*list.Element)}
}

// cachedTokens returns the length in tokens of the prompt's prefix that is expected in the engine's cache. A part counts only if all
// parts before it are cached too.
func (c *cacheIndex) cachedTokens(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if _, ok := c.entries[p.ID]; !ok {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}

// fetchableTokens returns the length in tokens of the prompt's prefix that other engines can fetch at the given time.
func (c *cacheIndex) fetchableTokens(parts []Part, at time.Time) int {
	tokens := 0
	for _, p := range parts {
		e, ok := c.entries[p.ID]
		if !ok || e.Value.(*cachedPart).availableAt.After(at) {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}

// touch marks parts as used by the engine. Parts that were not cached become available to other engines at availableAt. It evicts
// the least recently used parts beyond the capacity.
func (c *cacheIndex) touch(parts []Part, availableAt time.Time) {
	// The first part is shared by most requests, so it is moved to the front last.
	for i := len(parts) - 1; i >= 0; i-- {
		c.touchOne(parts[i], availableAt)
	}
	for c.used > c.capacity && c.lru.Len() > 0 {
		oldest := c.lru.Back().Value.(*cachedPart)
		c.used -= int64(oldest.Tokens)
		c.lru.Remove(c.lru.Back())
		delete(c.entries, oldest.ID)
	}
}

func (c *cacheIndex) touchOne(p Part, availableAt time.Time) {
	if e, ok := c.entries[p.ID]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.entries[p.ID] = c.lru.PushFront(&cachedPart{Part: p, availableAt: availableAt})
	c.used += int64(p.Tokens)
}

// parts returns all cached parts, most recently used last.
func (c *cacheIndex) parts() []Part {
	list := make([]Part, 0, c.lru.Len())
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		list = append(list, e.Value.(*cachedPart).Part)
	}
	return list
}
