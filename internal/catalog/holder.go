package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"crocusglade.example/crocusglade/internal/bootclock"
)

// Holder holds the catalog in force and the time at which the store was last known to have no newer one. Its methods may be called
// concurrently.
type Holder struct {
	current atomic.Pointer[Catalog]

	mu sync.Mutex
	// confirmedAt is the latest instant at which the current revision is known to have been the newest in the store. It is valid when
	// hasConfirmation is set.
	confirmedAt     bootclock.Instant
	hasConfirmation bool
	// outageEnded is the instant at which the first confirmation after the latest store outage was recorded. It is valid when hadOutage is
	// set.
	outageEnded bootclock.Instant
	hadOutage   bool
}

// minStoreOutage is the shortest time without a confirmation, from the store or through another VM, that counts as an outage of the
// store.
const minStoreOutage = 1500 * time.Millisecond

// Current returns the catalog in force, or nil before the first one was applied.
func (h *Holder) Current() *Catalog { return h.current.Load() }

// Apply puts a catalog in force that was the newest in the store at the given instant, and reports whether it did. It ignores a catalog
// that doesn't supersede the current one.
func (h *Holder) Apply(c *Catalog, at bootclock.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && !c.Edition().Supersedes(old.Edition()) {
		return false
	}
	c.Index()
	h.current.Store(c)
	h.confirmLocked(at)
	return true
}

func (h *Holder) confirmLocked(at bootclock.Instant) {
	if h.hasConfirmation && at.Sub(h.confirmedAt) > minStoreOutage {
		h.outageEnded, h.hadOutage = bootclock.Now(), true
	}
	h.confirmedAt, h.hasConfirmation = at, true
}

// SinceStoreOutage returns the time since the last outage of the store ended. An outage is a time in which neither this VM nor the VMs that
// it communicates with reached the store. It returns false if there was none.
func (h *Holder) SinceStoreOutage() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return bootclock.Since(h.outageEnded), h.hadOutage
}

// Confirm records that the given revision was the newest in the store at an instant. It has no effect if another revision is in force,
// or if the instant is in the future or not later than the last confirmation.
func (h *Holder) Confirm(revision uint64, at bootclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.current.Load(); c == nil || c.Revision != revision {
		return
	}
	if at <= bootclock.Now() && (!h.hasConfirmation || at > h.confirmedAt) {
		h.confirmLocked(at)
	}
}

// ConfirmedAt returns the instant of the latest confirmation. It returns false before the first one.
func (h *Holder) ConfirmedAt() (bootclock.Instant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmedAt, h.hasConfirmation
}
