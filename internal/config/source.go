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
	// probePeriod is the period at which a watching controller confirms with one list that the platform answers.
	probePeriod = time.Second
	// minRelist is the shortest period between two lists of a kind. It repairs a lost event within the 11 s allowed
	// for a change at today's sizes.
	minRelist = 5 * time.Second
	// relistBytesPerSecond bounds the bytes of a kind's periodic lists; a node may use 6 KB/s in all.
	relistBytesPerSecond = 512
	// callTimeout bounds one list.
	callTimeout = 5 * time.Second
)

// PlatformSourceCounts are counters of a PlatformSource.
type PlatformSourceCounts struct {
	// Lists counts lists, OldLists those that were refused because they were older than the configuration in force,
	// Repaired changes that the watch had missed, Compacted watches that had to start from a list again.
	Lists, OldLists, Repaired, Compacted, Failures uint64
}

// PlatformSource keeps a holder current from the platform: it lists each kind, watches from the smallest list revision, and
// compares periodic lists with what the watch delivered.
type PlatformSource struct {
	store     objectstore.Store
	holder    *SnapshotStore
	freshness *Freshness
	watching  atomic.Bool

	lists, oldLists, repaired, compacted, failures atomic.Uint64
}

// NewPlatformSource returns a source that fills holder and records the platform's confirmations in freshness.
func NewPlatformSource(store objectstore.Store, holder *SnapshotStore, freshness *Freshness) *PlatformSource {
	return &PlatformSource{store: store, holder: holder, freshness: freshness}
}

// Watching tells whether the last watch is live: its list succeeded and nothing has failed since.
func (s *PlatformSource) Watching() bool { return s.watching.Load() }

// Counts returns the source's counters.
func (s *PlatformSource) Counts() PlatformSourceCounts {
	return PlatformSourceCounts{s.lists.Load(), s.oldLists.Load(), s.repaired.Load(), s.compacted.Load(), s.failures.Load()}
}

// Run keeps the holder current until ctx ends. Failures are retried with back-off. A lost watch is taken up again from the
// revision in force; only compaction costs a new
// list of everything at once.
func (s *PlatformSource) Run(ctx context.Context) error {
	var b backoff
	var lists []*kindList
	defer s.watching.Store(false)
	for {
		started := time.Now()
		var err error
		lists, err = s.session(ctx, lists)
		s.watching.Store(false)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.failures.Add(1)
		if errors.Is(err, objectstore.ErrCompacted) {
			s.compacted.Add(1)
			lists = nil
		}
		if errors.Is(err, errMissed) {
			// Events of other kinds may have been missed as well: all lists are compared before the next watch.
			for _, l := range lists {
				l.due = time.Time{}
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

// kindList is the last list of one kind.
type kindList struct {
	kind     string
	revision uint64
	bytes    int
	asked    time.Time
	due      time.Time
}

// ageMS is the age of the list, counted from before it was asked for.
func (l *kindList) ageMS() int64 { return time.Since(l.asked).Milliseconds() }

// session watches and compares until one of them fails. Without earlier lists it lists everything first.
func (s *PlatformSource) session(ctx context.Context, lists []*kindList) ([]*kindList, error) {
	var err error
	if lists == nil {
		lists, err = s.listAll(ctx)
	} else {
		err = s.compareDue(ctx, lists)
	}
	if err != nil {
		return lists, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	from := s.holder.Current().Revision()
	watch := make(chan error, 1)
	go func() { watch <- s.watch(ctx, from, listRevisions(lists)) }()
	s.watching.Store(true)
	return lists, s.compare(ctx, lists, watch)
}

func listRevisions(lists []*kindList) map[string]uint64 {
	revisions := make(map[string]uint64, len(lists))
	for _, l := range lists {
		revisions[l.kind] = l.revision
	}
	return revisions
}

// listAll replaces the configuration by a list of each kind. The lists are not atomic, so the snapshot takes the smallest
// revision among them; objects keep their own, possibly larger, versions.
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
	if err := s.holder.ReplaceObjects(all, smallest); err != nil {
		s.oldLists.Add(1)
		return nil, err
	}
	s.freshness.Confirm(lists[0].ageMS())
	return lists, nil
}

func (s *PlatformSource) list(ctx context.Context, kind string) ([]apitypes.Object, *kindList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.lists.Add(1)
	asked := time.Now()
	items, revision, err := s.store.List(ctx, kind)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "list %s", kind)
	}
	l := &kindList{kind: kind, revision: revision, asked: asked}
	for _, o := range items {
		l.bytes += len(o.Data)
	}
	l.due = time.Now().Add(max(minRelist, time.Duration(l.bytes/relistBytesPerSecond)*time.Second))
	return items, l, nil
}

// watch applies events. An event that a kind's list already reflects is skipped: it would bring back an object that was
// deleted between the smallest revision and the list's own.
func (s *PlatformSource) watch(ctx context.Context, from uint64, listed map[string]uint64) error {
	return s.store.Watch(ctx, apitypes.ConfigKinds, from, func(e apitypes.Event) error {
		if e.Type == apitypes.EventPut && e.Revision <= listed[e.Object.Kind] {
			e = apitypes.Event{Revision: e.Revision, Type: apitypes.EventBookmark}
		}
		s.holder.ApplyEvents([]apitypes.Event{e})
		return nil
	})
}

// compare lists at least one kind in each probe period until the watch or a list fails. A list that shows changes the
// watch has missed ends the session, because the watch may be dead.
func (s *PlatformSource) compare(ctx context.Context, lists []*kindList, watch <-chan error) error {
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
		if err := s.compareOne(ctx, earliest(lists)); err != nil {
			return err
		}
	}
}

// compareDue compares every list that is due, and at least one.
func (s *PlatformSource) compareDue(ctx context.Context, lists []*kindList) error {
	for range lists {
		l := earliest(lists)
		due := !l.due.After(time.Now())
		if err := s.compareOne(ctx, l); err != nil || !due {
			return err
		}
	}
	return nil
}

// earliest returns the list that is most overdue or, when none is due, the smallest one as a probe.
func earliest(lists []*kindList) *kindList {
	first, smallest := lists[0], lists[0]
	for _, l := range lists[1:] {
		if l.due.Before(first.due) {
			first = l
		}
		if l.bytes < smallest.bytes {
			smallest = l
		}
	}
	if first.due.After(time.Now()) {
		return smallest
	}
	return first
}

// errMissed ends a session whose watch has missed events.
var errMissed = errors.New("config: the watch has missed events")

func (s *PlatformSource) compareOne(ctx context.Context, l *kindList) error {
	items, fresh, err := s.list(ctx, l.kind)
	if errors.Is(err, objectstore.ErrThrottled) {
		return nil
	}
	if err != nil {
		return err
	}
	snapshot := s.holder.Current()
	if fresh.revision < snapshot.revision {
		s.oldLists.Add(1)
		return nil
	}
	*l = *fresh
	events := snapshot.missed(l.kind, items, l.revision)
	if len(events) == 0 {
		s.freshness.Confirm(l.ageMS())
		return nil
	}
	// The list can be ahead of the watch by the watch's delay. Only what is still missing after it counts as missed.
	if !ctxtime.Sleep(ctx, watchDelay) {
		return ctx.Err()
	}
	if events = s.holder.Current().stillMissing(events); len(events) == 0 {
		s.freshness.Confirm(l.ageMS())
		return nil
	}
	s.holder.ApplyEvents(events)
	s.repaired.Add(uint64(len(events)))
	return errMissed
}

// watchDelay is the time within which a healthy watch delivers an event that a list shows.
const watchDelay = 500 * time.Millisecond
