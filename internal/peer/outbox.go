package peer

import (
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

// outbox holds what one neighbour has not been told yet. Its size is bounded by the numbers of teams and endpoints.
type outbox struct {
	mu         sync.Mutex
	demand     map[string]*peerpb.TeamDemand
	told       map[string]*peerpb.TeamDemand
	sends      map[string]balancer.Send
	quarantine map[uint64]time.Duration
	toldUntil  map[uint64]time.Time
	deaths     []Death
}

// newOutbox starts empty, so a new conversation begins with the whole demand and quarantine.
func newOutbox() *outbox {
	return &outbox{told: make(map[string]*peerpb.TeamDemand), sends: make(map[string]balancer.Send),
		toldUntil: make(map[uint64]time.Time)}
}

func (o *outbox) add(demand map[string]*peerpb.TeamDemand, sends map[string]balancer.Send, quarantine map[uint64]time.Duration, deaths []Death) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.demand, o.quarantine = demand, quarantine
	for name, s := range sends {
		sum := o.sends[name]
		o.sends[name] = balancer.Send{PromptTokens: sum.PromptTokens + s.PromptTokens, Requests: sum.Requests + s.Requests}
	}
	o.deaths = append(o.deaths, deaths...)
	o.deaths = o.deaths[max(0, len(o.deaths)-maxDeaths):]
}

// next returns the untold changes as a message, or nil when there are none.
func (o *outbox) next() *peerpb.PeerUpdate {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := &peerpb.PeerUpdate{Demand: o.demandChanges(), Quarantined: o.quarantineChanges()}
	for _, name := range slices.Sorted(maps.Keys(o.sends)) {
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

func (o *outbox) demandChanges() []*peerpb.TeamDemand {
	var changed []*peerpb.TeamDemand
	for team, d := range o.demand {
		if t, ok := o.told[team]; ok && !moved(t.TokensPerSecond, d.TokensPerSecond) &&
			!moved(t.RequestsPerSecond, d.RequestsPerSecond) && t.Concurrent == d.Concurrent {
			continue
		}
		c := &peerpb.TeamDemand{Team: team, TokensPerSecond: d.TokensPerSecond, RequestsPerSecond: d.RequestsPerSecond, Concurrent: d.Concurrent}
		o.told[team] = c
		changed = append(changed, c)
	}
	for team := range o.told {
		if _, ok := o.demand[team]; !ok {
			delete(o.told, team)
			changed = append(changed, &peerpb.TeamDemand{Team: team})
		}
	}
	return changed
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
