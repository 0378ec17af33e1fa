package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/continuation"
)

const (
	// migrationInterval is the time between checks whether running streams should migrate. It is short because a reclaim notice comes
	// only a few seconds before the endpoint ends.
	migrationInterval = 250 * time.Millisecond
	// maxMigrations limits the migrations of one stream, so that endpoints that drain one after the other do not migrate it forever.
	maxMigrations = 4
)

// errMigrated is the cancellation cause of an attempt whose stream migrates to another endpoint.
var errMigrated = errors.New("the stream migrates to another endpoint")

// streamAttempt is the part of a stream's current attempt that a migration needs.
type streamAttempt struct {
	endpoint, softwareVersion string
	placement                 balancer.Request
	// origin is set when the stream begins in this attempt; nil before, and if it began in an earlier one.
	origin atomic.Pointer[continuation.Origin]
	// migrateOnDrain is true when the team's template has its streams migrate away from draining endpoints.
	migrateOnDrain bool
	// migratable is true while another engine could continue the output so far.
	migratable atomic.Bool
	cancel     context.CancelCauseFunc
	// target is the endpoint to migrate to; nil until it is chosen, which happens once, before the attempt is cancelled.
	target *balancer.Choice
}

// streamTable holds the current attempts of a gateway's running streams.
type streamTable struct {
	mu      sync.Mutex
	streams map[*streamAttempt]struct{}
}

func newStreamTable() *streamTable {
	return &streamTable{streams: make(map[*streamAttempt]struct{})}
}

func (t *streamTable) add(attempt *streamAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams[attempt] = struct{}{}
}

// remove removes an attempt and returns its migration target, or nil.
func (t *streamTable) remove(attempt *streamAttempt) *balancer.Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.streams, attempt)
	return attempt.target
}

// RunStreamMigration migrates streams until ctx ends: always away from endpoints that are being reclaimed, and away from draining
// endpoints when the template of the stream's team says so. A stream migrates only when another endpoint has capacity for it.
func (g *Gateway) RunStreamMigration(ctx context.Context) error {
	ticker := time.NewTicker(migrationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.migrateStreams()
		}
	}
}

// migrateStreams chooses a target for each stream that should migrate and cancels its current attempt.
func (g *Gateway) migrateStreams() {
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	for attempt := range g.streams.streams {
		if attempt.target != nil || !attempt.migratable.Load() || !g.shouldMigrate(attempt) {
			continue
		}
		placement := attempt.placement
		placement.Exclude = append(placement.Exclude[:len(placement.Exclude):len(placement.Exclude)], attempt.endpoint)
		if origin := attempt.origin.Load(); origin != nil {
			placement.Origin = *origin
		}
		target, err := g.opts.Balancer.Choose(placement)
		if err != nil {
			continue
		}
		attempt.target = target
		attempt.cancel(errMigrated)
	}
}

// shouldMigrate reports whether a stream should migrate away from its endpoint.
func (g *Gateway) shouldMigrate(attempt *streamAttempt) bool {
	e, known := g.opts.Balancer.Endpoint(attempt.endpoint)
	if !known {
		return false
	}
	return e.ReclaimAt != 0 || attempt.migrateOnDrain && e.NoNewWork && !e.Load.Changing
}

// registerAttempt registers an attempt for migration. The returned context is cancelled with cause errMigrated when the stream
// migrates.
func (s *streamRun) registerAttempt(ctx context.Context, choice *balancer.Choice) (context.Context, *streamAttempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	migrateOnDrain := s.m.template != nil && s.m.template.Retire == apitypes.RetireMove
	attempt := &streamAttempt{endpoint: choice.Endpoint.Name, softwareVersion: choice.SoftwareVersion, placement: s.m.placement, migrateOnDrain: migrateOnDrain, cancel: cancel}
	attempt.migratable.Store(s.textOnly && !s.finishReasonSent && s.migrations < maxMigrations)
	s.g.streams.add(attempt)
	return ctx, attempt
}

// unregisterAttempt removes an attempt and returns the endpoint to continue on, or nil. It releases the target of a migration that
// is no longer needed or possible: the attempt completed, ended for another reason first, or can't be continued.
func (s *streamRun) unregisterAttempt(ctx context.Context, attempt *streamAttempt, err error) *balancer.Choice {
	target := s.g.streams.remove(attempt)
	attempt.cancel(nil)
	if target == nil {
		return nil
	}
	if err == nil || !errors.Is(context.Cause(ctx), errMigrated) || !s.continuable(err) {
		target.Done(balancer.Outcome{})
		return nil
	}
	s.migrations++
	return target
}
