package balancer

import (
	"math"
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/membership"
)

const (
	// baseSubset is the number of endpoints over which a gateway routes a pool. Each endpoint costs load reports, and a
	// node may spend 6 KB/s; pools of today's size are used whole.
	baseSubset = 40
	// pressureWait is the predicted first-token time in seconds from which a choice counts as made under pressure: half of
	// the default first-token target.
	pressureWait = 0.17
	// pressureChoices is the number of choices in a row under pressure that widen the subset.
	pressureChoices = 8
	// calmTime without pressure halves a widened subset.
	calmTime = 30 * time.Second
	// headroom is the part of each endpoint that work of teams above their share leaves free for the others.
	headroom = 0.15
)

// pool is a pool's endpoints in this gateway's rendezvous order; a subset is a prefix of it.
type pool struct {
	name string
	// owns is the balancer's, or nil.
	owns      func(endpoint string) bool
	members   []*endpointState
	unordered bool
	widened   int // the base subset is doubled so many times
	pressed   int // choices in a row under pressure
	changedAt time.Time
	// meanPieces and meanTokens are moving averages of the KV pieces and the uncached prompt tokens of a request.
	meanPieces float64
	meanTokens float64
	// resortAt is the time from which an ejected endpoint may be tried as a last resort.
	resortAt time.Time
}

// sizeWeight is the weight of the newest request in the moving averages of sizes.
const sizeWeight = 0.02

func (p *pool) noteSize(w work) {
	if p.meanPieces == 0 {
		p.meanPieces, p.meanTokens = float64(w.pieces), w.tokens
		return
	}
	p.meanPieces += sizeWeight * (float64(w.pieces) - p.meanPieces)
	p.meanTokens += sizeWeight * (w.tokens - p.meanTokens)
}

