package peer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// demandStep is the relative change of a demand below which it is not sent again. Limits are held within 10%.
const demandStep = 0.03

// maxDeaths bounds deaths that wait for a slow neighbour.
const maxDeaths = 256

const (
	// smallFleetEntries and largeFleetEntries bound the demands and sends that a gateway tells all its neighbours a second. While every
	// gateway is a neighbour, they decide limits and choices exactly. In a larger fleet the neighbours are a small part of it, and 24
	// sends of 25 bytes are 0.6 KB/s of the 6 KB/s that a node may use; demands go to the gateway that divides the limits.
	smallFleetEntries = 128
	largeFleetEntries = 24
	// entryBurst is the number of entries that one neighbour may be told at once.
	entryBurst = 16
)

// outbox holds what one neighbour has not been told yet. Its size is bounded by the numbers of teams and endpoints.
type outbox struct {
	// rate is the number of demands, and of sends, that the neighbour may be told a second.
	rate float64

	mu         sync.Mutex
	budgetAt   time.Time
	demands    float64
	sendsLeft  float64
	demand     map[string]*peerpb.TeamDemand
	told       map[string]*peerpb.TeamDemand
	sends      map[string]balancer.LoadDelta
	quarantine map[uint64]time.Duration
	toldUntil  map[uint64]time.Time
	deaths     []EndpointDeath
}

// newOutbox starts empty, so a new conversation begins with the whole demand and quarantine.
func newOutbox(rate float64) *outbox {
	return &outbox{rate: rate, budgetAt: time.Now(), demands: entryBurst, sendsLeft: entryBurst,
		told: make(map[string]*peerpb.TeamDemand), sends: make(map[string]balancer.LoadDelta),
		toldUntil: make(map[uint64]time.Time)}
}

func (o *outbox) add(demand map[string]*peerpb.TeamDemand, sends map[string]balancer.LoadDelta, quarantine map[uint64]time.Duration, deaths []EndpointDeath) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.demand, o.quarantine = demand, quarantine
	for name, s := range sends {
		sum := o.sends[name]
		o.sends[name] = balancer.LoadDelta{PromptTokens: sum.PromptTokens + s.PromptTokens, Requests: sum.Requests + s.Requests}
	}
	o.deaths = append(o.deaths, deaths...)
	o.deaths = o.deaths[max(0, len(o.deaths)-maxDeaths):]
}

// next returns the untold changes as a message, or nil when there are none.
func (o *outbox) next() *peerpb.PeerUpdate {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refill()
	u := &peerpb.PeerUpdate{Demand: o.demandChanges(), Quarantined: o.quarantineChanges()}
	for _, name := range o.largestSends() {
		s := o.sends[name]
		u.Sends = append(u.Sends, &peerpb.EndpointSend{Endpoint: name, PromptTokens: s.PromptTokens, Requests: int32(s.Requests)})
	}
	clear(o.sends)
	for _, d := range o.deaths {
		u.Deaths = append(u.Deaths, &peerpb.EndpointDeath{Fingerprint: d.Fingerprint, Endpoint: d.Endpoint})
	}
	o.deaths = nil
	if len(u.Demand)+len(u.Quarantined)+len(u.Sends)+len(u.Deaths) == 0 {
		return nil
	}
	return u
}

func (o *outbox) refill() {
	more := o.rate * time.Since(o.budgetAt).Seconds()
	o.budgetAt = time.Now()
	o.demands, o.sendsLeft = min(entryBurst, o.demands+more), min(entryBurst, o.sendsLeft+more)
}

// largestSends returns the endpoints with the most prompt tokens, as far as the budget goes. The others are dropped: told late they would
// count work that reports already contain.
func (o *outbox) largestSends() []string {
	names := slices.Sorted(maps.Keys(o.sends))
	if n := int(o.sendsLeft); len(names) > n {
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(o.sends[b].PromptTokens, o.sends[a].PromptTokens) })
		names = names[:n]
	}
	o.sendsLeft -= float64(len(names))
	return names
}

// demandChanges returns the demands that moved most, as far as the budget goes. The others stay untold until a later message.
func (o *outbox) demandChanges() []*peerpb.TeamDemand {
	var changed []*peerpb.TeamDemand
	for team, d := range o.demand {
		if t, ok := o.told[team]; ok && !moved(t.TokensPerSecond, d.TokensPerSecond) &&
			!moved(t.RequestsPerSecond, d.RequestsPerSecond) && t.Concurrent == d.Concurrent {
			continue
		}
		changed = append(changed, &peerpb.TeamDemand{Team: team, TokensPerSecond: d.TokensPerSecond,
			RequestsPerSecond: d.RequestsPerSecond, Concurrent: d.Concurrent})
	}
	for team := range o.told {
		if _, ok := o.demand[team]; !ok {
			changed = append(changed, &peerpb.TeamDemand{Team: team})
		}
	}
	if n := int(o.demands); len(changed) > n {
		slices.SortFunc(changed, func(a, b *peerpb.TeamDemand) int {
			return cmp.Or(cmp.Compare(o.distance(b), o.distance(a)), cmp.Compare(a.Team, b.Team))
		})
		changed = changed[:n]
	}
	o.demands -= float64(len(changed))
	for _, c := range changed {
		o.told[c.Team] = c
		if o.demand[c.Team] == nil {
			delete(o.told, c.Team)
		}
	}
	return changed
}

// distance is how far a demand is from what the neighbour was told, in tokens a second.
func (o *outbox) distance(d *peerpb.TeamDemand) float64 {
	return math.Abs(d.TokensPerSecond - o.told[d.Team].GetTokensPerSecond())
}

func moved(from, to float64) bool {
	return math.Abs(to-from) > demandStep*math.Max(math.Abs(from), math.Abs(to))
}

// quarantineChanges tells each fingerprint once for as long as its quarantine lasts.
func (o *outbox) quarantineChanges() []*peerpb.Quarantined {
	var changed []*peerpb.Quarantined
	now := time.Now()
	for fingerprint, left := range o.quarantine {
		if now.Add(left).Before(o.toldUntil[fingerprint].Add(time.Second)) {
			continue
		}
		o.toldUntil[fingerprint] = now.Add(left)
		changed = append(changed, &peerpb.Quarantined{Fingerprint: fingerprint, Seconds: int32(math.Ceil(left.Seconds()))})
	}
	maps.DeleteFunc(o.toldUntil, func(_ uint64, until time.Time) bool { return now.After(until) })
	return changed
}
