// Package discovery follows objects of the platform's store: the configuration, the endpoints and the other VMs.
package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// pollWait is how long the store holds a call for changes. It bounds the age of what is known of a store at rest.
	pollWait = time.Second
	// pollSlack is how much longer than pollWait a call may take before its connection counts as silent.
	pollSlack = 600 * time.Millisecond
	// listTimeout bounds one list.
	listTimeout = 1200 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// fastPoll is the pause after an answer that came at once without changes.
	fastPoll = 50 * time.Millisecond
	// batchTime is the pause after changes, in which further ones collect. Each answer costs a call, and endpoints come and go
	// in groups: without the pause three VMs made most of a large deployment's calls for them. It is short against the bound for
	// leaving endpoints, the shortest that depends on it (2 s).
	batchTime = 150 * time.Millisecond
)

// Source is where a Watcher reads: the store, or the relay of another VM.
type Source interface {
	// List returns all objects of a kind, and the instant of this VM's clock up to which they are complete.
	List(ctx context.Context, kind string) (items []apitypes.Object, revision uint64, at bootclock.Instant, err error)
	// Poll returns changes like objectstore.Poller, and the instant up to which they are complete.
	Poll(ctx context.Context, kind string, after uint64, wait time.Duration) (events []apitypes.Event, revision uint64, at bootclock.Instant, err error)
}

// StoreSource reads from the platform's store.
type StoreSource struct {
	Store interface {
		objectstore.Store
		objectstore.Poller
	}
}

// List implements Source.
func (s StoreSource) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, bootclock.Instant, error) {
	sent := bootclock.Now()
	items, revision, err := s.Store.List(ctx, kind)
	return items, revision, sent, err
}

// Poll implements Source. An answer without changes was made after the wait; one with changes may have been made at once.
func (s StoreSource) Poll(ctx context.Context, kind string, after uint64, wait time.Duration) ([]apitypes.Event, uint64, bootclock.Instant, error) {
	sent := bootclock.Now()
	events, revision, err := s.Store.Poll(ctx, kind, after, wait)
	if err == nil && len(events) == 0 && bootclock.Since(sent) >= wait {
		sent = sent.Add(wait)
	}
	return events, revision, sent, err
}

// Watcher keeps up with one kind of objects.
type Watcher struct {
	// Source returns where to read next. It is asked again after each failure and once in a while.
	Source func() Source
	Kind   string
	Log    zerolog.Logger
	// Relay, when not nil, keeps what was read for other VMs.
	Relay *WatchCache
	// OnList is called with all objects of the kind as they were in the store at an instant or later. outage is how long the
	// store could not be followed before.
	OnList func(items []apitypes.Object, revision uint64, at bootclock.Instant, outage time.Duration)
	// OnEvents is called with changes, possibly none, that are complete up to an instant.
	OnEvents func(events []apitypes.Event, revision uint64, at bootclock.Instant)

	lostAt bootclock.Instant
	lost   bool
}

// Run follows until ctx ends. It retries failed calls.
func (f *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			f.noteLost(err)
			ctxtime.Sleep(ctx, retryMin+rand.N(retryMax-retryMin))
		}
	}
	return nil
}

// follow lists and then waits for changes until a call fails. A compacted history needs a new list at once.
func (f *Watcher) follow(ctx context.Context) error {
	source := f.Source()
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	items, revision, at, err := source.List(listCtx, f.Kind)
	cancel()
	if err != nil {
		return err
	}
	if f.Relay != nil {
		f.Relay.ReplaceObjects(items, revision, at)
	}
	f.OnList(items, revision, at, f.noteRegained(revision))
	for ctx.Err() == nil && f.Source() == source {
		revision, err = f.poll(ctx, source, revision)
		if errors.Is(err, objectstore.ErrCompacted) {
			f.Log.Info().Str("kind", f.Kind).Uint64("revision", revision).Msg("store history is gone, listing again")
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// poll waits for changes once and returns the revision to go on from.
func (f *Watcher) poll(ctx context.Context, source Source, revision uint64) (uint64, error) {
	sent := bootclock.Now()
	pollCtx, cancel := context.WithTimeout(ctx, pollWait+pollSlack)
	events, at, asOf, err := source.Poll(pollCtx, f.Kind, revision, pollWait)
	cancel()
	if err != nil {
		return revision, err
	}
	at = max(at, revision)
	if f.Relay != nil {
		f.Relay.ApplyEvents(events, at, asOf)
	}
	f.OnEvents(events, at, asOf)
	switch {
	case len(events) > 0:
		ctxtime.Sleep(ctx, batchTime)
	case bootclock.Since(sent) < fastPoll:
		ctxtime.Sleep(ctx, fastPoll)
	}
	return at, nil
}

func (f *Watcher) noteLost(err error) {
	if f.lost {
		return
	}
	f.lost, f.lostAt = true, bootclock.Now()
	f.Log.Warn().Str("dependency", "store").Str("kind", f.Kind).Err(err).Msg("dependency lost")
}

func (f *Watcher) noteRegained(revision uint64) time.Duration {
	if !f.lost {
		return 0
	}
	f.lost = false
	outage := bootclock.Since(f.lostAt)
	f.Log.Info().Str("dependency", "store").Str("kind", f.Kind).Uint64("revision", revision).
		Int64("outage_ms", outage.Milliseconds()).Msg("dependency regained")
	return outage
}
