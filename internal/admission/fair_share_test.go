package admission

import (
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// load is a team's load on a pool: bursts of requests at an interval, each of which runs for 100 ms.
type load struct {
	team     string
	interval time.Duration
	offset   time.Duration
	burst    int // requests per interval; 0 means 1
	served   int
	waited   time.Duration // sum over served requests
}

// runLoads runs loads on a pool with a capacity of 10 requests, 6 of them for teams above their share. It counts requests after the warm-up.
func runLoads(t *testing.T, q *Queue, warmUp, length time.Duration, loads ...*load) {
	q.SetCapacity("p", 10, 1e4)
	runStart := time.Now()
	var mu sync.Mutex
	for step := time.Duration(0); step < warmUp+length; step += 10 * time.Millisecond {
		for _, l := range loads {
			if (step+l.offset)%l.interval != 0 {
				continue
			}
			for range max(1, l.burst) {
				go func() {
					start := time.Now()
					ticket, err := q.Acquire(t.Context(), Request{Team: l.team, Pool: "p", Tokens: 100, Priority: 1, Deadline: start.Add(2 * time.Second)})
					if err != nil {
						return
					}
					if start.Sub(runStart) >= warmUp {
						mu.Lock()
						l.served++
						l.waited += time.Since(start)
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

// During a flood by one team, the requests of other teams must be admitted without waiting, and the flooding team must still get what they
// and the headroom leave.
func TestFloodLeavesHeadroom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flood, one, two := &load{team: "flood", interval: 10 * time.Millisecond, burst: 2}, &load{team: "one", interval: 50 * time.Millisecond}, &load{team: "two", interval: 50 * time.Millisecond, offset: 20 * time.Millisecond}
		q := New()
		runLoads(t, q, 10*time.Second, 10*time.Second, flood, one, two)
		for _, l := range []*load{one, two} {
			if l.waited > 0 || l.served != 200 {
				t.Errorf("team %s: %d of 200 requests served, which waited %v", l.team, l.served, l.waited)
			}
		}
		// A capacity of 10 serves 100 requests per second. Teams above their share get up to 6 of the 10, which serve 60, less the 40 of
		// the other teams.
		if flood.served < 190 {
			t.Errorf("%d requests of the flooding team served in 10 s, want about 200", flood.served)
		}
	})
}

// Headroom must not be reserved without need: a team that is alone must get the whole pool, and a team beside one with very little demand
// nearly the whole.
func TestLoneTeamUsesTheWholePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone := &load{team: "alone", interval: 10 * time.Millisecond}
		runLoads(t, New(), 10*time.Second, 10*time.Second, alone)
		if alone.served < 990 {
			t.Errorf("%d of 1000 requests of a lone team served", alone.served)
		}
		main, rare := &load{team: "main", interval: 10 * time.Millisecond}, &load{team: "rare", interval: time.Second}
		double := &load{team: "main", interval: 10 * time.Millisecond}
		runLoads(t, New(), 10*time.Second, 10*time.Second, main, double, rare)
		if got := main.served + double.served; got < 950 {
			t.Errorf("%d of 1000 requests served of a team that is nearly alone", got)
		}
	})
}

// A team above its share must not starve while the other teams use all the capacity that the headroom would leave it.
func TestSurplusIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flood := &load{team: "flood", interval: 10 * time.Millisecond}
		loads := []*load{flood}
		for _, team := range []string{"a", "b", "c", "d"} {
			loads = append(loads, &load{team: team, interval: 50 * time.Millisecond})
		}
		runLoads(t, New(), 10*time.Second, 10*time.Second, loads...)
		if flood.served < 30 {
			t.Errorf("%d requests of the flooding team served while others used 800 of 1000", flood.served)
		}
	})
}

