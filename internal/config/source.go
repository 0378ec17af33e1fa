package config

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// probePeriod is the period at which a watching controller lists one kind to confirm that the platform responds.
	probePeriod = time.Second
	// minRelistPeriod is the shortest time after which a kind's next list is due. At current configuration sizes, it repairs a lost
	// event within the 11 s allowed for a change.
	minRelistPeriod = 5 * time.Second
	// relistBytesPerSecond bounds the traffic of a kind's periodic lists; a node may use 6 KB/s in total.
	relistBytesPerSecond = 512
	// listTimeout bounds one list call.
	listTimeout = 5 * time.Second
)

// PlatformSourceCounts are cumulative counters of a PlatformSource.
type PlatformSourceCounts struct {
	// Lists counts list calls. OldLists counts rejections of lists that are older than the configuration in force. MissedEvents counts
	// changes that the watch missed. Compacted counts sessions that ended because the platform had compacted the revision to watch
	// from. Failures counts all failed sessions.
	Lists, OldLists, MissedEvents, Compacted, Failures uint64
}

// PlatformSource keeps a snapshot store up to date from the platform: it lists each kind, watches from the smallest list revision, and
// compares periodic lists with the events that the watch delivered.
type PlatformSource struct {
	store     objectstore.Store
	snapshots *SnapshotStore
	freshness *Freshness
	watching  atomic.Bool

	lists, oldLists, missedEventCount, compacted, failures atomic.Uint64
}

// NewPlatformSource returns a source that updates snapshots and records the platform's confirmations in freshness.
func NewPlatformSource(store objectstore.Store, snapshots *SnapshotStore, freshness *Freshness) *PlatformSource {
	return &PlatformSource{store: store, snapshots: snapshots, freshness: freshness}
}

// Watching reports whether a watch is running: the lists before it succeeded and nothing has failed since.
func (s *PlatformSource) Watching() bool { return s.watching.Load() }

// Counts returns the source's counters.
func (s *PlatformSource) Counts() PlatformSourceCounts {
	return PlatformSourceCounts{s.lists.Load(), s.oldLists.Load(), s.missedEventCount.Load(), s.compacted.Load(), s.failures.Load()}
}

// Run keeps the snapshot store up to date until ctx ends. Failures are retried with exponential backoff. A lost watch resumes from the
// revision in force; only after compaction are all kinds listed at once again.
func (s *PlatformSource) Run(ctx context.Context) error {
	var b backoff
	var lists []*kindList
	defer s.watching.Store(false)
	for {
		started := time.Now()
		var err error
		lists, err = s.runSession(ctx, lists)
		s.watching.Store(false)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.failures.Add(1)
		if errors.Is(err, objectstore.ErrCompacted) {
			s.compacted.Add(1)
			lists = nil
		}
		if errors.Is(err, errMissedEvents) {
			// The watch may have missed events of other kinds as well, so all kinds are listed before the next watch.
			for _, l := range lists {
				l.dueAt = time.Time{}
			}
		}
		if time.Since(started) > maxBackoff {
			b.reset()
		}
		if !b.wait(ctx) {
			return ctx.Err()
		}
	}
}

// kindList describes the last list of one kind.
type kindList struct {
	kind     string
	revision uint64
	// bytes is the size of all objects' data.
	bytes       int
	requestedAt time.Time
	dueAt       time.Time
}

// ageMS returns the time in milliseconds since the list was requested.
func (l *kindList) ageMS() int64 { return time.Since(l.requestedAt).Milliseconds() }

// runSession watches and lists periodically until one of them fails. If lists is nil, it lists all kinds first. It returns the lists for
// the next session.
func (s *PlatformSource) runSession(ctx context.Context, lists []*kindList) ([]*kindList, error) {
	var err error
	if lists == nil {
		lists, err = s.listAll(ctx)
	} else {
		err = s.relistDue(ctx, lists)
	}
	if err != nil {
		return lists, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	from := s.snapshots.Current().Revision()
	watch := make(chan error, 1)
	go func() { watch <- s.watch(ctx, from, listRevisions(lists)) }()
	s.watching.Store(true)
	return lists, s.relistPeriodically(ctx, lists, watch)
}

func listRevisions(lists []*kindList) map[string]uint64 {
	revisions := make(map[string]uint64, len(lists))
	for _, l := range lists {
		revisions[l.kind] = l.revision
	}
	return revisions
}

// listAll replaces the configuration by a list of each kind. The lists are not atomic, so the snapshot gets the smallest revision among
// them; objects keep their own, possibly larger, versions.
func (s *PlatformSource) listAll(ctx context.Context) ([]*kindList, error) {
	smallest := uint64(math.MaxUint64)
	var all []apitypes.Object
	var lists []*kindList
	for _, kind := range apitypes.ConfigKinds {
		items, l, err := s.list(ctx, kind)
		if err != nil {
			return nil, err
		}
		all = append(all, items...)
		lists = append(lists, l)
		smallest = min(smallest, l.revision)
	}
	if err := s.snapshots.ReplaceObjects(all, smallest); err != nil {
		s.oldLists.Add(1)
		return nil, err
	}
	s.freshness.Confirm(lists[0].ageMS())
	return lists, nil
}

// list reads all objects of a kind.
func (s *PlatformSource) list(ctx context.Context, kind string) ([]apitypes.Object, *kindList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	s.lists.Add(1)
	requestedAt := time.Now()
	items, revision, err := s.store.List(ctx, kind)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "list %s", kind)
	}
	l := &kindList{kind: kind, revision: revision, requestedAt: requestedAt}
	for _, o := range items {
		l.bytes += len(o.Data)
	}
	l.dueAt = time.Now().Add(max(minRelistPeriod, time.Duration(l.bytes/relistBytesPerSecond)*time.Second))
	return items, l, nil
}

