// Package cleaning plans the periodic cleaning of endpoints: it proposes which endpoint of a pool to drain and clean next, and when.
package cleaning

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// minAgeShare is the share of the cleaning period after which an endpoint may be cleaned. Cleaning before the period has passed
	// lets a pool use times of low demand and catch up after an outage.
	minAgeShare = 0.55
	// lowDemandShare is the share of the long-term average demand up to which the current demand counts as low.
	lowDemandShare = 0.85
	// maxUtilization is the share of the capacity of the other endpoints that demand may use while an endpoint is cleaned.
	maxUtilization = 0.9
	// urgentAgeShare is the share of the cleaning period after which an endpoint is cleaned even when demand isn't low.
	urgentAgeShare = 0.9
)

// Endpoint is one endpoint of a pool.
type Endpoint struct {
	Name          string
	FailureDomain string
	// LastCleaned is the time of the last cleaning. Zero means unknown, and the endpoint is then due.
	LastCleaned time.Time
	// Capacity is the demand that the endpoint can serve, in the unit of the pool's demand.
	Capacity float64
	// Running is the number of requests in progress.
	Running int
	// OutOfService is set when the endpoint serves no requests, for example because it is lost, starting or draining.
	OutOfService bool
}

// Pool describes a pool of endpoints for Plan.
type Pool struct {
	Name      string
	Endpoints []Endpoint
	// CleaningPeriod is the time between two cleanings of an endpoint. Plan proposes nothing if it isn't positive.
	CleaningPeriod time.Duration
	// DemandShort and DemandLong are the average demand over minutes and over a day.
	DemandShort float64
	DemandLong  float64
	// DisruptionInProgress is set while any duty takes an endpoint of the pool out of service: for a cleaning, a role change, a model load
	// or a withdrawal.
	DisruptionInProgress bool
}

// Proposal names the endpoint to clean and the reason.
type Proposal struct {
	Endpoint string
	Reason   string
}

// Plan proposes the endpoint to clean now: the due endpoint that was cleaned longest ago. It returns nil when none is due, when the pool
// can't spare that endpoint or when another disruption is in progress.
func Plan(pool Pool) *Proposal {
	if pool.DisruptionInProgress || pool.CleaningPeriod <= 0 {
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
		if pool.ageShare(e, now) >= minAgeShare {
			due = append(due, e)
		}
	}
	if len(due) == 0 {
		return nil
	}
	e := slices.MaxFunc(due, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(pool.ageShare(a, now), pool.ageShare(b, now)), cmp.Compare(b.Running, a.Running), cmp.Compare(b.Name, a.Name))
	})
	ageShare := pool.ageShare(e, now)
	if !pool.canSpare(e, capacity, ageShare) {
		return nil
	}
	return &Proposal{Endpoint: e.Name, Reason: fmt.Sprintf("%.0f%% of its cleaning period has passed and demand uses %.0f%% of the other endpoints",
		100*ageShare, 100*pool.DemandShort/max(1e-9, capacity-e.Capacity))}
}

// ageShare returns the share of the cleaning period that has passed since an endpoint's last cleaning.
func (pool *Pool) ageShare(e Endpoint, now time.Time) float64 {
	if e.LastCleaned.IsZero() {
		return 1
	}
	return now.Sub(e.LastCleaned).Seconds() / pool.CleaningPeriod.Seconds()
}

// canSpare reports whether the pool can serve its demand without the endpoint. The other endpoints must have spare capacity, even if the
// cleaning is overdue, because serving callers is more important. Before the cleaning is urgent, demand must also be low.
func (pool *Pool) canSpare(e Endpoint, capacity, ageShare float64) bool {
	if pool.DemandShort > maxUtilization*(capacity-e.Capacity) {
		return false
	}
	return ageShare >= urgentAgeShare || pool.DemandShort <= lowDemandShare*pool.DemandLong
}
