package quota

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testLimit is a quota in tokens.
var testLimit = Limit{RatePerSecond: 50_000, Burst: 100_000}

// TestMain fixes the seed of property tests, so that each run checks the same schedules. The flag -rapid.seed still chooses others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err) // the flag is registered by package rapid
	}
	flag.Parse()
	os.Exit(m.Run())
}

func limitsOf(limit Limit) map[string]Limit { return map[string]Limit{"team": limit} }

// Guards against a team that gets more than its quota because many VMs grant from the same remainder, and against one that gets less
// because it asks for more.
func TestOverload(t *testing.T) {
	for _, vms := range []int{1, 2, 31} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			s := newSimulation(t, 1, 31, limitsOf(testLimit))
			s.run(4*time.Second, func() {})
			s.run(12*time.Second, s.flood("team", testLimit, 10, vms))
			s.expectBound("team", testLimit, 0)
			got, want := s.grantedCost("team", 8*time.Second), 0.9*testLimit.RatePerSecond*8
			t.Logf("granted %.3f of the rate", float64(got)/testLimit.RatePerSecond/8)
			if float64(got) < want {
				t.Errorf("granted %d under overload, want at least %.0f", got, want)
			}
		})
	}
}

// Guards against refusals below the quota: at 95% of the limit at least 97% must be served, wherever the requests arrive.
func TestServedBelowLimit(t *testing.T) {
	const share, wanted = 0.95, 0.97
	for _, vms := range []int{4, 31} {
		for name, load := range map[string]func(s *simulation) func(){
			"one VM":      func(s *simulation) func() { return s.flood("team", testLimit, share, 1) },
			"all in turn": func(s *simulation) func() { return s.inTurn(testLimit, share) },
			"at random":   func(s *simulation) func() { return s.flood("team", testLimit, share, vms) },
			"bursts":      func(s *simulation) func() { return s.bursts(testLimit, share, time.Second) },
			"full bursts": func(s *simulation) func() { return s.bursts(testLimit, share, 2*time.Second) },
		} {
			t.Run(fmt.Sprintf("%d VMs, %s", vms, name), func(t *testing.T) {
				s := newSimulation(t, 2, vms, limitsOf(testLimit))
				s.run(4*time.Second, func() {})
				s.run(12*time.Second, load(s))
				served := float64(s.grantedCost("team", 0)) / float64(s.asked["team"])
				t.Logf("served %.4f", served)
				if served < wanted {
					t.Errorf("served %.4f", served)
				}
				s.expectBound("team", testLimit, 0)
			})
		}
	}
}

// inTurn returns a load whose requests go to one VM after the other.
func (s *simulation) inTurn(limit Limit, share float64) func() {
	var owed float64
	next := 0
	return func() {
		owed += limit.RatePerSecond * share * tick.Seconds()
		for owed > 0 {
			cost := 500 + s.random.Int64N(2500)
			s.ask(next%len(s.vms), "team", cost)
			next++
			owed -= float64(cost)
		}
	}
}

// bursts returns a load of the whole cost of an interval at once, each at another VM.
func (s *simulation) bursts(limit Limit, share float64, interval time.Duration) func() {
	ticks, next := 0, 0
	return func() {
		if ticks++; ticks%int(interval/tick) != 0 {
			return
		}
		next++
		for owed := limit.RatePerSecond * share * interval.Seconds(); owed > 0; {
			cost := 500 + s.random.Int64N(2500)
			s.ask(next%len(s.vms), "team", cost)
			owed -= float64(cost)
		}
	}
}

// Guards against refusals below the quota in a deployment with a long period of reports.
func TestServedBelowLimitWithManyVMs(t *testing.T) {
	s := newSimulation(t, 2, 86, limitsOf(testLimit))
	s.run(2500*time.Millisecond, func() {})
	s.run(3*time.Second, s.inTurn(testLimit, 0.95))
	if served := float64(s.grantedCost("team", 0)) / float64(s.asked["team"]); served < 0.97 {
		t.Errorf("served %.4f", served)
	}
}

// Guards against a team so large that what 31 VMs grant before they hear of each other exceeds the bound.
func TestOverloadOfLargeTeam(t *testing.T) {
	limit := Limit{RatePerSecond: 150_000, Burst: 300_000}
	s := newSimulation(t, 6, 31, limitsOf(limit))
	s.run(4*time.Second, func() {})
	s.run(10*time.Second, s.flood("team", limit, 10, 31))
	s.expectBound("team", limit, 0)
}

