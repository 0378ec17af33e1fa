// Package autoscale proposes orders of endpoints to the provider: one endpoint more or less, in a failure domain and a class.
package autoscale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// removeAfter is the time for which an endpoint must be in excess before it is given back. A shorter time gives back
	// endpoints in a lull and orders them again after it.
	removeAfter = 30 * time.Minute
	// retryClass is the time after an order that brought no endpoint before the same class and domain are tried again.
	retryClass = 15 * time.Minute
)

// Endpoint is one endpoint of a pool.
type Endpoint struct {
	Name          string
	FailureDomain string
	Class         apitypes.EndpointClass
	// Starting is true until the endpoint serves. Leaving is true when it drains for good or is being reclaimed.
	Starting bool
	Leaving  bool
	// Busy is true while the endpoint is being cleaned or changed; it is not given back then.
	Busy bool
}

// Pool is the planner's view of a pool. Demand is in endpoints: work divided by what one endpoint serves within its target.
type Pool struct {
	Name      string
	Domains   []string
	Endpoints []Endpoint
	// Base is the demand that must be served when a failure domain is lost, without reclaimable endpoints.
	Base float64
	// Demand is the average demand now, and Forecast the demand at the end of a cold start by the slow trend.
	Demand   float64
	Forecast float64
	// MinOnDemand and MaxEndpoints bound the pool; MaxEndpoints 0 means that the system orders nothing.
	MinOnDemand  int
	MaxEndpoints int
	// PlannedLoss is true while another duty takes an endpoint of the pool out of service.
	PlannedLoss bool
}

// Kind is the kind of an order.
type Kind string

const (
	Add    Kind = "add"
	Remove Kind = "remove"
)

// Proposal is one order to the provider. Endpoint is set for Remove, FailureDomain and Class for both.
type Proposal struct {
	Kind          Kind
	Endpoint      string
	FailureDomain string
	Class         apitypes.EndpointClass
	Reason        string
}

// Planner proposes orders for any number of pools. Its methods may be called concurrently.
type Planner struct {
	mu sync.Mutex
	// excess is the time since which a pool has more endpoints than it needs, by pool and class.
	excess map[string]time.Time
	// unavailable is the time of the last order without effect, by pool, class and failure domain.
	unavailable map[string]time.Time
}

// NewPlanner returns a planner without a history.
func NewPlanner() *Planner {
	return &Planner{excess: make(map[string]time.Time), unavailable: make(map[string]time.Time)}
}

// MarkUnavailable records that the provider had no endpoint of a class in a failure domain.
func (p *Planner) MarkUnavailable(pool, domain string, class apitypes.EndpointClass) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable[key(pool, domain, class)] = time.Now()
}

func key(pool, domain string, class apitypes.EndpointClass) string {
	return pool + "\x00" + domain + "\x00" + string(class)
}

// Plan returns the most needed order, or nil when the pool has what it needs.
func (p *Planner) Plan(pool Pool) *Proposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if pool.MaxEndpoints == 0 || len(pool.Domains) == 0 {
		return nil
	}
	onDemand, reclaimable := pool.count(apitypes.OnDemand), pool.count(apitypes.Reclaimable)
	needOnDemand := pool.needOnDemand()
	peak := int(math.Ceil(max(pool.Demand, pool.Forecast)))
	needReclaimable := max(0, peak-max(needOnDemand, onDemand))
	if onDemand < needOnDemand {
		return p.add(&pool, apitypes.OnDemand, now, fmt.Sprintf("%d on-demand endpoints of %d that serve the base with a failure domain lost", onDemand, needOnDemand))
	}
	if reclaimable < needReclaimable {
		reason := fmt.Sprintf("%d endpoints of %d that the forecast needs", onDemand+reclaimable, peak)
		if c := p.add(&pool, apitypes.Reclaimable, now, reason); c != nil {
			return c
		}
		// No reclaimable endpoint is to be had in any failure domain.
		return p.add(&pool, apitypes.OnDemand, now, reason+"; no reclaimable one is to be had")
	}
	if c := p.remove(&pool, apitypes.OnDemand, onDemand > needOnDemand && onDemand+reclaimable > peak, now); c != nil {
		return c
	}
	return p.remove(&pool, apitypes.Reclaimable, reclaimable > needReclaimable, now)
}

