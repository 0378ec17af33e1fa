package usage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

const (
	scheduleSeeds   = 40
	scheduleWindows = 6
	// simWindow is the length of a window in seconds. The offsets of faults are chosen for it.
	simWindow = 60
	// settleWindows follow the last fault, so that all usage is reported at the end.
	settleWindows = 4
	// linkDelay is the time from one VM to another.
	linkDelay = 2 * time.Millisecond
)

// gate stops whatever passes it while it is frozen.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
	// after counts down to the passage that freezes the gate.
	after int
	// atReport freezes the gate before the next report.
	atReport bool
	// also freezes with this gate.
	also *gate
}

func (g *gate) freezeAtReport() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.atReport = true
}

// passReport passes on the way to a report.
func (g *gate) passReport() {
	g.mu.Lock()
	freeze := g.atReport
	g.atReport = false
	g.mu.Unlock()
	if freeze {
		g.freeze()
	}
	g.pass()
}

// freezeAfter freezes the gate at its n-th following passage, so that a process stops at a chosen point of its work.
func (g *gate) freezeAfter(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.after = n
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freezeLocked()
}

func (g *gate) freezeLocked() {
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
	if g.also != nil {
		g.also.freeze()
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.after, g.atReport = 0, false
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	if g.after > 0 {
		if g.after--; g.after == 0 {
			g.freezeLocked()
		}
	}
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// simGateway is one run of a gateway. Its fields but gate are guarded by the schedule's lock.
type simGateway struct {
	gate   gate
	vm     string
	number int
	ledger *Ledger
	cancel context.CancelFunc
	killed bool
	// lose holds peers whose answers to this gateway's copies are lost; mute says that its answers to the collection are. While
	// cut is set, none of its copies arrive.
	lose      map[string]bool
	mute, cut bool
	// uncopied holds indexes of answers that no peer holds a copy of.
	uncopied []int
}

func (g *simGateway) incarnation() string { return fmt.Sprintf("%s@%d", g.vm, g.number) }

// schedule runs four gateways and three sealers in virtual time under generated faults. It implements Collector.
type schedule struct {
	t   *testing.T
	ctx context.Context
	mem *memplatform.Platform

	seed uint64

	mu       sync.Mutex
	gateways []*simGateway
	starts   int
	requests []history.Request
	stopped  bool
	sealers  []*simSealer
	// rivals is set when two sealers have authority at once by construction, so fencing numbers have no order.
	rivals  bool
	history history.History
	work    sync.WaitGroup
}

// random returns a source of its own for each stream of choices, so that goroutines don't share one in an order that varies.
func (s *schedule) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, stream)) }

const (
	gatewayStream uint64 = 1
	sealerStream  uint64 = 2
	// callStream is that of the first start of a gateway; later starts follow.
	callStream uint64 = 100
)

// startGateway starts a new run on the i-th VM, which serves callers until it is killed.
func (s *schedule) startGateway(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(s.ctx)
	s.starts++
	g := &simGateway{vm: fmt.Sprintf("vm-%d", i+1), number: s.starts, cancel: cancel, lose: make(map[string]bool)}
	g.ledger = NewLedger(Options{Incarnation: g.incarnation(), WindowLength: simWindow, Copier: &simCopier{s, g}, Peers: func() []string { return s.peers(i) },
		ReadSealedWindow: NewSealedWindowReader(gatedStore{s.mem, &g.gate})})
	s.gateways[i] = g
	s.work.Go(func() { _ = g.ledger.Run(ctx) })
	s.work.Go(func() { s.serve(ctx, g) })
}

// peers names the two VMs after the i-th, as they run now.
func (s *schedule) peers(i int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := 1; k <= copiesPerCounter; k++ {
		out = append(out, s.gateways[(i+k)%len(s.gateways)].incarnation())
	}
	return out
}

