// Package metering counts the requests that began to run, for each team and window of time, and collects the counts of all VMs.
package metering

import (
	"maps"
	"sync"
	"time"
)

// keepWindows is how many windows before the present one are kept for VMs that have not heard of them.
const keepWindows = 6

// Window is the number of a window: it begins Window times the window's length after the start of 1970.
type Window int64

// Counts are requests by team.
type Counts map[string]uint64

// Meter counts the requests of this VM. Its methods may be called concurrently.
type Meter struct {
	length time.Duration
	now    func() time.Time

	mu      sync.Mutex
	windows map[Window]Counts
}

// NewMeter returns a meter for windows of a length by a clock of true time.
func NewMeter(length time.Duration, now func() time.Time) *Meter {
	return &Meter{length: length, now: now, windows: make(map[Window]Counts)}
}

// WindowAt returns the window of a time.
func (m *Meter) WindowAt(t time.Time) Window { return Window(t.UnixNano() / int64(m.length)) }

// Current returns the present window.
func (m *Meter) Current() Window { return m.WindowAt(m.now()) }

// WindowEnd returns the end of a window.
func (m *Meter) WindowEnd(w Window) time.Time { return time.Unix(0, int64(w+1)*int64(m.length)) }

// CountRequest counts a request of a team that has begun to run.
func (m *Meter) CountRequest(team string) {
	w := m.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.windows[w] == nil {
		m.windows[w] = make(Counts)
		for old := range m.windows {
			if old < w-keepWindows {
				delete(m.windows, old)
			}
		}
	}
	m.windows[w][team]++
}

// Recent returns a copy of the kept windows.
func (m *Meter) Recent() map[Window]Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[Window]Counts, len(m.windows))
	for w, counts := range m.windows {
		own := make(Counts, len(counts))
		for team, n := range counts {
			own[team] = n
		}
		all[w] = own
	}
	return all
}

// Ledger holds the newest counts of all VMs. Its methods may be called concurrently.
type Ledger struct {
	mu  sync.Mutex
	vms map[string]map[Window]Counts
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{vms: make(map[string]map[Window]Counts)} }

// MergeCounts records the counts of one incarnation of a VM. Counts only grow, so older news changes nothing.
func (l *Ledger) MergeCounts(incarnation string, windows map[Window]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.vms[incarnation]
	if known == nil {
		known = make(map[Window]Counts)
		l.vms[incarnation] = known
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

// Sum returns the counts of a window over all VMs.
func (l *Ledger) Sum(w Window) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := make(Counts)
	for _, windows := range l.vms {
		for team, n := range windows[w] {
			sum[team] += n
		}
	}
	return sum
}

// All returns a copy of all counts by incarnation, for a VM that knows less.
func (l *Ledger) All() map[string]map[Window]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]map[Window]Counts, len(l.vms))
	for vm, windows := range l.vms {
		all[vm] = make(map[Window]Counts, len(windows))
		for w, counts := range windows {
			all[vm][w] = maps.Clone(counts)
		}
	}
	return all
}

// DropWindowsBefore drops windows before w.
func (l *Ledger) DropWindowsBefore(w Window) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for vm, windows := range l.vms {
		for old := range windows {
			if old < w {
				delete(windows, old)
			}
		}
		if len(windows) == 0 {
			delete(l.vms, vm)
		}
	}
}

// Earliest returns the earliest window with counts, and false if there is none.
func (l *Ledger) Earliest() (Window, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first Window
	found := false
	for _, windows := range l.vms {
		for w := range windows {
			if !found || w < first {
				first, found = w, true
			}
		}
	}
	return first, found
}
