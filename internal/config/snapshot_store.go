package config

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// ErrStaleRevision is returned for a list or snapshot that is older than what is in force.
var ErrStaleRevision = errors.New("config: older than the configuration in force; read again")

// SnapshotChange describes one change of a store's snapshot to a relay.
type SnapshotChange struct {
	Snapshot *Snapshot
	// Events are the events that took effect. FullReplacement is true when a whole list replaced the configuration instead.
	Events          []apitypes.Event
	FullReplacement bool
	// HasMissedEvent is true when an event is not newer than the revision before the change: a watch had missed it.
	HasMissedEvent bool
}

// SnapshotStore keeps the configuration in force. No object in force is ever replaced by an older version of itself, and the
// revision never falls. Its methods may be called concurrently; Current never blocks.
type SnapshotStore struct {
	mu       sync.Mutex
	current  atomic.Pointer[Snapshot]
	notify   []func(*Snapshot)
	onChange []func(SnapshotChange)
}

// NewSnapshotStore returns a store with an empty snapshot of revision 0.
func NewSnapshotStore() *SnapshotStore {
	h := &SnapshotStore{}
	h.current.Store(emptySnapshot())
	return h
}

// Current returns the snapshot in force.
func (h *SnapshotStore) Current() *Snapshot { return h.current.Load() }

// OnChange registers a function that is called, in revision order, after each change. Register before use. The function
// must not call the store's ApplyEvents, ReplaceObjects or Hold.
func (h *SnapshotStore) OnChange(f func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notify = append(h.notify, f)
}

// onDelta registers a function that gets each change with its events.
func (h *SnapshotStore) onDelta(f func(SnapshotChange)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, f)
}

// ReplaceObjects puts a full list in force. It returns ErrStaleRevision, and changes nothing, when revision is smaller than the one
// in force. Where the list has an older version of an object than the one in force, the one in force stays: the list's
// sender has missed a change.
func (h *SnapshotStore) ReplaceObjects(objects []apitypes.Object, revision uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if revision < old.revision {
		return ErrStaleRevision
	}
	next := emptySnapshot()
	next.revision = revision
	listed := make(map[objectKey]bool, len(objects))
	for _, o := range objects {
		k := objectKey{o.Kind, o.Name}
		listed[k] = true
		if old.refuses(o, revision) {
			continue
		}
		if held, ok := old.objects[k]; ok && held.Version > o.Version {
			o = held
		}
		next.put(o, old)
	}
	next.keepNewer(old, listed)
	next.indexOpenRoutes()
	// A list that changes no object only moves the revision, so subscribers need no full snapshot.
	same := next.digest == old.digest && len(next.bad) == len(old.bad)
	h.publish(next, SnapshotChange{Snapshot: next, FullReplacement: !same})
	return nil
}

// refuses tells whether a listed object must stay out of force: it was deleted since, or it is older than a version that was in
// force, or a list of the same revision lacked it.
func (s *Snapshot) refuses(o apitypes.Object, revision uint64) bool {
	k := objectKey{o.Kind, o.Name}
	if deleted := s.deleted[k]; deleted >= o.Version && deleted > 0 {
		return true
	}
	a, ok := s.absent[k]
	return ok && (o.Version < a.version || revision <= a.revision)
}

// keepNewer carries over what the list can't know: objects in force that are newer than the list, deletions of objects
// that are not in force, and versions that can't be parsed of objects whose sender passes only the good one.
func (s *Snapshot) keepNewer(old *Snapshot, listed map[objectKey]bool) {
	for k, o := range old.objects {
		if !listed[k] && o.Version > s.revision {
			s.put(o, old)
			continue
		}
		if !listed[k] {
			s.absent[k] = absence{o.Version, s.revision}
		}
	}
	for k, a := range old.absent {
		if _, ok := s.objects[k]; !ok {
			s.absent[k] = a
		}
	}
	for k, r := range old.deleted {
		if _, ok := s.objects[k]; !ok {
			s.deleted[k] = max(s.deleted[k], r)
		}
	}
	for k, b := range old.bad {
		if listed[k] && b.version > s.seen(k) {
			s.bad[k] = b
		}
	}
}

// ApplyEvents puts changes in force. An event that is not newer than the object that it changes is skipped.
func (h *SnapshotStore) ApplyEvents(events []apitypes.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	c := SnapshotChange{}
	revision := old.revision
	for _, e := range events {
		revision = max(revision, e.Revision)
		k := objectKey{e.Object.Kind, e.Object.Name}
		if e.Type != apitypes.EventBookmark && e.Revision > old.seen(k) {
			c.Events = append(c.Events, e)
			c.HasMissedEvent = c.HasMissedEvent || e.Revision <= old.revision
		}
	}
	if revision == old.revision && len(c.Events) == 0 {
		return
	}
	c.Snapshot = old.with(c.Events, revision)
	h.publish(c.Snapshot, c)
}

// with returns a snapshot with the events applied. A snapshot that only moves its revision shares its maps with s.
func (s *Snapshot) with(events []apitypes.Event, revision uint64) *Snapshot {
	if len(events) == 0 {
		next := *s
		next.revision = revision
		return &next
	}
	next := s.clone()
	next.revision = revision
	for _, e := range events {
		k := objectKey{e.Object.Kind, e.Object.Name}
		if e.Revision <= next.seen(k) {
			continue
		}
		if e.Type == apitypes.EventDelete {
			next.remove(k, e.Revision)
			continue
		}
		next.put(e.Object, s)
	}
	if slices.ContainsFunc(events, func(e apitypes.Event) bool { return e.Object.Kind == apitypes.KindTemplate }) {
		next.indexOpenRoutes()
	}
	return next
}

func (h *SnapshotStore) publish(s *Snapshot, c SnapshotChange) {
	h.current.Store(s)
	for _, f := range h.onChange {
		f(c)
	}
	for _, f := range h.notify {
		f(s)
	}
}
