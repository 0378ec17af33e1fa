package usage

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

// runFault records one request at gateway "a" of four, provokes a fault before the window's end and runs the sealer over the
// following windows. It returns the reported windows. The network is as the fault left it until the window was sealed, and
// whole afterwards.
func runFault(t *testing.T, provoke func(ctx context.Context, n *network)) map[string]apitypes.UsageWindow {
	t.Helper()
	var reports map[string]apitypes.UsageWindow
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n, mem := newNetwork("a", "b", "c", "d"), memplatform.New()
		for _, l := range n.ledgers {
			l.o.ReadSealedWindow = NewSealedWindowReader(mem)
		}
		mem.SetVMs(vms("a", "b", "c", "d"))
		n.run(ctx)
		w := window()
		provoke(ctx, n)
		time.Sleep(time.Until(time.Unix(w+apitypes.DefaultWindowSeconds, 0)))
		a := lease.NewAuthority(ctx, 1, 24*time.Hour, nil)
		done := make(chan struct{})
		go func() { defer close(done); sealer(n, mem, "h").Run(a) }()
		time.Sleep(toleranceAfter + 5*time.Second)
		n.mu.Lock()
		clear(n.down)
		clear(n.lost)
		clear(n.deaf)
		clear(n.mute)
		n.mu.Unlock()
		time.Sleep(3 * apitypes.DefaultWindowSeconds * time.Second)
		a.End()
		<-done
		reports = mem.Reports()
		cancel()
		synctest.Wait()
	})
	return reports
}

// billed sums a team over all reported windows.
func billed(reports map[string]apitypes.UsageWindow, team string) (u apitypes.Usage) {
	for _, w := range reports {
		u = plus(u, w.Teams[team])
	}
	return u
}

// Guards against usage that is billed twice when a peer accepted a copy, its answer was lost, and more was counted in the
// window before every peer closed it.
func TestLostCopyAnswerThenMoreIsBilledOnce(t *testing.T) {
	reports := runFault(t, func(ctx context.Context, n *network) {
		n.set(n.down, "b", true)
		n.set(n.lost, "c", true)
		if err := n.ledgers["a"].Record(ctx, "rope", one); !errors.Is(err, ErrNoCopy) {
			t.Error(err)
		}
		n.set(n.lost, "c", false)
		n.set(n.down, "c", true)
		time.Sleep(2 * time.Second)
		if err := n.ledgers["a"].Record(ctx, "rope", one); !errors.Is(err, ErrNoCopy) {
			t.Error(err)
		}
		// Both peers close the window before gateway a reaches them again, and the collection does not reach a.
		n.set(n.deaf, "a", true)
		n.ledgers["b"].CloseWindow(window())
		n.ledgers["c"].CloseWindow(window())
		n.set(n.down, "b", false)
		n.set(n.down, "c", false)
	})
	if got := billed(reports, "rope"); got != plus(one, one) {
		t.Errorf("billed %+v for two requests", got)
	}
}

// Guards against usage that is billed twice because the peers that confirmed its copies are no longer the gateway's peers.
func TestCopiesAtFormerPeersAreBilledOnce(t *testing.T) {
	reports := runFault(t, func(ctx context.Context, n *network) {
		a, peers := n.ledgers["a"], []string{"b", "c"}
		a.o.Peers = func() []string { n.mu.Lock(); defer n.mu.Unlock(); return peers }
		if err := a.Record(ctx, "rope", one); err != nil {
			t.Error(err)
		}
		n.mu.Lock()
		peers = []string{"d"}
		n.mu.Unlock()
		n.set(n.deaf, "a", true)
		n.ledgers["d"].CloseWindow(window())
		if err := a.Record(ctx, "rope", one); err != nil {
			t.Error(err)
		}
	})
	if got := billed(reports, "rope"); got != plus(one, one) {
		t.Errorf("billed %+v for two requests", got)
	}
}

// Guards against usage without a copy that is lost when the gateway's own answer to the collection never reaches the sealer.
func TestUncopiedCountsOutliveALostCollection(t *testing.T) {
	reports := runFault(t, func(ctx context.Context, n *network) {
		n.set(n.down, "b", true)
		n.set(n.down, "c", true)
		if err := n.ledgers["a"].Record(ctx, "rope", one); !errors.Is(err, ErrNoCopy) {
			t.Error(err)
		}
		n.ledgers["a"].CloseWindow(window())
		n.set(n.mute, "a", true)
		n.set(n.down, "b", false)
		n.set(n.down, "c", false)
	})
	if got := billed(reports, "rope"); got != one {
		t.Errorf("billed %+v for one request", got)
	}
}

// Guards against windows before the last ended one that are never reported when no window was sealed before, also when the
// first sealer ends between asking for the oldest window and sealing it.
func TestFirstSealerStartsWithTheOldestUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n, mem := newNetwork("a", "b", "c"), memplatform.New()
		mem.SetVMs(vms("a", "b", "c"))
		n.run(ctx)
		w := window()
		if err := n.ledgers["a"].Record(ctx, "rope", one); err != nil {
			t.Error(err)
		}
		time.Sleep(5 * apitypes.DefaultWindowSeconds * time.Second)
		for _, l := range n.ledgers {
			l.CloseWindow(w)
		}
		a := lease.NewAuthority(ctx, 1, time.Hour, nil)
		done := make(chan struct{})
		go func() { defer close(done); sealer(n, mem, "h").Run(a) }()
		time.Sleep(10 * time.Second)
		reports := mem.Reports()
		if got := reports[strconv.FormatInt(w, 10)].Teams["rope"]; got != one || len(reports) != 5 {
			t.Errorf("the oldest window has %+v, and %d windows are reported, want 5", got, len(reports))
		}
		a.End()
		<-done
		cancel()
		synctest.Wait()
	})
}