// Gateways that serve unequal parts of the load must estimate the same capacity, else they disagree on which team has a surplus.
func TestCapacityEstimateIsSameAtEachGateway(t *testing.T) {
	now := time.Now()
	small := fairShares{admitted: tokenRate{now, 100}, inFlightFraction: 0.1}
	large := fairShares{admitted: tokenRate{now, 500}, inFlightFraction: 0.5}
	if a, b := small.estimateCapacity(now), large.estimateCapacity(now); math.Abs(a-b) > 1e-6 {
		t.Errorf("capacities %v and %v of one pool", a, b)
	}
}

// The max-min fair level must give teams below it their whole demand, and divide the rest among the others by weight.
func TestFairLevelIsMaxMin(t *testing.T) {
	s := newFairShares(nil)
	for name, m := range map[string]struct{ demand, weight float64 }{"a": {10, 1}, "b": {30, 1}, "c": {200, 1}, "d": {200, 2}} {
		s.demands[name] = &teamDemand{team: &team{name: name, weight: m.weight}, total: m.demand}
	}
	if got := s.fairLevel(160); math.Abs(got-40) > 1e-6 {
		t.Errorf("level %v, want 40: (160 - 10 - 30) / 3", got)
	}
	if got := s.fairLevel(1000); !math.IsInf(got, 1) {
		t.Errorf("level %v with room for all", got)
	}
}

// The pool's counts must stay correct when waiting requests change their class, and when a team with a surplus is removed.
func TestChangedClassKeepsCounts(t *testing.T) {
	q := New()
	q.SetCapacity("p", 1, 1e4)
	p := q.pools["p"]
	p.inFlight = 1
	flooder := q.team("flood")
	for range 3 {
		p.recordDemand(flooder, time.Now(), 100)
		p.enqueue(&waiter{pool: p, team: flooder, tokens: 100, class: 1})
	}
	p.enqueue(&waiter{pool: p, team: q.team("other"), tokens: 100, class: 1})
	d := p.shares.demands["flood"]
	p.setSurplus(d, true)
	if p.waitingWithinShare != 1 || p.waiting != 4 || p.classes[1].waitingTokens != 100 || p.classes[4].waitingTokens != 300 {
		t.Fatalf("%d waiting within their share, %d in total; tokens %d and %d", p.waitingWithinShare, p.waiting, p.classes[1].waitingTokens, p.classes[4].waitingTokens)
	}
	p.setSurplus(d, false)
	if p.waitingWithinShare != 4 || p.shares.surplusTeams != 0 || p.classes[1].weightSum != 2 || p.classes[4].weightSum != 0 {
		t.Errorf("%d waiting within their share, %d teams with a surplus, weights %v and %v", p.waitingWithinShare, p.shares.surplusTeams, p.classes[1].weightSum, p.classes[4].weightSum)
	}
	p.setSurplus(d, true)
	p.removeTeam("flood")
	if p.shares.surplusTeams != 0 {
		t.Errorf("%d teams with a surplus after the only one was removed", p.shares.surplusTeams)
	}
}

// BenchmarkReview3500Teams measures the comparison of 3,500 teams with their shares.
func BenchmarkReview3500Teams(b *testing.B) {
	q := New()
	q.SetCapacity("p", 100, 1e6)
	p := q.pools["p"]
	now := time.Now()
	for i := range 3500 {
		p.recordDemand(q.team(string(rune('a'+i))), now, 100+i)
	}
	p.waitingWithinShare = 1
	for b.Loop() {
		p.shares.reviewedAt = time.Time{}.Add(time.Hour)
		p.reviewShares(now)
	}
}

// A large team must not be restricted while an idle pool fills: admitted work lags demand then, so the team seems to have a surplus.
func TestNoSurplusWhileThePoolFills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New()
		large, small := &load{team: "large", interval: 10 * time.Millisecond, burst: 2}, &load{team: "small", interval: 50 * time.Millisecond}
		runLoads(t, q, 0, rampUpTime-time.Second, large, small)
		if m := q.pools["p"].shares.demands["large"]; m == nil || !m.surplusSince.IsZero() {
			t.Errorf("large team restricted during ramp-up: %+v", m)
		}
	})
}
