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
	// simSeeds is the number of simulations, each with its own seed; simFaultWindows is the number of windows with faults in each.
	simSeeds        = 40
	simFaultWindows = 6
	// simWindowSeconds is the length of a window in seconds. The offsets of the faults depend on it.
	simWindowSeconds = 60
	// simSettleWindows is the number of windows without faults at the end, in which all remaining usage is reported.
	simSettleWindows = 4
	// linkDelay is the one-way delay between two VMs.
	linkDelay = 2 * time.Millisecond
)

// gate simulates a paused process: its wait methods block while it is frozen.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
	// waitsUntilFreeze is the number of calls of wait up to the one that freezes the gate; 0 freezes none.
	waitsUntilFreeze int
	// freezeOnReport makes the next call of waitBeforeReport freeze the gate.
	freezeOnReport bool
	// linked is frozen together with this gate; optional.
	linked *gate
}

func (g *gate) freezeAtNextReport() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freezeOnReport = true
}

// waitBeforeReport is called in place of wait before a report, and may freeze the gate first.
func (g *gate) waitBeforeReport() {
	g.mu.Lock()
	freeze := g.freezeOnReport
	g.freezeOnReport = false
	g.mu.Unlock()
	if freeze {
		g.freeze()
	}
	g.wait()
}

// freezeAfterWaits freezes the gate at the n-th following call of wait, so that a process pauses at a given step.
func (g *gate) freezeAfterWaits(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waitsUntilFreeze = n
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
	if g.linked != nil {
		g.linked.freeze()
	}
}

func (g *gate) unfreeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waitsUntilFreeze, g.freezeOnReport = 0, false
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	if g.waitsUntilFreeze > 0 {
		if g.waitsUntilFreeze--; g.waitsUntilFreeze == 0 {
			g.freezeLocked()
		}
	}
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// simGateway is one incarnation of a gateway. All fields except gate are guarded by the simulation's lock.
type simGateway struct {
	gate        gate
	vm          string
	startNumber int
	ledger      *Ledger
	cancel      context.CancelFunc
	killed      bool
	// copyResponseLost holds the VMs of peers whose responses to this gateway's copies are lost. While collectResponseLost is set, its
	// responses to the collection are lost; while copiesBlocked is set, none of its copies arrive.
	copyResponseLost                   map[string]bool
	collectResponseLost, copiesBlocked bool
	// uncopied holds the indexes of completed requests whose usage no peer confirmed.
	uncopied []int
}

func (g *simGateway) incarnation() string { return fmt.Sprintf("%s@%d", g.vm, g.startNumber) }

// simulation runs four gateways and three sealers in virtual time and injects random faults.
type simulation struct {
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
	// rivalSealers allows faults in which two sealers have authority at once. Fencing tokens have no order then.
	rivalSealers bool
	history      history.History
	work         sync.WaitGroup
}

// newRand returns a separate random source for each stream. A source shared by goroutines would depend on their scheduling.
func (s *simulation) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, stream)) }

const (
	gatewayStream uint64 = 1
	sealerStream  uint64 = 2
	// requestStream is the base of the streams of gateway incarnations; each adds its start number.
	requestStream uint64 = 100
)

// startGateway starts a new gateway incarnation on the i-th VM, which serves requests until it is killed.
func (s *simulation) startGateway(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(s.ctx)
	s.starts++
	g := &simGateway{vm: fmt.Sprintf("vm-%d", i+1), startNumber: s.starts, cancel: cancel, copyResponseLost: make(map[string]bool)}
	g.ledger = NewLedger(Options{Incarnation: g.incarnation(), WindowLength: simWindowSeconds, Copier: &simCopier{s, g}, Peers: func() []string { return s.peers(i) },
		ReadSealedWindow: NewSealedWindowReader(gatedStore{s.mem, &g.gate})})
	s.gateways[i] = g
	s.work.Go(func() { _ = g.ledger.Run(ctx) })
	s.work.Go(func() { s.serve(ctx, g) })
}