// order sorts the members by their rendezvous weight for this gateway. Gateways with different keys get different subsets,
// and a change of one member moves only that member.
func (p *pool) order(key string) {
	if !p.unordered {
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
	p.unordered = false
}

func (p *pool) subsetSize() int { return min(len(p.members), baseSubset<<p.widened) }

// widen doubles the subset. It returns false when the subset is the whole pool.
func (p *pool) widen(now time.Time) bool {
	if p.subsetSize() == len(p.members) {
		return false
	}
	p.widened++
	p.pressed = 0
	p.changedAt = now
	return true
}

// narrow halves a widened subset after a calm time.
func (p *pool) narrow(now time.Time) {
	if p.widened > 0 && now.Sub(p.changedAt) > calmTime {
		p.widened--
		p.changedAt = now
	}
}

// notePressure widens the subset after several choices in a row with a long predicted wait.
func (p *pool) notePressure(now time.Time, wait float64) {
	if wait < pressureWait {
		p.pressed = 0
		return
	}
	p.changedAt = now
	if p.pressed++; p.pressed >= pressureChoices {
		p.widen(now)
		p.pressed = 0
	}
}

// Subset returns the names of the endpoints over which this gateway routes a pool at present.
func (b *Balancer) Subset(poolName string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[poolName]
	if p == nil {
		return nil
	}
	p.order(b.subsetKey)
	names := make([]string, 0, p.subsetSize())
	for _, m := range p.members[:p.subsetSize()] {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// Capacity returns what this gateway may use of a pool that it shares with the given number of gateways, itself included,
// for admission: the requests that it may have in progress and the pool's prefill rate in tokens a second divided among the
// gateways. Free slots are divided evenly on top of the requests in progress, so capacity follows demand between gateways.
func (b *Balancer) Capacity(poolName string, gateways int) (concurrent int, tokensPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	gateways = max(1, gateways)
	c := b.capacity(poolName, (*endpointState).freePlaces)
	if !c.open {
		return b.resortCapacity(poolName, c.own, gateways)
	}
	share := max(0, (c.free+c.untold+gateways-1)/gateways-c.untold)
	return max(1, c.own+share), c.rate / float64(gateways)
}

// SurplusCapacity returns how many requests this gateway may have in progress at a pool when it admits work of a team that is
// above its share, and how many all gateways have in progress there. The first leaves headroom on each endpoint, so it is below
// the requests in progress while the headroom is in use.
func (b *Balancer) SurplusCapacity(poolName string, gateways int) (concurrent, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	gateways = max(1, gateways)
	c := b.capacity(poolName, (*endpointState).surplusPlaces)
	if !c.open {
		return 0, c.running
	}
	share := int(math.Floor(float64(c.free+c.untold)/float64(gateways))) - c.untold
	return max(0, c.own+share), c.running
}

// poolCapacity is what is known of a pool's capacity.
type poolCapacity struct {
	own, free, untold int
	running           int     // requests in progress of all gateways
	rate              float64 // prefill tokens a second
	open              bool    // an endpoint takes work
}

// capacity sums the free places of a pool's endpoints. Only endpoints of the subset report their load here; they stand for the
// others.
func (b *Balancer) capacity(poolName string, places func(*endpointState, time.Time) float64) poolCapacity {
	var c poolCapacity
	p := b.pools[poolName]
	if p == nil {
		return c
	}
	now := time.Now()
	for _, s := range p.members {
		c.own += s.ownRequests
	}
	p.order(b.subsetKey)
	subset := p.members[:p.subsetSize()]
	if len(subset) == 0 {
		return c
	}
	free, running := 0.0, 0
	for _, s := range subset {
		running += s.running()
		// Neighbours count the places that this gateway has taken since the last exchange as free, so they are part of what is
		// divided and of this gateway's share.
		c.untold += b.pending[s.Name].Requests
		if !s.serves(&Request{}) || s.ejection.excluded(now) {
			continue
		}
		c.open = true
		c.rate += s.prefillRate()
		free += places(s, now)
	}
	scale := float64(len(p.members)) / float64(len(subset))
	c.running = int(float64(running) * scale)
	c.free = int(math.Floor(free * scale))
	c.rate *= scale
	return c
}

// resortCapacity is the capacity of a pool whose endpoints are all ejected: room for one trial when it is due. While a request is in
// progress others wait for its outcome.
func (b *Balancer) resortCapacity(poolName string, own, gateways int) (concurrent int, tokensPerSecond float64) {
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
	if !time.Now().Before(p.resortAt) {
		own++
	}
	return own, tokensPerSecond / float64(gateways)
}

// defaultSlots is assumed for an endpoint that does not report its slots.
const defaultSlots = 32

// freePlaces returns how many more requests of the pool's mean size the endpoint takes: by slots, memory and prefill queue.
func (s *endpointState) freePlaces(now time.Time) float64 {
	slots := s.Load.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	free := slots - s.running()
	if s.Load.KVTotal > 0 && s.pool.meanPieces >= 1 {
		free = min(free, int(float64(s.freePieces())/s.pool.meanPieces))
	}
	queue := s.queueTime(now)
	if s.pool.meanTokens > 0 {
		// One request may begin while the queue is below its limit, however long it is itself.
		free = min(free, 1+int((maxQueueTime-queue)*s.prefillRate()/s.pool.meanTokens))
	}
	if queue > maxQueueTime {
		return 0
	}
	return float64(max(0, free))
}

// surplusPlaces is freePlaces less the headroom. It is negative while the headroom is in use.
func (s *endpointState) surplusPlaces(now time.Time) float64 {
	slots := s.Load.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	free := float64(slots)*(1-headroom) - float64(s.running())
	if s.Load.KVTotal > 0 && s.pool.meanPieces >= 1 {
		free = min(free, (float64(s.freePieces())-headroom*float64(s.Load.KVTotal))/s.pool.meanPieces)
	}
	if s.pool.meanTokens > 0 {
		free = min(free, 1-headroom-s.queueTime(now)*s.prefillRate()/s.pool.meanTokens)
	}
	return free
}
