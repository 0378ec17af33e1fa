// Package roles proposes role changes of engines: prefill, decode or mixed, following the ratio of prompt to output work.
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
	// horizon is the time over which a change must pay: swings last minutes.
	horizon = 5 * time.Minute
	// dwell is the time for which an engine keeps a role.
	dwell = 5 * time.Minute
	// settle is the time between two changes in a pool, so that the short average shows the effect of the last one.
	settle = 15 * time.Second
	// confirm is the time for which changes in one direction must have paid before the first is made. Without it, demand
	// that turns every half minute moved a role with nearly every turn.
	confirm = 20 * time.Second
	// swingRatio is the change of prompt work, output work or their ratio against its long average that counts as a swing. At
	// 1.25 noise in the short averages could pass for a swing.
	swingRatio = 1.4
	// minGainPart is the least gain that is worth a change, as a part of one engine's share of the pool. It keeps noise in
	// the averages from moving roles; a full change of one engine gains a little more than half its share.
	minGainPart = 0.45
	// lossFactor is the multiple of the work lost by the change that the gain must exceed.
	lossFactor = 2
	// usable is the share of a pool's nominal rate that serves within the first-token target.
	usable = 0.85
)

// Capacity is the rate of an engine in a role, in tokens a second.
type Capacity struct {
	Prefill float64
	Decode  float64
}

// Endpoint is one engine of a pool.
type Endpoint struct {
	Name          string
	FailureDomain string
	Role          apitypes.Role
	// Running is the number of requests that a change would move or wait for.
	Running int
	// OutOfService is true when the engine takes no work: it changes, drains, is cleaned, leaves or is lost.
	OutOfService bool
}

// Demand is the work that a pool is asked for, in tokens a second, as averages over a short (about 30 s) and a long (about
// 10 min) time.
type Demand struct {
	PrefillShort, PrefillLong float64
	DecodeShort, DecodeLong   float64
}

// Pool is the planner's view of a pool.
type Pool struct {
	Name      string
	Endpoints []Endpoint
	// Capacities holds the measured rates of one engine in each role. Roles that are missing are not proposed.
	Capacities map[apitypes.Role]Capacity
	Demand     Demand
	// ChangeTime is the time for which a role change takes an engine out of service.
	ChangeTime time.Duration
	// PlannedLoss is true while another duty takes an endpoint of the pool out of service.
	PlannedLoss bool
}

// Proposal is one role change.
type Proposal struct {
	Endpoint string
	Role     apitypes.Role
	Reason   string
}

// Planner proposes role changes for any number of pools. It remembers changes to keep dwell times. Its methods may be
// called concurrently.
type Planner struct {
	mu      sync.Mutex
	changed map[string]time.Time // by endpoint
	pools   map[string]*history
}

// history is what the planner remembers of a pool.
type history struct {
	last     time.Time // of the last change
	lastUp   bool      // the last change was towards prefill
	wanted   time.Time // since when changes towards wantedUp pay; zero when none do
	wantedUp bool
}

// NewPlanner returns a planner without a history.
func NewPlanner() *Planner {
	return &Planner{changed: make(map[string]time.Time), pools: make(map[string]*history)}
}

// Plan returns the best change for the pool now, or nil when none pays. The planner takes the change as carried out; a
// caller that doesn't carry it out calls WithdrawProposal.
func (p *Planner) Plan(pool Pool) *Proposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	h := p.pools[pool.Name]
	if h == nil {
		h = &history{}
		p.pools[pool.Name] = h
	}
	best, gain := p.best(&pool, now)
	if best == nil {
		h.wanted = time.Time{}
		return nil
	}
	if !h.confirmed(now, pool.towardsPrefill(best)) || pool.PlannedLoss || now.Sub(h.last) < settle {
		return nil
	}
	h.last, h.lastUp = now, h.wantedUp
	p.changed[best.Endpoint] = now
	best.Reason = fmt.Sprintf("serves %.0f%% more of the forecast demand (prefill %.0f, decode %.0f tokens/s)",
		100*gain, pool.Demand.prefill(), pool.Demand.decode())
	return best
}

// WithdrawProposal takes back a proposal that was not carried out.
func (p *Planner) WithdrawProposal(pool string, proposal *Proposal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.changed, proposal.Endpoint)
	if h := p.pools[pool]; h != nil {
		h.last = time.Time{}
	}
}

// confirmed records that a change in a direction pays now and tells whether it has paid for long enough. A change against
// the direction of the last one waits for the dwell time of the pool.
func (h *history) confirmed(now time.Time, up bool) bool {
	if h.wanted.IsZero() || h.wantedUp != up {
		h.wanted, h.wantedUp = now, up
	}
	if !h.last.IsZero() && h.lastUp != up && now.Sub(h.last) < dwell {
		return false
	}
	return now.Sub(h.wanted) >= confirm
}

