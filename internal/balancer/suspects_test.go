package balancer

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against innocent requests that die a second time because they run beside the request that crashed their first endpoint, at
// this gateway or at another, and against suspects that find no place at all.
func TestSuspectsAreKeptApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		b.SetSuspectOwnership(func(endpoint string) bool { return endpoint < "e002" })
		withEngines(b, 6)
		until := time.Now().Add(time.Minute)
		place := func(suspect uint64) (*Choice, time.Duration) {
			begin := time.Now()
			c, err := b.ChooseWithDeadline(t.Context(), Request{Pool: "p", SuspectFingerprint: suspect}, until)
			if err != nil {
				t.Fatal(err)
			}
			return c, time.Since(begin)
		}
		used := make(map[string]bool)
		for suspect := range uint64(6) {
			c, waited := place(suspect + 1)
			name := c.Endpoint.Name
			if used[name] {
				t.Errorf("suspect %d runs beside another at %s", suspect+1, name)
			}
			if own := name < "e002"; own != (suspect < 2) || own != (waited == 0) {
				t.Errorf("suspect %d runs at %s after %v", suspect+1, name, waited)
			}
			used[name] = true
			defer c.Done(Outcome{})
		}
		last, waited := place(7)
		if waited != suspectWait {
			t.Errorf("a suspect without a place of its own waited %v", waited)
		}
		last.Done(Outcome{})
		if n := len(last.state.suspects); n != 1 {
			t.Errorf("%d suspects counted at %s after the end of one of two", n, last.Endpoint.Name)
		}
	})
}
