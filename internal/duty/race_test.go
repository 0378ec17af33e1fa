package duty

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

const (
	// scheduleCount is the number of generated schedules; their seeds are the numbers below it. 120 schedules take 110 s with -race.
	scheduleCount = 60
	// faultDuration is the time during which faults are injected; recoveryDuration is the time after it in which the pool must recover.
	faultDuration    = 5 * time.Minute
	recoveryDuration = 15 * time.Minute
)

// Guards against conflicting orders, orders of a holder without authority and interrupted streams when several controllers race for
// the lease. The faults are processes frozen between check and send, delayed bytes, lost responses, outages, suspended clocks and
// engines that crash in the middle of a change; some engines check fencing tokens and some ignore them.
func TestRacingHolders(t *testing.T) {
	var total runCounts
	for seed := range int64(scheduleCount) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { total.add(runSchedule(t, seed)) })
		})
	}
	t.Logf("%d schedules: %d faults, %d streams, %d orders arrived (%d applied), %d terms, %d endpoints abandoned", scheduleCount, total.faults,
		total.streams, total.arrived, total.applied, total.terms, total.abandoned)
	if total.applied < 10*scheduleCount || total.abandoned == 0 || total.terms < 3*scheduleCount {
		t.Error("the schedules cause too few orders, abandoned endpoints or terms")
	}
}

// runCounts counts the faults and effects of one or more schedules.
type runCounts struct{ faults, streams, arrived, applied, terms, abandoned int }

func (a *runCounts) add(b runCounts) {
	a.faults += b.faults
	a.streams += b.streams
	a.arrived += b.arrived
	a.applied += b.applied
	a.terms += b.terms
	a.abandoned += b.abandoned
}

// faultSchedule is one simulation with randomly generated faults and proposals.
type faultSchedule struct {
	*simulation
	rng *rand.Rand
	// processCount is the number of started processes.
	processCount int
	// firstClockRate is the clock rate of the first process.
	firstClockRate int
	// planning is false during the recovery. Guarded by simulation.mu.
	planning bool
}

func runSchedule(t *testing.T, seed int64) (sum runCounts) {
	s := &faultSchedule{simulation: newSimulation(t, seed, true, false, true, false), rng: rand.New(rand.NewSource(seed)), firstClockRate: 1 + 3*int(seed%2), planning: true}
	s.startLoad(2)
	for range 3 {
		s.startNextProcess()
	}
	for end := time.Now().Add(faultDuration); time.Now().Before(end); {
		time.Sleep(s.randomDuration(500*time.Millisecond, 12*time.Second))
		s.injectFault()
		sum.faults++
	}
	s.stopFaults()
	time.Sleep(recoveryDuration)
	s.checkRecovered()
	s.stop()
	s.checkViolations()
	sum.streams = s.startedStreams
	for _, o := range s.history.Orders {
		sum.arrived++
		if o.Applied {
			sum.applied++
		}
		if o.Target == "provider" && o.Applied && len(o.ID) > 8 && o.ID[:8] == "replace-" {
			sum.abandoned++
		}
	}
	for _, p := range s.processes {
		sum.terms += p.terms
	}
	return sum
}

func (s *faultSchedule) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int63n(int64(high-low)))
}

func (s *faultSchedule) startNextProcess() {
	s.processCount++
	c := clocks{rate: 1}
	if s.processCount == 1 {
		c.rate = s.firstClockRate
	}
	rng := rand.New(rand.NewSource(s.rng.Int63()))
	s.startProcess(fmt.Sprintf("h%d", s.processCount), func() []Planner {
		return []Planner{plannerFunc(func(v PoolView) (Proposal, bool) { return s.propose(rng, v) })}
	}, c)
}

// propose returns a random change of a random endpoint in service, a new endpoint, or nothing.
func (s *faultSchedule) propose(rng *rand.Rand, v PoolView) (Proposal, bool) {
	s.mu.Lock()
	planning := s.planning
	s.mu.Unlock()
	var candidates []string
	for _, e := range v.Endpoints {
		if e.State == apitypes.EndpointReady && e.DrainReason == "" && !e.Abandoned && !e.OperatorDrained && !e.ReportedAt.IsZero() {
			candidates = append(candidates, e.Name)
		}
	}
	if !planning || len(candidates) < 2 {
		return Proposal{}, false
	}
	p := Proposal{Endpoint: candidates[rng.Intn(len(candidates))], Value: fmt.Sprint(rng.Intn(100)), Reason: "schedule"}
	switch n := rng.Intn(12); {
	case n < 7:
		p.Kind = []apitypes.OrderKind{apitypes.OrderSetRole, apitypes.OrderLoadModel, apitypes.OrderSetVersion, apitypes.OrderLoadAdapter}[n%4]
	case n < 10:
		p.Kind = apitypes.OrderClean
	case n == 10 && len(candidates) > 2:
		p.Kind = apitypes.OrderRemove
	case n == 11 && len(v.Endpoints) < 6:
		p = Proposal{Kind: apitypes.OrderAdd, FailureDomain: "roja", Class: apitypes.OnDemand}
	default:
		return Proposal{}, false
	}
	return p, true
}

