package usage

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

// listCounter counts the lists of windows.
type listCounter struct {
	*memplatform.Platform
	lists int
}

func (l *listCounter) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, error) {
	l.lists++
	return l.Platform.List(ctx, kind)
}

// runSealer runs a sealer for a time and ends its authority.
func runSealer(ctx context.Context, s *Sealer, fence uint64, length time.Duration) {
	a := lease.NewAuthority(ctx, fence, 100*24*time.Hour, nil)
	done := make(chan struct{})
	go func() { defer close(done); s.Run(a) }()
	time.Sleep(length)
	a.End()
	<-done
}

func windowsOn(t *testing.T, mem *memplatform.Platform) map[int64]apitypes.UsageWindow {
	all, _, err := mem.List(t.Context(), apitypes.KindWindow)
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[int64]apitypes.UsageWindow)
	for _, o := range all {
		start, _ := strconv.ParseInt(o.Name, 10, 64)
		out[start] = apitypes.UsageWindow{}
	}
	return out
}

// Guards against windows that are skipped or reported twice when the log of windows is lost or behind, and against lists of all windows,
// which are too large with thousands of teams.
func TestLogOfWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, mem := newNetwork("a", "b", "c"), memplatform.New()
		mem.SetVMs(vms("a", "b", "c"))
		reported := make(map[string]int)
		mem.OnReport(func(w apitypes.UsageWindow) { reported[w.ID]++ })
		store := &listCounter{Platform: mem}
		s := sealer(n, mem, "h")
		s.Store = store
		const windows = 4
		runSealer(t.Context(), s, 1, windows*apitypes.DefaultWindowSeconds*time.Second)
		if store.lists != 1 {
			t.Errorf("%d lists of windows", store.lists)
		}
		behind, err := mem.Get(t.Context(), apitypes.KindUsageLog, apitypes.UsageLogName)
		if err != nil {
			t.Fatal(err)
		}
		runSealer(t.Context(), s, 2, windows*apitypes.DefaultWindowSeconds*time.Second)
		now, _ := mem.Get(t.Context(), apitypes.KindUsageLog, apitypes.UsageLogName)
		// A holder died before it wrote the log: the log is several windows behind.
		if _, err := mem.Put(t.Context(), apitypes.KindUsageLog, apitypes.UsageLogName, behind.Data, now.Version); err != nil {
			t.Fatal(err)
		}
		runSealer(t.Context(), s, 3, windows*apitypes.DefaultWindowSeconds*time.Second)
		now, _ = mem.Get(t.Context(), apitypes.KindUsageLog, apitypes.UsageLogName)
		if err := mem.Delete(t.Context(), apitypes.KindUsageLog, apitypes.UsageLogName, now.Version); err != nil {
			t.Fatal(err)
		}
		runSealer(t.Context(), s, 4, windows*apitypes.DefaultWindowSeconds*time.Second)
		if store.lists != 2 {
			t.Errorf("%d lists of windows after the log was lost once", store.lists)
		}
		if len(reported) < 4*windows || len(reported) != len(windowsOn(t, mem)) {
			t.Errorf("%d windows reported, %d kept", len(reported), len(windowsOn(t, mem)))
		}
		for id, times := range reported {
			if times != 1 {
				t.Errorf("window %s reported %d times", id, times)
			}
		}
	})
}

// Guards against windows that are kept for ever, and against the loss of one that is not reported yet.
func TestWindowsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, mem := newNetwork("a", "b", "c"), memplatform.New()
		mem.SetVMs(vms("a", "b", "c"))
		s := sealer(n, mem, "h")
		s.WindowLength = int64(6 * time.Hour / time.Second)
		a := lease.NewAuthority(t.Context(), 1, 100*24*time.Hour, nil)
		defer a.End()
		begin := s.lastEnded()
		for _, pause := range []time.Duration{0, sealedKept + 24*time.Hour, 0} {
			time.Sleep(pause)
			if err := s.pass(a, s.lastEnded()); err != nil {
				t.Fatal(err)
			}
		}
		kept := windowsOn(t, mem)
		for start := range kept {
			if age := time.Since(time.Unix(start, 0)); age > sealedKept {
				t.Errorf("a window of %v ago is kept", age)
			}
		}
		if _, ok := kept[begin]; ok || len(kept) != int(sealedKept/(6*time.Hour)) {
			t.Errorf("%d windows are kept", len(kept))
		}
	})
}
