package discovery

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/objectstore"
)

// expiryGrace is how long after the recovery of the store an endpoint is kept whose entry expired during the outage. The platform
// documents that such entries may return for about two seconds; an endpoint that has left must not get work for longer.
const expiryGrace = 1900 * time.Millisecond

// Registry tracks the endpoints by their entries in the store. Its methods may be called concurrently.
type Registry struct {
	// Decode decodes an entry. It returns false for an entry without a usable endpoint, of which only Service, Address
	// and Draining are used.
	Decode func(apitypes.Object) (catalog.Endpoint, bool)
	// SinceStoreRecovery returns how long ago the store recovered from an outage that affected all VMs, and false if there was none.
	// When only this VM could not read the store, missing entries aren't kept, because those of live endpoints never expired.
	SinceStoreRecovery func() (time.Duration, bool)
	// Changed is called with all endpoints after each change.
	Changed func([]catalog.Endpoint)
	Log     zerolog.Logger

	synced atomic.Bool
	// asOf is the bootclock.Instant up to which the entries are complete.
	asOf      atomic.Int64
	mu        sync.Mutex
	endpoints map[string]catalog.Endpoint
	// versions holds the versions of the entries of endpoints.
	versions map[string]uint64
	// revision is the store's revision up to which the entries are complete. written holds the names of the entries that are known to have been
	// written in its era, rather than taken from a copy.
	revision uint64
	written  map[string]bool
	// departures holds the endpoints that left in the last departureMemory.
	departures map[string]departure
	// expired holds endpoints whose entries were missing from the first list after an outage, until expiredUntil. A deletion event
	// removes the endpoint at once.
	expired      map[string]catalog.Endpoint
	expiredUntil bootclock.Instant
	// unusable holds the versions of the entries without a usable endpoint that were logged, by name.
	unusable      map[string]uint64
	unusableCount atomic.Int64
}

// UnusableEntries returns how many versions of entries named no usable endpoint so far.
func (r *Registry) UnusableEntries() int64 { return r.unusableCount.Load() }

// ReplaceEntries replaces all entries with those of a list. outage is how long the store couldn't be read before, 0 if it could.
func (r *Registry) ReplaceEntries(items []apitypes.Object, revision uint64, asOf bootclock.Instant, outage time.Duration) {
	r.asOf.Store(int64(asOf))
	r.mu.Lock()
	newEra := r.revision != 0 && !objectstore.SameEra(r.revision, revision)
	if newEra {
		r.keepDeparturesLocked()
	}
	if newEra || r.written == nil {
		r.written = make(map[string]bool)
	}
	r.revision = revision
	old := r.endpoints
	r.endpoints, r.versions = make(map[string]catalog.Endpoint, len(items)), make(map[string]uint64, len(items))
	for _, o := range items {
		e, ok := r.Decode(o)
		if !ok {
			r.recordUnusable(o)
			if e, ok = keepUsable(old[o.Name], e); !ok {
				continue
			}
		}
		r.setLocked(o.Name, e, o.Version)
	}
	since, recovered := r.SinceStoreRecovery()
	if newEra {
		since = 0 // entries that a copy lacks are written again
	}
	entriesMayReturn := newEra || recovered && since < expiryGrace
	if newEra || outage > 0 && entriesMayReturn {
		expired := make(map[string]catalog.Endpoint)
		if newEra {
			maps.Copy(expired, r.expired) // of a return shortly before
		}
		maps.Copy(expired, old)
		maps.DeleteFunc(expired, func(name string, _ catalog.Endpoint) bool { _, listed := r.endpoints[name]; return listed })
		r.expired, r.expiredUntil = expired, bootclock.Now().Add(expiryGrace-since)
	}
	for name, e := range old {
		if _, listed := r.endpoints[name]; !listed && !entriesMayReturn {
			r.recordDepartureLocked(name, &e, revision)
		}
	}
	r.publishLocked()
}

// setLocked sets the endpoint of an entry with a version.
func (r *Registry) setLocked(name string, e catalog.Endpoint, version uint64) {
	if e.Draining && !r.endpoints[name].Draining {
		r.recordDepartureLocked(name, &e, version)
	}
	r.endpoints[name], r.versions[name] = e, version
}

// HasSynced reports whether the endpoints have been listed at least once.
func (r *Registry) HasSynced() bool { return r.synced.Load() }