// Guards against a lowered limit that binds late, and against a raised one that isn't used at once.
func TestChangedLimits(t *testing.T) {
	s := newSimulation(t, 3, 16, limitsOf(testLimit))
	load := s.flood("team", testLimit, 10, 16)
	s.run(12*time.Second, load)
	lowered := Limit{RatePerSecond: 5_000, Burst: 10_000}
	s.setLimits(limitsOf(lowered))
	changedAt := s.now
	s.run(20*time.Second, load)
	s.expectBound("team", lowered, changedAt)
	raisedAt := s.now
	s.setLimits(limitsOf(testLimit))
	s.run(4*time.Second, load)
	if got, want := s.grantedCost("team", raisedAt), 0.9*4*testLimit.RatePerSecond; float64(got) < want {
		t.Errorf("granted %d after the raise, want %.0f", got, want)
	}
	s.setLimits(nil)
	if !s.ask(0, "team", 1<<40) {
		t.Error("refused without a limit")
	}
}

// Guards against VMs that grant more than their part while they are frozen, partitioned or restarted, and after they return.
func TestFailures(t *testing.T) {
	for name, fail := range map[string]func(s *simulation, at int){
		"freeze":    func(s *simulation, at int) { s.vms[3].frozen, s.vms[4].frozen = at%2 == 0, at%2 == 0 },
		"restart":   func(s *simulation, at int) { s.restart(at % len(s.vms)); s.restart((at + 3) % len(s.vms)) },
		"partition": func(s *simulation, at int) { s.splitHalves(at%2 == 0) },
		"isolation": func(s *simulation, at int) {
			for i, vm := range s.vms {
				vm.side = i * (1 - at%2)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 4, 11, limitsOf(testLimit))
			load := s.flood("team", testLimit, 4, 11)
			for at := range 10 {
				s.run(3*time.Second, load)
				fail(s, at)
			}
			s.expectBound("team", testLimit, 0)
		})
	}
}

// splitHalves parts the VMs into two sides, or joins them.
func (s *simulation) splitHalves(split bool) {
	for i, vm := range s.vms {
		vm.side = 0
		if split {
			vm.side = i % 2
		}
	}
}

// Guards against teams of uneven size that take from each other, and against reports that leave out the teams that matter.
func TestManyTeams(t *testing.T) {
	for _, teams := range []int{16, 85} {
		limits := make(map[string]Limit)
		for i := range teams {
			limits[fmt.Sprint("team", i)] = Limit{RatePerSecond: 200_000 / float64(1+i*i), Burst: 400_000 / float64(1+i*i)}
		}
		s := newSimulation(t, 5, 8, limits)
		var loads []func()
		for i := range teams {
			name := fmt.Sprint("team", i)
			loads = append(loads, s.flood(name, limits[name], []float64{0.5, 5}[i%2], 8))
		}
		s.run(20*time.Second, func() {
			for _, load := range loads {
				load()
			}
		})
		for name, limit := range limits {
			s.expectBound(name, limit, 0)
		}
		if served := float64(s.grantedCost("team0", 0)) / float64(s.asked["team0"]); served < 0.99 {
			t.Errorf("team0 at half of its limit: served %.4f", served)
		}
	}
}

// Guards against reports that leave out the same teams for ever, and against VMs that join and take for new what was granted long before.
func TestMoreTeamsThanReportsHold(t *testing.T) {
	limit, small := Limit{RatePerSecond: 100_000, Burst: 200_000}, Limit{RatePerSecond: 2_000, Burst: 4_000}
	limits := make(map[string]Limit)
	for i := range 140 {
		limits[fmt.Sprint("team", i)] = limit
	}
	limits["team7"] = small
	s := newSimulation(t, 7, 6, limits)
	var loads []func()
	for i := range 140 {
		if i == 7 {
			loads = append(loads, s.flood("team7", small, 4, 6)) // less demand than the others
			continue
		}
		loads = append(loads, s.flood(fmt.Sprint("team", i), limit, 0.6, 6))
	}
	s.run(4*time.Second, func() {})
	all := func() {
		for _, load := range loads {
			load()
		}
	}
	s.run(12*time.Second, all)
	s.restart(2)
	s.run(5*time.Second, all)
	for name := range limits {
		if name != "team7" && float64(s.grantedCost(name, 0)) < 0.95*float64(s.asked[name]) {
			t.Errorf("%s at 60%% of its limit: served %d of %d", name, s.grantedCost(name, 0), s.asked[name])
		}
	}
	if worst, most := float64(s.worst("team7", 0)), 1.5*(small.RatePerSecond*8+small.Burst); worst > most {
		t.Errorf("team7: %.0f granted in a window, want at most %.0f", worst, most)
	}
}

