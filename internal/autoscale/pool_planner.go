// Package autoscale plans which endpoints to order from the provider. Planner adds or removes one endpoint of a pool at a time;
// DomainPlanner sets the number of endpoints of a service in each failure domain.
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
	// removeAfter is the time for which a pool must have excess endpoints before one is removed. A shorter time removes endpoints in a
	// brief period of low demand and orders them again after it.
	removeAfter = 30 * time.Minute
	// classRetryInterval is the wait after an order that had no effect before the same class is ordered in that failure domain again.
	classRetryInterval = 15 * time.Minute
)

// Endpoint is one endpoint of a pool.
type Endpoint struct {
	Name          string
	FailureDomain string
	Class         apitypes.EndpointClass
	// Starting is true until the endpoint serves. Leaving is true when it drains before its removal or is being reclaimed.
	Starting bool
	Leaving  bool
	// Busy is true while the endpoint drains, is being cleaned or changed; it is not removed then.
	Busy bool
}

// Pool is the planner's view of a pool. Base, Demand and Forecast are in endpoints: the load divided by what one endpoint serves
// within its first-token target.
type Pool struct {
	Name      string
	Domains   []string
	Endpoints []Endpoint
	// Base is the demand that on-demand endpoints alone must serve when a failure domain is lost.
	Base float64
	// Demand is the current average demand, and Forecast the demand expected at the end of a cold start by the long-term trend.
	Demand   float64
	Forecast float64
	// MinOnDemand is the minimum number of on-demand endpoints and MaxEndpoints the maximum of all endpoints; if MaxEndpoints is 0,
	// nothing is ordered.
	MinOnDemand  int
	MaxEndpoints int
	// PlannedLoss is true while another duty is taking an endpoint of the pool out of service; no endpoint is removed then.
	PlannedLoss bool
}

// Kind is the kind of an order.
type Kind string

const (
	Add    Kind = "add"
	Remove Kind = "remove"
)

// Proposal is one order to the provider. Endpoint is set for Remove only, FailureDomain and Class for both kinds.
type Proposal struct {
	Kind          Kind
	Endpoint      string
	FailureDomain string
	Class         apitypes.EndpointClass
	Reason        string
}

// Planner proposes orders for any number of pools. It is safe for concurrent use.
type Planner struct {
	mu sync.Mutex
	// excessSince is the time since when a pool has more endpoints than it needs, by pool and class.
	excessSince map[string]time.Time
	// unavailableAt is the time of the last order without effect, by pool, failure domain and class.
	unavailableAt map[string]time.Time
}

// NewPlanner returns a planner without a history.
func NewPlanner() *Planner {
	return &Planner{excessSince: make(map[string]time.Time), unavailableAt: make(map[string]time.Time)}
}

// MarkUnavailable records that the provider had no endpoint of a class in a failure domain.
func (p *Planner) MarkUnavailable(pool, domain string, class apitypes.EndpointClass) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailableAt[unavailableKey(pool, domain, class)] = time.Now()
}

// unavailableKey returns the key of Planner.unavailableAt.
func unavailableKey(pool, domain string, class apitypes.EndpointClass) string {
	return pool + "\x00" + domain + "\x00" + string(class)
}

// Plan returns the most urgent order, or nil if none is needed or possible. Missing on-demand endpoints come first, then missing
// reclaimable ones, then the removal of excess endpoints.
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
		if proposal := p.add(&pool, apitypes.Reclaimable, now, reason); proposal != nil {
			return proposal
		}
		// No reclaimable endpoint is available in any failure domain.
		return p.add(&pool, apitypes.OnDemand, now, reason+"; no reclaimable one is to be had")
	}
	if proposal := p.remove(&pool, apitypes.OnDemand, onDemand > needOnDemand && onDemand+reclaimable > peak, now); proposal != nil {
		return proposal
	}
	return p.remove(&pool, apitypes.Reclaimable, reclaimable > needReclaimable, now)
}

// needOnDemand returns the smallest number of on-demand endpoints that, spread evenly, still serves Base after the loss of any one
// failure domain. It is at least MinOnDemand and at most MaxEndpoints. For a pool in one domain no loss is assumed.
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

// count returns the number of endpoints of a class, excluding those that are leaving.
func (pool *Pool) count(class apitypes.EndpointClass) int {
	n := 0
	for _, e := range pool.Endpoints {
		if e.Class == class && !e.Leaving {
			n++
		}
	}
	return n
}

// countInDomain returns the number of endpoints of a class and of all classes in a failure domain, excluding those that are leaving.
func (pool *Pool) countInDomain(domain string, class apitypes.EndpointClass) (ofClass, all int) {
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

// add proposes an endpoint in the failure domain with the fewest endpoints of the class, then with the fewest of all classes. It
// returns nil at MaxEndpoints or if the class was recently unavailable in every domain.
func (p *Planner) add(pool *Pool, class apitypes.EndpointClass, now time.Time, reason string) *Proposal {
	if pool.count(apitypes.OnDemand)+pool.count(apitypes.Reclaimable) >= pool.MaxEndpoints {
		return nil
	}
	var candidates []string
	for _, domain := range pool.Domains {
		if since, tried := p.unavailableAt[unavailableKey(pool.Name, domain, class)]; !tried || now.Sub(since) >= classRetryInterval {
			candidates = append(candidates, domain)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	domain := slices.MinFunc(candidates, func(a, b string) int {
		aClass, aAll := pool.countInDomain(a, class)
		bClass, bAll := pool.countInDomain(b, class)
		return cmp.Or(cmp.Compare(aClass, bClass), cmp.Compare(aAll, bAll), cmp.Compare(a, b))
	})
	delete(p.excessSince, pool.Name+string(class))
	return &Proposal{Kind: Add, FailureDomain: domain, Class: class, Reason: reason}
}

// remove proposes to remove an endpoint of a class once the pool has had an excess for removeAfter, from the failure domain with the
// most endpoints of the class.
func (p *Planner) remove(pool *Pool, class apitypes.EndpointClass, excess bool, now time.Time) *Proposal {
	k := pool.Name + string(class)
	if !excess {
		delete(p.excessSince, k)
		return nil
	}
	since, known := p.excessSince[k]
	if !known {
		p.excessSince[k] = now
		return nil
	}
	if now.Sub(since) < removeAfter || pool.PlannedLoss {
		return nil
	}
	var candidates []Endpoint
	for _, e := range pool.Endpoints {
		if e.Class == class && !e.Leaving && !e.Busy {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	excessEndpoint := slices.MaxFunc(candidates, func(a, b Endpoint) int {
		aClass, aAll := pool.countInDomain(a.FailureDomain, class)
		bClass, bAll := pool.countInDomain(b.FailureDomain, class)
		return cmp.Or(cmp.Compare(aClass, bClass), cmp.Compare(aAll, bAll), cmp.Compare(a.Name, b.Name))
	})
	return &Proposal{Kind: Remove, Endpoint: excessEndpoint.Name, FailureDomain: excessEndpoint.FailureDomain, Class: class,
		Reason: fmt.Sprintf("more %s endpoints than needed for %v", class, removeAfter)}
}
