package balancer

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// gapRetention is the assumed probability that a block is still cached after one gap in the cache events.
	gapRetention = 0.6
	// unconfirmedDecayTime is the time constant with which the probability of a hit decays from the first dispatch after the last cache
	// event. An idle endpoint evicts nothing, so time without a dispatch does not count.
	unconfirmedDecayTime = 10 * time.Second
	// minHitProbability is the probability of a hit below which cached tokens count as 0.
	minHitProbability = 0.05
)

// cacheIndex maps a block hash to the endpoints that hold the block according to their cache events.
type cacheIndex map[uint64][]*endpointState

// cacheState is the content of an endpoint's prefix cache according to its cache events.
type cacheState struct {
	// blocks maps the hash of each cached block to the value of gaps when the block's event arrived.
	blocks map[uint64]uint32
	// gaps is the number of gaps in the cache events so far.
	gaps uint32
	// unconfirmedSince is the time of the first dispatch after the last event; zero when there was none.
	unconfirmedSince time.Time
}

func (c *cacheState) recordDispatch(at time.Time) {
	if c.unconfirmedSince.IsZero() {
		c.unconfirmedSince = at
	}
}

// ApplyCacheEvent records prefix blocks that an endpoint stored and removed. With reset, all earlier blocks of the endpoint are removed first.
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
	s.cache.unconfirmedSince = time.Time{}
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

// RecordCacheGap records that cache events of an endpoint were lost. Blocks from earlier events are then less likely to count as cached.
func (b *Balancer) RecordCacheGap(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[endpoint]; s != nil {
		s.cache.gaps++
	}
}

func (x cacheIndex) add(s *endpointState, h uint64) {
	if _, cached := s.cache.blocks[h]; !cached {
		x[h] = append(x[h], s)
	}
	s.cache.blocks[h] = s.cache.gaps
}

func (x cacheIndex) remove(s *endpointState, h uint64) {
	if _, cached := s.cache.blocks[h]; !cached {
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

// trim removes excess blocks of an endpoint that seems to hold more than 1.25 times its KV memory. The excess results from lost removal
// events, so the blocks recorded before the most gaps are removed first.
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

// holders returns the endpoints that hold the longest cached part of the prefix. Engines evict the end of a prefix before its start, so a
// binary search finds the last cached block.
func (x cacheIndex) holders(prefix []uint64) []*endpointState {
	depth := sort.Search(len(prefix), func(i int) bool { return len(x[prefix[i]]) == 0 })
	if depth == 0 {
		return nil
	}
	return x[prefix[depth-1]]
}

// expectedCachedTokens returns the expected number of prompt tokens in the endpoint's prefix cache.
func (s *endpointState) expectedCachedTokens(prefix []uint64, now time.Time) int {
	if len(prefix) == 0 || len(s.cache.blocks) == 0 {
		return 0
	}
	depth := sort.Search(len(prefix), func(i int) bool {
		_, cached := s.cache.blocks[prefix[i]]
		return !cached
	})
	if depth == 0 {
		return 0
	}
	probability := s.cache.hitProbability(s.cache.blocks[prefix[depth-1]], now)
	if probability < minHitProbability {
		return 0
	}
	return int(probability * float64(depth*TokensPerBlock))
}

// hitProbability returns the probability that a block is still cached. gapsBefore is the value of c.gaps when the block's event arrived.
func (c *cacheState) hitProbability(gapsBefore uint32, now time.Time) float64 {
	probability := 1.0
	if gapsSince := c.gaps - gapsBefore; gapsSince > 0 {
		probability = math.Pow(gapRetention, float64(gapsSince))
	}
	if !c.unconfirmedSince.IsZero() {
		probability *= math.Exp(-now.Sub(c.unconfirmedSince).Seconds() / unconfirmedDecayTime.Seconds())
	}
	return probability
}
