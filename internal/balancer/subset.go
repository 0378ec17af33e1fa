package balancer

import (
	"math"
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/membership"
)

const (
	// baseSubsetSize is the number of endpoints over which a gateway routes a pool. Each endpoint costs bandwidth for load reports, of
	// which a node may use 6 KB/s. A gateway uses all endpoints of a pool that has no more than this.
	baseSubsetSize = 40
	// pressureWaitSeconds is the predicted time to the first token from which a choice counts as made under pressure. It is half of the
	// default first-token target.
	pressureWaitSeconds = 0.17
	// choicesUntilWidening is the number of choices in a row under pressure after which the subset is widened.
	choicesUntilWidening = 8
	// narrowDelay is the time after the last choice under pressure until a widened subset is halved.
	narrowDelay = 30 * time.Second
	// headroomFraction is the fraction of each endpoint's capacity that is reserved for teams within their share.
	headroomFraction = 0.15
)

// pool is a pool with its endpoints in this gateway's rendezvous order. The subset is the first subsetSize members.
type pool struct {
	name string
	// ownsEndpoint is copied from the balancer; it may be nil.
	ownsEndpoint     func(endpoint string) bool
	members          []*endpointState
	unsorted         bool
	doublings        int       // the subset has baseSubsetSize << doublings members, or all
	pressuredChoices int       // choices in a row under pressure
	lastPressureAt   time.Time // last choice under pressure or change of the subset's size
	// meanKVBlocks and meanTokens are moving averages of the KV blocks and the uncached prompt tokens of a request.
	meanKVBlocks float64
	meanTokens   float64
	// nextLastResort is the time from which a request may go to an ejected endpoint as a last resort.
	nextLastResort time.Time
}

// sizeWeight is the weight of the latest request in the moving averages of request sizes.
const sizeWeight = 0.02

// recordSize updates the moving averages of request sizes.
func (p *pool) recordSize(w work) {
	if p.meanKVBlocks == 0 {
		p.meanKVBlocks, p.meanTokens = float64(w.kvBlocks), w.uncachedTokens
		return
	}
	p.meanKVBlocks += sizeWeight * (float64(w.kvBlocks) - p.meanKVBlocks)
	p.meanTokens += sizeWeight * (w.uncachedTokens - p.meanTokens)
}

// sortMembers sorts the members by their rendezvous weight for this gateway. Gateways with different keys get different subsets, and adding
// or removing a member doesn't change the order of the others.
func (p *pool) sortMembers(key string) {
	if !p.unsorted {
		return
	}
	names := make([]string, len(p.members))
	byName := make(map[string]*endpointState, len(p.members))
	for i, m := range p.members {
		names[i] = m.Name
		byName[m.Name] = m
	}
	for i, name := range membership.Rendezvous(key+p.name, names, len(names)) {
		p.members[i] = byName[name]
	}
	p.unsorted = false
}

func (p *pool) subsetSize() int { return min(len(p.members), baseSubsetSize<<p.doublings) }

// widen doubles the subset. It returns false when the subset is the whole pool.
func (p *pool) widen(now time.Time) bool {
	if p.subsetSize() == len(p.members) {
		return false
	}
	p.doublings++
	p.pressuredChoices = 0
	p.lastPressureAt = now
	return true
}

// narrow halves a widened subset after narrowDelay without pressure.
func (p *pool) narrow(now time.Time) {
	if p.doublings > 0 && now.Sub(p.lastPressureAt) > narrowDelay {
		p.doublings--
		p.lastPressureAt = now
	}
}

// recordPressure records the predicted seconds to the first token of a choice, and widens the subset after choicesUntilWidening choices in
// a row under pressure.
func (p *pool) recordPressure(now time.Time, seconds float64) {
	if seconds < pressureWaitSeconds {
		p.pressuredChoices = 0
		return
	}
	p.lastPressureAt = now
	if p.pressuredChoices++; p.pressuredChoices >= choicesUntilWidening {
		p.widen(now)
		p.pressuredChoices = 0
	}
}

