package balancer

import (
	"testing"
	"testing/synctest"
	"time"
)

// Suspects of one or several gateways must run at different endpoints where possible. Otherwise a request that did not cause the first crash
// can fail again beside the one that did. When there are more suspects than endpoints, they must still be served.
func TestSuspectsAreIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		b.SetSuspectOwnership(func(endpoint string) bool { return endpoint < "e002" })
		withEngines(b, 6)
		until := time.Now().Add(time.Minute)
		chooseFor := func(suspect uint64) (*Choice, time.Duration) {
			start := time.Now()
			c, err := b.ChooseWithDeadline(t.Context(), Request{Pool: "p", SuspectFingerprint: suspect}, until)
			if err != nil {
				t.Fatal(err)
			}
			return c, time.Since(start)
		}
		usedEndpoints := make(map[string]bool)
		for suspect := range uint64(6) {
			c, waited := chooseFor(suspect + 1)
			name := c.Endpoint.Name
			if usedEndpoints[name] {
				t.Errorf("suspect %d runs with another at %s", suspect+1, name)
			}
			if own := name < "e002"; own != (suspect < 2) || own != (waited == 0) {
				t.Errorf("suspect %d runs at %s after %v", suspect+1, name, waited)
			}
			usedEndpoints[name] = true
			defer c.Done(Outcome{})
		}
		last, waited := chooseFor(7)
		if waited != maxIsolationWait {
			t.Errorf("a suspect without an endpoint of its own waited %v", waited)
		}
		last.Done(Outcome{})
		if n := len(last.state.suspects); n != 1 {
			t.Errorf("%d suspects counted at %s after the end of one of two", n, last.Endpoint.Name)
		}
	})
}
