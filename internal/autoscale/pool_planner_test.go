package autoscale

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

func testPool(base, forecast float64) Pool {
	return Pool{Name: "p", Domains: []string{"a", "b", "c"}, Base: base, Demand: base, Forecast: forecast, MaxEndpoints: 20}
}

// apply carries out proposals until there are none.
func apply(p *Planner, pool *Pool, available func(*Proposal) bool) (orders int) {
	for range 100 {
		c := p.Plan(*pool)
		if c == nil {
			return orders
		}
		orders++
		switch {
		case c.Kind == Remove:
			for i := range pool.Endpoints {
				if pool.Endpoints[i].Name == c.Endpoint {
					pool.Endpoints[i].Leaving = true
				}
			}
		case available(c):
			pool.Endpoints = append(pool.Endpoints, Endpoint{Name: fmt.Sprint("e", len(pool.Endpoints)), FailureDomain: c.FailureDomain, Class: c.Class})
		default:
			p.MarkUnavailable(pool.Name, c.FailureDomain, c.Class)
		}
	}
	return orders
}

func all(*Proposal) bool { return true }

// Guards against a fleet that can't serve its base once a failure domain is lost, and against reclaimable endpoints in one.
func TestBaseSurvivesAnyDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := testPool(6, 12)
		apply(NewPlanner(), &pool, all)
		for _, lost := range pool.Domains {
			left, reclaimed := 0, 0
			for _, e := range pool.Endpoints {
				switch {
				case e.Class == apitypes.OnDemand && e.FailureDomain != lost:
					left++
				case e.Class == apitypes.Reclaimable && e.FailureDomain == lost:
					reclaimed++
				}
			}
			if left < 6 || reclaimed > 1 {
				t.Errorf("%s lost: %d on-demand endpoints left, %d reclaimable ones gone", lost, left, reclaimed)
			}
		}
		if len(pool.Endpoints) != 12 {
			t.Errorf("%d endpoints, want 12", len(pool.Endpoints))
		}
	})
}

// Guards against waiting for reclaimable endpoints when there are none, and against orders that flap with demand.
func TestNoneToBeHadAndLulls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, pool := NewPlanner(), testPool(6, 12)
		apply(p, &pool, func(c *Proposal) bool { return c.Class == apitypes.OnDemand })
		if n := pool.count(apitypes.OnDemand); n != 12 {
			t.Errorf("%d on-demand endpoints, want 12 in the place of reclaimable ones", n)
		}
		pool.Forecast = 9
		if apply(p, &pool, all); pool.count(apitypes.OnDemand) != 12 {
			t.Error("gave endpoints back at once")
		}
		time.Sleep(removeAfter)
		if apply(p, &pool, all); pool.count(apitypes.OnDemand) != 9 {
			t.Errorf("%d endpoints long after the lull began, want 9", pool.count(apitypes.OnDemand))
		}
	})
}