// serve ends an answer every few seconds. An answer is whole when Record returned and the gateway was not killed before.
func (s *schedule) serve(ctx context.Context, g *simGateway) {
	random := s.random(callStream + uint64(g.number))
	for ctxtime.Sleep(ctx, time.Duration(20+random.IntN(700))*time.Millisecond) {
		g.gate.pass()
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			return
		}
		n := len(s.requests)
		team := []string{"rope", "clerks"}[n%2]
		s.requests = append(s.requests, history.Request{ID: fmt.Sprint(n), Team: team, Result: history.ResultDisconnected, Tokens: 15})
		s.mu.Unlock()
		s.work.Go(func() {
			err := g.ledger.Record(ctx, team, one)
			g.gate.pass()
			s.mu.Lock()
			defer s.mu.Unlock()
			if g.killed || ctx.Err() != nil {
				return
			}
			s.requests[n].Result = history.ResultComplete
			if errors.Is(err, ErrNoCopy) {
				g.uncopied = append(g.uncopied, n)
			}
		})
	}
}

// kill ends a run at once. Answers of which no peer took a copy may be lost with it.
func (s *schedule) kill(g *simGateway) {
	s.mu.Lock()
	g.killed = true
	for _, n := range g.uncopied {
		s.requests[n].Result = history.ResultDisconnected
	}
	s.mu.Unlock()
	g.gate.thaw()
	g.cancel()
}

// simCopier carries one gateway's copies.
type simCopier struct {
	s    *schedule
	from *simGateway
}

// CopyUsage implements Copier. A frozen peer takes the copy when it wakes, long after the sender gave up.
func (c *simCopier) CopyUsage(ctx context.Context, peer string, counters []Counter) ([]int64, error) {
	c.from.gate.pass()
	to := c.s.find(peer)
	if to == nil {
		return nil, errors.New("connection refused")
	}
	c.s.mu.Lock()
	lost, cut := c.from.lose[to.vm], c.from.cut
	c.s.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer := make(chan []int64, 1)
	c.s.work.Go(func() {
		time.Sleep(linkDelay)
		to.gate.pass()
		answer <- to.ledger.AcceptCounters(counters)
	})
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case closed := <-answer:
		return closed, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *schedule) find(incarnation string) *simGateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gateways {
		if g.incarnation() == incarnation && !g.killed {
			return g
		}
	}
	return nil
}

// simSealer is one controller: its gates stand for a frozen process. The lease's calls have one of their own, which opens last,
// so that a process that wakes goes on with its report before it learns that it lost the lease.
type simSealer struct {
	s               *schedule
	gate, leaseGate gate
}

func (c *simSealer) thaw() {
	c.gate.thaw()
	time.Sleep(time.Millisecond)
	c.leaseGate.thaw()
}

// CollectWindow implements Collector. A frozen gateway answers when it wakes, to nobody.
func (c *simSealer) CollectWindow(ctx context.Context, vm apitypes.VM, window int64, _ string, _ uint64) (WindowCounters, error) {
	c.gate.pass()
	c.s.mu.Lock()
	var to *simGateway
	for _, g := range c.s.gateways {
		if g.vm == vm.Name && !g.killed {
			to = g
		}
	}
	c.s.mu.Unlock()
	if to == nil || ctx.Err() != nil {
		return WindowCounters{}, errors.New("connection refused")
	}
	answer := make(chan WindowCounters, 1)
	c.s.work.Go(func() {
		to.gate.pass()
		answer <- WindowCounters{Incarnation: to.incarnation(), Counters: to.ledger.CloseWindow(window)}
	})
	c.s.mu.Lock()
	mute := to.mute
	c.s.mu.Unlock()
	if mute {
		<-ctx.Done()
		return WindowCounters{}, ctx.Err()
	}
	select {
	case got := <-answer:
		c.gate.pass()
		return got, nil
	case <-ctx.Done():
		return WindowCounters{}, ctx.Err()
	}
}

// gatedStore is the platform as one process sees it: calls wait while the process is frozen, before and after.
type gatedStore struct {
	*memplatform.Platform
	gate *gate
}

func (p gatedStore) Get(ctx context.Context, kind, name string) (apitypes.Object, error) {
	p.gate.pass()
	defer p.gate.pass()
	return p.Platform.Get(ctx, kind, name)
}

func (p gatedStore) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, error) {
	p.gate.pass()
	defer p.gate.pass()
	return p.Platform.List(ctx, kind)
}

func (p gatedStore) Put(ctx context.Context, kind, name string, data []byte, expected uint64) (uint64, error) {
	p.gate.pass()
	defer p.gate.pass()
	return p.Platform.Put(ctx, kind, name, data, expected)
}

