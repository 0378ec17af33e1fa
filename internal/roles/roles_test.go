package roles

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

func testPool(prefill, decode float64) Pool {
	pool := Pool{Name: "p", ChangeTime: 5 * time.Second, Demand: Demand{PrefillShort: prefill, DecodeShort: decode},
		Capacities: map[apitypes.Role]Capacity{
			apitypes.RolePrefill: {16000, 250}, apitypes.RoleMixed: {10000, 640}, apitypes.RoleDecode: {4000, 1000}}}
	for i := range 9 {
		pool.Endpoints = append(pool.Endpoints, Endpoint{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%3), Role: apitypes.RoleMixed})
	}
	return pool
}

// Guards against role flapping: demand that alternates every half minute must not change a role each time.
func TestRolesDoNotFlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPlanner()
		pool := testPool(0, 0)
		changes := 0
		for step := range 60 {
			pool.Demand = Demand{PrefillShort: 95000, DecodeShort: 2000}
			if step%2 == 1 {
				pool.Demand = Demand{PrefillShort: 40000, DecodeShort: 6000}
			}
			if c := p.Plan(pool); c != nil {
				changes++
				for i := range pool.Endpoints {
					if pool.Endpoints[i].Name == c.Endpoint {
						pool.Endpoints[i].Role = c.Role
					}
				}
			}
			time.Sleep(30 * time.Second)
		}
		if changes > 2 {
			t.Errorf("%d changes in 60 alternations of demand", changes)
		}
	})
}

// planConfirmed calls Plan twice, confirmationTime apart, and returns the second result.
func planConfirmed(pool Pool) *Proposal {
	p := NewPlanner()
	p.Plan(pool)
	time.Sleep(confirmationTime)
	return p.Plan(pool)
}

// Guards against role changes without need, during a planned disruption, and of engines that are out of service.
func TestNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loss := testPool(95000, 1000)
		loss.PlannedLoss = true
		out := testPool(95000, 1000)
		for i := range out.Endpoints {
			out.Endpoints[i].OutOfService = true
		}
		for name, pool := range map[string]Pool{"served": testPool(60000, 3000), "planned disruption": loss, "all out": out, "idle": testPool(0, 0)} {
			if c := planConfirmed(pool); c != nil {
				t.Errorf("%s: proposed %+v", name, c)
			}
		}
		if c := planConfirmed(testPool(95000, 1000)); c == nil || c.Role != apitypes.RolePrefill || c.Reason == "" {
			t.Errorf("shift to prompt work: proposed %+v", c)
		}
	})
}

// Guards against role changes caused by noise in the short averages while the long averages are constant. Such noise caused up to
// three changes during a slow shift of demand.
func TestNoiseChangesNoRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPlanner()
		pool := testPool(0, 0)
		for step := range 120 {
			noise := 1 + 0.1*float64(step/30%2)
			pool.Demand = Demand{PrefillShort: 74000 * noise, PrefillLong: 74000, DecodeShort: 4000 / noise, DecodeLong: 4000}
			if c := p.Plan(pool); c != nil {
				t.Fatalf("change of %s to %s in step %d", c.Endpoint, c.Role, step)
			}
			time.Sleep(confirmationTime)
		}
	})
}

// Guards against a response to a shift of demand that is delayed until the long averages follow: a shift of the ratio or of the level
// alone must cause a change after confirmationTime.
func TestDemandShiftCausesChange(t *testing.T) {
	for name, long := range map[string]Demand{
		"ratio": {PrefillLong: 60000, DecodeLong: 4000},
		"level": {PrefillLong: 50000, DecodeLong: 1000},
	} {
		synctest.Test(t, func(t *testing.T) {
			pool := testPool(95000, 2000)
			pool.Demand.PrefillLong, pool.Demand.DecodeLong = long.PrefillLong, long.DecodeLong
			if planConfirmed(pool) == nil {
				t.Errorf("no change after a shift of the %s", name)
			}
		})
	}
}
