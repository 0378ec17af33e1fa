package balancer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// ejectedPool returns a balancer of a pool of which half the endpoints fail, and the rest then takes no new work.
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

// Guards against a pool that stays closed after its endpoints have recovered, because all that are left are ejected for up to 30 s,
// and against trials that put more than a little load on it while they have not.
func TestEjectedPoolIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := ejectedPool(t)
		tries := 0
		const failing = 60
		for end := time.Now().Add(failing * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			admitted, _ := b.Capacity("p", 1)
			c, err := b.Choose(Request{Pool: "p"})
			if err != nil {
				continue
			}
			if tries++; admitted == 0 {
				t.Error("admission refuses what the balancer would try")
			}
			c.Done(Outcome{Failed: true})
		}
		// Two endpoints end their ejections at 1, 3, 7, 15, 31 and 61 s, beside one trial a second.
		if tries < failing-1 || tries > failing+2*6 {
			t.Errorf("%d trials in %d s", tries, failing)
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
		if waited := time.Since(recovered); waited > firstEjection {
			t.Errorf("the first request after the recovery waited %v", waited)
		}
		// The trial has its first token, so others need not wait for its end.
		choose(t, b, Request{})
	})
}

// Guards against an endpoint that answers trials with a first token and then fails, and so gets three more requests each second.
func TestTrialWithoutEndIsNotTrusted(t *testing.T) {
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
		// Three failures, then one trial after 1, 2, 4, 8, 16 and 30 s.
		if total > 3+6 {
			t.Errorf("%d requests at a failing endpoint in 60 s: %v", total, failed)
		}
	})
}

// Guards against an ejection that leaves no endpoint, where a part of the pool takes no new work.
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

// Guards against a request that is given up after one endpoint has failed it, while the only other one is ejected.
func TestEjectedEndpointIsTriedAfterTheLast(t *testing.T) {
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