// boundSink reports under an authority, as a connection made by Authority.DialContext does.
type boundSink struct {
	s    *schedule
	gate *gate
	a    *lease.Authority
}

func (b boundSink) ReportWindow(ctx context.Context, w apitypes.UsageWindow) error {
	b.gate.passReport()
	if !b.a.Valid() {
		return lease.ErrNoAuthority
	}
	r := history.UsageReport{Fence: b.a.FencingToken(), At: time.Now()}
	if b.s.rivals {
		r.Fence = 0
	}
	b.s.history.AddUsageWindow(r, w)
	err := b.s.mem.ReportWindow(ctx, w)
	if err != nil && !errors.Is(err, objectstore.ErrUnavailable) && ctx.Err() == nil {
		b.s.t.Errorf("the platform refused a report: %v", err)
	}
	b.gate.pass()
	return err
}

// runSealer competes for the lease and seals, as duty.RunUsageDuty does.
func (s *schedule) runSealer(c *simSealer, name string) {
	store := gatedStore{s.mem, &c.gate}
	c.gate.also = &c.leaseGate
	k := lease.NewElector(lease.Options{Store: gatedStore{s.mem, &c.leaseGate}, Name: "usage", Holder: name})
	s.work.Go(func() { _ = k.Run(s.ctx, func(a *lease.Authority) { s.seal(c, store, name, a) }) })
}

func (s *schedule) seal(c *simSealer, store gatedStore, name string, a *lease.Authority) {
	sealer := &Sealer{Store: store, VMs: s.mem, Sink: boundSink{s, &c.gate, a}, Collector: c, Holder: name, WindowLength: simWindow}
	sealer.Run(a)
}

// at sleeps until an offset in seconds from a window's start.
func at(window int64, seconds int) { time.Sleep(time.Until(time.Unix(window+int64(seconds), 0))) }

// gatewayFault is one fault of gateways, begun at second 45 of a window and ended before second 45 of the next. Between two faults
// all copies that are due are made. Usage is lost only with a gateway and both its peers in one window, so two are not killed
// in a window that began with the kill of a third.
func (s *schedule) gatewayFault(w int64, last string, random *rand.Rand) string {
	i, j := random.IntN(4), 1+random.IntN(3)
	kind := []string{"none", "kill", "kill two", "kill two for long", "freeze", "lose copy answers", "lose collection answer",
		"kill after collection", "cut and freeze", "cut and lose collection answer"}[random.IntN(10)]
	if last == "kill after collection" && strings.HasPrefix(kind, "kill two") {
		kind = "kill"
	}
	first, second := s.gateways[i], s.gateways[(i+j)%4]
	at(w, 45+random.IntN(14))
	switch kind {
	case "kill":
		s.kill(first)
		s.startGateway(i)
	case "kill two":
		s.kill(first)
		s.kill(second)
		s.startGateway(i)
		s.startGateway((i + j) % 4)
	case "kill two for long":
		s.kill(first)
		s.kill(second)
		at(w, 80)
		s.startGateway(i)
		s.startGateway((i + j) % 4)
	case "freeze":
		first.gate.freeze()
		at(w, 62+random.IntN(38))
		first.gate.thaw()
	case "lose copy answers":
		s.set(func() { first.lose[s.gateways[(i+1)%4].vm], first.lose[s.gateways[(i+2)%4].vm] = true, j > 1 })
		at(w, 62+random.IntN(10))
		s.set(func() { clear(first.lose) })
	case "lose collection answer":
		s.set(func() { first.mute = true })
		at(w, 62+random.IntN(38))
		s.set(func() { first.mute = false })
	case "cut and freeze":
		s.set(func() { first.cut = true })
		at(w, 59)
		first.gate.freeze()
		at(w, 62+random.IntN(38))
		s.set(func() { first.cut = false })
		first.gate.thaw()
	case "cut and lose collection answer":
		s.set(func() { first.cut, first.mute = true, true })
		at(w, 60+random.IntN(5))
		s.set(func() { first.cut = false })
		at(w, 62+random.IntN(38))
		s.set(func() { first.mute = false })
	case "kill after collection":
		at(w, 61)
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		s.kill(first)
		s.startGateway(i)
	}
	return kind
}