// Age returns how long ago the store was known to hold no newer entries. HasSynced must be true.
func (r *Registry) Age() time.Duration { return bootclock.Since(bootclock.Instant(r.asOf.Load())) }

// ApplyEvents applies changes of entries, and drops expired entries after the grace period.
func (r *Registry) ApplyEvents(events []apitypes.Event, revision uint64, asOf bootclock.Instant) {
	r.asOf.Store(int64(asOf))
	r.mu.Lock()
	r.revision = revision
	graceEnded := r.expired != nil && bootclock.Now() > r.expiredUntil
	if graceEnded {
		r.expired = nil
	}
	if len(events) == 0 && !graceEnded {
		r.mu.Unlock()
		return
	}
	for _, ev := range events {
		r.applyLocked(ev)
	}
	r.publishLocked()
}

func (r *Registry) applyLocked(ev apitypes.Event) {
	name := ev.Object.Name
	old, known := r.endpoints[name]
	e, ok := r.Decode(ev.Object)
	if !ok && ev.Type != apitypes.EventDelete {
		r.recordUnusable(ev.Object)
		e, ok = keepUsable(old, e)
	}
	if ev.Type == apitypes.EventDelete || !ok {
		if known {
			r.Log.Info().Str("endpoint", name).Str("service", old.Service).Stringer("revision", objectstore.Revision(ev.Revision)).Msg("endpoint gone")
		}
		if gone, expired := r.expired[name]; known || expired {
			if known {
				gone = old
			}
			r.recordDepartureLocked(name, &gone, ev.Revision)
		}
		delete(r.endpoints, name)
		delete(r.versions, name)
		delete(r.expired, name)
		if ev.Type == apitypes.EventDelete {
			delete(r.unusable, name)
		}
		return
	}
	if r.endpoints == nil {
		r.endpoints, r.versions = make(map[string]catalog.Endpoint), make(map[string]uint64)
	}
	if !known || old.Draining != e.Draining || old.Role != e.Role || old.StartedAtMS != e.StartedAtMS {
		r.Log.Info().Str("endpoint", name).Str("service", e.Service).Str("domain", e.FailureDomain).Str("software_version", e.SoftwareVersion).Bool("leaving", e.Draining).
			Str("engine_role", string(e.Role)).Bool("reclaimable", e.Reclaimable).Stringer("revision", objectstore.Revision(ev.Revision)).Msg("endpoint changed")
	}
	if r.written == nil {
		r.written = make(map[string]bool)
	}
	r.written[name] = true
	r.setLocked(name, e, ev.Object.Version)
}

// keepUsable returns a known endpoint whose entry lacks fields now but still names its service and address: it may be half written. It returns
// false for other entries.
func keepUsable(known, unusable catalog.Endpoint) (catalog.Endpoint, bool) {
	if known.Service == "" || known.Service != unusable.Service || known.Address != unusable.Address {
		return catalog.Endpoint{}, false
	}
	known.Draining = known.Draining || unusable.Draining
	return known, true
}

// recordUnusable counts an entry without a usable endpoint and logs it, once for each version.
func (r *Registry) recordUnusable(o apitypes.Object) {
	if version, logged := r.unusable[o.Name]; logged && version == o.Version {
		return
	}
	if r.unusable == nil {
		r.unusable = make(map[string]uint64)
	}
	r.unusable[o.Name] = o.Version
	r.unusableCount.Add(1)
	r.Log.Warn().Str("entry", o.Name).Stringer("revision", objectstore.Revision(o.Version)).Msg("entry names no usable endpoint; check its writer and its fields")
}

// publishLocked releases the lock and calls Changed with all endpoints, including those that are kept after they expired.
func (r *Registry) publishLocked() {
	list := make([]catalog.Endpoint, 0, len(r.endpoints)+len(r.expired))
	for name, e := range r.endpoints {
		e.Draining = e.Draining || r.hasLeftLocked(name)
		list = append(list, e)
	}
	for name, e := range r.expired {
		if _, ok := r.endpoints[name]; !ok {
			e.Draining = e.Draining || r.hasLeftLocked(name)
			list = append(list, e)
		}
	}
	changed := r.Changed
	r.mu.Unlock()
	changed(list)
	r.synced.Store(true)
}