// needOnDemand returns the least number of on-demand endpoints that, spread evenly, leaves the base when the largest
// failure domain is lost.
func (pool *Pool) needOnDemand() int {
	need := max(pool.MinOnDemand, int(math.Ceil(pool.Base)))
	domains := len(pool.Domains)
	if domains < 2 {
		return min(need, pool.MaxEndpoints)
	}
	for need-(need+domains-1)/domains < int(math.Ceil(pool.Base)) {
		need++
	}
	return min(need, pool.MaxEndpoints)
}

func (pool *Pool) count(class apitypes.EndpointClass) int {
	n := 0
	for _, e := range pool.Endpoints {
		if e.Class == class && !e.Leaving {
			n++
		}
	}
	return n
}

func (pool *Pool) inDomain(domain string, class apitypes.EndpointClass) (ofClass, all int) {
	for _, e := range pool.Endpoints {
		if e.FailureDomain != domain || e.Leaving {
			continue
		}
		all++
		if e.Class == class {
			ofClass++
		}
	}
	return ofClass, all
}

// add proposes an endpoint in the failure domain with the fewest of the class, then with the fewest of all.
func (p *Planner) add(pool *Pool, class apitypes.EndpointClass, now time.Time, reason string) *Proposal {
	if pool.count(apitypes.OnDemand)+pool.count(apitypes.Reclaimable) >= pool.MaxEndpoints {
		return nil
	}
	var open []string
	for _, domain := range pool.Domains {
		if at, tried := p.unavailable[key(pool.Name, domain, class)]; !tried || now.Sub(at) >= retryClass {
			open = append(open, domain)
		}
	}
	if len(open) == 0 {
		return nil
	}
	domain := slices.MinFunc(open, func(a, b string) int {
		aClass, aAll := pool.inDomain(a, class)
		bClass, bAll := pool.inDomain(b, class)
		return cmp.Or(cmp.Compare(aClass, bClass), cmp.Compare(aAll, bAll), cmp.Compare(a, b))
	})
	delete(p.excess, pool.Name+string(class))
	return &Proposal{Kind: Add, FailureDomain: domain, Class: class, Reason: reason}
}

// remove proposes to give back an endpoint of a class once there were too many for some time, from the failure domain with
// the most of the class.
func (p *Planner) remove(pool *Pool, class apitypes.EndpointClass, excess bool, now time.Time) *Proposal {
	k := pool.Name + string(class)
	if !excess {
		delete(p.excess, k)
		return nil
	}
	since, known := p.excess[k]
	if !known {
		p.excess[k] = now
		return nil
	}
	if now.Sub(since) < removeAfter || pool.PlannedLoss {
		return nil
	}
	var idle []Endpoint
	for _, e := range pool.Endpoints {
		if e.Class == class && !e.Leaving && !e.Busy {
			idle = append(idle, e)
		}
	}
	if len(idle) == 0 {
		return nil
	}
	victim := slices.MaxFunc(idle, func(a, b Endpoint) int {
		aClass, aAll := pool.inDomain(a.FailureDomain, class)
		bClass, bAll := pool.inDomain(b.FailureDomain, class)
		return cmp.Or(cmp.Compare(aClass, bClass), cmp.Compare(aAll, bAll), cmp.Compare(a.Name, b.Name))
	})
	return &Proposal{Kind: Remove, Endpoint: victim.Name, FailureDomain: victim.FailureDomain, Class: class,
		Reason: fmt.Sprintf("more %s endpoints than needed for %v", class, removeAfter)}
}
