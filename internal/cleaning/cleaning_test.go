package cleaning

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func testPool(age time.Duration) Pool {
	pool := Pool{Name: "p", CleaningPeriod: 168 * time.Hour, DemandShort: 3, DemandLong: 5}
	for i := range 9 {
		pool.Endpoints = append(pool.Endpoints, Endpoint{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%3), Capacity: 1,
			LastCleaned: time.Now().Add(-age - time.Duration(i)*time.Minute)})
	}
	return pool
}

// Guards against a cleaning that removes capacity that the pool needs, in particular while a failure domain is lost.
func TestCleaningWaitsForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if c := Plan(testPool(100 * time.Hour)); c == nil || c.Endpoint != "e8" {
			t.Fatalf("proposed %+v, want the endpoint cleaned longest ago", c)
		}
		lost := testPool(160 * time.Hour)
		lost.DemandShort = 4.8
		for i := range lost.Endpoints {
			lost.Endpoints[i].OutOfService = i%3 == 0
		}
		if c := Plan(lost); c != nil {
			t.Errorf("proposed %+v with a failure domain lost and no spare capacity", c)
		}
		lost.DemandShort = 3
		if c := Plan(lost); c == nil {
			t.Error("nothing proposed at low demand with a failure domain lost")
		}
		planned := testPool(160 * time.Hour)
		planned.DisruptionInProgress = true
		busy := testPool(100 * time.Hour)
		busy.DemandShort = 5
		for name, pool := range map[string]Pool{"planned disruption": planned, "high demand and not urgent": busy, "not due": testPool(10 * time.Hour)} {
			if c := Plan(pool); c != nil {
				t.Errorf("%s: proposed %+v", name, c)
			}
		}
	})
}