// peers returns the current incarnations on the two VMs after the i-th.
func (s *simulation) peers(i int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := 1; k <= copiesPerCounter; k++ {
		out = append(out, s.gateways[(i+k)%len(s.gateways)].incarnation())
	}
	return out
}

// serve finishes a request every 20 to 720 milliseconds. A request is complete when Record returned before the gateway was killed.
func (s *simulation) serve(ctx context.Context, g *simGateway) {
	random := s.newRand(requestStream + uint64(g.startNumber))
	for ctxtime.Sleep(ctx, time.Duration(20+random.IntN(700))*time.Millisecond) {
		g.gate.wait()
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
			err := g.ledger.Record(ctx, team, oneRequest)
			g.gate.wait()
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

// kill ends an incarnation at once. Requests whose usage no peer confirmed may be lost with it and don't count as complete.
func (s *simulation) kill(g *simGateway) {
	s.mu.Lock()
	g.killed = true
	for _, n := range g.uncopied {
		s.requests[n].Result = history.ResultDisconnected
	}
	s.mu.Unlock()
	g.gate.unfreeze()
	g.cancel()
}

// simCopier delivers one gateway's copies to its peers.
type simCopier struct {
	s    *simulation
	from *simGateway
}

// CopyUsage implements Copier. A frozen peer accepts the copy when it is unfrozen, after the sender's time-out.
func (c *simCopier) CopyUsage(ctx context.Context, peer string, counters []Counter) ([]int64, error) {
	c.from.gate.wait()
	to := c.s.findGateway(peer)
	if to == nil {
		return nil, errors.New("connection refused")
	}
	c.s.mu.Lock()
	lost, blocked := c.from.copyResponseLost[to.vm], c.from.copiesBlocked
	c.s.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	response := make(chan []int64, 1)
	c.s.work.Go(func() {
		time.Sleep(linkDelay)
		to.gate.wait()
		response <- to.ledger.AcceptCounters(counters)
	})
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case closed := <-response:
		return closed, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *simulation) findGateway(incarnation string) *simGateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gateways {
		if g.incarnation() == incarnation && !g.killed {
			return g
		}
	}
	return nil
}

// simSealer is one controller. It implements Collector. Its gates simulate a frozen process. The calls of the lease have their own
// gate, which is unfrozen last, so that a resumed process continues with its report before it notices that it lost the lease.
type simSealer struct {
	s               *simulation
	gate, leaseGate gate
}

func (c *simSealer) unfreeze() {
	c.gate.unfreeze()
	time.Sleep(time.Millisecond)
	c.leaseGate.unfreeze()
}

// CollectWindow implements Collector. A frozen gateway closes the window when it is unfrozen; its response may then be discarded.
func (c *simSealer) CollectWindow(ctx context.Context, vm apitypes.VM, window int64, _ string, _ uint64) (WindowCounters, error) {
	c.gate.wait()
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
	response := make(chan WindowCounters, 1)
	c.s.work.Go(func() {
		to.gate.wait()
		response <- WindowCounters{Incarnation: to.incarnation(), Counters: to.ledger.CloseWindow(window)}
	})
	c.s.mu.Lock()
	lost := to.collectResponseLost
	c.s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return WindowCounters{}, ctx.Err()
	}
	select {
	case got := <-response:
		c.gate.wait()
		return got, nil
	case <-ctx.Done():
		return WindowCounters{}, ctx.Err()
	}
}

// gatedStore is one process's client of the platform. Each call blocks before and after the request while the process is frozen.
type gatedStore struct {
	*memplatform.Platform
	gate *gate
}

func (p gatedStore) Get(ctx context.Context, kind, name string) (apitypes.Object, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Platform.Get(ctx, kind, name)
}

func (p gatedStore) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Platform.List(ctx, kind)
}

func (p gatedStore) Put(ctx context.Context, kind, name string, data []byte, expected uint64) (uint64, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Platform.Put(ctx, kind, name, data, expected)
}

// boundSink reports only while its authority is valid, like a connection made by Authority.DialContext.
type boundSink struct {
	s    *simulation
	gate *gate
	a    *lease.Authority
}

