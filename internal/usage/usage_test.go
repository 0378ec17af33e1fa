package usage

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var oneRequest = apitypes.Usage{Requests: 1, PromptTokens: 10, OutputTokens: 5}

// network connects ledgers by name. Ledgers named in down fail every request. Those in copyResponseLost accept copies, but their
// responses are lost. Those in collectUnreachable fail the collection, and those in collectResponseLost close the window, but their
// responses are lost.
type network struct {
	mu                                                              sync.Mutex
	ledgers                                                         map[string]*Ledger
	down, copyResponseLost, collectUnreachable, collectResponseLost map[string]bool
	copies                                                          int
}

func newNetwork(names ...string) *network {
	n := &network{ledgers: make(map[string]*Ledger), down: make(map[string]bool), copyResponseLost: make(map[string]bool),
		collectUnreachable: make(map[string]bool), collectResponseLost: make(map[string]bool)}
	for i, name := range names {
		peers := []string{names[(i+1)%len(names)], names[(i+2)%len(names)]}
		n.ledgers[name] = NewLedger(Options{Incarnation: name, Copier: n, Peers: func() []string { return peers }})
	}
	return n
}

func (n *network) set(m map[string]bool, name string, v bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m[name] = v
}

func (n *network) CopyUsage(_ context.Context, peer string, counters []Counter) ([]int64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.copies++
	if n.down[peer] {
		return nil, errors.New("no response")
	}
	closed := n.ledgers[peer].AcceptCounters(counters)
	if n.copyResponseLost[peer] {
		return nil, errors.New("response lost")
	}
	return closed, nil
}

func (n *network) CollectWindow(_ context.Context, vm apitypes.VM, window int64, _ string, _ uint64) (WindowCounters, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down[vm.Name] || n.collectUnreachable[vm.Name] {
		return WindowCounters{}, errors.New("no response")
	}
	c := WindowCounters{Incarnation: vm.Name, Counters: n.ledgers[vm.Name].CloseWindow(window)}
	if n.collectResponseLost[vm.Name] {
		return WindowCounters{}, errors.New("response lost")
	}
	return c, nil
}

func (n *network) start(ctx context.Context) {
	for _, l := range n.ledgers {
		go func() { _ = l.Run(ctx) }()
	}
}

func currentWindowStart() int64 {
	return time.Now().Unix() / apitypes.DefaultWindowSeconds * apitypes.DefaultWindowSeconds
}

// heldUsage closes a window at a ledger and returns the sum of the ledger's counters for an incarnation in it.
func heldUsage(l *Ledger, w int64, incarnation string) (u apitypes.Usage) {
	for _, c := range l.CloseWindow(w) {
		if c.Incarnation == incarnation {
			u = addUsage(u, c.Usage)
		}
	}
	return u
}

// Guards against Record returning before a peer holds a copy, and against one copy for each call of Record.
func TestRecordsAreCopiedInGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork("a", "b", "c")
		n.start(ctx)
		w := currentWindowStart()
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				if err := n.ledgers["a"].Record(ctx, "rope", oneRequest); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if n.copies != 2 {
			t.Errorf("%d copies for one batch to two peers, want 2", n.copies)
		}
		n.set(n.down, "b", true)
		if err := n.ledgers["a"].Record(ctx, "rope", oneRequest); err != nil {
			t.Errorf("Record with one reachable peer: %v", err)
		}
		n.set(n.down, "c", true)
		time.Sleep(time.Minute)
		if err := n.ledgers["a"].Record(ctx, "rope", oneRequest); !errors.Is(err, ErrNoCopy) {
			t.Errorf("Record without a reachable peer: %v, want ErrNoCopy", err)
		}
		n.set(n.down, "c", false)
		time.Sleep(time.Minute)
		if got := heldUsage(n.ledgers["c"], w, "a"); got.Requests != 102 {
			t.Errorf("the copy holds %+v after the peer is reachable again, want 102 requests", got)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against usage that is lost or counted twice when peers close the window while its gateway is paused.
func TestPausedGatewayMovesToOpenWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork("a", "b", "c")
		n.start(ctx)
		a, w := n.ledgers["a"], currentWindowStart()
		if err := a.Record(ctx, "rope", oneRequest); err != nil {
			t.Error(err)
		}
		n.ledgers["b"].CloseWindow(w)
		n.ledgers["c"].CloseWindow(w)
		if err := a.Record(ctx, "rope", oneRequest); err != nil {
			t.Error(err)
		}
		for _, l := range []string{"a", "b", "c"} {
			sealed, next := heldUsage(n.ledgers[l], w, "a"), heldUsage(n.ledgers[l], w+apitypes.DefaultWindowSeconds, "a")
			if sealed != oneRequest || next != oneRequest {
				t.Errorf("%s holds %+v in the closed and %+v in the next window, want one request in each", l, sealed, next)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against counts that move to another window, and are billed twice, although a peer accepted them and its response was lost.
func TestCopyWithLostResponseIsNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork("a", "b", "c")
		n.start(ctx)
		a, w := n.ledgers["a"], currentWindowStart()
		n.ledgers["b"].CloseWindow(w)
		n.set(n.copyResponseLost, "c", true)
		if err := a.Record(ctx, "rope", oneRequest); !errors.Is(err, ErrNoCopy) {
			t.Error(err)
		}
		n.ledgers["c"].CloseWindow(w)
		n.set(n.copyResponseLost, "c", false)
		time.Sleep(10 * time.Second)
		if sealed, next := heldUsage(n.ledgers["c"], w, "a"), heldUsage(a, w+apitypes.DefaultWindowSeconds, "a"); sealed != oneRequest || next != (apitypes.Usage{}) {
			t.Errorf("closed window holds %+v, next %+v", sealed, next)
		}
		cancel()
		synctest.Wait()
	})
}

