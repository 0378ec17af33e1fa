package balancer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// ejectedPool returns a balancer of a pool of four endpoints. Two of them are ejected, and the others then accept no new work.
func ejectedPool(t *testing.T) *Balancer {
	b := New(1)
	withEngines(b, 4)
	for range 100 {
		c := choose(t, b, Request{})
		c.Done(Outcome{Failed: c.Endpoint.Name < "e002"})
	}
	for i := 2; i < 4; i++ {
		leaving := engine(fmt.Sprintf("e%03d", i), b.endpoints["e000"].Load)
		leaving.NoNewWork = true
		b.UpdateEndpoint("p", leaving)
	}
	return b
}

// When all endpoints that accept work are ejected, for up to 30 s, the pool must serve requests soon after they recover. Until then, they must
// get at most one last-resort request per second besides their probes.
func TestEjectedPoolGetsLastResortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := ejectedPool(t)
		attempts := 0
		const failing = 60
		for end := time.Now().Add(failing * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			admitted, _ := b.Capacity("p", 1)
			c, err := b.Choose(Request{Pool: "p"})
			if err != nil {
				continue
			}
			if attempts++; admitted == 0 {
				t.Error("capacity is 0 although the balancer chooses an endpoint")
			}
			c.Done(Outcome{Failed: true})
		}
		// Each of the two endpoints gets a probe after 1, 3, 7, 15, 31 and 61 s, in addition to one last-resort request per second.
		if attempts < failing-1 || attempts > failing+2*6 {
			t.Errorf("%d attempts in %d s", attempts, failing)
		}
		recovered := time.Now()
		for {
			c, err := b.Choose(Request{Pool: "p"})
			if err == nil {
				c.RecordFirstToken()
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if waited := time.Since(recovered); waited > baseEjectionTime {
			t.Errorf("the first request after the recovery waited %v", waited)
		}
		// After the first token of the probe, other requests must not wait for its end.
		choose(t, b, Request{})
	})
}

// An endpoint that responds to probes with a first token and then fails must not get three more requests after each probe.
func TestFirstTokenOfProbeStartsProbation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		withEngines(b, 4)
		failed := make([]int, 60)
		for begin := time.Now(); time.Since(begin) < 60*time.Second; time.Sleep(10 * time.Millisecond) {
			c := choose(t, b, Request{})
			c.RecordFirstToken()
			c.Done(Outcome{Failed: c.Endpoint.Name == "e000"})
			if c.Endpoint.Name == "e000" {
				failed[int(time.Since(begin).Seconds())]++
			}
		}
		total := 0
		for _, n := range failed {
			total += n
		}
		// Three failures, then one probe after each ejection of 1, 2, 4, 8, 16 and 30 s.
		if total > 3+6 {
			t.Errorf("%d requests at a failing endpoint in 60 s: %v", total, failed)
		}
	})
}

// Only endpoints that accept work count for the limit of half the pool, else ejections could leave none while others accept no new work.
func TestEjectionCountsEndpointsThatTakeWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		withEngines(b, 4)
		for i := range 2 {
			drained := engine(fmt.Sprintf("e%03d", i), b.endpoints["e002"].Load)
			drained.NoNewWork = true
			b.UpdateEndpoint("p", drained)
		}
		for range 50 {
			choose(t, b, Request{}).Done(Outcome{Failed: true})
		}
	})
}

// A request that failed at the only healthy endpoint must be retried at an ejected one.
func TestEjectedEndpointIsLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		withEngines(b, 2)
		ejected := ""
		for ejected == "" {
			c := choose(t, b, Request{})
			c.Done(Outcome{Failed: c.Endpoint.Name == "e000"})
			if c.state.ejection.ejected {
				ejected = c.Endpoint.Name
			}
		}
		if got := choose(t, b, Request{Exclude: []string{"e001"}}).Endpoint.Name; got != ejected {
			t.Errorf("chose %s, want %s", got, ejected)
		}
	})
}
