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

// runWithFault starts four gateways, calls inject to cause a fault before the window's end and runs the sealer over the following
// windows. The fault is removed after the window could be sealed. It returns the reported windows.
func runWithFault(t *testing.T, inject func(ctx context.Context, n *network)) map[string]apitypes.UsageWindow {
	t.Helper()
	var reports map[string]apitypes.UsageWindow
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n, mem := newNetwork("a", "b", "c", "d"), memplatform.New()
		for _, l := range n.ledgers {
			l.opts.ReadSealedWindow = NewSealedWindowReader(mem)
		}
		mem.SetVMs(liveVMs("a", "b", "c", "d"))
		n.start(ctx)
		w := currentWindowStart()
		inject(ctx, n)
		time.Sleep(time.Until(time.Unix(w+apitypes.DefaultWindowSeconds, 0)))
		a := lease.NewAuthority(ctx, 1, 24*time.Hour, nil)
		done := make(chan struct{})
		go func() { defer close(done); newSealer(n, mem, "h").Run(a) }()
		time.Sleep(missingResponseGrace + 5*time.Second)
		n.mu.Lock()
		clear(n.down)
		clear(n.copyResponseLost)
		clear(n.collectUnreachable)
		clear(n.collectResponseLost)
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

// billedUsage returns a team's usage summed over all reported windows.
func billedUsage(reports map[string]apitypes.UsageWindow, team string) (u apitypes.Usage) {
	for _, w := range reports {
		u = addUsage(u, w.Teams[team])
	}
	return u
}

// Guards against usage that is billed twice when a peer accepted a copy, its response was lost, and more usage was counted in the
// window before all peers closed it.
func TestLostCopyResponseThenMoreIsBilledOnce(t *testing.T) {
	reports := runWithFault(t, func(ctx context.Context, n *network) {
		n.set(n.down, "b", true)
		n.set(n.copyResponseLost, "c", true)
		if err := n.ledgers["a"].Record(ctx, "rope", oneRequest); !errors.Is(err, ErrNoCopy) {
			t.Error(err)
		}
		n.set(n.copyResponseLost, "c", false)
		n.set(n.down, "c", true)
		time.Sleep(2 * time.Second)
		if err := n.ledgers["a"].Record(ctx, "rope", oneRequest); !errors.Is(err, ErrNoCopy) {
			t.Error(err)
		}
		// Both peers close the window before gateway a reaches them again, and the collection does not reach a.
		n.set(n.collectUnreachable, "a", true)
		n.ledgers["b"].CloseWindow(currentWindowStart())
		n.ledgers["c"].CloseWindow(currentWindowStart())
		n.set(n.down, "b", false)
		n.set(n.down, "c", false)
	})
	if got := billedUsage(reports, "rope"); got != addUsage(oneRequest, oneRequest) {
		t.Errorf("billed %+v for two requests", got)
	}
}

// Guards against usage that is billed twice when the gateway's peers change after its copies were confirmed.
func TestCopiesAtFormerPeersAreBilledOnce(t *testing.T) {
	reports := runWithFault(t, func(ctx context.Context, n *network) {
		a, peers := n.ledgers["a"], []string{"b", "c"}
		a.opts.Peers = func() []string { n.mu.Lock(); defer n.mu.Unlock(); return peers }
		if err := a.Record(ctx, "rope", oneRequest); err != nil {
			t.Error(err)
		}
		n.mu.Lock()
		peers = []string{"d"}
		n.mu.Unlock()
		n.set(n.collectUnreachable, "a", true)
		n.ledgers["d"].CloseWindow(currentWindowStart())
		if err := a.Record(ctx, "rope", oneRequest); err != nil {
			t.Error(err)
		}
	})
	if got := billedUsage(reports, "rope"); got != addUsage(oneRequest, oneRequest) {
		t.Errorf("billed %+v for two requests", got)
	}
}

// Guards against usage without a copy that is lost when the gateway's response to the collection does not reach the sealer.
func TestUncopiedCountsSurviveLostCollectionResponse(t *testing.T) {
	reports := runWithFault(t, func(ctx context.Context, n *network) {
		n.set(n.down, "b", true)
		n.set(n.down, "c", true)
		if err := n.ledgers["a"].Record(ctx, "rope", oneRequest); !errors.Is(err, ErrNoCopy) {
			t.Error(err)
		}
		n.ledgers["a"].CloseWindow(currentWindowStart())
		n.set(n.collectResponseLost, "a", true)
		n.set(n.down, "b", false)
		n.set(n.down, "c", false)
	})
	if got := billedUsage(reports, "rope"); got != oneRequest {
		t.Errorf("billed %+v for one request", got)
	}
}

// Guards against windows that are never reported because no window was sealed yet and the sealer starts with the last ended one. The
// gateways have already closed the oldest window, as when an earlier sealer stopped between collecting and sealing it.
func TestFirstSealerStartsWithTheOldestUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n, mem := newNetwork("a", "b", "c"), memplatform.New()
		mem.SetVMs(liveVMs("a", "b", "c"))
		n.start(ctx)
		w := currentWindowStart()
		if err := n.ledgers["a"].Record(ctx, "rope", oneRequest); err != nil {
			t.Error(err)
		}
		time.Sleep(5 * apitypes.DefaultWindowSeconds * time.Second)
		for _, l := range n.ledgers {
			l.CloseWindow(w)
		}
		a := lease.NewAuthority(ctx, 1, time.Hour, nil)
		done := make(chan struct{})
		go func() { defer close(done); newSealer(n, mem, "h").Run(a) }()
		time.Sleep(10 * time.Second)
		reports := mem.Reports()
		if got := reports[strconv.FormatInt(w, 10)].Teams["rope"]; got != oneRequest || len(reports) != 5 {
			t.Errorf("the oldest window has %+v and %d windows are reported, want one request and 5 windows", got, len(reports))
		}
		a.End()
		<-done
		cancel()
		synctest.Wait()
	})
}
