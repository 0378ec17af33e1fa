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

// listCountingStore counts the calls of List.
type listCountingStore struct {
	*memplatform.Platform
	lists int
}

func (l *listCountingStore) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, error) {
	l.lists++
	return l.Platform.List(ctx, kind)
}

// runSealer runs a sealer for a duration and then ends its authority.
func runSealer(ctx context.Context, s *Sealer, fence uint64, duration time.Duration) {
	a := lease.NewAuthority(ctx, fence, 100*24*time.Hour, nil)
	done := make(chan struct{})
	go func() { defer close(done); s.Run(a) }()
	time.Sleep(duration)
	a.End()
	<-done
}

// storedWindows returns the starts of the windows stored on the platform, as keys.
func storedWindows(t *testing.T, mem *memplatform.Platform) map[int64]apitypes.UsageWindow {
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

// Guards against windows that are skipped or reported twice when the window log is lost or out of date, and against listing all
// windows more often than to rebuild the log: with thousands of teams the list is too large.
func TestWindowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, mem := newNetwork("a", "b", "c"), memplatform.New()
		mem.SetVMs(liveVMs("a", "b", "c"))
		reported := make(map[string]int)
		mem.OnReport(func(w apitypes.UsageWindow) { reported[w.ID]++ })
		store := &listCountingStore{Platform: mem}
		s := newSealer(n, mem, "h")
		s.Store = store
		const windows = 4
		runSealer(t.Context(), s, 1, windows*apitypes.DefaultWindowSeconds*time.Second)
		if store.lists != 1 {
			t.Errorf("windows were listed %d times, want 1", store.lists)
		}
		outdated, err := mem.Get(t.Context(), apitypes.KindUsageLog, apitypes.UsageLogName)
		if err != nil {
			t.Fatal(err)
		}
		runSealer(t.Context(), s, 2, windows*apitypes.DefaultWindowSeconds*time.Second)
		now, _ := mem.Get(t.Context(), apitypes.KindUsageLog, apitypes.UsageLogName)
		// The log lacks the latest windows, as after a lease holder that died before it wrote the log.
		if _, err := mem.Put(t.Context(), apitypes.KindUsageLog, apitypes.UsageLogName, outdated.Data, now.Version); err != nil {
			t.Fatal(err)
		}
		runSealer(t.Context(), s, 3, windows*apitypes.DefaultWindowSeconds*time.Second)
		now, _ = mem.Get(t.Context(), apitypes.KindUsageLog, apitypes.UsageLogName)
		if err := mem.Delete(t.Context(), apitypes.KindUsageLog, apitypes.UsageLogName, now.Version); err != nil {
			t.Fatal(err)
		}
		runSealer(t.Context(), s, 4, windows*apitypes.DefaultWindowSeconds*time.Second)
		if store.lists != 2 {
			t.Errorf("windows were listed %d times after the log was lost once, want 2", store.lists)
		}
		if len(reported) < 4*windows || len(reported) != len(storedWindows(t, mem)) {
			t.Errorf("%d windows are reported, %d are stored", len(reported), len(storedWindows(t, mem)))
		}
		for id, times := range reported {
			if times != 1 {
				t.Errorf("window %s reported %d times", id, times)
			}
		}
	})
}

// Guards against windows that are kept beyond their retention, and against windows that are deleted before it has passed.
func TestWindowsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, mem := newNetwork("a", "b", "c"), memplatform.New()
		mem.SetVMs(liveVMs("a", "b", "c"))
		s := newSealer(n, mem, "h")
		s.WindowLength = int64(6 * time.Hour / time.Second)
		a := lease.NewAuthority(t.Context(), 1, 100*24*time.Hour, nil)
		defer a.End()
		firstStart := s.lastEndedWindow()
		for _, pause := range []time.Duration{0, sealedRetention + 24*time.Hour, 0} {
			time.Sleep(pause)
			if err := s.runPass(a, s.lastEndedWindow()); err != nil {
				t.Fatal(err)
			}
		}
		stored := storedWindows(t, mem)
		for start := range stored {
			if age := time.Since(time.Unix(start, 0)); age > sealedRetention {
				t.Errorf("a window that started %v ago is still stored", age)
			}
		}
		if _, ok := stored[firstStart]; ok || len(stored) != int(sealedRetention/(6*time.Hour)) {
			t.Errorf("%d windows are stored", len(stored))
		}
	})
}
