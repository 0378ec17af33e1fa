package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"crocusglade.example/crocusglade/internal/bootclock"
)

// Holder holds the catalog in force and how recently the store was known to have no newer one. Its methods may be called
// concurrently.
type Holder struct {
	current atomic.Pointer[Catalog]

	mu sync.Mutex
	// confirmed is the latest instant at which the store is known to have held no newer revision than the current one.
	confirmed bootclock.Instant
	known     bool
	// gapEnded is when a confirmation came after a gap of minGap or more.
	gapEnded bootclock.Instant
	hadGap   bool
}

// minGap is the time without a confirmation, by the store or by way of any VM, after which the store counts as having been away.
const minGap = 1500 * time.Millisecond

// Current returns the catalog in force, or nil before one is known.
func (h *Holder) Current() *Catalog { return h.current.Load() }

// Apply puts a catalog in force that the store held at the given instant. It ignores catalogs that are older than the one in
// force, and reports whether it took effect.
func (h *Holder) Apply(c *Catalog, at bootclock.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && c.Revision <= old.Revision {
		return false
	}
	c.Index()
	h.current.Store(c)
	h.confirmLocked(at)
	return true
}

func (h *Holder) confirmLocked(at bootclock.Instant) {
	if h.known && at.Sub(h.confirmed) > minGap {
		h.gapEnded, h.hadGap = bootclock.Now(), true
	}
	h.confirmed, h.known = at, true
}

// SinceStoreOutage returns how long ago the store came back after it had been away for this VM and all that it hears of. It returns false
// if that never happened.
func (h *Holder) SinceStoreOutage() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return bootclock.Since(h.gapEnded), h.hadGap
}

// Confirm records that the store held no revision newer than the given one at an instant. It has no effect for other
// revisions than the one in force.
func (h *Holder) Confirm(revision uint64, at bootclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.current.Load(); c == nil || c.Revision != revision {
		return
	}
	if at <= bootclock.Now() && (!h.known || at > h.confirmed) {
		h.confirmLocked(at)
	}
}

// ConfirmedAt returns the instant of the last confirmation, and false before there was one.
func (h *Holder) ConfirmedAt() (bootclock.Instant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed, h.known
}