// injectFault injects one random fault.
func (s *faultSchedule) injectFault() {
	s.mu.Lock()
	recent := s.processes[max(0, len(s.processes)-3):]
	p := recent[s.rng.Intn(len(recent))]
	if holder := s.holder(recent); holder != nil && s.rng.Intn(3) > 0 {
		p = holder
	}
	var names []string
	for name := range s.engines {
		names = append(names, name)
	}
	slices.Sort(names)
	name := names[s.rng.Intn(len(names))]
	e := s.engines[name]
	kind := s.rng.Intn(14)
	if kind == 8 {
		// The crash hits an engine in the middle of a change if there is one.
		for _, n := range names {
			if s.engines[n].changing != "" {
				name = n
			}
		}
	}
	s.mu.Unlock()
	switch kind {
	case 0:
		p.freeze(s.randomDuration(500*time.Millisecond, 40*time.Second))
	case 1, 2, 3:
		s.withLock(func() { p.freezeAtSend = s.randomDuration(time.Second, 30*time.Second) })
	case 4:
		// The delay is below the lease's margin, because TCP_USER_TIMEOUT ends a connection whose bytes are not acknowledged in time.
		s.withLock(func() { p.sendDelay = s.randomDuration(100*time.Millisecond, 1900*time.Millisecond) })
	case 5:
		s.withLock(func() { p.partitioned = true })
		time.AfterFunc(s.randomDuration(time.Second, 30*time.Second), func() { s.withLock(func() { p.partitioned = false }) })
	case 6:
		lost := 1 + s.rng.Intn(4)
		s.mem.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = lost })
	case 7:
		s.mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = true })
		time.AfterFunc(s.randomDuration(time.Second, 20*time.Second), func() { s.mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = false }) })
	case 8:
		s.crashEngine(name, s.randomDuration(time.Second, 15*time.Second))
	case 9:
		s.withLock(func() { e.loseResponses = 1 + s.rng.Intn(3) })
	case 10:
		s.withLock(func() { e.hang = true })
		time.AfterFunc(s.randomDuration(time.Second, 25*time.Second), func() { s.withLock(func() { e.hang = false }) })
	case 11:
		s.withLock(func() { s.loseProviderResponses, s.providerDown = 1+s.rng.Intn(3), s.rng.Intn(2) == 0 })
		time.AfterFunc(s.randomDuration(time.Second, 30*time.Second), func() { s.withLock(func() { s.providerDown = false }) })
	case 12:
		// The process is killed, so that its lease expires, or stopped, and another one starts.
		killed := s.rng.Intn(2) == 0
		s.withLock(func() { p.partitioned = p.partitioned || killed })
		p.cancel()
		s.startNextProcess()
	case 13:
		s.withLock(func() {
			s.pool.Drained = nil
			if s.rng.Intn(2) == 0 {
				s.pool.Drained = []string{name}
			}
		})
	}
}

// holder returns the process that has authority.
func (s *faultSchedule) holder(procs []*process) *process {
	for _, p := range procs {
		if p.authority != nil && p.authority.Valid() {
			return p
		}
	}
	return nil
}

func (s *faultSchedule) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// stopFaults ends all faults and stops new streams and proposals.
func (s *faultSchedule) stopFaults() {
	s.mem.SetFaults(memplatform.Faults{})
	s.withLock(func() {
		s.planning, s.noNewStreams, s.providerDown, s.pool.Drained = false, true, false, nil
		for _, p := range s.processes {
			p.partitioned, p.freezeAtSend = false, 0
		}
		for _, e := range s.engines {
			e.hang = false
		}
	})
}

// checkRecovered fails the test for each endpoint, intent and engine that has not recovered from the faults.
func (s *faultSchedule) checkRecovered() {
	state := s.poolOrders()
	if len(state.Drained)+len(state.Abandoned) != 0 {
		s.t.Errorf("not recovered: drained %v, abandoned %v", state.Drained, state.Abandoned)
	}
	for _, i := range state.Intents {
		if i.State != apitypes.IntentDone && i.State != apitypes.IntentRefused {
			s.t.Errorf("not recovered: intent %+v", i)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, e := range s.engines {
		if e.draining || e.changing != "" || e.down {
			s.t.Errorf("not recovered: engine %s draining %v, changing %q", name, e.draining, e.changing)
		}
	}
}

// crashEngine ends all streams and changes of an engine, which restarts after downtime.
func (sim *simulation) crashEngine(name string, downtime time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e, ok := sim.engines[name]
	if !ok {
		return
	}
	e.epoch++
	e.running, e.changing, e.draining, e.down = 0, "", false, true
	time.AfterFunc(downtime, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		e.down = false
	})
}
