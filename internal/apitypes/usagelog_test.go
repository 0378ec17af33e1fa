package apitypes

import (
	"slices"
	"testing"
)

// Guards against windows that are missing from the log, or in it by mistake, after the window length changes or the oldest windows
// are dropped.
func TestUsageLog(t *testing.T) {
	var l UsageLog
	for _, w := range [][2]int64{{600, 300}, {900, 300}, {1200, 60}, {1260, 60}, {1500, 300}} {
		l.AddWindow(w[0], w[1])
	}
	if len(l.Spans) != 3 {
		t.Errorf("spans %v", l.Spans)
	}
	for _, c := range []struct {
		from, to int64
		want     []int64
	}{
		{0, 1 << 62, []int64{600, 900, 1200, 1260, 1500}},
		{601, 1260, []int64{900, 1200}},
		{900, 901, []int64{900}},
		{1801, 9999, nil},
	} {
		if got := l.WindowStartsBetween(c.from, c.to); !slices.Equal(got, c.want) {
			t.Errorf("from %d to %d: %v, want %v", c.from, c.to, got, c.want)
		}
	}
	if next, ok := l.NextWindowStart(3600); !ok || next != 3600 {
		t.Errorf("next window of one hour starts at %d", next)
	}
	for _, want := range []int64{600, 900, 1200, 1260, 1500} {
		if oldest, ok := l.OldestWindowStart(); !ok || oldest != want {
			t.Errorf("oldest is %d, want %d", oldest, want)
		}
		l.DropOldest()
	}
	if _, ok := l.OldestWindowStart(); ok {
		t.Error("an empty log has an oldest window")
	}
	if next, ok := l.NextWindowStart(300); !ok || next != 1800 {
		t.Errorf("after all windows were dropped, the next window starts at %d", next)
	}
}
