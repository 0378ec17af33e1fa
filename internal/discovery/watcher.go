// Package discovery watches objects of the platform's store, such as the configuration and the endpoints, directly or through other
// VMs.
package discovery

import (
	"context"
	"fmt"
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
	// storePollWait is how long a poll of the store waits for changes. It bounds the age of the last confirmation while nothing changes, and with
	// storePollSlack the time in which changes don't arrive because a watch has gone silent.
	storePollWait = 400 * time.Millisecond
	// storePollSlack is how much longer than it waits a poll of the store may take before its connection counts as unresponsive.
	storePollSlack = 300 * time.Millisecond
	// listTimeout bounds one list call.
	listTimeout = 1200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the random delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// minPollInterval is the delay after a response without changes that arrived sooner than that.
	minPollInterval = 50 * time.Millisecond
	// batchDelay is the delay after a response with changes, in which further changes collect. Each response costs a call, and endpoints
	// come and go in groups: without the delay, the three VMs that watch the store made most of a large deployment's calls. It is short
	// compared with the bound for leaving endpoints (2 s), the shortest bound that depends on it.
	batchDelay = 150 * time.Millisecond
)

// Source is what a Watcher reads from: the store, or the watch cache of another VM.
type Source interface {
	// List returns all objects of a kind, and the instant of this VM's boot clock up to which they are complete.
	List(ctx context.Context, kind string) (items []apitypes.Object, revision uint64, asOf bootclock.Instant, err error)
	// Poll returns the changes after a revision like objectstore.Poller, and the instant up to which they are complete.
	Poll(ctx context.Context, kind string, after uint64, wait time.Duration) (events []apitypes.Event, revision uint64, asOf bootclock.Instant, err error)
	// PollTimes returns how long polls wait for changes, and how much longer they may take.
	PollTimes() (wait, slack time.Duration)
}

// StoreSource reads from the platform's store.
type StoreSource struct {
	Store interface {
		objectstore.Store
		objectstore.Poller
	}
}

// PollTimes implements Source.
func (s StoreSource) PollTimes() (wait, slack time.Duration) { return storePollWait, storePollSlack }

// List implements Source.
func (s StoreSource) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, bootclock.Instant, error) {
	sent := bootclock.Now()
	items, revision, err := s.Store.List(ctx, kind)
	return items, revision, sent, err
}

// Poll implements Source. A response without changes is complete up to the end of the wait. A response with changes may have been made
// at once, so it is complete only up to the time the request was sent.
func (s StoreSource) Poll(ctx context.Context, kind string, after uint64, wait time.Duration) ([]apitypes.Event, uint64, bootclock.Instant, error) {
	asOf := bootclock.Now()
	events, revision, err := s.Store.Poll(ctx, kind, after, wait)
	if err == nil && len(events) == 0 && bootclock.Since(asOf) >= wait {
		asOf = asOf.Add(wait)
	}
	return events, revision, asOf, err
}

// Watcher follows the objects of one kind: it lists them and then polls for changes.
type Watcher struct {
	// Source returns the source to read from. It is called before each list and each poll. Revisions are those of the store, so that a poll
	// of another source continues after the last one.
	Source func() Source
	// Kind is the kind of the objects.
	Kind string
	Log  zerolog.Logger
	// Cache, when not nil, is filled with the objects and events, to serve them to other VMs.
	Cache *WatchCache
	// OnList is called with all objects of the kind as they were in the store at the instant asOf or later. outage is how long the
	// source could not be read before, 0 if it could.
	OnList func(items []apitypes.Object, revision uint64, asOf bootclock.Instant, outage time.Duration)
	// OnEvents is called with the changes, possibly none, that are complete up to the instant asOf.
	OnEvents func(events []apitypes.Event, revision uint64, asOf bootclock.Instant)

	// lost is true from the first failed call, at lostAt, until the next successful list.
	lostAt bootclock.Instant
	lost   bool
}

// Run watches until ctx ends. It retries failed calls and always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.listAndPoll(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		w.markLost(err)
		var unanswered *unansweredPollError
		if !errors.As(err, &unanswered) {
			ctxtime.Sleep(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
		}
	}
	return nil
}

// unansweredPollError is the error of a poll without an answer. The time that it took serves as the delay before the next call.
type unansweredPollError struct{ err error }

func (e *unansweredPollError) Error() string { return e.err.Error() }
func (e *unansweredPollError) Unwrap() error { return e.err }

// listAndPoll lists and then polls until a call fails, which it returns, or until the source doesn't have the changes after the last poll,
// which needs a new list at once.
func (w *Watcher) listAndPoll(ctx context.Context) error {
	source := w.Source()
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	items, revision, asOf, err := source.List(listCtx, w.Kind)
	cancel()
	if err != nil {
		return err
	}
	if w.Cache != nil {
		w.Cache.ReplaceObjects(items, revision, asOf)
	}
	w.Log.Info().Str("kind", w.Kind).Str("source", fmt.Sprint(source)).Stringer("revision", objectstore.Revision(revision)).
		Int64("age_ms", bootclock.Since(asOf).Milliseconds()).Msg("listed, watching for changes")
	w.OnList(items, revision, asOf, w.markRegained(revision))
	for ctx.Err() == nil {
		revision, err = w.poll(ctx, w.Source(), revision)
		if errors.Is(err, objectstore.ErrCompacted) {
			w.Log.Info().Str("kind", w.Kind).Stringer("revision", objectstore.Revision(revision)).Msg("store history compacted, listing again")
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// poll polls once and returns the revision to continue from.
func (w *Watcher) poll(ctx context.Context, source Source, revision uint64) (uint64, error) {
	start := bootclock.Now()
	wait, slack := source.PollTimes()
	pollCtx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	events, latest, asOf, err := source.Poll(pollCtx, w.Kind, revision, wait)
	switch {
	case err != nil && pollCtx.Err() != nil:
		return revision, &unansweredPollError{err}
	case err != nil:
		return revision, err
	}
	latest = max(latest, revision)
	if w.Cache != nil {
		w.Cache.ApplyEvents(events, latest, asOf)
	}
	w.OnEvents(events, latest, asOf)
	switch {
	case len(events) > 0:
		ctxtime.Sleep(ctx, batchDelay)
	case bootclock.Since(start) < minPollInterval:
		ctxtime.Sleep(ctx, minPollInterval)
	}
	return latest, nil
}

// markLost records and logs the start of an outage.
func (w *Watcher) markLost(err error) {
	if w.lost {
		return
	}
	w.lost, w.lostAt = true, bootclock.Now()
	w.Log.Warn().Str("dependency", "store").Str("kind", w.Kind).Err(err).Msg("dependency lost")
}

// markRegained records and logs the end of an outage and returns its duration, 0 if there was none.
func (w *Watcher) markRegained(revision uint64) time.Duration {
	if !w.lost {
		return 0
	}
	w.lost = false
	outage := bootclock.Since(w.lostAt)
	w.Log.Info().Str("dependency", "store").Str("kind", w.Kind).Stringer("revision", objectstore.Revision(revision)).
		Int64("outage_ms", outage.Milliseconds()).Msg("dependency regained")
	return outage
}
