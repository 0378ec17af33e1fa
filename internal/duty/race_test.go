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
	// schedules is the number of generated schedules; each number is a seed. 120 took 110 s with -race.
	schedules = 60
	// faultTime is the time in which faults come, quietTime the time after it in which the pool must recover.
	faultTime = 5 * time.Minute
	quietTime = 15 * time.Minute
)

// Guards against conflicting orders, orders of a holder without authority and cut streams when holders race: processes frozen
// between check and send, late bytes, lost answers, outages, suspended clocks, engines that crash in the middle of a change,
// and engines that check fencing numbers or ignore them.
func TestRacingHolders(t *testing.T) {
	var total tally
	for seed := range int64(schedules) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { total.add(runSchedule(t, seed)) })
		})
	}
	t.Logf("%d schedules: %d faults, %d streams, %d orders arrived (%d applied), %d terms, %d endpoints abandoned", schedules, total.faults,
		total.streams, total.arrived, total.applied, total.terms, total.abandoned)
	if total.applied < 10*schedules || total.abandoned == 0 || total.terms < 3*schedules {
		t.Error("the schedules provoke too little")
	}
}

// tally counts what a schedule did.
type tally struct{ faults, streams, arrived, applied, terms, abandoned int }

func (a *tally) add(b tally) {
	a.faults += b.faults
	a.streams += b.streams
	a.arrived += b.arrived
	a.applied += b.applied
	a.terms += b.terms
	a.abandoned += b.abandoned
}

// schedule is one generated run.
type schedule struct {
	*bed
	rng *rand.Rand
	// started counts processes.
	started int
	// slow is the wall seconds in one monotonic second of the first process.
	slow int
	// planning is false in the quiet time. Guarded by bed.mu.
	planning bool
}

func runSchedule(t *testing.T, seed int64) (sum tally) {
	s := &schedule{bed: newBed(t, seed, true, false, true, false), rng: rand.New(rand.NewSource(seed)), slow: 1 + 3*int(seed%2), planning: true}
	s.load(2)
	for range 3 {
		s.startProcess()
	}
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		time.Sleep(s.between(500*time.Millisecond, 12*time.Second))
		s.fault()
		sum.faults++
	}
	s.heal()
	time.Sleep(quietTime)
	s.checkRecovered()
	s.stop()
	s.check()
	sum.streams = s.streams
	for _, o := range s.history.Orders {
		sum.arrived++
		if o.Applied {
			sum.applied++
		}
		if o.Target == "provider" && o.Applied && len(o.ID) > 8 && o.ID[:8] == "replace-" {
			sum.abandoned++
		}
	}
	for _, p := range s.procs {
		sum.terms += p.terms
	}
	return sum
}

func (s *schedule) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int63n(int64(high-low)))
}

func (s *schedule) startProcess() {
	s.started++
	c := clocks{rate: 1}
	if s.started == 1 {
		c.rate = s.slow
	}
	rng := rand.New(rand.NewSource(s.rng.Int63()))
	s.start(fmt.Sprintf("h%d", s.started), func() []Planner {
		return []Planner{plannerFunc(func(v PoolView) (Proposal, bool) { return s.propose(rng, v) })}
	}, c)
}

// propose picks any change of any endpoint in service.
func (s *schedule) propose(rng *rand.Rand, v PoolView) (Proposal, bool) {
	s.mu.Lock()
	planning := s.planning
	s.mu.Unlock()
	var open []string
	for _, e := range v.Endpoints {
		if e.State == apitypes.EndpointReady && e.DrainReason == "" && !e.Abandoned && !e.OperatorDrained && !e.ReportedAt.IsZero() {
			open = append(open, e.Name)
		}
	}
	if !planning || len(open) < 2 {
		return Proposal{}, false
	}
	p := Proposal{Endpoint: open[rng.Intn(len(open))], Value: fmt.Sprint(rng.Intn(100)), Reason: "schedule"}
	switch n := rng.Intn(12); {
	case n < 7:
		p.Kind = []apitypes.OrderKind{apitypes.OrderSetRole, apitypes.OrderLoadModel, apitypes.OrderSetVersion, apitypes.OrderLoadAdapter}[n%4]
	case n < 10:
		p.Kind = apitypes.OrderClean
	case n == 10 && len(open) > 2:
		p.Kind = apitypes.OrderRemove
	case n == 11 && len(v.Endpoints) < 6:
		p = Proposal{Kind: apitypes.OrderAdd, FailureDomain: "roja", Class: apitypes.OnDemand}
	default:
		return Proposal{}, false
	}
	return p, true
}