func (b boundSink) ReportWindow(ctx context.Context, w apitypes.UsageWindow) error {
	b.gate.waitBeforeReport()
	if !b.a.Valid() {
		return lease.ErrNoAuthority
	}
	r := history.UsageReport{FencingToken: b.a.FencingToken(), At: time.Now()}
	if b.s.rivalSealers {
		r.FencingToken = 0
	}
	b.s.history.AddUsageWindow(r, w)
	err := b.s.mem.ReportWindow(ctx, w)
	if err != nil && !errors.Is(err, objectstore.ErrUnavailable) && ctx.Err() == nil {
		b.s.t.Errorf("the platform refused a report: %v", err)
	}
	b.gate.wait()
	return err
}

// startSealer starts a sealer that competes for the lease and seals while it holds it, as duty.RunUsageDuty does.
func (s *simulation) startSealer(c *simSealer, name string) {
	store := gatedStore{s.mem, &c.gate}
	c.gate.linked = &c.leaseGate
	elector := lease.NewElector(lease.Options{Store: gatedStore{s.mem, &c.leaseGate}, Name: "usage", Holder: name})
	s.work.Go(func() { _ = elector.Run(s.ctx, func(a *lease.Authority) { s.seal(c, store, name, a) }) })
}

func (s *simulation) seal(c *simSealer, store gatedStore, name string, a *lease.Authority) {
	sealer := &Sealer{Store: store, VMs: s.mem, Sink: boundSink{s, &c.gate, a}, Collector: c, Holder: name, WindowLength: simWindowSeconds}
	sealer.Run(a)
}

// sleepUntilOffset sleeps until an offset in seconds from a window's start.
func sleepUntilOffset(window int64, seconds int) {
	time.Sleep(time.Until(time.Unix(window+int64(seconds), 0)))
}

// injectGatewayFault injects one random fault of gateways and returns its kind. The fault begins at second 45 of the window at the
// earliest and ends before second 45 of the next, so that all copies are made between two faults. Usage is lost only when a gateway
// and both its peers are killed in one window, so two gateways are not killed in a window that began with the kill of a third.
func (s *simulation) injectGatewayFault(w int64, last string, random *rand.Rand) string {
	i, j := random.IntN(4), 1+random.IntN(3)
	kind := []string{"none", "kill", "kill two", "kill two for long", "freeze", "lose copy responses", "lose collection response",
		"kill after collection", "block copies and freeze", "block copies and lose collection response"}[random.IntN(10)]
	if last == "kill after collection" && strings.HasPrefix(kind, "kill two") {
		kind = "kill"
	}
	first, second := s.gateways[i], s.gateways[(i+j)%4]
	sleepUntilOffset(w, 45+random.IntN(14))
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
		sleepUntilOffset(w, 80)
		s.startGateway(i)
		s.startGateway((i + j) % 4)
	case "freeze":
		first.gate.freeze()
		sleepUntilOffset(w, 62+random.IntN(38))
		first.gate.unfreeze()
	case "lose copy responses":
		s.withLock(func() {
			first.copyResponseLost[s.gateways[(i+1)%4].vm], first.copyResponseLost[s.gateways[(i+2)%4].vm] = true, j > 1
		})
		sleepUntilOffset(w, 62+random.IntN(10))
		s.withLock(func() { clear(first.copyResponseLost) })
	case "lose collection response":
		s.withLock(func() { first.collectResponseLost = true })
		sleepUntilOffset(w, 62+random.IntN(38))
		s.withLock(func() { first.collectResponseLost = false })
	case "block copies and freeze":
		s.withLock(func() { first.copiesBlocked = true })
		sleepUntilOffset(w, 59)
		first.gate.freeze()
		sleepUntilOffset(w, 62+random.IntN(38))
		s.withLock(func() { first.copiesBlocked = false })
		first.gate.unfreeze()
	case "block copies and lose collection response":
		s.withLock(func() { first.copiesBlocked, first.collectResponseLost = true, true })
		sleepUntilOffset(w, 60+random.IntN(5))
		s.withLock(func() { first.copiesBlocked = false })
		sleepUntilOffset(w, 62+random.IntN(38))
		s.withLock(func() { first.collectResponseLost = false })
	case "kill after collection":
		sleepUntilOffset(w, 61)
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		s.kill(first)
		s.startGateway(i)
	}
	return kind
}

