// Package metering counts the requests that began to run, by team and usage window, and collects the counts of all VMs at the VM that
// reports them.
//
// A Meter counts at one VM. Its reports are sent to the VMs that may hold the duties lease, each of which merges them in a Ledger. The
// Reporter of the lease's holder seals and reports the sums, once it has the final counts of all VMs.
package metering

import (
	"sync"
	"time"
)

const (
	// retainedWindows is the number of windows before the current one that a Meter retains, for VMs that have not received their counts.
	retainedWindows = 6
	// reportedWindows is the number of windows before the current one whose counts are in a Report. Older ones are fetched if missing.
	reportedWindows = 3
	// countOverheadBytes is the encoded size of a count besides the name of its team.
	countOverheadBytes = 8
)

// Window is the number of a usage window, which starts Window times the window's length after the Unix epoch.
type Window int64

// Counts holds numbers of requests by team.
type Counts map[string]uint64

// Report is a part of the counts of one incarnation of a VM: the counts since the window reportedWindows before Current, which grow until
// a window ends.
type Report struct {
	// Incarnation is the ID of one start of a VM's process.
	Incarnation string
	// Sequence numbers the reports of an incarnation. All parts of a report have the same number.
	Sequence    uint64
	Part, Parts int
	// Current is the window that was current at the VM. The counts of earlier ones are final.
	Current Window
	Counts  map[Window]Counts
}

// Meter counts the requests of this VM. Its methods may be called concurrently.
type Meter struct {
	length time.Duration
	now    func() time.Time

	mu       sync.Mutex
	windows  map[Window]Counts
	sequence uint64
	// reported is the window after the latest one whose counts were reported as final.
	reported Window
}

// NewMeter returns a meter for windows of the given length. now returns the estimated Unix time.
func NewMeter(length time.Duration, now func() time.Time) *Meter {
	return &Meter{length: length, now: now, windows: make(map[Window]Counts)}
}

// WindowAt returns the window that contains a time.
func (m *Meter) WindowAt(t time.Time) Window { return Window(t.UnixNano() / int64(m.length)) }

// Current returns the current window.
func (m *Meter) Current() Window { return m.WindowAt(m.now()) }

// WindowStart and WindowEnd return the start and the end of a window.
func (m *Meter) WindowStart(w Window) time.Time { return time.Unix(0, int64(w)*int64(m.length)) }
func (m *Meter) WindowEnd(w Window) time.Time   { return m.WindowStart(w + 1) }

// CountRequest counts a request that began to run for a team, and drops windows that are no longer retained. Windows that were reported
// as final get no more counts, also if the estimated time moves back.
func (m *Meter) CountRequest(team string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.currentLocked()
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

// currentLocked returns the current window, but none that was reported as final. If the estimated time has moved back by more than a
// window, it was wrong before, and the window is the one of the new estimate.
func (m *Meter) currentLocked() Window {
	current := m.Current()
	if m.reported > current+1 {
		m.reported = current
	}
	return max(current, m.reported)
}

// Recent returns a copy of the counts of the retained windows, and the current window. The counts of earlier windows are final.
func (m *Meter) Recent() (map[Window]Counts, Window) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reported = m.currentLocked()
	all := make(map[Window]Counts, len(m.windows))
	for w, counts := range m.windows {
		copied := make(Counts, len(counts))
		for team, n := range counts {
			copied[team] = n
		}
		all[w] = copied
	}
	return all, m.reported
}

// Report returns the counts as a report of an incarnation, in parts whose encoded counts have about partBytes bytes at most. There is at
// least one part, because a report without counts is final too.
func (m *Meter) Report(incarnation string, partBytes int) []Report {
	windows, current := m.Recent()
	m.mu.Lock()
	m.sequence++
	sequence := m.sequence
	m.mu.Unlock()
	var parts []Report
	size := partBytes
	for w, counts := range windows {
		if w < current-reportedWindows {
			continue
		}
		for team, n := range counts {
			if size += len(team) + countOverheadBytes; size > partBytes {
				parts = append(parts, Report{Incarnation: incarnation, Sequence: sequence, Part: len(parts), Current: current, Counts: make(map[Window]Counts)})
				size = len(team) + countOverheadBytes
			}
			part := &parts[len(parts)-1]
			if part.Counts[w] == nil {
				part.Counts[w] = make(Counts)
			}
			part.Counts[w][team] = n
		}
	}
	if len(parts) == 0 {
		parts = []Report{{Incarnation: incarnation, Sequence: sequence, Current: current}}
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts
}
