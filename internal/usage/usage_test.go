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

var one = apitypes.Usage{Requests: 1, PromptTokens: 10, OutputTokens: 5}

// network connects ledgers by name. Names in down don't answer; names in lost accept copies but lose the answer; names in
// deaf are not reached by the collection, and those in mute answer it without being heard.
type network struct {
	mu                     sync.Mutex
	ledgers                map[string]*Ledger
	down, lost, deaf, mute map[string]bool
	copies                 int
}

func newNetwork(names ...string) *network {
	n := &network{ledgers: make(map[string]*Ledger), down: make(map[string]bool), lost: make(map[string]bool),
		deaf: make(map[string]bool), mute: make(map[string]bool)}
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
		return nil, errors.New("no answer")
	}
	closed := n.ledgers[peer].AcceptCounters(counters)
	if n.lost[peer] {
		return nil, errors.New("answer lost")
	}
	return closed, nil
}

func (n *network) CollectWindow(_ context.Context, vm apitypes.VM, window int64, _ string, _ uint64) (WindowCounters, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down[vm.Name] || n.deaf[vm.Name] {
		return WindowCounters{}, errors.New("no answer")
	}
	c := WindowCounters{Incarnation: vm.Name, Counters: n.ledgers[vm.Name].CloseWindow(window)}
	if n.mute[vm.Name] {
		return WindowCounters{}, errors.New("answer lost")
	}
	return c, nil
}

func (n *network) run(ctx context.Context) {
	for _, l := range n.ledgers {
		go func() { _ = l.Run(ctx) }()
	}
}

func window() int64 {
	return time.Now().Unix() / apitypes.DefaultWindowSeconds * apitypes.DefaultWindowSeconds
}

// held sums what a ledger answers for a team and an incarnation in a window.
func held(l *Ledger, w int64, incarnation string) (u apitypes.Usage) {
	for _, c := range l.CloseWindow(w) {
		if c.Incarnation == incarnation {
			u = plus(u, c.Usage)
		}
	}
	return u
}

// Guards against records that return before a peer holds them, and against one copy per record.
func TestRecordsAreCopiedInGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork("a", "b", "c")
		n.run(ctx)
		w := window()
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				if err := n.ledgers["a"].Record(ctx, "rope", one); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if n.copies != 2 {
			t.Errorf("%d copies for one group to two peers", n.copies)
		}
		n.set(n.down, "b", true)
		if err := n.ledgers["a"].Record(ctx, "rope", one); err != nil {
			t.Errorf("one peer left: %v", err)
		}
		n.set(n.down, "c", true)
		time.Sleep(time.Minute)
		if err := n.ledgers["a"].Record(ctx, "rope", one); !errors.Is(err, ErrNoCopy) {
			t.Errorf("no peer left: %v", err)
		}
		n.set(n.down, "c", false)
		time.Sleep(time.Minute)
		if got := held(n.ledgers["c"], w, "a"); got.Requests != 102 {
			t.Errorf("copy holds %+v after the peer came back, want 102 requests", got)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a paused gateway's usage that is lost or counted twice when its window was closed in the meantime.
func TestPausedGatewayMovesToOpenWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork("a", "b", "c")
		n.run(ctx)
		a, w := n.ledgers["a"], window()
		if err := a.Record(ctx, "rope", one); err != nil {
			t.Error(err)
		}
		n.ledgers["b"].CloseWindow(w)
		n.ledgers["c"].CloseWindow(w)
		if err := a.Record(ctx, "rope", one); err != nil {
			t.Error(err)
		}
		for _, l := range []string{"a", "b", "c"} {
			sealed, next := held(n.ledgers[l], w, "a"), held(n.ledgers[l], w+apitypes.DefaultWindowSeconds, "a")
			if sealed != one || next != one {
				t.Errorf("%s holds %+v in the closed and %+v in the next window, want one request in each", l, sealed, next)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against counts that are moved, and so billed twice, although a peer took them and lost its answer.
func TestUnknownCopyIsNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork("a", "b", "c")
		n.run(ctx)
		a, w := n.ledgers["a"], window()
		n.ledgers["b"].CloseWindow(w)
		n.set(n.lost, "c", true)
		if err := a.Record(ctx, "rope", one); !errors.Is(err, ErrNoCopy) {
			t.Error(err)
		}
		n.ledgers["c"].CloseWindow(w)
		n.set(n.lost, "c", false)
		time.Sleep(10 * time.Second)
		if sealed, next := held(n.ledgers["c"], w, "a"), held(a, w+apitypes.DefaultWindowSeconds, "a"); sealed != one || next != (apitypes.Usage{}) {
			t.Errorf("closed window holds %+v, next %+v", sealed, next)
		}
		cancel()
		synctest.Wait()
	})
}

func sealer(n *network, mem *memplatform.Platform, holder string) *Sealer {
	return &Sealer{Store: mem, VMs: mem, Sink: mem, Collector: n, Holder: holder}
}

