// Package cleaning proposes which endpoint to empty for its weekly cleaning, and when.
package cleaning

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// earliest is the share of the period after which an endpoint may be cleaned. Cleaning ahead of time lets a pool use
	// times of low demand and catch up after an outage.
	earliest = 0.55
	// lowDemand is the share of the long average demand below which demand counts as low.
	lowDemand = 0.85
	// spare is the share of the remaining capacity that demand may use while an endpoint is cleaned.
	spare = 0.9
	// urgent is the share of the period from which an endpoint is cleaned at any time with spare capacity.
	urgent = 0.9
)

// Endpoint is one endpoint of a pool.
type Endpoint struct {
	Name          string
	FailureDomain string
	// LastCleaned is the time of the last cleaning; zero when unknown, which counts as due now.
	LastCleaned time.Time
	// Capacity is the work that the endpoint serves, in the unit of the pool's demand.
	Capacity float64
	// Running is the number of requests in progress.
	Running int
	// OutOfService is true when the endpoint serves nothing: it is lost, starts or leaves.
	OutOfService bool
}

// Pool is the planner's view of a pool.
type Pool struct {
	Name      string
	Endpoints []Endpoint
	// CleaningPeriod is the cleaning period.
	CleaningPeriod time.Duration
	// DemandShort and DemandLong are averages over minutes and over a day.
	DemandShort float64
	DemandLong  float64
	// DisruptionPlanned is true while any duty takes an endpoint of the pool out of service: a cleaning, a role change, a model
	// load or a withdrawal.
	DisruptionPlanned bool
}

// Proposal is one cleaning.
type Proposal struct {
	Endpoint string
	Reason   string
}

// Plan returns the endpoint to clean now, or nil when none is due or the pool can't spare one.
func Plan(pool Pool) *Proposal {
	if pool.DisruptionPlanned || pool.CleaningPeriod <= 0 {
		return nil
	}
	now := time.Now()
	capacity := 0.0
	var due []Endpoint
	for _, e := range pool.Endpoints {
		if e.OutOfService {
			continue
		}
		capacity += e.Capacity
		if pool.age(e, now) >= earliest {
			due = append(due, e)
		}
	}
	if len(due) == 0 {
		return nil
	}
	e := slices.MaxFunc(due, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(pool.age(a, now), pool.age(b, now)), cmp.Compare(b.Running, a.Running), cmp.Compare(b.Name, a.Name))
	})
	age := pool.age(e, now)
	if !pool.spares(e, capacity, age) {
		return nil
	}
	return &Proposal{Endpoint: e.Name, Reason: fmt.Sprintf("%.0f%% of its cleaning period has passed and demand uses %.0f%% of the other endpoints",
		100*age, 100*pool.DemandShort/max(1e-9, capacity-e.Capacity))}
}

// age returns the part of the cleaning period that has passed for an endpoint.
func (pool *Pool) age(e Endpoint, now time.Time) float64 {
	if e.LastCleaned.IsZero() {
		return 1
	}
	return now.Sub(e.LastCleaned).Seconds() / pool.CleaningPeriod.Seconds()
}

// spares tells whether the pool can do without the endpoint: always with spare capacity, and at low demand unless the
// endpoint is urgent. An overdue endpoint is not worth more than the service of callers: it waits for spare capacity too.
func (pool *Pool) spares(e Endpoint, capacity, age float64) bool {
	if pool.DemandShort > spare*(capacity-e.Capacity) {
		return false
	}
	return age >= urgent || pool.DemandShort <= lowDemand*pool.DemandLong
}
