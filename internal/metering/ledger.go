package metering

import (
	"maps"
	"sync"
)

// ledgerWindows is the number of windows before the latest one whose counts a ledger retains. Windows that can't be reported for longer,
// because the platform is unavailable, are lost.
const ledgerWindows = 24

// Ledger holds the latest counts of all VMs. Its methods may be called concurrently.
type Ledger struct {
	mu sync.Mutex
	// byIncarnation holds what is known of each incarnation, the ID of one start of a VM's process.
	byIncarnation map[string]*incarnationCounts
	// latest is the latest window with counts.
	latest Window
	// sealed holds the sealed counts of windows, which the store may lose.
	sealed map[Window]Counts
}

// incarnationCounts holds the counts of one incarnation.
type incarnationCounts struct {
	windows map[Window]Counts
	// finalBefore is the window before which all counts are final.
	finalBefore Window
	// sequence is the number of the newest report of which a part has arrived, received its parts that have.
	sequence uint64
	received map[int]bool
}

// LedgerCopy is a copy of a VM's ledger for another VM. The counts of Incarnation, the VM's own, are final before the window Current.
type LedgerCopy struct {
	Incarnation string                       `json:"incarnation"`
	Current     Window                       `json:"current"`
	Counts      map[string]map[Window]Counts `json:"counts"`
	// Sealed holds the sealed counts of windows that the VM knows.
	Sealed map[Window]Counts `json:"sealed,omitempty"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{byIncarnation: make(map[string]*incarnationCounts)} }

// incarnationLocked returns the state of an incarnation, and adds it if it is new.
func (l *Ledger) incarnationLocked(incarnation string) *incarnationCounts {
	c := l.byIncarnation[incarnation]
	if c == nil {
		c = &incarnationCounts{windows: make(map[Window]Counts)}
		l.byIncarnation[incarnation] = c
	}
	return c
}

// MergeCounts merges the counts of one incarnation of a VM, of which those before the window finalBefore are final. Counts only grow, so
// the higher number is kept and older counts have no effect.
func (l *Ledger) MergeCounts(incarnation string, windows map[Window]Counts, finalBefore Window) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeLocked(incarnation, windows, finalBefore)
}

func (l *Ledger) mergeLocked(incarnation string, windows map[Window]Counts, finalBefore Window) {
	c := l.incarnationLocked(incarnation)
	c.finalBefore = max(c.finalBefore, finalBefore)
	for w, counts := range windows {
		if w < l.latest-ledgerWindows {
			continue
		}
		if c.windows[w] == nil {
			c.windows[w] = make(Counts)
		}
		for team, n := range counts {
			c.windows[w][team] = max(c.windows[w][team], n)
		}
		if w > l.latest {
			l.latest = w
			l.dropLocked(w - ledgerWindows)
		}
	}
}

// MergeReport merges a part of a report. Its counts count as final once all parts of one report have arrived.
func (l *Ledger) MergeReport(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.incarnationLocked(r.Incarnation)
	switch {
	case r.Sequence > c.sequence:
		c.sequence, c.received = r.Sequence, map[int]bool{r.Part: true}
	case r.Sequence == c.sequence && c.received != nil:
		c.received[r.Part] = true
	}
	finalBefore := Window(0)
	if r.Sequence == c.sequence && len(c.received) >= r.Parts {
		finalBefore = r.Current
	}
	l.mergeLocked(r.Incarnation, r.Counts, finalBefore)
}

// Merge merges the ledger of another VM. Of the other incarnations in it, that VM may not have the final counts.
func (l *Ledger) Merge(other *LedgerCopy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for incarnation, windows := range other.Counts {
		if incarnation != other.Incarnation {
			l.mergeLocked(incarnation, windows, 0)
		}
	}
	l.mergeLocked(other.Incarnation, other.Counts[other.Incarnation], other.Current)
	for w, counts := range other.Sealed {
		l.recordSealedLocked(w, counts)
	}
}

// RecordSealed records the sealed counts of a window. The first ones that are known are kept.
func (l *Ledger) RecordSealed(w Window, counts Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSealedLocked(w, counts)
}

func (l *Ledger) recordSealedLocked(w Window, counts Counts) {
	if l.sealed == nil {
		l.sealed = make(map[Window]Counts)
	}
	if _, known := l.sealed[w]; !known {
		l.sealed[w] = maps.Clone(counts)
	}
	for old := range l.sealed {
		if old < w-ledgerWindows {
			delete(l.sealed, old)
		}
	}
}

// Sealed returns the sealed counts of a window, and false if this VM doesn't know them.
func (l *Ledger) Sealed(w Window) (Counts, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, ok := l.sealed[w]
	return maps.Clone(counts), ok
}

// HasFinalCounts reports whether the counts of an incarnation for a window are final.
func (l *Ledger) HasFinalCounts(incarnation string, w Window) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.byIncarnation[incarnation]
	return c != nil && w < c.finalBefore
}

// Sum returns the counts of a window, summed over all incarnations.
func (l *Ledger) Sum(w Window) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := make(Counts)
	for _, c := range l.byIncarnation {
		for team, n := range c.windows[w] {
			sum[team] += n
		}
	}
	return sum
}

// Copy returns a copy of the ledger of the VM with the given incarnation, whose own counts are merged first.
func (l *Ledger) Copy(incarnation string, m *Meter) *LedgerCopy {
	own, current := m.Recent()
	l.MergeCounts(incarnation, own, current)
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &LedgerCopy{Incarnation: incarnation, Current: current, Counts: make(map[string]map[Window]Counts, len(l.byIncarnation)), Sealed: make(map[Window]Counts, len(l.sealed))}
	for w, counts := range l.sealed {
		out.Sealed[w] = maps.Clone(counts)
	}
	for id, c := range l.byIncarnation {
		out.Counts[id] = make(map[Window]Counts, len(c.windows))
		for w, counts := range c.windows {
			out.Counts[id][w] = maps.Clone(counts)
		}
	}
	return out
}

// DropWindowsBefore removes the counts of windows before w.
func (l *Ledger) DropWindowsBefore(w Window) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropLocked(w)
}

func (l *Ledger) dropLocked(before Window) {
	for incarnation, c := range l.byIncarnation {
		for w := range c.windows {
			if w < before {
				delete(c.windows, w)
			}
		}
		if len(c.windows) == 0 && c.finalBefore < before {
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
	for _, c := range l.byIncarnation {
		for w := range c.windows {
			if !found || w < earliest {
				earliest, found = w, true
			}
		}
	}
	return earliest, found
}
