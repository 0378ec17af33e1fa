package balancer

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// gapFactor is the share of blocks that is taken to be still there after one gap in the cache events.
	gapFactor = 0.6
	// lateTime is the decay time of a hit's probability while work was sent and no cache event has come since. An idle
	// endpoint evicts nothing, so time without work does not count.
	lateTime = 10 * time.Second
	// minHit is the probability below which a block is not counted at all.
	minHit = 0.05
)

// cacheIndex maps a block hash to the endpoints that are known to hold it.
type cacheIndex map[uint64][]*endpointState

// cacheState is what is known of an endpoint's prefix cache.
type cacheState struct {
	// blocks holds, for each block, the number of gaps that had been seen when its event came.
	blocks map[uint64]uint32
	gaps   uint32
	// unconfirmed is the time of the first send after the last event; zero when there was none.
	unconfirmed time.Time
}

func (c *cacheState) noteSend(at time.Time) {
	if c.unconfirmed.IsZero() {
		c.unconfirmed = at
	}
}

// ApplyCacheEvent records prefix blocks that an endpoint stored and removed; reset forgets all earlier ones.
func (b *Balancer) ApplyCacheEvent(endpoint string, stored, removed []uint64, reset bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[endpoint]
	if s == nil {
		return
	}
	if reset {
		b.index.reset(s)
	}
	s.cache.unconfirmed = time.Time{}
	if s.cache.blocks == nil {
		s.cache.blocks = make(map[uint64]uint32)
	}
	for _, h := range removed {
		b.index.remove(s, h)
	}
	for _, h := range stored {
		b.index.add(s, h)
	}
	b.index.trim(s)
}

// RecordCacheGap records that cache events of an endpoint were lost. Blocks known from earlier events count less from now on.
func (b *Balancer) RecordCacheGap(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[endpoint]; s != nil {
		s.cache.gaps++
	}
}

func (x cacheIndex) add(s *endpointState, h uint64) {
	if _, known := s.cache.blocks[h]; !known {
		x[h] = append(x[h], s)
	}
	s.cache.blocks[h] = s.cache.gaps
}

func (x cacheIndex) remove(s *endpointState, h uint64) {
	if _, known := s.cache.blocks[h]; !known {
		return
	}
	delete(s.cache.blocks, h)
	rest := slices.DeleteFunc(x[h], func(o *endpointState) bool { return o == s })
	if len(rest) == 0 {
		delete(x, h)
		return
	}
	x[h] = rest
}

func (x cacheIndex) reset(s *endpointState) {
	for h := range s.cache.blocks {
		x.remove(s, h)
	}
	s.cache = cacheState{}
}

// trim forgets blocks of an endpoint beyond its memory, oldest gap first; they are left over from lost removal events.
func (x cacheIndex) trim(s *endpointState) {
	limit := s.Load.KVTotal
	if limit <= 0 || len(s.cache.blocks) <= limit+limit/4 {
		return
	}
	hashes := make([]uint64, 0, len(s.cache.blocks))
	for h := range s.cache.blocks {
		hashes = append(hashes, h)
	}
	slices.SortFunc(hashes, func(a, b uint64) int {
		if ga, gb := s.cache.blocks[a], s.cache.blocks[b]; ga != gb {
			return int(ga) - int(gb)
		}
		if a < b {
			return -1
		}
		return 1
	})
	for _, h := range hashes[:len(hashes)-limit] {
		x.remove(s, h)
	}
}

// holders returns the endpoints that hold the longest known part of the prefix. Engines evict the end of a prefix before
// its start, so a binary search finds the last known block.
func (x cacheIndex) holders(prefix []uint64) []*endpointState {
	depth := sort.Search(len(prefix), func(i int) bool { return len(x[prefix[i]]) == 0 })
	if depth == 0 {
		return nil
	}
	return x[prefix[depth-1]]
}

// expectedHit returns the expected number of prompt tokens in the endpoint's cache.
func (s *endpointState) expectedHit(prefix []uint64, now time.Time) int {
	if len(prefix) == 0 || len(s.cache.blocks) == 0 {
		return 0
	}
	depth := sort.Search(len(prefix), func(i int) bool {
		_, known := s.cache.blocks[prefix[i]]
		return !known
	})
	if depth == 0 {
		return 0
	}
	hit := s.cache.probability(s.cache.blocks[prefix[depth-1]], now)
	if hit < minHit {
		return 0
	}
	return int(hit * float64(depth*BlockTokens))
}

// probability returns the probability that a block is still there whose event came after the given number of gaps.
func (c *cacheState) probability(gapsBefore uint32, now time.Time) float64 {
	hit := 1.0
	if missed := c.gaps - gapsBefore; missed > 0 {
		hit = math.Pow(gapFactor, float64(missed))
	}
	if !c.unconfirmed.IsZero() {
		hit *= math.Exp(-now.Sub(c.unconfirmed).Seconds() / lateTime.Seconds())
	}
	return hit
}