// fault provokes one failure.
func (s *schedule) fault() {
	s.mu.Lock()
	live := s.procs[max(0, len(s.procs)-3):]
	p := live[s.rng.Intn(len(live))]
	if holder := s.holder(live); holder != nil && s.rng.Intn(3) > 0 {
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
		p.freeze(s.between(500*time.Millisecond, 40*time.Second))
	case 1, 2, 3:
		s.set(func() { p.freezeAtSend = s.between(time.Second, 30*time.Second) })
	case 4:
		// Below the margin: TCP_USER_TIMEOUT ends a connection whose bytes are not acknowledged.
		s.set(func() { p.lateBy = s.between(100*time.Millisecond, 1900*time.Millisecond) })
	case 5:
		s.set(func() { p.cut = true })
		time.AfterFunc(s.between(time.Second, 30*time.Second), func() { s.set(func() { p.cut = false }) })
	case 6:
		lost := 1 + s.rng.Intn(4)
		s.mem.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = lost })
	case 7:
		s.mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = true })
		time.AfterFunc(s.between(time.Second, 20*time.Second), func() { s.mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = false }) })
	case 8:
		s.crash(name, s.between(time.Second, 15*time.Second))
	case 9:
		s.set(func() { e.loseAnswers = 1 + s.rng.Intn(3) })
	case 10:
		s.set(func() { e.hang = true })
		time.AfterFunc(s.between(time.Second, 25*time.Second), func() { s.set(func() { e.hang = false }) })
	case 11:
		s.set(func() { s.loseProviderAnswers, s.providerDown = 1+s.rng.Intn(3), s.rng.Intn(2) == 0 })
		time.AfterFunc(s.between(time.Second, 30*time.Second), func() { s.set(func() { s.providerDown = false }) })
	case 12:
		// The process ends, killed (its lease lapses) or stopped, and another one starts.
		killed := s.rng.Intn(2) == 0
		s.set(func() { p.cut = p.cut || killed })
		p.cancel()
		s.startProcess()
	case 13:
		s.set(func() {
			s.pool.Drained = nil
			if s.rng.Intn(2) == 0 {
				s.pool.Drained = []string{name}
			}
		})
	}
}

// holder returns the process that has authority.
func (s *schedule) holder(procs []*proc) *proc {
	for _, p := range procs {
		if p.authority != nil && p.authority.Valid() {
			return p
		}
	}
	return nil
}

func (s *schedule) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// heal ends all faults, new streams and new proposals.
func (s *schedule) heal() {
	s.mem.SetFaults(memplatform.Faults{})
	s.set(func() {
		s.planning, s.quiet, s.providerDown, s.pool.Drained = false, true, false, nil
		for _, p := range s.procs {
			p.cut, p.freezeAtSend = false, 0
		}
		for _, e := range s.engines {
			e.hang = false
		}
	})
}

// checkRecovered finds endpoints and intents that a failure left behind for ever.
func (s *schedule) checkRecovered() {
	state := s.state()
	if len(state.Drained)+len(state.Abandoned) != 0 {
		s.t.Errorf("left behind: drained %v, abandoned %v", state.Drained, state.Abandoned)
	}
	for _, i := range state.Intents {
		if i.State != apitypes.IntentDone && i.State != apitypes.IntentRefused {
			s.t.Errorf("left behind: intent %+v", i)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, e := range s.engines {
		if e.draining || e.changing != "" || e.down {
			s.t.Errorf("left behind: engine %s draining %v, changing %q", name, e.draining, e.changing)
		}
	}
}

// crash ends all streams and changes of an engine; it is back after downtime.
func (b *bed) crash(name string, downtime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.engines[name]
	if !ok {
		return
	}
	e.epoch++
	e.running, e.changing, e.draining, e.down = 0, "", false, true
	time.AfterFunc(downtime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		e.down = false
	})
}