func vms(names ...string) (out []apitypes.VM) {
	for _, name := range names {
		out = append(out, apitypes.VM{Name: name, FailureDomain: "d-" + name, State: apitypes.VMLive})
	}
	return out
}

// Guards against a window that is reported with two figures when two sealers race, both believing that they hold
// authority, and the answers of seal and report are lost.
func TestSealersRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n, mem := newNetwork("a", "b", "c"), memplatform.New()
		n.run(ctx)
		mem.SetVMs(vms("a", "b", "c"))
		w := window()
		for _, name := range []string{"a", "b"} {
			if err := n.ledgers[name].Record(ctx, "rope", one); err != nil {
				t.Error(err)
			}
		}
		figures := make(map[apitypes.Usage]int)
		mem.OnReport(func(w apitypes.UsageWindow) { figures[w.Teams["rope"]]++ })
		time.Sleep(time.Until(time.Unix(w+apitypes.DefaultWindowSeconds, 0)))
		mem.SetFaults(memplatform.Faults{LoseAnswers: 4})
		var wg sync.WaitGroup
		for i, holder := range []string{"h1", "h2"} {
			a := lease.NewAuthority(ctx, uint64(i+1), time.Hour, nil)
			wg.Go(func() {
				defer a.End()
				got, err := sealer(n, mem, holder).SealWindow(a, w)
				// Marking the window as reported may fail; the next pass of Run repeats it.
				if err != nil && !errors.Is(err, objectstore.ErrUnavailable) && !errors.Is(err, objectstore.ErrConflict) {
					t.Errorf("%s: %v", holder, err)
				}
				if got.Teams["rope"] != plus(one, one) {
					t.Errorf("%s: sealed %+v", holder, got)
				}
			})
		}
		wg.Wait()
		// A third sealer, whose gateways have restarted and lost their counters, must keep to the sealed figures.
		a := lease.NewAuthority(ctx, 3, time.Hour, nil)
		mem.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 0 })
		got, err := sealer(newNetwork("a", "b", "c"), mem, "h3").SealWindow(a, w)
		if err != nil || got.Teams["rope"] != plus(one, one) {
			t.Errorf("third sealer: %+v, %v", got, err)
		}
		a.End()
		if len(figures) != 1 || len(mem.Reports()) != 1 {
			t.Errorf("reported figures %v", figures)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against windows that are sealed without a gateway's usage, that wait for ever for one gateway, or that are sealed
// while two are missing; and against windows that a successor skips after an outage.
func TestMissingAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n, mem := newNetwork("a", "b", "c", "d"), memplatform.New()
		n.run(ctx)
		mem.SetVMs(vms("a", "b", "c", "d"))
		w := window()
		id := strconv.FormatInt(w, 10)
		if err := n.ledgers["a"].Record(ctx, "rope", one); err != nil {
			t.Error(err)
		}
		n.set(n.down, "a", true)
		n.set(n.down, "d", true)
		time.Sleep(time.Until(time.Unix(w+apitypes.DefaultWindowSeconds, 0)))
		a := lease.NewAuthority(ctx, 1, 24*time.Hour, nil)
		done := make(chan struct{})
		go func() { defer close(done); sealer(n, mem, "h").Run(a) }()
		time.Sleep(time.Minute)
		if len(mem.Reports()) != 0 {
			t.Error("sealed with two answers missing")
		}
		mem.SetVMs(vms("a", "b", "c"))
		time.Sleep(10 * time.Second)
		if got := mem.Reports()[id]; got.Teams["rope"] != one || !slices.Equal(got.Missing, []string{"a"}) {
			t.Errorf("reported %+v", got)
		}
		n.set(n.down, "a", false)
		mem.SetFaults(memplatform.Faults{Down: true})
		time.Sleep(3 * apitypes.DefaultWindowSeconds * time.Second)
		mem.SetFaults(memplatform.Faults{})
		time.Sleep(time.Minute)
		if got := mem.Reports(); len(got) != 4 {
			t.Errorf("%d windows reported after the outage, want 4", len(got))
		}
		a.End()
		<-done
		cancel()
		synctest.Wait()
	})
}

// Guards against two copies in one failure domain, which a single failure would take together.
func TestChoosePeers(t *testing.T) {
	list := []apitypes.VM{{Name: "a", FailureDomain: "x"}, {Name: "b", FailureDomain: "x"}, {Name: "c", FailureDomain: "y"},
		{Name: "d", FailureDomain: "y"}, {Name: "e", FailureDomain: "z"}}
	for i := range list {
		list[i].State = apitypes.VMLive
	}
	for _, self := range list {
		got := ChoosePeers(self, list)
		if len(got) != 2 || got[0].FailureDomain == got[1].FailureDomain || got[0].FailureDomain == self.FailureDomain || got[1].FailureDomain == self.FailureDomain {
			t.Errorf("peers of %s are %v", self.Name, got)
		}
	}
}
