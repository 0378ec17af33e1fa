package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
)

const (
	// moveEvery is how often running streams are compared with what is known of their endpoints. A reclaim notice leaves a few
	// seconds.
	moveEvery = 250 * time.Millisecond
	// maxMoves bounds the moves of one stream, so that endpoints that leave one after the other can't keep it moving.
	maxMoves = 4
)

// errMoved ends an attempt whose stream goes on at another endpoint.
var errMoved = errors.New("the stream moves to another endpoint")

// runningStream is a stream's attempt at an endpoint, as far as a move needs it.
type runningStream struct {
	endpoint string
	place    balancer.Request
	// retire is true when the team's template lets its streams move away from endpoints that are emptied.
	retire bool
	// movable is true while another engine could go on with the output so far.
	movable atomic.Bool
	cancel  context.CancelCauseFunc
	// next is the endpoint that the stream goes on at; it is chosen before the attempt ends, and only once.
	next *balancer.Choice
}

// streamTable holds the running streams of a gateway.
type streamTable struct {
	mu      sync.Mutex
	streams map[*runningStream]struct{}
}

func newStreamTable() *streamTable {
	return &streamTable{streams: make(map[*runningStream]struct{})}
}

func (t *streamTable) add(r *runningStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams[r] = struct{}{}
}

// remove takes an attempt out and returns the endpoint that was chosen for its move, or nil.
func (t *streamTable) remove(r *runningStream) *balancer.Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.streams, r)
	return r.next
}

// RunStreamMigration moves streams away from endpoints that leave, until ctx ends: always from reclaimed ones, and from drained ones when the
// template of the stream's team says so. A stream moves only once another endpoint has room for it.
func (g *Gateway) RunStreamMigration(ctx context.Context) error {
	ticker := time.NewTicker(moveEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.moveStreams()
		}
	}
}

func (g *Gateway) moveStreams() {
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	for r := range g.streams.streams {
		if r.next != nil || !r.movable.Load() || !g.leaves(r) {
			continue
		}
		place := r.place
		place.Exclude = append(place.Exclude[:len(place.Exclude):len(place.Exclude)], r.endpoint)
		next, err := g.opts.Balancer.Choose(place)
		if err != nil {
			continue
		}
		r.next = next
		r.cancel(errMoved)
	}
}

// leaves tells whether a stream should move away from its endpoint.
func (g *Gateway) leaves(r *runningStream) bool {
	e, known := g.opts.Balancer.Endpoint(r.endpoint)
	if !known {
		return false
	}
	return e.ReclaimAt != 0 || r.retire && e.NoNewWork && !e.Load.Changing
}

// track registers an attempt for moves. The returned context ends with errMoved as its cause when the stream moves.
func (s *streamRun) track(ctx context.Context, choice *balancer.Choice) (context.Context, *runningStream) {
	ctx, cancel := context.WithCancelCause(ctx)
	retire := s.m.template != nil && s.m.template.Retire == apitypes.RetireMove
	r := &runningStream{endpoint: choice.Endpoint.Name, place: s.m.place, retire: retire, cancel: cancel}
	r.movable.Store(s.plain && !s.finished && s.moves < maxMoves)
	s.g.streams.add(r)
	return ctx, r
}

// untrack ends the registration and returns the endpoint that the stream goes on at, or nil. A move that came too late is taken
// back.
func (s *streamRun) untrack(ctx context.Context, r *runningStream, err error) *balancer.Choice {
	next := s.g.streams.remove(r)
	r.cancel(nil)
	if next == nil {
		return nil
	}
	if err == nil || !errors.Is(context.Cause(ctx), errMoved) || !s.continuable(err) {
		next.Done(balancer.Outcome{})
		return nil
	}
	s.moves++
	return next
}