// injectSealerFault injects one random fault of sealers or of the platform around the collection and returns its kind.
func (s *simulation) injectSealerFault(w int64, random *rand.Rand) string {
	kind := []string{"none", "freeze sealers", "platform down", "lose responses", "rival"}[random.IntN(5)]
	if s.rivalSealers && random.IntN(2) == 0 {
		kind = "rival"
	}
	sleepUntilOffset(w, 58)
	time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	switch kind {
	case "freeze sealers":
		// Two of the three sealers are frozen past the lease's expiry, each at a random step or before its next report.
		sleepUntilOffset(w, 60)
		for _, c := range s.sealers[:2] {
			if random.IntN(2) == 0 {
				c.gate.freezeAtNextReport()
			} else {
				c.gate.freezeAfterWaits(1 + random.IntN(24))
			}
		}
		sleepUntilOffset(w, 90)
		for _, c := range s.sealers[:2] {
			c.unfreeze()
		}
	case "platform down":
		s.mem.SetFaults(memplatform.Faults{Down: true})
		time.Sleep(time.Duration(1+random.IntN(20)) * time.Second)
		s.mem.SetFaults(memplatform.Faults{})
	case "lose responses":
		s.mem.SetFaults(memplatform.Faults{LoseAnswers: 1 + random.IntN(8)})
	case "rival":
		if s.rivalSealers {
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

// withLock calls change with the simulation's lock held.
func (s *simulation) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// run runs the simulation for a seed, records its history and returns the faults of each window.
func (s *simulation) run(seed uint64) (faults []string) {
	ctx, cancel := context.WithCancel(s.t.Context())
	s.ctx, s.mem, s.seed = ctx, memplatform.New(), seed
	s.rivalSealers = seed%4 == 0
	s.mem.SetVMs(liveVMs("vm-1", "vm-2", "vm-3", "vm-4"))
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
		s.startSealer(c, fmt.Sprintf("h%d", i+1))
	}
	w := time.Now().Unix() / simWindowSeconds * simWindowSeconds
	gatewayRand, sealerRand := s.newRand(gatewayStream), s.newRand(sealerStream)
	var gatewayFault, sealerFault string
	for range simFaultWindows {
		var both sync.WaitGroup
		both.Go(func() { gatewayFault = s.injectGatewayFault(w, gatewayFault, gatewayRand) })
		both.Go(func() { sealerFault = s.injectSealerFault(w, sealerRand) })
		both.Wait()
		faults = append(faults, gatewayFault+" + "+sealerFault)
		w += simWindowSeconds
	}
	s.withLock(func() { s.stopped = true })
	time.Sleep(simSettleWindows * simWindowSeconds * time.Second)
	cancel()
	s.work.Wait()
	for _, r := range s.requests {
		s.history.AddRequest(r)
	}
	return faults
}

// Guards against usage windows that are reported with different totals or by a process without authority, and against usage that
// is lost or billed twice (guarantee G6). Gateways are killed, also two at once, or frozen; sealers are frozen past their lease or
// run at once; copies and responses are lost; the platform is down.
func TestReportsUnderFaults(t *testing.T) {
	var requests, reports int
	for seed := range uint64(simSeeds) {
		synctest.Test(t, func(t *testing.T) {
			s := &simulation{t: t}
			faults := s.run(seed)
			for _, v := range append(s.history.CheckGuarantees(history.DefaultBounds), s.history.CheckBilling()...) {
				t.Errorf("seed %d, %v: %v", seed, faults, v)
			}
			requests += len(s.history.Requests)
			reports += len(s.history.UsageReports)
		})
	}
	t.Logf("%d simulations, %d requests, %d reports", simSeeds, requests, reports)
}