// watch applies events after revision from. It skips the object of an event that its kind's list in listed already reflects: the event
// could restore an object that was deleted between the smallest revision and the list's own.
func (s *PlatformSource) watch(ctx context.Context, from uint64, listed map[string]uint64) error {
	return s.store.Watch(ctx, apitypes.ConfigKinds, from, func(e apitypes.Event) error {
		if e.Type == apitypes.EventPut && e.Revision <= listed[e.Object.Kind] {
			e = apitypes.Event{Revision: e.Revision, Type: apitypes.EventBookmark}
		}
		s.snapshots.ApplyEvents([]apitypes.Event{e})
		return nil
	})
}

// relistPeriodically lists one kind in each probe period until the watch or a list fails. A list that contains changes missed by the
// watch ends the session, because the watch may no longer deliver events.
func (s *PlatformSource) relistPeriodically(ctx context.Context, lists []*kindList, watch <-chan error) error {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case err := <-watch:
			if err == nil {
				err = objectstore.ErrUnavailable
			}
			return err
		case <-ticker.C:
		}
		if err := s.relist(ctx, nextRelist(lists)); err != nil {
			return err
		}
	}
}

// relistDue lists every kind that is due, and at least one.
func (s *PlatformSource) relistDue(ctx context.Context, lists []*kindList) error {
	for range lists {
		l := nextRelist(lists)
		due := !l.dueAt.After(time.Now())
		if err := s.relist(ctx, l); err != nil || !due {
			return err
		}
	}
	return nil
}

// nextRelist returns the list that is most overdue or, if none is due, the smallest one, which serves as a probe of the platform.
func nextRelist(lists []*kindList) *kindList {
	mostOverdue, smallest := lists[0], lists[0]
	for _, l := range lists[1:] {
		if l.dueAt.Before(mostOverdue.dueAt) {
			mostOverdue = l
		}
		if l.bytes < smallest.bytes {
			smallest = l
		}
	}
	if mostOverdue.dueAt.After(time.Now()) {
		return smallest
	}
	return mostOverdue
}

// errMissedEvents ends a session whose watch missed events.
var errMissedEvents = errors.New("config: watch missed events")

// relist lists one kind and compares the list with the snapshot. It applies changes that the watch missed and then returns
// errMissedEvents. It ignores a list that is older than the configuration in force and a rate limit of the platform.
func (s *PlatformSource) relist(ctx context.Context, l *kindList) error {
	items, updated, err := s.list(ctx, l.kind)
	if errors.Is(err, objectstore.ErrThrottled) {
		return nil
	}
	if err != nil {
		return err
	}
	snapshot := s.snapshots.Current()
	if updated.revision < snapshot.revision {
		s.oldLists.Add(1)
		return nil
	}
	*l = *updated
	events := snapshot.missedEvents(l.kind, items, l.revision)
	if len(events) == 0 {
		s.freshness.Confirm(l.ageMS())
		return nil
	}
	// The list can be ahead of the watch by the watch's delay. Only events that are not applied after that delay count as missed.
	if !ctxtime.Sleep(ctx, maxWatchDelay) {
		return ctx.Err()
	}
	if events = s.snapshots.Current().unappliedEvents(events); len(events) == 0 {
		s.freshness.Confirm(l.ageMS())
		return nil
	}
	s.snapshots.ApplyEvents(events)
	s.missedEventCount.Add(uint64(len(events)))
	return errMissedEvents
}

// maxWatchDelay is the time within which a working watch delivers an event that a list already reflects.
const maxWatchDelay = 500 * time.Millisecond