// Guards against costs that are lost or counted twice: refunds free room, charges may make a debt.
func TestChargeAndGiveBack(t *testing.T) {
	var now time.Duration
	l := New(Config{Now: func() time.Duration { return now }, Random: func() float64 { return 0 }, Observe: noObserver{}})
	l.SetKnownVMs(1)
	l.SetLimits(map[string]Limit{"team": {RatePerSecond: 10, Burst: 100}})
	l.Charge("team", 150)
	if wait, ok := l.Take("team", 10); ok || wait != 6*time.Second {
		t.Errorf("with a debt: %v, %v", wait, ok)
	}
	l.GiveBack("team", 100)
	if _, ok := l.Take("team", 10); !ok {
		t.Error("refused after a refund")
	}
	l.Charge("team", 10_000)
	if wait, ok := l.Take("team", 10); ok || wait != maxRetryAfter {
		t.Errorf("with a large debt: %v, %v", wait, ok)
	}
	if got := l.Report(); len(got) != 1 || got[0].Spent != 10_060 {
		t.Errorf("reports %+v", got)
	}
}

// noticeRecorder records the notices about teams and the costs.
type noticeRecorder struct {
	notices []bool
	costs   map[Outcome]int64
}

func (r *noticeRecorder) Counted(outcome Outcome, cost int64) { r.costs[outcome] += cost }
func (r *noticeRecorder) Limited(_ string, limited bool)      { r.notices = append(r.notices, limited) }

// Guards against a notice for each refusal, against a notice of the end that is missing when the team sends nothing more, and against costs
// that are counted under a wrong outcome.
func TestNotices(t *testing.T) {
	var now time.Duration
	r := &noticeRecorder{costs: make(map[Outcome]int64)}
	l := New(Config{Now: func() time.Duration { return now }, Random: func() float64 { return 0 }, Observe: r})
	l.SetKnownVMs(1)
	l.SetLimits(map[string]Limit{"team": {RatePerSecond: 1, Burst: 10}})
	for range 300 { // 3 s of overload
		now += tick
		l.Take("team", 1)
	}
	l.GiveBack("team", 1)
	if len(r.notices) != 1 || !r.notices[0] {
		t.Errorf("notices under overload: %v", r.notices)
	}
	for range 300 {
		now += tick
		l.Report()
	}
	if len(r.notices) != 2 || r.notices[1] {
		t.Errorf("notices after overload: %v", r.notices)
	}
	if r.costs[Granted]+r.costs[Refused] != 300 || r.costs[GivenBack] != 1 {
		t.Errorf("costs %v", r.costs)
	}
}

// Guards against schedules of load and failures in which some window exceeds the bound.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := Limit{RatePerSecond: float64(rapid.IntRange(10, 100_000).Draw(rt, "rate"))}
		limit.Burst = limit.RatePerSecond * rapid.Float64Range(0.2, 2).Draw(rt, "burst_s")
		s := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 9).Draw(rt, "vms"), limitsOf(limit))
		for range 5 {
			vm := rapid.IntRange(0, len(s.vms)-1).Draw(rt, "vm")
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				s.vms[vm].frozen = !s.vms[vm].frozen
			case 1:
				s.restart(vm)
			case 2:
				s.splitHalves(rapid.Bool().Draw(rt, "split"))
			}
			load := s.flood("team", limit, rapid.Float64Range(0, 10).Draw(rt, "load"), rapid.IntRange(1, len(s.vms)).Draw(rt, "spread"))
			s.run(time.Duration(rapid.IntRange(50, 400).Draw(rt, "ticks"))*tick, load)
		}
		if worst := s.worst("team", 0); worst > bound(limit) {
			rt.Fatalf("%d granted in a window, bound %d", worst, bound(limit))
		}
	})
}
