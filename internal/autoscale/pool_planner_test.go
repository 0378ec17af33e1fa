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

// applyProposals executes proposals until Plan returns none, at most 100. An Add fails if available returns false.
func applyProposals(p *Planner, pool *Pool, available func(*Proposal) bool) (orders int) {
	for range 100 {
		proposal := p.Plan(*pool)
		if proposal == nil {
			return orders
		}
		orders++
		switch {
		case proposal.Kind == Remove:
			for i := range pool.Endpoints {
				if pool.Endpoints[i].Name == proposal.Endpoint {
					pool.Endpoints[i].Leaving = true
				}
			}
		case available(proposal):
			pool.Endpoints = append(pool.Endpoints, Endpoint{Name: fmt.Sprint("e", len(pool.Endpoints)), FailureDomain: proposal.FailureDomain, Class: proposal.Class})
		default:
			p.MarkUnavailable(pool.Name, proposal.FailureDomain, proposal.Class)
		}
	}
	return orders
}

func alwaysAvailable(*Proposal) bool { return true }

// Guards against a pool that can't serve its base demand after the loss of a failure domain, and against reclaimable endpoints
// concentrated in one domain.
func TestBaseDemandSurvivesDomainLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := testPool(6, 12)
		applyProposals(NewPlanner(), &pool, alwaysAvailable)
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
				t.Errorf("loss of %s: %d on-demand endpoints remain, %d reclaimable ones lost", lost, left, reclaimed)
			}
		}
		if len(pool.Endpoints) != 12 {
			t.Errorf("%d endpoints, want 12", len(pool.Endpoints))
		}
	})
}

// Guards against waiting for reclaimable endpoints when none is available, and against orders that flap with demand.
func TestUnavailableReclaimablesAndLowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, pool := NewPlanner(), testPool(6, 12)
		applyProposals(p, &pool, func(c *Proposal) bool { return c.Class == apitypes.OnDemand })
		if n := pool.count(apitypes.OnDemand); n != 12 {
			t.Errorf("%d on-demand endpoints, want 12 in place of reclaimable ones", n)
		}
		pool.Forecast = 9
		if applyProposals(p, &pool, alwaysAvailable); pool.count(apitypes.OnDemand) != 12 {
			t.Error("removed endpoints at once")
		}
		time.Sleep(removeAfter)
		if applyProposals(p, &pool, alwaysAvailable); pool.count(apitypes.OnDemand) != 9 {
			t.Errorf("%d endpoints long after demand fell, want 9", pool.count(apitypes.OnDemand))
		}
	})
}
