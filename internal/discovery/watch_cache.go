package discovery

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// maxEvents is the number of events that a cache keeps. A watcher that is further behind has to list again.
	maxEvents = 512
	// maxSnapshotAge is the age up to which a cache serves its contents. It is longer than the time between two responses of the store.
	maxSnapshotAge = 1500 * time.Millisecond
)

// Snapshot is a response of a watch cache to watchers on other VMs: either all objects, or the events after a revision.
type Snapshot struct {
	Items    []apitypes.Object `json:"items,omitempty"`
	Events   []apitypes.Event  `json:"events,omitempty"`
	Revision uint64            `json:"revision"`
	// AgeMS is how many milliseconds ago the store was known to hold nothing newer.
	AgeMS int64 `json:"age_ms"`
}

// WatchCache holds the objects of one kind as read by this VM's watcher, and serves them to watchers on other VMs, so that the number
// of calls to the store doesn't grow with the number of VMs. Its methods may be called concurrently.
type WatchCache struct {
	mu       sync.Mutex
	objects  map[string]apitypes.Object
	events   []apitypes.Event
	revision uint64
	// compactedRevision is the revision after which all changes are in events.
	compactedRevision uint64
	// asOf is the instant at which the store was last known to hold nothing newer.
	asOf   bootclock.Instant
	synced bool
	// changed is closed and replaced when objects change.
	changed chan struct{}
}

// errBehind means that a watcher on another VM has read more of the store than this VM.
var errBehind = errors.Wrap(objectstore.ErrUnavailable, "this VM is behind the watcher")

// NewWatchCache returns an empty cache. It serves nothing before ReplaceObjects.
func NewWatchCache() *WatchCache { return &WatchCache{changed: make(chan struct{})} }

// ReplaceObjects replaces all objects with those of a list, which was complete at asOf.
func (c *WatchCache) ReplaceObjects(items []apitypes.Object, revision uint64, asOf bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objects = make(map[string]apitypes.Object, len(items))
	for _, o := range items {
		c.objects[o.Name] = o
	}
	c.events, c.revision, c.compactedRevision, c.asOf, c.synced = nil, revision, revision, asOf, true
	c.notifyLocked()
}

// ApplyEvents applies the changes up to a revision, which were complete at asOf. The objects must have been listed before.
func (c *WatchCache) ApplyEvents(events []apitypes.Event, revision uint64, asOf bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ev := range events {
		if ev.Type == apitypes.EventDelete {
			delete(c.objects, ev.Object.Name)
		} else {
			c.objects[ev.Object.Name] = ev.Object
		}
	}
	c.events = append(c.events, events...)
	if n := len(c.events) - maxEvents; n > 0 {
		c.compactedRevision = c.events[n-1].Revision
		c.events = append([]apitypes.Event(nil), c.events[n:]...)
	}
	c.revision, c.asOf = max(c.revision, revision), asOf
	if len(events) > 0 {
		c.notifyLocked()
	}
}

// notifyLocked wakes all waiting calls of WaitForChanges.
func (c *WatchCache) notifyLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Snapshot returns all objects. It returns objectstore.ErrUnavailable when the cache is older than maxSnapshotAge.
func (c *WatchCache) Snapshot() (*Snapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, err := c.ageLocked()
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Revision: c.revision, AgeMS: age}
	for _, o := range c.objects {
		s.Items = append(s.Items, o)
	}
	sort.Slice(s.Items, func(i, j int) bool { return s.Items[i].Name < s.Items[j].Name })
	return s, nil
}

// Revision returns the revision of the store up to which the cache has all changes, 0 before the first list.
func (c *WatchCache) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Age returns how long ago the store was known to hold nothing newer than the cache, and false before the first list.
func (c *WatchCache) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bootclock.Since(c.asOf), c.synced
}

// ageLocked returns the age of the cache in milliseconds, rounded up.
func (c *WatchCache) ageLocked() (int64, error) {
	age := bootclock.Since(c.asOf)
	if !c.synced || age > maxSnapshotAge {
		return 0, objectstore.ErrUnavailable
	}
	return age.Milliseconds() + 1, nil
}

// WaitForChanges returns the events after a revision. It waits for the first one at most for the given time and then returns none.
// It returns objectstore.ErrCompacted when the changes since the revision aren't covered, and objectstore.ErrUnavailable like Snapshot, or when
// the cache doesn't reach the revision in that time.
func (c *WatchCache) WaitForChanges(ctx context.Context, after uint64, wait time.Duration) (*Snapshot, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		c.mu.Lock()
		changed := c.changed
		s, err := c.eventsAfterLocked(after)
		c.mu.Unlock()
		behind := errors.Is(err, errBehind)
		if err != nil && !behind || err == nil && len(s.Events) > 0 {
			return s, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.eventsAfterLocked(after)
		}
	}
}

func (c *WatchCache) eventsAfterLocked(after uint64) (*Snapshot, error) {
	if after < c.compactedRevision {
		return nil, objectstore.ErrCompacted
	}
	age, err := c.ageLocked()
	if err != nil {
		return nil, err
	}
	if after > c.revision {
		return nil, errBehind
	}
	s := &Snapshot{Revision: c.revision, AgeMS: age}
	for _, ev := range c.events {
		if ev.Revision > after {
			s.Events = append(s.Events, ev)
		}
	}
	return s, nil
}