// sealerFault is one fault of sealers or of the platform, around the collection.
func (s *schedule) sealerFault(w int64, random *rand.Rand) string {
	kind := []string{"none", "freeze sealers", "platform down", "lose answers", "rival"}[random.IntN(5)]
	if s.rivals && random.IntN(2) == 0 {
		kind = "rival"
	}
	at(w, 58)
	time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	switch kind {
	case "freeze sealers":
		// Whichever holds the lease is frozen past it, another at a later point of its work.
		at(w, 60)
		for _, c := range s.sealers[:2] {
			if random.IntN(2) == 0 {
				c.gate.freezeAtReport()
			} else {
				c.gate.freezeAfter(1 + random.IntN(24))
			}
		}
		at(w, 90)
		for _, c := range s.sealers[:2] {
			c.thaw()
		}
	case "platform down":
		s.mem.SetFaults(memplatform.Faults{Down: true})
		time.Sleep(time.Duration(1+random.IntN(20)) * time.Second)
		s.mem.SetFaults(memplatform.Faults{})
	case "lose answers":
		s.mem.SetFaults(memplatform.Faults{LoseAnswers: 1 + random.IntN(8)})
	case "rival":
		if s.rivals {
			ctx, cancel := context.WithTimeout(s.ctx, 50*time.Second)
			defer cancel()
			a := lease.NewAuthority(ctx, 1000, time.Hour, nil)
			defer a.End()
			c := &simSealer{s: s}
			s.seal(c, gatedStore{s.mem, &c.gate}, "rival", a)
		}
	}
	return kind
}

func (s *schedule) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// run plays one schedule and checks its history.
func (s *schedule) run(seed uint64) (faults []string) {
	ctx, cancel := context.WithCancel(s.t.Context())
	s.ctx, s.mem, s.seed = ctx, memplatform.New(), seed
	s.rivals = seed%4 == 0
	s.mem.SetVMs(vms("vm-1", "vm-2", "vm-3", "vm-4"))
	s.gateways = make([]*simGateway, 4)
	for i := range s.gateways {
		s.gateways[i] = &simGateway{vm: fmt.Sprintf("vm-%d", i+1), killed: true}
	}
	for i := range s.gateways {
		s.startGateway(i)
	}
	for i := range 3 {
		c := &simSealer{s: s}
		s.sealers = append(s.sealers, c)
		s.runSealer(c, fmt.Sprintf("h%d", i+1))
	}
	w := time.Now().Unix() / simWindow * simWindow
	ofGatewaysRandom, ofSealersRandom := s.random(gatewayStream), s.random(sealerStream)
	var ofGateways, ofSealers string
	for range scheduleWindows {
		var both sync.WaitGroup
		both.Go(func() { ofGateways = s.gatewayFault(w, ofGateways, ofGatewaysRandom) })
		both.Go(func() { ofSealers = s.sealerFault(w, ofSealersRandom) })
		both.Wait()
		faults = append(faults, ofGateways+" + "+ofSealers)
		w += simWindow
	}
	s.set(func() { s.stopped = true })
	time.Sleep(settleWindows * simWindow * time.Second)
	cancel()
	s.work.Wait()
	for _, r := range s.requests {
		s.history.AddRequest(r)
	}
	return faults
}

// Guards against usage windows that are reported with two figures or by a process without authority, and against usage that
// is lost or billed twice (G6), while gateways are killed, two at once too, and frozen, sealers are frozen past their lease
// or race, copies and answers are lost, and the platform is out.
func TestReportsUnderFaults(t *testing.T) {
	var requests, reports int
	for seed := range uint64(scheduleSeeds) {
		synctest.Test(t, func(t *testing.T) {
			s := &schedule{t: t}
			faults := s.run(seed)
			for _, v := range append(s.history.CheckGuarantees(history.DefaultBounds), s.history.CheckBilling()...) {
				t.Errorf("seed %d, %v: %v", seed, faults, v)
			}
			requests += len(s.history.Requests)
			reports += len(s.history.UsageReports)
		})
	}
	t.Logf("%d schedules, %d requests, %d reports", scheduleSeeds, requests, reports)
}
