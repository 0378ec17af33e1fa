package discovery

import (
	"context"
	"sort"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// keepEvents is the number of changes that a relay keeps; a follower that is further behind lists again.
	keepEvents = 512
	// relayFresh is the age up to which a relay answers. It is above the pause between two answers of the store.
	relayFresh = 1500 * time.Millisecond
)

// Snapshot is what a watch cache gives to watchers on other VMs.
type Snapshot struct {
	Items    []apitypes.Object `json:"items,omitempty"`
	Events   []apitypes.Event  `json:"events,omitempty"`
	Revision uint64            `json:"revision"`
	// AgeMS is how many milliseconds ago the store was known to hold nothing newer.
	AgeMS int64 `json:"age_ms"`
}

// WatchCache keeps the objects of one kind as this VM's follower has them, for followers on other VMs. So the number of calls to the
// store doesn't grow with the number of VMs. Its methods may be called concurrently.
type WatchCache struct {
	mu       sync.Mutex
	objects  map[string]apitypes.Object
	events   []apitypes.Event
	revision uint64
	// oldest is the revision after which all changes are in events.
	oldest uint64
	at     bootclock.Instant
	known  bool
	// changed is closed and replaced when there is news.
	changed chan struct{}
}

// NewWatchCache returns a cache that knows nothing.
func NewWatchCache() *WatchCache { return &WatchCache{changed: make(chan struct{})} }

// ReplaceObjects replaces all objects.
func (r *WatchCache) ReplaceObjects(items []apitypes.Object, revision uint64, at bootclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objects = make(map[string]apitypes.Object, len(items))
	for _, o := range items {
		r.objects[o.Name] = o
	}
	r.events, r.revision, r.oldest, r.at, r.known = nil, revision, revision, at, true
	r.wakeLocked()
}

// ApplyEvents applies changes.
func (r *WatchCache) ApplyEvents(events []apitypes.Event, revision uint64, at bootclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ev := range events {
		if ev.Type == apitypes.EventDelete {
			delete(r.objects, ev.Object.Name)
		} else {
			r.objects[ev.Object.Name] = ev.Object
		}
	}
	r.events = append(r.events, events...)
	if n := len(r.events) - keepEvents; n > 0 {
		r.oldest = r.events[n-1].Revision
		r.events = append([]apitypes.Event(nil), r.events[n:]...)
	}
	r.revision, r.at = max(r.revision, revision), at
	if len(events) > 0 {
		r.wakeLocked()
	}
}

func (r *WatchCache) wakeLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Snapshot returns all objects. It returns objectstore.ErrUnavailable when the relay's own knowledge is not fresh.
func (r *WatchCache) Snapshot() (*Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age, err := r.ageLocked()
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Revision: r.revision, AgeMS: age}
	for _, o := range r.objects {
		s.Items = append(s.Items, o)
	}
	sort.Slice(s.Items, func(i, j int) bool { return s.Items[i].Name < s.Items[j].Name })
	return s, nil
}

func (r *WatchCache) ageLocked() (int64, error) {
	age := bootclock.Since(r.at)
	if !r.known || age > relayFresh {
		return 0, objectstore.ErrUnavailable
	}
	return age.Milliseconds() + 1, nil
}

// WaitForChanges waits for changes after a revision, at most for the given time.
func (r *WatchCache) WaitForChanges(ctx context.Context, after uint64, wait time.Duration) (*Snapshot, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		r.mu.Lock()
		changed := r.changed
		s, err := r.changesLocked(after)
		r.mu.Unlock()
		if err != nil || len(s.Events) > 0 {
			return s, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-deadline.C:
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.changesLocked(after)
		}
	}
}

func (r *WatchCache) changesLocked(after uint64) (*Snapshot, error) {
	if after < r.oldest || after > r.revision {
		return nil, objectstore.ErrCompacted
	}
	age, err := r.ageLocked()
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Revision: r.revision, AgeMS: age}
	for _, ev := range r.events {
		if ev.Revision > after {
			s.Events = append(s.Events, ev)
		}
	}
	return s, nil
}
