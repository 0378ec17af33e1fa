// Package roles proposes role changes of engines (prefill, decode or mixed) to match the ratio of prompt to output tokens.
package roles

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// paybackHorizon is the time within which a change must gain more work than it costs; shifts of demand last minutes.
	paybackHorizon = 5 * time.Minute
	// dwellTime is the minimum time for which an engine keeps a role, and before a pool reverses the direction of its last change.
	dwellTime = 5 * time.Minute
	// minChangeInterval is the minimum time between two changes in a pool, so that the short average shows the effect of the last one.
	minChangeInterval = 15 * time.Second
	// confirmationTime is the time for which changes in one direction must be beneficial before the first is made. Without it,
	// demand that alternates every half minute changes a role with nearly every alternation.
	confirmationTime = 20 * time.Second
	// demandShiftRatio is the factor by which the short average of prompt work, output work or their ratio must differ from the long
	// average to count as a shift of demand. At 1.25, noise in the short averages can look like a shift.
	demandShiftRatio = 1.4
	// minGainShare is the smallest gain that justifies a change, as a fraction of one engine's share of the pool. It keeps noise in
	// the averages from changing roles; a full change of one engine gains a little more than half its share.
	minGainShare = 0.45
	// minGainToLoss is the factor by which the gain within paybackHorizon must exceed the work lost during the change.
	minGainToLoss = 2
	// usableCapacityShare is the share of a pool's nominal rate at which it still meets the first-token target.
	usableCapacityShare = 0.85
)

// Capacity is the rate of an engine or a pool, in tokens per second.
type Capacity struct {
	Prefill float64
	Decode  float64
}

// Endpoint is one engine of a pool.
type Endpoint struct {
	Name          string
	FailureDomain string
	Role          apitypes.Role
	// Running is the number of running requests, which a role change must move or wait for.
	Running int
	// OutOfService is true when the engine accepts no requests: it is changing its role, draining, being cleaned, leaving or lost.
	OutOfService bool
}

// Demand is the load on a pool, in tokens per second, averaged over a short (about 30 s) and a long (about 10 min) window.
type Demand struct {
	PrefillShort, PrefillLong float64
	DecodeShort, DecodeLong   float64
}

// Pool is the planner's view of a pool.
type Pool struct {
	Name      string
	Endpoints []Endpoint
	// Capacities holds the average measured rates of one engine by role. Roles without an entry are not proposed.
	Capacities map[apitypes.Role]Capacity
	Demand     Demand
	// ChangeTime is the time for which a role change takes an engine out of service.
	ChangeTime time.Duration
	// PlannedLoss is true while another duty is taking an endpoint of the pool out of service; Plan then proposes no change.
	PlannedLoss bool
}

// Proposal is one role change.
type Proposal struct {
	Endpoint string
	Role     apitypes.Role
	Reason   string
}

// Planner proposes role changes for any number of pools. It records past changes to enforce dwell times. It is safe for
// concurrent use.
type Planner struct {
	mu        sync.Mutex
	changedAt map[string]time.Time // by endpoint name
	pools     map[string]*history  // by pool name
}

// history is the planner's record of a pool.
type history struct {
	lastChange    time.Time
	lastToPrefill bool      // direction of the last change
	gainSince     time.Time // start of the period in which changes in one direction are beneficial; zero outside of one
	gainToPrefill bool      // direction of these changes
}

// NewPlanner returns a planner without a history.
func NewPlanner() *Planner {
	return &Planner{changedAt: make(map[string]time.Time), pools: make(map[string]*history)}
}

// Plan returns the best role change for the pool now, or nil when no change gains enough. The planner records the proposal as
// executed; a caller that doesn't execute it must call WithdrawProposal.
func (p *Planner) Plan(pool Pool) *Proposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	h := p.pools[pool.Name]
	if h == nil {
		h = &history{}
		p.pools[pool.Name] = h
	}
	best, gain := p.bestChange(&pool, now)
	if best == nil {
		h.gainSince = time.Time{}
		return nil
	}
	if !h.confirmed(now, pool.movesToPrefill(best)) || pool.PlannedLoss || now.Sub(h.lastChange) < minChangeInterval {
		return nil
	}
	h.lastChange, h.lastToPrefill = now, h.gainToPrefill
	p.changedAt[best.Endpoint] = now
	best.Reason = fmt.Sprintf("serves %.0f%% more of the forecast demand (prefill %.0f, decode %.0f tokens/s)",
		100*gain, pool.Demand.forecastPrefill(), pool.Demand.forecastDecode())
	return best
}

// WithdrawProposal removes the record of a proposal that was not executed.
func (p *Planner) WithdrawProposal(pool string, proposal *Proposal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.changedAt, proposal.Endpoint)
	if h := p.pools[pool]; h != nil {
		h.lastChange = time.Time{}
	}
}

// confirmed records that a change in the given direction is beneficial now, and reports whether such changes have been so for
// confirmationTime. A change against the direction of the last one also waits for dwellTime.
func (h *history) confirmed(now time.Time, toPrefill bool) bool {
	if h.gainSince.IsZero() || h.gainToPrefill != toPrefill {
		h.gainSince, h.gainToPrefill = now, toPrefill
	}
	if !h.lastChange.IsZero() && h.lastToPrefill != toPrefill && now.Sub(h.lastChange) < dwellTime {
		return false
	}
	return now.Sub(h.gainSince) >= confirmationTime
}

// movesToPrefill reports whether a change moves capacity from decode to prefill.
func (pool *Pool) movesToPrefill(c *Proposal) bool {
	for _, e := range pool.Endpoints {
		if e.Name == c.Endpoint {
			return pool.Capacities[c.Role].Prefill > pool.Capacities[e.Role].Prefill
		}
	}
	return false
}

