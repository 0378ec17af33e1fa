package discovery

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
)

// lapseGrace is how long after the store's return entries that lapsed meanwhile may still come back. The platform's pages state about
// two seconds; an endpoint that has left for good must not get work for longer.
const lapseGrace = 1900 * time.Millisecond

// Registry knows the endpoints by their entries in the store.
type Registry struct {
	// Decode reads an entry. It returns false for one that names no endpoint to use.
	Decode func(apitypes.Object) (catalog.Endpoint, bool)
	// SinceStoreRecovery returns how long ago the store came back for all VMs, if it was away. A VM that lost the store alone keeps no
	// lapsed entries: its endpoints' entries were there all the while.
	SinceStoreRecovery func() (time.Duration, bool)
	// Changed is called with all endpoints after a change.
	Changed func([]catalog.Endpoint)
	Log     zerolog.Logger

	listed    atomic.Bool
	mu        sync.Mutex
	endpoints map[string]catalog.Endpoint
	// lapsed holds endpoints whose entries were missing from the first list after an outage, until lapsedUntil. A deletion that
	// is told later holds at once.
	lapsed      map[string]catalog.Endpoint
	lapsedUntil bootclock.Instant
}

// ReplaceEntries replaces all entries.
func (r *Registry) ReplaceEntries(items []apitypes.Object, _ uint64, _ bootclock.Instant, outage time.Duration) {
	r.mu.Lock()
	old := r.endpoints
	r.endpoints = make(map[string]catalog.Endpoint, len(items))
	for _, o := range items {
		if e, ok := r.Decode(o); ok {
			r.endpoints[o.Name] = e
		}
	}
	if since, away := r.SinceStoreRecovery(); outage > 0 && away && since < lapseGrace {
		r.lapsed = make(map[string]catalog.Endpoint)
		r.lapsedUntil = bootclock.Now().Add(lapseGrace - since)
		for name, e := range old {
			if _, ok := r.endpoints[name]; !ok {
				r.lapsed[name] = e
			}
		}
	}
	r.publishLocked()
}

// HasSynced tells whether the endpoints have been read at least once.
func (r *Registry) HasSynced() bool { return r.listed.Load() }

// ApplyEvents applies changes of entries.
func (r *Registry) ApplyEvents(events []apitypes.Event, _ uint64, _ bootclock.Instant) {
	r.mu.Lock()
	expired := r.lapsed != nil && bootclock.Now() > r.lapsedUntil
	if expired {
		r.lapsed = nil
	}
	if len(events) == 0 && !expired {
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
	old, had := r.endpoints[name]
	e, ok := r.Decode(ev.Object)
	if ev.Type == apitypes.EventDelete || !ok {
		if had {
			r.Log.Info().Str("endpoint", name).Str("service", old.Service).Uint64("revision", ev.Revision).Msg("endpoint gone")
		}
		delete(r.endpoints, name)
		delete(r.lapsed, name)
		return
	}
	if r.endpoints == nil {
		r.endpoints = make(map[string]catalog.Endpoint)
	}
	if !had || old.Leaving != e.Leaving || old.Role != e.Role || old.StartedAtMS != e.StartedAtMS {
		r.Log.Info().Str("endpoint", name).Str("service", e.Service).Str("domain", e.FailureDomain).Bool("leaving", e.Leaving).
			Str("engine_role", string(e.Role)).Bool("reclaimable", e.Reclaimable).Uint64("revision", ev.Revision).Msg("endpoint changed")
	}
	r.endpoints[name] = e
}

func (r *Registry) publishLocked() {
	list := make([]catalog.Endpoint, 0, len(r.endpoints)+len(r.lapsed))
	for _, e := range r.endpoints {
		list = append(list, e)
	}
	for name, e := range r.lapsed {
		if _, ok := r.endpoints[name]; !ok {
			list = append(list, e)
		}
	}
	changed := r.Changed
	r.mu.Unlock()
	changed(list)
	r.listed.Store(true)
}
