package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// shareLife is how long a share may be used, from the report that asked for it. A gateway that falls silent keeps its part from
// the others for this time.
const shareLife = 6 * time.Second

// LimitShare is what one gateway of a large fleet may use of a team's limits. It says nothing of a kind that has no limit.
type LimitShare struct {
	// Tokens and Requests are parts of the limits a second, from 0 to 1.
	Tokens, Requests float64
	Concurrent       int
	// LowDemand is true while the demand is below half of each limit: the gateway may report less often.
	LowDemand bool
	// BelowTarget is true when the shares of others did not leave what the gateway should have: it should report again soon.
	BelowTarget bool
}

// Divider divides the limits of teams among the gateways of a large fleet, where a gateway knows the demand of its neighbours only.
// One gateway divides for a team, and the others report their demand to it. The shares in force never add up to more than the limit: a
// gateway gets more only after others have been given less.
type Divider struct {
	mu     sync.Mutex
	limits map[string]apitypes.Limits
	teams  map[string]map[string]holding
}

// holding is what a gateway reported and was given last.
type holding struct {
	demand Demand
	share  LimitShare
	until  time.Time
}

// NewDivider returns a divider that knows no team.
func NewDivider() *Divider {
	return &Divider{teams: make(map[string]map[string]holding)}
}

// SetTeams replaces the limits of all teams.
func (d *Divider) SetTeams(teams map[string]TeamConfig) {
	limits := make(map[string]apitypes.Limits, len(teams))
	for name, t := range teams {
		limits[name] = t.Limits
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = limits
}

// DivideLimits records a gateway's demand and returns its shares. Without demand the gateway gives its share back. Teams without limits are
// left out.
func (d *Divider) DivideLimits(gateway string, demand map[string]Demand) map[string]LimitShare {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	out := make(map[string]LimitShare, len(demand))
	for team, own := range demand {
		limits, known := d.limits[team]
		if !known {
			continue
		}
		holdings := d.holdings(team, now)
		if own == (Demand{}) {
			delete(holdings, gateway)
			continue
		}
		h := holdings[gateway]
		h.demand, h.until = own, now.Add(shareLife)
		holdings[gateway] = h
		h.share = divide(limits, holdings, gateway)
		holdings[gateway] = h
		out[team] = h.share
	}
	return out
}

// holdings returns the gateways that share a team's limits, without those whose shares have ended.
func (d *Divider) holdings(team string, now time.Time) map[string]holding {
	holdings := d.teams[team]
	if holdings == nil {
		holdings = make(map[string]holding)
		d.teams[team] = holdings
	}
	for gateway, h := range holdings {
		if now.After(h.until) {
			delete(holdings, gateway)
		}
	}
	return holdings
}

// divide returns the share of one gateway: its target, as far as the shares of the others leave it.
func divide(limits apitypes.Limits, holdings map[string]holding, gateway string) LimitShare {
	var others Demand
	left := LimitShare{Tokens: 1, Requests: 1, Concurrent: limits.Concurrent}
	for name, h := range holdings {
		if name == gateway {
			continue
		}
		others.add(h.demand)
		left.Tokens = max(0, left.Tokens-h.share.Tokens)
		left.Requests = max(0, left.Requests-h.share.Requests)
		left.Concurrent = max(0, left.Concurrent-max(h.share.Concurrent, h.demand.Concurrent))
	}
	own := holdings[gateway]
	total := others
	total.add(own.demand)
	if own.share == (LimitShare{}) {
		left = left.forNewcomer()
	}
	n := float64(len(holdings))
	target := LimitShare{
		Tokens:     part(limits.TokensPerSecond, own.demand.TokensPerSecond, total.TokensPerSecond, n),
		Requests:   part(limits.RequestsPerSecond, own.demand.RequestsPerSecond, total.RequestsPerSecond, n),
		Concurrent: wholePart(limits.Concurrent, holdings, gateway),
	}
	share := LimitShare{Tokens: min(target.Tokens, left.Tokens), Requests: min(target.Requests, left.Requests), Concurrent: min(target.Concurrent, left.Concurrent)}
	share.BelowTarget = limits.TokensPerSecond > 0 && share.Tokens < nearly*target.Tokens ||
		limits.RequestsPerSecond > 0 && share.Requests < nearly*target.Requests || share.Concurrent < target.Concurrent
	share.LowDemand = !share.BelowTarget && relaxed(limits.TokensPerSecond, total.TokensPerSecond) && relaxed(limits.RequestsPerSecond, total.RequestsPerSecond) &&
		relaxed(float64(limits.Concurrent), float64(total.Concurrent))
	return share
}

// forNewcomer returns what a gateway without a share may take of the rest, so that gateways that start in the same second all get some.
func (s LimitShare) forNewcomer() LimitShare {
	return LimitShare{Tokens: s.Tokens / 2, Requests: s.Requests / 2, Concurrent: (s.Concurrent + 1) / 2}
}

func (d *Demand) add(other Demand) {
	d.TokensPerSecond += other.TokensPerSecond
	d.RequestsPerSecond += other.RequestsPerSecond
	d.Concurrent += other.Concurrent
}

func relaxed(limit, total float64) bool { return limit <= 0 || total < limit/2 }

const (
	// growth is what a gateway gets for its demand while the limit is large enough for all, so that it may grow before its next report.
	growth = 3
	// evenPart is the part of a limit that is divided evenly, for gateways whose demand has just begun.
	evenPart = 0.05
	// nearly is the part of its target with which a gateway does not count as short.
	nearly = 0.9
)

// part returns the part of a limit for a gateway with demand own out of total. What nobody needs stays free for gateways that start.
func part(limit, own, total, gateways float64) float64 {
	if limit <= 0 || total <= 0 {
		return evenPart / gateways
	}
	return own/limit*min(growth, (1-evenPart)*limit/total) + evenPart/gateways
}

// wholePart divides a limit of concurrent requests in whole numbers. Each gateway asks for one request more than it has. When that is too
// much in all, the limit is divided by demand, with the remainder to the largest fractions, then by name.
func wholePart(limit int, holdings map[string]holding, gateway string) int {
	total := len(holdings)
	for _, h := range holdings {
		total += h.demand.Concurrent
	}
	if total <= limit {
		return holdings[gateway].demand.Concurrent + 1 + (limit-total)/(2*len(holdings))
	}
	type fraction struct {
		gateway string
		rest    float64
	}
	left, own := limit, 0
	fractions := make([]fraction, 0, len(holdings))
	for name, h := range holdings {
		exact := float64(limit) * float64(h.demand.Concurrent+1) / float64(total)
		whole := int(exact)
		left -= whole
		if name == gateway {
			own = whole
		}
		fractions = append(fractions, fraction{name, exact - math.Floor(exact)})
	}
	slices.SortFunc(fractions, func(a, b fraction) int {
		return cmp.Or(cmp.Compare(b.rest, a.rest), cmp.Compare(a.gateway, b.gateway))
	})
	for _, f := range fractions[:min(left, len(fractions))] {
		if f.gateway == gateway {
			own++
		}
	}
	return own
}
