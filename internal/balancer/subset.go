package balancer

import (
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
	p := b.pools[poolName]
	if p == nil {
		return 0, 0
	}
	gateways = max(1, gateways)
	now := time.Now()
	own, free, untold, open := 0, 0, 0, false
	for _, s := range p.members {
		own += s.ownRequests
	}
	// Only endpoints of the subset report their load here; they stand for the others.
	p.order(b.subsetKey)
	subset := p.members[:p.subsetSize()]
	for _, s := range subset {
		untold += b.pending[s.Name].Requests
		if !s.serves(&Request{}) || s.ejection.excluded(now) {
			continue
		}
		open = true
		tokensPerSecond += s.prefillRate()
		free += s.freePlaces(now)
	}
	if !open {
		return p.resortCapacity(own, now, gateways)
	}
	// Neighbours count the places that this gateway has taken since the last exchange as free, so they are part of what is
	// divided and of this gateway's share.
	free = free * len(p.members) / len(subset)
	tokensPerSecond *= float64(len(p.members)) / float64(len(subset))
	share := max(0, (free+untold+gateways-1)/gateways-untold)
	return max(1, own+share), tokensPerSecond / float64(gateways)
}

// resortCapacity is the capacity of a pool whose endpoints are all ejected: room for one trial when it is due. While a request is in
// progress others wait for its outcome.
func (p *pool) resortCapacity(own int, now time.Time, gateways int) (concurrent int, tokensPerSecond float64) {
	for _, s := range p.members {
		if s.serves(&Request{}) {
			tokensPerSecond += s.prefillRate()
		}
	}
	if tokensPerSecond == 0 {
		return 0, 0
	}
	if !now.Before(p.resortAt) {
		own++
	}
	return own, tokensPerSecond / float64(gateways)
}

// defaultSlots is assumed for an endpoint that does not report its slots.
const defaultSlots = 32

// freePlaces returns how many more requests of the pool's mean size the endpoint takes: by slots, memory and prefill queue.
func (s *endpointState) freePlaces(now time.Time) int {
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
	return max(0, free)
}
