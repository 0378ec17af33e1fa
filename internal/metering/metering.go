// Package metering counts the requests that began to run, by team and usage window, and merges the counts of all VMs.
package metering

import (
	"maps"
	"sync"
	"time"
)

// retainedWindows is the number of windows before the current one that are retained, for VMs that have not received their counts.
const retainedWindows = 6

// Window is the number of a usage window, which starts Window times the window's length after the Unix epoch.
type Window int64

// Counts holds numbers of requests by team.
type Counts map[string]uint64

// Meter counts the requests of this VM. Its methods may be called concurrently.
type Meter struct {
	length time.Duration
	now    func() time.Time

	mu      sync.Mutex
	windows map[Window]Counts
}

// NewMeter returns a meter for windows of the given length. now returns the estimated Unix time.
func NewMeter(length time.Duration, now func() time.Time) *Meter {
	return &Meter{length: length, now: now, windows: make(map[Window]Counts)}
}

// WindowAt returns the window that contains a time.
func (m *Meter) WindowAt(t time.Time) Window { return Window(t.UnixNano() / int64(m.length)) }

// Current returns the current window.
func (m *Meter) Current() Window { return m.WindowAt(m.now()) }

// WindowEnd returns the end of a window.
func (m *Meter) WindowEnd(w Window) time.Time { return time.Unix(0, int64(w+1)*int64(m.length)) }

// CountRequest counts a request that began to run for a team, and drops windows that are no longer retained.
func (m *Meter) CountRequest(team string) {
	w := m.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.windows[w] == nil {
		m.windows[w] = make(Counts)
		for old := range m.windows {
			if old < w-retainedWindows {
				delete(m.windows, old)
			}
		}
	}
	m.windows[w][team]++
}

// Recent returns a copy of the counts of the retained windows.
func (m *Meter) Recent() map[Window]Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[Window]Counts, len(m.windows))
	for w, counts := range m.windows {
		copied := make(Counts, len(counts))
		for team, n := range counts {
			copied[team] = n
		}
		all[w] = copied
	}
	return all
}

// Ledger holds the latest counts of all VMs. Its methods may be called concurrently.
type Ledger struct {
	mu sync.Mutex
	// byIncarnation holds the counts by incarnation, the ID of one start of a VM's process.
	byIncarnation map[string]map[Window]Counts
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{byIncarnation: make(map[string]map[Window]Counts)} }

// MergeCounts merges the counts of one incarnation of a VM. Counts only grow, so the higher number is kept and older counts have no
// effect.
func (l *Ledger) MergeCounts(incarnation string, windows map[Window]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.byIncarnation[incarnation]
	if known == nil {
		known = make(map[Window]Counts)
		l.byIncarnation[incarnation] = known
	}
	for w, counts := range windows {
		if known[w] == nil {
			known[w] = make(Counts)
		}
		for team, n := range counts {
			known[w][team] = max(known[w][team], n)
		}
	}
}

// Sum returns the counts of a window, summed over all incarnations.
func (l *Ledger) Sum(w Window) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := make(Counts)
	for _, windows := range l.byIncarnation {
		for team, n := range windows[w] {
			sum[team] += n
		}
	}
	return sum
}

// All returns a copy of all counts by incarnation, for merging into another VM's ledger.
func (l *Ledger) All() map[string]map[Window]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]map[Window]Counts, len(l.byIncarnation))
	for incarnation, windows := range l.byIncarnation {
		all[incarnation] = make(map[Window]Counts, len(windows))
		for w, counts := range windows {
			all[incarnation][w] = maps.Clone(counts)
		}
	}
	return all
}

// DropWindowsBefore removes the counts of windows before w.
func (l *Ledger) DropWindowsBefore(w Window) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for incarnation, windows := range l.byIncarnation {
		for old := range windows {
			if old < w {
				delete(windows, old)
			}
		}
		if len(windows) == 0 {
			delete(l.byIncarnation, incarnation)
		}
	}
}

// Earliest returns the earliest window with counts, and false if there is none.
func (l *Ledger) Earliest() (Window, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var earliest Window
	found := false
	for _, windows := range l.byIncarnation {
		for w := range windows {
			if !found || w < earliest {
				earliest, found = w, true
			}
		}
	}
	return earliest, found
}