// towardsPrefill tells whether a change moves capacity from decoding to prefill.
func (pool *Pool) towardsPrefill(c *Proposal) bool {
	for _, e := range pool.Endpoints {
		if e.Name == c.Endpoint {
			return pool.Capacities[c.Role].Prefill > pool.Capacities[e.Role].Prefill
		}
	}
	return false
}

// prefill and decode are the forecasts: the short averages in a swing, and the long ones, which have less noise, otherwise.
func (d Demand) prefill() float64 {
	if d.swings() {
		return d.PrefillShort
	}
	return d.PrefillLong
}

func (d Demand) decode() float64 {
	if d.swings() {
		return d.DecodeShort
	}
	return d.DecodeLong
}

// swings tells whether prompt work, output work or their ratio has left its long average. Without averages it counts as swinging.
func (d Demand) swings() bool {
	if d.PrefillLong <= 0 || d.DecodeLong <= 0 || d.PrefillShort <= 0 || d.DecodeShort <= 0 {
		return true
	}
	prefill, decode := d.PrefillShort/d.PrefillLong, d.DecodeShort/d.DecodeLong
	return swung(prefill) || swung(decode) || swung(prefill/decode)
}

func swung(change float64) bool { return change > swingRatio || change < 1/swingRatio }

func (p *Planner) best(pool *Pool, now time.Time) (*Proposal, float64) {
	total := pool.capacity("")
	before := served(total, pool.Demand)
	floor := pool.worstLoss()
	var best *Proposal
	bestGain, bestRunning := minGainPart/float64(max(1, len(pool.Endpoints))), 0
	for _, e := range pool.Endpoints {
		if e.OutOfService || now.Sub(p.changed[e.Name]) < dwell && !p.changed[e.Name].IsZero() {
			continue
		}
		own := pool.Capacities[e.Role]
		during := Capacity{total.Prefill - own.Prefill, total.Decode - own.Decode}
		if during.Prefill < floor.Prefill || during.Decode < floor.Decode {
			continue
		}
		lost := max(0, before-served(during, pool.Demand))
		for _, role := range []apitypes.Role{apitypes.RolePrefill, apitypes.RoleMixed, apitypes.RoleDecode} {
			next, known := pool.Capacities[role]
			if !known || role == e.Role {
				continue
			}
			after := Capacity{during.Prefill + next.Prefill, during.Decode + next.Decode}
			gain := served(after, pool.Demand) - before
			if gain*horizon.Seconds() <= lossFactor*lost*pool.ChangeTime.Seconds() || !pool.survives(e.Name, role) {
				continue
			}
			if gain > bestGain+1e-9 || best != nil && gain > bestGain-1e-9 && e.Running < bestRunning {
				best, bestGain, bestRunning = &Proposal{Endpoint: e.Name, Role: role}, gain, e.Running
			}
		}
	}
	return best, bestGain
}

// served returns the share of the demand that a capacity serves. A request needs both its prefill and its decoding, so the
// scarcer of the two decides.
func served(c Capacity, d Demand) float64 {
	return min(1, ratio(c.Prefill, d.prefill()), ratio(c.Decode, d.decode()))
}

func ratio(capacity, demand float64) float64 {
	if demand <= 0 {
		return math.Inf(1)
	}
	return usable * capacity / demand
}

// capacity sums the engines in service outside of a failure domain.
func (pool *Pool) capacity(lostDomain string) Capacity {
	var sum Capacity
	for _, e := range pool.Endpoints {
		if !e.OutOfService && (lostDomain == "" || e.FailureDomain != lostDomain) {
			sum.Prefill += pool.Capacities[e.Role].Prefill
			sum.Decode += pool.Capacities[e.Role].Decode
		}
	}
	return sum
}

// domains returns the failure domains of engines in service.
func (pool *Pool) domains() []string {
	var out []string
	for _, e := range pool.Endpoints {
		if !e.OutOfService && !slices.Contains(out, e.FailureDomain) {
			out = append(out, e.FailureDomain)
		}
	}
	return out
}

// worstLoss returns the least capacity of each kind that the loss of one failure domain leaves. A change must not go below.
func (pool *Pool) worstLoss() Capacity {
	worst := Capacity{math.Inf(1), math.Inf(1)}
	domains := pool.domains()
	if len(domains) < 2 {
		return Capacity{}
	}
	for _, domain := range domains {
		c := pool.capacity(domain)
		worst.Prefill = min(worst.Prefill, c.Prefill)
		worst.Decode = min(worst.Decode, c.Decode)
	}
	return worst
}

// survives tells whether both kinds of work can still be served after the change when any one failure domain is lost.
func (pool *Pool) survives(name string, role apitypes.Role) bool {
	changed := *pool
	changed.Endpoints = slices.Clone(pool.Endpoints)
	for i := range changed.Endpoints {
		if changed.Endpoints[i].Name == name {
			changed.Endpoints[i].Role = role
		}
	}
	domains := changed.domains()
	for _, domain := range domains {
		c := changed.capacity(domain)
		if len(domains) > 1 && (c.Prefill <= 0 || c.Decode <= 0) {
			return false
		}
	}
	return true
}
