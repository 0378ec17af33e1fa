package admission

import (
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// load is a team's load on a pool: requests at an interval, each of which runs for 100 ms.
type load struct {
	team   string
	every  time.Duration
	offset time.Duration
	each   int // requests at once; 0 is 1
	served int
	waited time.Duration // sum over served requests
}

// drive runs loads on a pool of 10 places, of which 6 are for teams above their share, and counts after the warm-up.
func drive(t *testing.T, q *Queue, warmUp, length time.Duration, loads ...*load) {
	q.SetCapacity("p", 10, 1e4)
	begin := time.Now()
	var mu sync.Mutex
	for step := time.Duration(0); step < warmUp+length; step += 10 * time.Millisecond {
		for _, l := range loads {
			if (step+l.offset)%l.every != 0 {
				continue
			}
			for range max(1, l.each) {
				go func() {
					asked := time.Now()
					ticket, err := q.Acquire(t.Context(), Request{Team: l.team, Pool: "p", Tokens: 100, Priority: 1, Deadline: asked.Add(2 * time.Second)})
					if err != nil {
						return
					}
					if asked.Sub(begin) >= warmUp {
						mu.Lock()
						l.served++
						l.waited += time.Since(asked)
						mu.Unlock()
					}
					time.Sleep(100 * time.Millisecond)
					ticket.Release(100)
				}()
			}
			synctest.Wait()
		}
		q.SetSurplusCapacity("p", 6, 10)
		q.SetCapacity("p", 10, 1e4)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

// Guards against a flood that the other teams feel: they must be admitted at once, and the flooding team must still get what
// they and the headroom leave.
func TestFloodLeavesHeadroom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flood, one, two := &load{team: "flood", every: 10 * time.Millisecond, each: 2}, &load{team: "one", every: 50 * time.Millisecond}, &load{team: "two", every: 50 * time.Millisecond, offset: 20 * time.Millisecond}
		q := New()
		drive(t, q, 10*time.Second, 10*time.Second, flood, one, two)
		for _, l := range []*load{one, two} {
			if l.waited > 0 || l.served != 200 {
				t.Errorf("team %s: %d of 200 requests served, which waited %v", l.team, l.served, l.waited)
			}
		}
		// Ten places serve 100 requests a second, six of them 60, and 40 are the others'.
		if flood.served < 190 {
			t.Errorf("the flooding team got %d places in 10 s, want 200", flood.served)
		}
	})
}

// Guards against headroom that nobody needs: a team that is alone must get the whole pool, and a team beside one that asks for
// next to nothing nearly the whole.
func TestLoneTeamUsesTheWholePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone := &load{team: "alone", every: 10 * time.Millisecond}
		drive(t, New(), 10*time.Second, 10*time.Second, alone)
		if alone.served < 990 {
			t.Errorf("a lone team got %d of 1000 places", alone.served)
		}
		main, rare := &load{team: "main", every: 10 * time.Millisecond}, &load{team: "rare", every: time.Second}
		double := &load{team: "main", every: 10 * time.Millisecond}
		drive(t, New(), 10*time.Second, 10*time.Second, main, double, rare)
		if got := main.served + double.served; got < 950 {
			t.Errorf("a team that is nearly alone got %d of 1000 places", got)
		}
	})
}

// Guards against starvation of a team above its share while the others use all that the headroom leaves it.
func TestSurplusIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flood := &load{team: "flood", every: 10 * time.Millisecond}
		loads := []*load{flood}
		for _, team := range []string{"a", "b", "c", "d"} {
			loads = append(loads, &load{team: team, every: 50 * time.Millisecond})
		}
		drive(t, New(), 10*time.Second, 10*time.Second, loads...)
		if flood.served < 30 {
			t.Errorf("the flooding team got %d places while others used 800 of 1000", flood.served)
		}
	})
}

// Guards against gateways that disagree on who floods: one that serves more than its part must find the same capacity.
func TestCapacityIsThePoolsAtEachGateway(t *testing.T) {
	now := time.Now()
	small := shares{served: meter{now, 100}, part: 0.1}
	large := shares{served: meter{now, 500}, part: 0.5}
	if a, b := small.capacity(now), large.capacity(now); math.Abs(a-b) > 1e-6 {
		t.Errorf("capacities %v and %v of one pool", a, b)
	}
}

// Guards against a wrong max-min level: teams below it get what they ask for, and the others equal parts of the rest by weight.
func TestLevelIsMaxMinFair(t *testing.T) {
	s := newShares(nil)
	for name, m := range map[string]struct{ demand, weight float64 }{"a": {10, 1}, "b": {30, 1}, "c": {200, 1}, "d": {200, 2}} {
		s.members[name] = &member{team: &team{name: name, weight: m.weight}, now: m.demand}
	}
	if got := s.level(160); math.Abs(got-40) > 1e-6 {
		t.Errorf("level %v, want 40: (160 - 10 - 30) / 3", got)
	}
	if got := s.level(1000); !math.IsInf(got, 1) {
		t.Errorf("level %v with room for all", got)
	}
}

// Guards against counts that go wrong when waiting requests change their class, and when a team with a surplus is forgotten.
func TestChangedClassKeepsCounts(t *testing.T) {
	q := New()
	q.SetCapacity("p", 1, 1e4)
	p := q.pools["p"]
	p.inFlight = 1
	flooder := q.team("flood")
	for range 3 {
		p.note(flooder, time.Now(), 100)
		p.enqueue(&waiter{pool: p, team: flooder, tokens: 100, class: 1})
	}
	p.enqueue(&waiter{pool: p, team: q.team("other"), tokens: 100, class: 1})
	m := p.shares.members["flood"]
	p.setSurplus(m, true)
	if p.within != 1 || p.waiting != 4 || p.classes[1].tokens != 100 || p.classes[4].tokens != 300 {
		t.Fatalf("within %d, waiting %d, tokens %d and %d", p.within, p.waiting, p.classes[1].tokens, p.classes[4].tokens)
	}
	p.setSurplus(m, false)
	if p.within != 4 || p.shares.marked != 0 || p.classes[1].weights != 2 || p.classes[4].weights != 0 {
		t.Errorf("within %d, marked %d, weights %v and %v", p.within, p.shares.marked, p.classes[1].weights, p.classes[4].weights)
	}
	p.setSurplus(m, true)
	p.forget("flood")
	if p.shares.marked != 0 {
		t.Errorf("%d teams marked, none left", p.shares.marked)
	}
}

// BenchmarkReview3500Teams measures the comparison of 3,500 teams with their shares.
func BenchmarkReview3500Teams(b *testing.B) {
	q := New()
	q.SetCapacity("p", 100, 1e6)
	p := q.pools["p"]
	now := time.Now()
	for i := range 3500 {
		p.note(q.team(string(rune('a'+i))), now, 100+i)
	}
	p.within = 1
	for b.Loop() {
		p.shares.reviewed = time.Time{}.Add(time.Hour)
		p.review(now)
	}
}

// Guards against a large team that is held back while an idle pool fills, since served work lags demand then.
func TestNoSurplusWhileThePoolFills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New()
		large, small := &load{team: "large", every: 10 * time.Millisecond, each: 2}, &load{team: "small", every: 50 * time.Millisecond}
		drive(t, q, 0, rampTime-time.Second, large, small)
		if m := q.pools["p"].shares.members["large"]; m == nil || !m.since.IsZero() {
			t.Errorf("large team held back from the start: %+v", m)
		}
	})
}
