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

// minDemandChange is the relative change of a demand below which it is not sent again. Limits are enforced to within 10%.
const minDemandChange = 0.03

// maxQueuedDeaths bounds the endpoint deaths queued for a slow neighbour.
const maxQueuedDeaths = 256

const (
	// smallFleetEntriesPerSecond and largeFleetEntriesPerSecond bound the demands, and the load deltas, that a gateway sends to all its
	// neighbours together. While every gateway is a neighbour, limits and endpoint choices are computed from exactly these entries. In a
	// larger fleet the neighbours are a small part of it: 24 load deltas of 25 bytes are 0.6 KB/s of the 6 KB/s that a node may use, and
	// demands go to the gateway that divides the limits.
	smallFleetEntriesPerSecond = 128
	largeFleetEntriesPerSecond = 24
	// entryBurst is the number of entries that may be sent to one neighbour at once.
	entryBurst = 16
)

// outbox holds the changes that have not been sent to one neighbour yet. Its size is bounded by the numbers of teams and endpoints.
type outbox struct {
	// rate is the number of demands, and of load deltas, that may be sent to the neighbour per second.
	rate float64

	mu         sync.Mutex
	refilledAt time.Time
	// demandBudget and loadBudget are the numbers of demands and load deltas that may be sent now.
	demandBudget float64
	loadBudget   float64
	demand       map[string]*peerpb.TeamDemand
	sentDemand   map[string]*peerpb.TeamDemand
	loadDeltas   map[string]balancer.LoadDelta
	quarantine   map[uint64]time.Duration
	// quarantineSentUntil is the end of each quarantine as last sent.
	quarantineSentUntil map[uint64]time.Time
	deaths              []EndpointDeath
}

// newOutbox returns an empty outbox, so a new exchange starts by sending all demand and quarantines.
func newOutbox(rate float64) *outbox {
	return &outbox{rate: rate, refilledAt: time.Now(), demandBudget: entryBurst, loadBudget: entryBurst,
		sentDemand: make(map[string]*peerpb.TeamDemand), loadDeltas: make(map[string]balancer.LoadDelta),
		quarantineSentUntil: make(map[uint64]time.Time)}
}

// add replaces the demand and quarantines and adds load deltas and deaths.
func (o *outbox) add(demand map[string]*peerpb.TeamDemand, loadDeltas map[string]balancer.LoadDelta, quarantine map[uint64]time.Duration, deaths []EndpointDeath) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.demand, o.quarantine = demand, quarantine
	for name, delta := range loadDeltas {
		sum := o.loadDeltas[name]
		o.loadDeltas[name] = balancer.LoadDelta{PromptTokens: sum.PromptTokens + delta.PromptTokens, Requests: sum.Requests + delta.Requests}
	}
	o.deaths = append(o.deaths, deaths...)
	o.deaths = o.deaths[max(0, len(o.deaths)-maxQueuedDeaths):]
}

// nextUpdate returns the unsent changes, as far as the budgets allow, as a message, or nil if there are none.
func (o *outbox) nextUpdate() *peerpb.PeerUpdate {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refillBudgets()
	u := &peerpb.PeerUpdate{Demand: o.demandChanges(), Quarantined: o.quarantineChanges()}
	for _, name := range o.largestLoadDeltas() {
		delta := o.loadDeltas[name]
		u.Sends = append(u.Sends, &peerpb.EndpointSend{Endpoint: name, PromptTokens: delta.PromptTokens, Requests: int32(delta.Requests)})
	}
	clear(o.loadDeltas)
	for _, d := range o.deaths {
		u.Deaths = append(u.Deaths, &peerpb.EndpointDeath{Fingerprint: d.Fingerprint, Endpoint: d.Endpoint})
	}
	o.deaths = nil
	if len(u.Demand)+len(u.Quarantined)+len(u.Sends)+len(u.Deaths) == 0 {
		return nil
	}
	return u
}

// refillBudgets adds the entries that have become available since the last refill.
func (o *outbox) refillBudgets() {
	added := o.rate * time.Since(o.refilledAt).Seconds()
	o.refilledAt = time.Now()
	o.demandBudget, o.loadBudget = min(entryBurst, o.demandBudget+added), min(entryBurst, o.loadBudget+added)
}

// largestLoadDeltas returns the endpoints with the most prompt tokens, as far as the budget allows. The others are dropped, because a
// late load delta would count work that the endpoint's report already includes.
func (o *outbox) largestLoadDeltas() []string {
	names := slices.Sorted(maps.Keys(o.loadDeltas))
	if n := int(o.loadBudget); len(names) > n {
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(o.loadDeltas[b].PromptTokens, o.loadDeltas[a].PromptTokens) })
		names = names[:n]
	}
	o.loadBudget -= float64(len(names))
	return names
}

// demandChanges returns the demands with the largest changes, as far as the budget allows. The others wait for a later message.
func (o *outbox) demandChanges() []*peerpb.TeamDemand {
	var changed []*peerpb.TeamDemand
	for team, d := range o.demand {
		if sent, ok := o.sentDemand[team]; ok && !exceedsMinChange(sent.TokensPerSecond, d.TokensPerSecond) &&
			!exceedsMinChange(sent.RequestsPerSecond, d.RequestsPerSecond) && sent.Concurrent == d.Concurrent {
			continue
		}
		changed = append(changed, &peerpb.TeamDemand{Team: team, TokensPerSecond: d.TokensPerSecond,
			RequestsPerSecond: d.RequestsPerSecond, Concurrent: d.Concurrent})
	}
	for team := range o.sentDemand {
		if _, ok := o.demand[team]; !ok {
			changed = append(changed, &peerpb.TeamDemand{Team: team})
		}
	}
	if n := int(o.demandBudget); len(changed) > n {
		slices.SortFunc(changed, func(a, b *peerpb.TeamDemand) int {
			return cmp.Or(cmp.Compare(o.demandDifference(b), o.demandDifference(a)), cmp.Compare(a.Team, b.Team))
		})
		changed = changed[:n]
	}
	o.demandBudget -= float64(len(changed))
	for _, c := range changed {
		o.sentDemand[c.Team] = c
		if o.demand[c.Team] == nil {
			delete(o.sentDemand, c.Team)
		}
	}
	return changed
}

// demandDifference returns the difference between a demand and the last one sent to the neighbour, in tokens per second.
func (o *outbox) demandDifference(d *peerpb.TeamDemand) float64 {
	return math.Abs(d.TokensPerSecond - o.sentDemand[d.Team].GetTokensPerSecond())
}

// exceedsMinChange reports whether two values differ by more than minDemandChange relative to the larger one.
func exceedsMinChange(from, to float64) bool {
	return math.Abs(to-from) > minDemandChange*math.Max(math.Abs(from), math.Abs(to))
}

// quarantineChanges returns the fingerprints whose quarantine has not been sent or has since been extended by a second or more.
func (o *outbox) quarantineChanges() []*peerpb.Quarantined {
	var changed []*peerpb.Quarantined
	now := time.Now()
	for fingerprint, remaining := range o.quarantine {
		if now.Add(remaining).Before(o.quarantineSentUntil[fingerprint].Add(time.Second)) {
			continue
		}
		o.quarantineSentUntil[fingerprint] = now.Add(remaining)
		changed = append(changed, &peerpb.Quarantined{Fingerprint: fingerprint, Seconds: int32(math.Ceil(remaining.Seconds()))})
	}
	maps.DeleteFunc(o.quarantineSentUntil, func(_ uint64, until time.Time) bool { return now.After(until) })
	return changed
}
