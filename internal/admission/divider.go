package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// shareTTL is how long a share is valid, counted from the report that requested it. The share of a gateway that stops reporting is
// unavailable to the others for this time.
const shareTTL = 6 * time.Second

// LimitShare is one gateway's share of a team's limits. Fields for which the team has no limit are meaningless.
type LimitShare struct {
	// Tokens and Requests are fractions of the limits of tokens and requests per second, from 0 to 1.
	Tokens, Requests float64
	Concurrent       int
	// LowDemand is true while the demand of all gateways is below half of each limit; the gateway may then report less often.
	LowDemand bool
	// BelowTarget is true when the shares of other gateways leave less than this gateway's target; it should then report again soon.
	BelowTarget bool
}

// Divider divides the limits of teams among the gateways of a large fleet, in which a gateway exchanges demand with a few neighbours only.
// One gateway divides the limits of a team, and all gateways report their demand for the team to it. The valid shares never add up to more
// than the limit: a share grows only after the shares of other gateways have shrunk. A Divider is safe for concurrent use.
type Divider struct {
	mu          sync.Mutex
	limits      map[string]apitypes.Limits
	allocations map[string]map[string]allocation // by team and gateway
}

// allocation is the demand that a gateway reported last and the share that it was assigned.
type allocation struct {
	demand    Demand
	share     LimitShare
	expiresAt time.Time
}

// NewDivider returns a Divider without teams.
func NewDivider() *Divider {
	return &Divider{allocations: make(map[string]map[string]allocation)}
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

// DivideLimits records a gateway's demand by team and returns its shares. A demand of zero releases the gateway's share. Unknown teams and
// teams with zero demand are not in the result.
func (d *Divider) DivideLimits(gateway string, demand map[string]Demand) map[string]LimitShare {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	out := make(map[string]LimitShare, len(demand))
	for team, own := range demand {
		limits, found := d.limits[team]
		if !found {
			continue
		}
		allocations := d.activeAllocations(team, now)
		if own == (Demand{}) {
			delete(allocations, gateway)
			continue
		}
		a := allocations[gateway]
		a.demand, a.expiresAt = own, now.Add(shareTTL)
		allocations[gateway] = a
		a.share = divide(limits, allocations, gateway)
		allocations[gateway] = a
		out[team] = a.share
	}
	return out
}

// activeAllocations deletes a team's expired allocations and returns the rest by gateway.
func (d *Divider) activeAllocations(team string, now time.Time) map[string]allocation {
	allocations := d.allocations[team]
	if allocations == nil {
		allocations = make(map[string]allocation)
		d.allocations[team] = allocations
	}
	for gateway, a := range allocations {
		if now.After(a.expiresAt) {
			delete(allocations, gateway)
		}
	}
	return allocations
}

// divide returns the share of one gateway: its target, bounded by what the shares of the other gateways leave.
func divide(limits apitypes.Limits, allocations map[string]allocation, gateway string) LimitShare {
	var others Demand
	available := LimitShare{Tokens: 1, Requests: 1, Concurrent: limits.Concurrent}
	for name, a := range allocations {
		if name == gateway {
			continue
		}
		others.add(a.demand)
		available.Tokens = max(0, available.Tokens-a.share.Tokens)
		available.Requests = max(0, available.Requests-a.share.Requests)
		available.Concurrent = max(0, available.Concurrent-max(a.share.Concurrent, a.demand.Concurrent))
	}
	own := allocations[gateway]
	total := others
	total.add(own.demand)
	if own.share == (LimitShare{}) {
		available = available.forNewGateway()
	}
	n := float64(len(allocations))
	target := LimitShare{
		Tokens:     rateShare(limits.TokensPerSecond, own.demand.TokensPerSecond, total.TokensPerSecond, n),
		Requests:   rateShare(limits.RequestsPerSecond, own.demand.RequestsPerSecond, total.RequestsPerSecond, n),
		Concurrent: concurrentAllocation(limits.Concurrent, allocations, gateway),
	}
	share := LimitShare{Tokens: min(target.Tokens, available.Tokens), Requests: min(target.Requests, available.Requests), Concurrent: min(target.Concurrent, available.Concurrent)}
	share.BelowTarget = limits.TokensPerSecond > 0 && share.Tokens < minTargetFraction*target.Tokens ||
		limits.RequestsPerSecond > 0 && share.Requests < minTargetFraction*target.Requests || share.Concurrent < target.Concurrent
	share.LowDemand = !share.BelowTarget && belowHalf(limits.TokensPerSecond, total.TokensPerSecond) && belowHalf(limits.RequestsPerSecond, total.RequestsPerSecond) &&
		belowHalf(float64(limits.Concurrent), float64(total.Concurrent))
	return share
}

// forNewGateway returns the part of the available limits that a gateway without a share may get: half, so that several gateways that start
// in the same second all get a share.
func (s LimitShare) forNewGateway() LimitShare {
	return LimitShare{Tokens: s.Tokens / 2, Requests: s.Requests / 2, Concurrent: (s.Concurrent + 1) / 2}
}

func (d *Demand) add(other Demand) {
	d.TokensPerSecond += other.TokensPerSecond
	d.RequestsPerSecond += other.RequestsPerSecond
	d.Concurrent += other.Concurrent
}

// belowHalf reports whether total is below half of the limit; true when there is no limit.
func belowHalf(limit, total float64) bool { return limit <= 0 || total < limit/2 }

const (
	// maxGrowth is the ratio of a gateway's share to its demand while the limit is large enough for all gateways. It lets demand grow
	// before the next report.
	maxGrowth = 3
	// evenFraction is the fraction of a limit that is divided evenly, for gateways whose demand has just begun.
	evenFraction = 0.05
	// minTargetFraction is the fraction of its target below which a share of a rate counts as below target.
	minTargetFraction = 0.9
)

// rateShare returns the target share, from 0 to 1, of a limit per second for a gateway with demand own out of total. What no gateway needs
// stays available to gateways that start.
func rateShare(limit, own, total, gateways float64) float64 {
	if limit <= 0 || total <= 0 {
		return evenFraction / gateways
	}
	return own/limit*min(maxGrowth, (1-evenFraction)*limit/total) + evenFraction/gateways
}

// concurrentAllocation returns a gateway's target share of a limit of concurrent requests, as a whole number. Each gateway demands one
// request more than it has. While the limit covers the total demand, a gateway gets its demand and half of an even share of the rest. Above
// that, the limit is divided in proportion to demand; the remainder goes to the largest fractional parts, then by name.
func concurrentAllocation(limit int, allocations map[string]allocation, gateway string) int {
	total := len(allocations)
	for _, a := range allocations {
		total += a.demand.Concurrent
	}
	if total <= limit {
		return allocations[gateway].demand.Concurrent + 1 + (limit-total)/(2*len(allocations))
	}
	type remainder struct {
		gateway  string
		fraction float64
	}
	unassigned, own := limit, 0
	remainders := make([]remainder, 0, len(allocations))
	for name, a := range allocations {
		exact := float64(limit) * float64(a.demand.Concurrent+1) / float64(total)
		whole := int(exact)
		unassigned -= whole
		if name == gateway {
			own = whole
		}
		remainders = append(remainders, remainder{name, exact - math.Floor(exact)})
	}
	slices.SortFunc(remainders, func(a, b remainder) int {
		return cmp.Or(cmp.Compare(b.fraction, a.fraction), cmp.Compare(a.gateway, b.gateway))
	})
	for _, r := range remainders[:min(unassigned, len(remainders))] {
		if r.gateway == gateway {
			own++
		}
	}
	return own
}
