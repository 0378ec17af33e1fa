package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"crocusglade.example/crocusglade/internal/catalog"
)

// Guards in random schedules of notices, entries of the store, restarts and time: a leaving or pausing endpoint gets no work, whatever the
// store lists; an endpoint that accepts work gets it; and a new start of an endpoint has a clean state.
func TestNoticesDecideInRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = playNotices(seed) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// noticeModel is what one start of an endpoint has said, as the test knows it.
type noticeModel struct {
	leaving   bool
	notBefore time.Time
}

// playNotices plays the schedule of a seed and returns what went wrong, or "".
func playNotices(seed uint64) string {
	const endpoints, slots = 4, 8
	rng := rand.New(rand.NewPCG(seed, 5))
	f := New("z", DefaultWeights)
	f.SetServices(map[string]catalog.Service{"app": {Name: "app"}})
	starts, listed, draining := make([]int64, endpoints), make([]bool, endpoints), make([]bool, endpoints)
	models := make(map[incarnation]*noticeModel)
	entry := func(n int) catalog.Endpoint {
		return catalog.Endpoint{ID: fmt.Sprint("e", n), Service: "app", Slots: slots, StartedAtMS: starts[n], Draining: draining[n]}
	}
	model := func(e catalog.Endpoint) *noticeModel {
		if models[incarnationOf(&e)] == nil {
			models[incarnationOf(&e)] = &noticeModel{}
		}
		return models[incarnationOf(&e)]
	}
	publish := func() {
		var list []catalog.Endpoint
		for n := range endpoints {
			if listed[n] {
				list = append(list, entry(n))
			}
		}
		f.SetEndpoints(list)
	}
	var running []*Attempt
	for range 200 {
		n := rng.IntN(endpoints)
		e := entry(n)
		switch rng.IntN(8) {
		case 0:
			listed[n] = !listed[n]
			publish()
		case 1:
			draining[n] = rng.IntN(4) == 0
			publish()
		case 2:
			if rng.IntN(3) == 0 {
				starts[n]++
				draining[n] = false
				publish()
			}
		case 3:
			if rng.IntN(4) == 0 {
				model(e).leaving = true
				f.RecordNotice(&e, Notice{Leaving: true})
			}
		case 4:
			if listed[n] && rng.IntN(4) == 0 {
				model(e).leaving = true
				f.RecordPeerLeaving(e.ID, e.StartedAtMS)
			}
		case 5:
			pause := time.Duration(rng.IntN(3000)) * time.Millisecond
			if until := time.Now().Add(pause); pause > 0 && until.After(model(e).notBefore) { // a pause of 0 is none
				model(e).notBefore = until
			}
			f.RecordNotice(&e, Notice{Pause: pause})
		case 6:
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		case 7:
			for _, a := range running {
				a.Done(Served)
			}
			running = nil
		}
		want := false
		for n := range endpoints {
			m := model(entry(n))
			rested := m.notBefore.IsZero() || time.Since(m.notBefore) >= rampTime
			want = want || listed[n] && !draining[n] && !m.leaving && rested
		}
		wait, free := f.NextFree("app", "", Filter{})
		a := f.PlaceCall("app", Filter{})
		if a == nil {
			if want || free && wait == 0 {
				return fmt.Sprintf("no endpoint was selected although one accepts work (free %v in %v)", free, wait)
			}
			continue
		}
		running = append(running, a)
		m := model(a.Endpoint)
		switch inProgress := f.endpoints[a.Endpoint.ID].ownWork.Running; {
		case m.leaving:
			return a.Endpoint.ID + " got work although it leaves"
		case time.Now().Before(m.notBefore):
			return a.Endpoint.ID + " got work in its pause"
		case !m.notBefore.IsZero() && time.Since(m.notBefore) < rampTime && inProgress > rampStart+slots:
			return fmt.Sprintf("%s got %d requests right after its pause", a.Endpoint.ID, inProgress)
		case !f.MayReceive(&a.Endpoint):
			return a.Endpoint.ID + " was selected although it may receive nothing"
		}
	}
	return ""
}

// Guards against all requests that waited for the end of a pause arriving at once.
func TestLoadReturnsGraduallyAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New("z", DefaultWeights)
		f.SetServices(map[string]catalog.Service{"app": {Name: "app"}})
		e := catalog.Endpoint{ID: "a", Service: "app", Slots: 20}
		f.SetEndpoints([]catalog.Endpoint{e})
		f.RecordNotice(&e, Notice{Pause: time.Second})
		time.Sleep(time.Second)
		for elapsed, want := range []int{rampStart, rampStart + 5, rampStart + 10, rampStart + 15} {
			for f.PlaceCall("app", Filter{}) != nil {
			}
			if got := f.endpoints["a"].ownWork.Running; got != want {
				t.Errorf("%d ms after the pause %d requests are in progress, want %d", elapsed*250, got, want)
			}
			time.Sleep(rampTime / 4)
		}
		if f.PlaceCall("app", Filter{}) == nil {
			t.Error("the limit still holds after the ramp")
		}
	})
}

// Guards against pauses that count as failures: they must not eject an endpoint, and planners must still count it.
func TestPauseIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New("z", DefaultWeights)
		f.SetServices(map[string]catalog.Service{"app": {Name: "app"}})
		f.SetEndpoints([]catalog.Endpoint{{ID: "a", Service: "app", Slots: 4}})
		for range 2 * failuresToEject {
			a := f.PlaceCall("app", Filter{})
			f.RecordNotice(&a.Endpoint, Notice{Pause: time.Second})
			a.Done(Refused)
			if list := f.Endpoints("app"); len(list) != 1 || list[0].Draining {
				t.Fatalf("endpoints are %+v", list)
			}
			time.Sleep(time.Second)
			if e := f.endpoints["a"]; e.ejected(time.Now()) || e.failureEMA > 0 {
				t.Fatal("the pause counts as a failure")
			}
		}
	})
}