func newSealer(n *network, mem *memplatform.Platform, holder string) *Sealer {
	return &Sealer{Store: mem, VMs: mem, Sink: mem, Collector: n, Holder: holder}
}

func liveVMs(names ...string) (out []apitypes.VM) {
	for _, name := range names {
		out = append(out, apitypes.VM{Name: name, FailureDomain: "d-" + name, State: apitypes.VMLive})
	}
	return out
}

// Guards against a window that is reported with two different totals when two sealers run at once, each with a valid authority,
// and the platform's responses to sealing and reporting are lost.
func TestSealersRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n, mem := newNetwork("a", "b", "c"), memplatform.New()
		n.start(ctx)
		mem.SetVMs(liveVMs("a", "b", "c"))
		w := currentWindowStart()
		for _, name := range []string{"a", "b"} {
			if err := n.ledgers[name].Record(ctx, "rope", oneRequest); err != nil {
				t.Error(err)
			}
		}
		reportCounts := make(map[apitypes.Usage]int)
		mem.OnReport(func(w apitypes.UsageWindow) { reportCounts[w.Teams["rope"]]++ })
		time.Sleep(time.Until(time.Unix(w+apitypes.DefaultWindowSeconds, 0)))
		mem.SetFaults(memplatform.Faults{LoseAnswers: 4})
		var wg sync.WaitGroup
		for i, holder := range []string{"h1", "h2"} {
			a := lease.NewAuthority(ctx, uint64(i+1), time.Hour, nil)
			wg.Go(func() {
				defer a.End()
				got, err := newSealer(n, mem, holder).SealWindow(a, w)
				// Marking the window as reported may fail; the next pass of Run repeats it.
				if err != nil && !errors.Is(err, objectstore.ErrUnavailable) && !errors.Is(err, objectstore.ErrConflict) {
					t.Errorf("%s: %v", holder, err)
				}
				if got.Teams["rope"] != addUsage(oneRequest, oneRequest) {
					t.Errorf("%s: sealed %+v", holder, got)
				}
			})
		}
		wg.Wait()
		// A third sealer, whose gateways have restarted and lost their counters, must report the sealed totals.
		a := lease.NewAuthority(ctx, 3, time.Hour, nil)
		mem.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 0 })
		got, err := newSealer(newNetwork("a", "b", "c"), mem, "h3").SealWindow(a, w)
		if err != nil || got.Teams["rope"] != addUsage(oneRequest, oneRequest) {
			t.Errorf("third sealer: %+v, %v", got, err)
		}
		a.End()
		if len(reportCounts) != 1 || len(mem.Reports()) != 1 {
			t.Errorf("reported totals %v, want the same in all reports", reportCounts)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against windows that are sealed without a gateway's usage, that wait forever for one missing gateway, that are sealed
// while two gateways are missing, or that are skipped after an outage of the platform.
func TestMissingResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n, mem := newNetwork("a", "b", "c", "d"), memplatform.New()
		n.start(ctx)
		mem.SetVMs(liveVMs("a", "b", "c", "d"))
		w := currentWindowStart()
		id := strconv.FormatInt(w, 10)
		if err := n.ledgers["a"].Record(ctx, "rope", oneRequest); err != nil {
			t.Error(err)
		}
		n.set(n.down, "a", true)
		n.set(n.down, "d", true)
		time.Sleep(time.Until(time.Unix(w+apitypes.DefaultWindowSeconds, 0)))
		a := lease.NewAuthority(ctx, 1, 24*time.Hour, nil)
		done := make(chan struct{})
		go func() { defer close(done); newSealer(n, mem, "h").Run(a) }()
		time.Sleep(time.Minute)
		if len(mem.Reports()) != 0 {
			t.Error("a window was sealed with two responses missing")
		}
		mem.SetVMs(liveVMs("a", "b", "c"))
		time.Sleep(10 * time.Second)
		if got := mem.Reports()[id]; got.Teams["rope"] != oneRequest || !slices.Equal(got.Missing, []string{"a"}) {
			t.Errorf("reported %+v, want one request and gateway a as missing", got)
		}
		n.set(n.down, "a", false)
		mem.SetFaults(memplatform.Faults{Down: true})
		time.Sleep(3 * apitypes.DefaultWindowSeconds * time.Second)
		mem.SetFaults(memplatform.Faults{})
		time.Sleep(time.Minute)
		if got := mem.Reports(); len(got) != 4 {
			t.Errorf("%d windows are reported after the outage, want 4", len(got))
		}
		a.End()
		<-done
		cancel()
		synctest.Wait()
	})
}

// Guards against two copies in one failure domain, which a single failure would destroy.
func TestChoosePeers(t *testing.T) {
	list := []apitypes.VM{{Name: "a", FailureDomain: "x"}, {Name: "b", FailureDomain: "x"}, {Name: "c", FailureDomain: "y"},
		{Name: "d", FailureDomain: "y"}, {Name: "e", FailureDomain: "z"}}
	for i := range list {
		list[i].State = apitypes.VMLive
	}
	for _, self := range list {
		got := ChooseCopyPeers(self, list)
		if len(got) != 2 || got[0].FailureDomain == got[1].FailureDomain || got[0].FailureDomain == self.FailureDomain || got[1].FailureDomain == self.FailureDomain {
			t.Errorf("peers of %s are %v", self.Name, got)
		}
	}
}
