package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// tick is the step of virtual time.
	tick = 10 * time.Millisecond
	// maxDelay and lossRate describe the simulated network between VMs.
	maxDelay = 250 * time.Millisecond
	lossRate = 0.05
	// window, overshoot and slack are the bound in use: quota_window_s, quota_overshoot and quota_slack.
	window    = 8 * time.Second
	overshoot = 0.1
	slack     = 190_000
)

// datagram is a report on its way.
type datagram struct {
	from, to int
	sentAt   time.Duration
	reports  []TeamReport
}

// simVM is one VM of a simulation. Its side is the partition in which it is.
type simVM struct {
	limiter     *Limiter
	incarnation string
	frozen      bool
	side        int
	nextSend    time.Duration
	newest      map[int]time.Duration
}

// simulation runs VMs that exchange reports in virtual time.
type simulation struct {
	t       testing.TB
	random  *rand.Rand
	now     time.Duration
	vms     []*simVM
	limits  map[string]Limit
	flying  map[time.Duration][]datagram
	granted map[string][]int64 // cost granted in each tick, by team
	asked   map[string]int64
	// longestWait is the longest Retry-After time of a refusal.
	longestWait time.Duration
}

type noObserver struct{}

func (noObserver) Counted(Outcome, int64) {}
func (noObserver) Limited(string, bool)   {}

func newSimulation(t testing.TB, seed uint64, vms int, limits map[string]Limit) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), limits: limits, flying: make(map[time.Duration][]datagram),
		granted: make(map[string][]int64), asked: make(map[string]int64)}
	for range vms {
		s.vms = append(s.vms, &simVM{})
	}
	for i := range s.vms {
		s.restart(i)
	}
	return s
}

// restart starts a VM anew, with a new incarnation.
func (s *simulation) restart(i int) {
	vm := s.vms[i]
	vm.limiter = New(Config{Now: func() time.Duration { return s.now }, Random: s.random.Float64, Observe: noObserver{}})
	vm.incarnation, vm.newest, vm.frozen = s.now.String(), make(map[int]time.Duration), false
	vm.nextSend = s.now + time.Duration(s.random.Int64N(int64(s.period())))
	vm.limiter.SetKnownVMs(len(s.vms))
	vm.limiter.SetLimits(s.limits)
}

func (s *simulation) period() time.Duration {
	return basePeriod + time.Duration(max(len(s.vms)-5, 0))*periodPerVM
}

// setLimits changes the limits at all VMs.
func (s *simulation) setLimits(limits map[string]Limit) {
	s.limits = limits
	for _, vm := range s.vms {
		vm.limiter.SetLimits(limits)
	}
}

// ask sends a request to a VM.
func (s *simulation) ask(vm int, team string, cost int64) bool {
	if s.vms[vm].frozen {
		return false
	}
	s.asked[team] += cost
	wait, ok := s.vms[vm].limiter.Take(team, cost)
	if !ok {
		s.longestWait = max(s.longestWait, wait)
		if wait <= 0 {
			s.t.Fatalf("refused with Retry-After %v", wait)
		}
		return false
	}
	s.count(team, cost)
	return true
}

// count records a granted cost in the current tick.
func (s *simulation) count(team string, cost int64) {
	index := int(s.now / tick)
	costs := s.granted[team]
	for len(costs) <= index {
		costs = append(costs, 0)
	}
	costs[index] += cost
	s.granted[team] = costs
}

// run advances time by d and calls load in each tick.
func (s *simulation) run(d time.Duration, load func()) {
	for end := s.now + d; s.now < end; s.now += tick {
		for _, g := range s.flying[s.now] {
			s.deliver(g)
		}
		delete(s.flying, s.now)
		for i, vm := range s.vms {
			if !vm.frozen && s.now >= vm.nextSend {
				s.send(i)
			}
		}
		load()
	}
}

func (s *simulation) send(from int) {
	vm := s.vms[from]
	vm.nextSend = s.now + s.period()
	reports := vm.limiter.Report()
	for to := range s.vms {
		if to == from || s.vms[to].side != vm.side || s.random.Float64() < lossRate {
			continue
		}
		arrival := s.now + tick + time.Duration(s.random.Int64N(int64(maxDelay/tick)))*tick
		s.flying[arrival] = append(s.flying[arrival], datagram{from: from, to: to, sentAt: s.now, reports: reports})
	}
}

// deliver hands a datagram to its VM. A frozen VM receives none; a datagram older than the newest one is ignored, as vmlink does.
func (s *simulation) deliver(g datagram) {
	vm, sender := s.vms[g.to], s.vms[g.from]
	if vm.frozen || vm.side != sender.side || g.sentAt < vm.newest[g.from] {
		return
	}
	vm.newest[g.from] = g.sentAt
	vm.limiter.MergeReport(string(rune('A'+g.from)), sender.incarnation, g.reports)
}

// grantedCost returns the cost that a team was granted since an instant.
func (s *simulation) grantedCost(team string, since time.Duration) (sum int64) {
	costs := s.granted[team]
	for i := int(since / tick); i < len(costs); i++ {
		sum += costs[i]
	}
	return sum
}

// worst returns the largest cost that a team was granted in a sliding window that starts at or after an instant.
func (s *simulation) worst(team string, since time.Duration) (worst int64) {
	var sum int64
	costs, first := s.granted[team], int(since/tick)
	for i := first; i < len(costs); i++ {
		sum += costs[i]
		if old := i - int(window/tick); old >= first {
			sum -= costs[old]
		}
		worst = max(worst, sum)
	}
	return worst
}

// bound returns the largest cost that a window may have under a limit.
func bound(limit Limit) int64 {
	return int64((limit.RatePerSecond*window.Seconds()+limit.Burst)*(1+overshoot)) + slack
}

// expectBound checks the bound for a team from an instant on.
func (s *simulation) expectBound(team string, limit Limit, since time.Duration) {
	s.t.Helper()
	worst := s.worst(team, since)
	s.t.Logf("%s: worst window %d of %d (limit alone %.0f)", team, worst, bound(limit), limit.RatePerSecond*window.Seconds()+limit.Burst)
	if worst > bound(limit) {
		s.t.Errorf("%s: %d granted in a window, bound %d", team, worst, bound(limit))
	}
	if s.longestWait > maxRetryAfter {
		s.t.Errorf("Retry-After %v", s.longestWait)
	}
}

// flood returns a load of requests at a multiple of a limit, spread over the first vms VMs.
func (s *simulation) flood(team string, limit Limit, factor float64, vms int) func() {
	var owed float64
	return func() {
		owed += limit.RatePerSecond * factor * tick.Seconds()
		for owed > 0 {
			cost := 500 + s.random.Int64N(2500)
			s.ask(s.random.IntN(vms), team, cost)
			owed -= float64(cost)
		}
	}
}
