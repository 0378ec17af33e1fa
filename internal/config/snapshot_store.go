package config

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// ErrStaleRevision is returned for a list or snapshot whose revision is smaller than the one in force.
var ErrStaleRevision = errors.New("config: revision is older than the configuration in force; read again")

// SnapshotChange describes one change of a store's snapshot.
type SnapshotChange struct {
	Snapshot *Snapshot
	// Events are the events that took effect.
	Events []apitypes.Event
	// FullReplacement is true when a full list replaced the configuration and changed an object. Events is then empty.
	FullReplacement bool
	// HasMissedEvent is true when an event's revision is not larger than the revision before the change: a watch missed the event.
	HasMissedEvent bool
}

// SnapshotStore holds the configuration in force. An object in force is never replaced by an older version of itself, and the
// revision never decreases. Methods may be called concurrently; Current never blocks.
type SnapshotStore struct {
	mu                sync.Mutex
	current           atomic.Pointer[Snapshot]
	snapshotCallbacks []func(*Snapshot)
	changeCallbacks   []func(SnapshotChange)
}

// NewSnapshotStore returns a store with an empty snapshot of revision 0.
func NewSnapshotStore() *SnapshotStore {
	s := &SnapshotStore{}
	s.current.Store(emptySnapshot())
	return s
}

// Current returns the snapshot in force.
func (s *SnapshotStore) Current() *Snapshot { return s.current.Load() }

// OnChange registers a function that is called, in revision order, after each change. Register it before the store is used. The
// function must not call ApplyEvents, ReplaceObjects or OnChange, which would deadlock.
func (s *SnapshotStore) OnChange(f func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotCallbacks = append(s.snapshotCallbacks, f)
}

// onSnapshotChange registers a function that is called with each change and its events, before the functions of OnChange.
func (s *SnapshotStore) onSnapshotChange(f func(SnapshotChange)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeCallbacks = append(s.changeCallbacks, f)
}

// ReplaceObjects puts a full list in force. It returns ErrStaleRevision and changes nothing if revision is smaller than the one in
// force. If the list has an older version of an object than the one in force, the one in force stays, because the sender of the list
// has missed a change.
func (s *SnapshotStore) ReplaceObjects(objects []apitypes.Object, revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if revision < old.revision {
		return ErrStaleRevision
	}
	next := emptySnapshot()
	next.revision = revision
	listed := make(map[objectKey]bool, len(objects))
	for _, o := range objects {
		k := objectKey{o.Kind, o.Name}
		listed[k] = true
		if old.rejectsListed(o, revision) {
			continue
		}
		if current, ok := old.objects[k]; ok && current.Version > o.Version {
			o = current
		}
		next.put(o, old)
	}
	next.mergeNewer(old, listed)
	next.indexOpenRoutes()
	// A list that changes no object only advances the revision, so subscribers need no full snapshot.
	unchanged := next.digest == old.digest && len(next.unparsable) == len(old.unparsable)
	s.publish(next, SnapshotChange{Snapshot: next, FullReplacement: !unchanged})
	return nil
}

// rejectsListed reports whether an object of a list at the given revision must not be put in force: it was deleted at its version or
// later, it is older than the version that was in force when a list omitted it, or a list of the same or a larger revision omitted it.
func (s *Snapshot) rejectsListed(o apitypes.Object, revision uint64) bool {
	k := objectKey{o.Kind, o.Name}
	if deleted := s.deleted[k]; deleted >= o.Version && deleted > 0 {
		return true
	}
	a, ok := s.absent[k]
	return ok && (o.Version < a.version || revision <= a.revision)
}

// mergeNewer adds the state of old that the list does not replace: objects that are newer than the list, absences and deletions of
// objects that are not in force, and unparsable versions that are newer than the listed version of the same object. All other
// objects of old that the list omits are recorded as absent.
func (s *Snapshot) mergeNewer(old *Snapshot, listed map[objectKey]bool) {
	for k, o := range old.objects {
		if !listed[k] && o.Version > s.revision {
			s.put(o, old)
			continue
		}
		if !listed[k] {
			s.absent[k] = absentObject{o.Version, s.revision}
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
	for k, b := range old.unparsable {
		if listed[k] && b.version > s.newestVersion(k) {
			s.unparsable[k] = b
		}
	}
}

// ApplyEvents applies changes. It skips an event that is not newer than the object that it changes.
func (s *SnapshotStore) ApplyEvents(events []apitypes.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	c := SnapshotChange{}
	revision := old.revision
	for _, e := range events {
		revision = max(revision, e.Revision)
		k := objectKey{e.Object.Kind, e.Object.Name}
		if e.Type != apitypes.EventBookmark && e.Revision > old.newestVersion(k) {
			c.Events = append(c.Events, e)
			c.HasMissedEvent = c.HasMissedEvent || e.Revision <= old.revision
		}
	}
	if revision == old.revision && len(c.Events) == 0 {
		return
	}
	c.Snapshot = old.withEvents(c.Events, revision)
	s.publish(c.Snapshot, c)
}

// withEvents returns a snapshot with the events applied. Without events, only the revision changes and the new snapshot shares its
// maps with s.
func (s *Snapshot) withEvents(events []apitypes.Event, revision uint64) *Snapshot {
	if len(events) == 0 {
		next := *s
		next.revision = revision
		return &next
	}
	next := s.clone()
	next.revision = revision
	for _, e := range events {
		k := objectKey{e.Object.Kind, e.Object.Name}
		if e.Revision <= next.newestVersion(k) {
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

// publish makes a snapshot current and calls the registered functions. The caller holds the lock.
func (s *SnapshotStore) publish(next *Snapshot, change SnapshotChange) {
	s.current.Store(next)
	for _, f := range s.changeCallbacks {
		f(change)
	}
	for _, f := range s.snapshotCallbacks {
		f(next)
	}
}