// forecastPrefill and forecastDecode return the short averages after a shift of demand, and otherwise the less noisy long averages.
func (d Demand) forecastPrefill() float64 {
	if d.shifted() {
		return d.PrefillShort
	}
	return d.PrefillLong
}

func (d Demand) forecastDecode() float64 {
	if d.shifted() {
		return d.DecodeShort
	}
	return d.DecodeLong
}

// shifted reports whether prompt work, output work or their ratio differs from its long average by more than demandShiftRatio. It is
// true while an average is missing.
func (d Demand) shifted() bool {
	if d.PrefillLong <= 0 || d.DecodeLong <= 0 || d.PrefillShort <= 0 || d.DecodeShort <= 0 {
		return true
	}
	prefill, decode := d.PrefillShort/d.PrefillLong, d.DecodeShort/d.DecodeLong
	return isShift(prefill) || isShift(decode) || isShift(prefill/decode)
}

func isShift(change float64) bool { return change > demandShiftRatio || change < 1/demandShiftRatio }

// bestChange returns the role change that raises the share of demand served the most, and that gain. Of changes with equal gain it
// prefers the engine with fewer running requests. It skips changes that violate the limits on dwell time, payback and domain loss.
func (p *Planner) bestChange(pool *Pool, now time.Time) (*Proposal, float64) {
	total := pool.capacityWithout("")
	currentShare := servedShare(total, pool.Demand)
	minCapacity := pool.minCapacityAfterLoss()
	var best *Proposal
	bestGain, bestRunning := minGainShare/float64(max(1, len(pool.Endpoints))), 0
	for _, e := range pool.Endpoints {
		if e.OutOfService || now.Sub(p.changedAt[e.Name]) < dwellTime && !p.changedAt[e.Name].IsZero() {
			continue
		}
		current := pool.Capacities[e.Role]
		during := Capacity{total.Prefill - current.Prefill, total.Decode - current.Decode}
		if during.Prefill < minCapacity.Prefill || during.Decode < minCapacity.Decode {
			continue
		}
		lostShare := max(0, currentShare-servedShare(during, pool.Demand))
		for _, role := range []apitypes.Role{apitypes.RolePrefill, apitypes.RoleMixed, apitypes.RoleDecode} {
			target, known := pool.Capacities[role]
			if !known || role == e.Role {
				continue
			}
			after := Capacity{during.Prefill + target.Prefill, during.Decode + target.Decode}
			gain := servedShare(after, pool.Demand) - currentShare
			if gain*paybackHorizon.Seconds() <= minGainToLoss*lostShare*pool.ChangeTime.Seconds() || !pool.survivesDomainLoss(e.Name, role) {
				continue
			}
			if gain > bestGain+1e-9 || best != nil && gain > bestGain-1e-9 && e.Running < bestRunning {
				best, bestGain, bestRunning = &Proposal{Endpoint: e.Name, Role: role}, gain, e.Running
			}
		}
	}
	return best, bestGain
}

// servedShare returns the share of the demand that a capacity serves, at most 1. A request needs both prefill and decode, so the
// scarcer of the two decides.
func servedShare(c Capacity, d Demand) float64 {
	return min(1, coverage(c.Prefill, d.forecastPrefill()), coverage(c.Decode, d.forecastDecode()))
}

// coverage returns the usable capacity as a multiple of the demand, infinite without demand.
func coverage(capacity, demand float64) float64 {
	if demand <= 0 {
		return math.Inf(1)
	}
	return usableCapacityShare * capacity / demand
}

// capacityWithout sums the capacity of the engines in service outside of lostDomain, or of all of them if it is empty.
func (pool *Pool) capacityWithout(lostDomain string) Capacity {
	var sum Capacity
	for _, e := range pool.Endpoints {
		if !e.OutOfService && (lostDomain == "" || e.FailureDomain != lostDomain) {
			sum.Prefill += pool.Capacities[e.Role].Prefill
			sum.Decode += pool.Capacities[e.Role].Decode
		}
	}
	return sum
}

// domains returns the failure domains that have engines in service.
func (pool *Pool) domains() []string {
	var out []string
	for _, e := range pool.Endpoints {
		if !e.OutOfService && !slices.Contains(out, e.FailureDomain) {
			out = append(out, e.FailureDomain)
		}
	}
	return out
}

// minCapacityAfterLoss returns the least prefill and decode capacity that remains after the loss of any one failure domain. The pool's
// capacity must not fall below it while an engine changes its role. It is zero for a pool in fewer than two domains.
func (pool *Pool) minCapacityAfterLoss() Capacity {
	least := Capacity{math.Inf(1), math.Inf(1)}
	domains := pool.domains()
	if len(domains) < 2 {
		return Capacity{}
	}
	for _, domain := range domains {
		c := pool.capacityWithout(domain)
		least.Prefill = min(least.Prefill, c.Prefill)
		least.Decode = min(least.Decode, c.Decode)
	}
	return least
}

// survivesDomainLoss reports whether, after the change, the pool keeps both prefill and decode capacity when any one failure domain
// is lost. It is true for a pool in one domain.
func (pool *Pool) survivesDomainLoss(name string, role apitypes.Role) bool {
	changed := *pool
	changed.Endpoints = slices.Clone(pool.Endpoints)
	for i := range changed.Endpoints {
		if changed.Endpoints[i].Name == name {
			changed.Endpoints[i].Role = role
		}
	}
	domains := changed.domains()
	for _, domain := range domains {
		c := changed.capacityWithout(domain)
		if len(domains) > 1 && (c.Prefill <= 0 || c.Decode <= 0) {
			return false
		}
	}
	return true
}