// Subset returns the sorted names of the endpoints over which this gateway currently routes a pool.
func (b *Balancer) Subset(poolName string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[poolName]
	if p == nil {
		return nil
	}
	p.sortMembers(b.subsetKey)
	names := make([]string, 0, p.subsetSize())
	for _, m := range p.members[:p.subsetSize()] {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// Capacity returns this gateway's part of the capacity of a pool that it shares with the given number of gateways, including itself: the
// number of requests that admission may have in progress, and its share of the pool's prefill rate in tokens per second. Only the free
// capacity is divided evenly, and each gateway keeps its requests in progress, so the capacity of a gateway follows its demand.
func (b *Balancer) Capacity(poolName string, gateways int) (concurrent int, tokensPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	gateways = max(1, gateways)
	c := b.capacity(poolName, (*endpointState).freeCapacity)
	if !c.available {
		return b.lastResortCapacity(poolName, c.own, gateways)
	}
	share := max(0, (c.free+c.unreported+gateways-1)/gateways-c.unreported)
	return max(1, c.own+share), c.rate / float64(gateways)
}

// SurplusCapacity returns two numbers for a pool: up to how many requests in progress this gateway may admit requests of teams above their
// share, and how many requests all gateways have in progress. The first leaves headroom on each endpoint, so it is below the number of
// requests in progress while the headroom is in use.
func (b *Balancer) SurplusCapacity(poolName string, gateways int) (concurrent, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	gateways = max(1, gateways)
	c := b.capacity(poolName, (*endpointState).freeSurplusCapacity)
	if !c.available {
		return 0, c.running
	}
	share := int(math.Floor(float64(c.free+c.unreported)/float64(gateways))) - c.unreported
	return max(0, c.own+share), c.running
}

// poolCapacity is the predicted capacity of a pool.
type poolCapacity struct {
	// own is the number of this gateway's requests in progress, free the free capacity for all gateways in requests, and unreported the
	// number of requests dispatched minus those ended by this gateway since the last exchange with its peers.
	own, free, unreported int
	running               int     // requests in progress of all gateways
	rate                  float64 // prefill tokens per second
	available             bool    // true when an endpoint of the subset accepts work
}

// capacity sums the free capacity of a pool's endpoints, as given by freeCapacity. Only endpoints of the subset report their load here, so
// their sums are scaled up to the size of the pool.
func (b *Balancer) capacity(poolName string, freeCapacity func(*endpointState, time.Time) float64) poolCapacity {
	var c poolCapacity
	p := b.pools[poolName]
	if p == nil {
		return c
	}
	now := time.Now()
	for _, s := range p.members {
		c.own += s.ownRequests
	}
	p.sortMembers(b.subsetKey)
	subset := p.members[:p.subsetSize()]
	if len(subset) == 0 {
		return c
	}
	free, running := 0.0, 0
	for _, s := range subset {
		running += s.running()
		// Peers count the capacity that this gateway has used since the last exchange as free. It is therefore added to what is divided,
		// and subtracted from this gateway's share.
		c.unreported += b.pendingDeltas[s.Name].Requests
		if !s.serves(&Request{}) || s.ejection.excluded(now) {
			continue
		}
		c.available = true
		c.rate += s.prefillRate()
		free += freeCapacity(s, now)
	}
	scale := float64(len(p.members)) / float64(len(subset))
	c.running = int(float64(running) * scale)
	c.free = int(math.Floor(free * scale))
	c.rate *= scale
	return c
}

// lastResortCapacity returns the capacity of a pool whose endpoints are all ejected: the own requests in progress, and one more when a
// request may go to an ejected endpoint as a last resort. Until then, other requests wait for the outcome of those in progress.
func (b *Balancer) lastResortCapacity(poolName string, own, gateways int) (concurrent int, tokensPerSecond float64) {
	p := b.pools[poolName]
	if p == nil {
		return 0, 0
	}
	for _, s := range p.members {
		if s.serves(&Request{}) {
			tokensPerSecond += s.prefillRate()
		}
	}
	if tokensPerSecond == 0 {
		return 0, 0
	}
	if !time.Now().Before(p.nextLastResort) {
		own++
	}
	return own, tokensPerSecond / float64(gateways)
}

// defaultSlots is assumed for an endpoint that does not report its slots.
const defaultSlots = 32

// freeCapacity returns how many more requests of the pool's mean size the endpoint can take, bounded by its slots, KV memory and prefill
// queue.
func (s *endpointState) freeCapacity(now time.Time) float64 {
	slots := s.Load.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	free := slots - s.running()
	if s.Load.KVTotal > 0 && s.pool.meanKVBlocks >= 1 {
		free = min(free, int(float64(s.freeKVBlocks())/s.pool.meanKVBlocks))
	}
	queue := s.queueSeconds(now)
	if s.pool.meanTokens > 0 {
		// While the queue is below maxQueueSeconds, one more request of any size may start.
		free = min(free, 1+int((maxQueueSeconds-queue)*s.prefillRate()/s.pool.meanTokens))
	}
	if queue > maxQueueSeconds {
		return 0
	}
	return float64(max(0, free))
}

// freeSurplusCapacity returns how many more requests of teams above their share the endpoint can take. It leaves the headroom free and is
// negative while the headroom is in use.
func (s *endpointState) freeSurplusCapacity(now time.Time) float64 {
	slots := s.Load.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	free := float64(slots)*(1-headroomFraction) - float64(s.running())
	if s.Load.KVTotal > 0 && s.pool.meanKVBlocks >= 1 {
		free = min(free, (float64(s.freeKVBlocks())-headroomFraction*float64(s.Load.KVTotal))/s.pool.meanKVBlocks)
	}
	if s.pool.meanTokens > 0 {
		free = min(free, 1-headroomFraction-s.queueSeconds(now)*s.prefillRate()/s.pool.meanTokens)
	}
	return free
}
