package measure

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/retry"
)

// The path of streams with moves follows internal/gateway: a stream on a reclaimed endpoint goes on at another one that has room,
// and one whose endpoint died goes on within the retry budget.
const (
	moveEvery      = 250 * time.Millisecond
	maxMoves       = 4
	streamAttempts = 4
)

var errMoved = errors.New("the stream moves to another endpoint")

// state returns the endpoint as the provider lists it.
func (e *engine) state() apitypes.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Endpoint
}

// abandon takes out a request that was cancelled before its prefill began.
func (e *engine) abandon(died chan struct{}, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if died != e.died {
		return
	}
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.queued -= float64(j.work.prompt)
		return
	}
	if i := slices.Index(e.prefill, j); i >= 0 {
		e.prefill = slices.Delete(e.prefill, i, i+1)
	} else {
		e.busy = false
	}
	e.queued -= j.uncached
	e.running--
	e.kvUsed -= j.pieces
	e.start()
}

// streamEnd is how a stream ended.
type streamEnd struct {
	result
	whole  bool
	reruns int     // attempts after a death
	moves  int     // attempts at an endpoint that was chosen before the last one ended
	cheap  float64 // output tokens from reclaimable endpoints
}

// liveStream is a stream's attempt at an endpoint.
type liveStream struct {
	gateway  *gateway
	endpoint string
	place    balancer.Request
	moves    int
	cancel   context.CancelCauseFunc
	next     *placement
}

// streamTable holds the running streams of all gateways.
type streamTable struct {
	mu      sync.Mutex
	running map[*liveStream]struct{}
	ends    []streamEnd
}

// runMoves moves streams away from endpoints that are known to be reclaimed.
func (s *streamTable) runMoves(ctx context.Context) {
	for pause(ctx, nil, moveEvery) == nil {
		s.moveAll(ctx)
	}
}

func (s *streamTable) moveAll(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.running {
		e, known := r.gateway.choice.(ours).Endpoint(r.endpoint)
		if r.next != nil || r.moves >= maxMoves || !known || e.ReclaimAt == 0 {
			continue
		}
		place := r.place
		place.Exclude = append(slices.Clone(place.Exclude), r.endpoint)
		if next, err := r.gateway.choice.choose(ctx, place, time.Now()); err == nil {
			r.next = &next
			r.cancel(errMoved)
		}
	}
}

func (s *streamTable) add(r *liveStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[r] = struct{}{}
}

// remove ends an attempt and returns where the stream goes on, or nil.
func (s *streamTable) remove(r *liveStream) *placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
	return r.next
}

func (s *streamTable) end(e *streamEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, *e)
}

// serve is the path of one stream. It takes the place of cluster.handle.
func (s *streamTable) serve(ctx context.Context, c *cluster, g *gateway, w *request) result {
	end := &streamEnd{result: result{request: w}}
	defer s.end(end)
	begin := time.Now()
	release, err := g.queue.acquire(ctx, admission.Request{Team: w.team, Pool: w.pool, Priority: w.priority, Tokens: w.tokens(), Deadline: begin.Add(w.patience)})
	if err != nil {
		end.refused, end.kind = true, kindOf(err)
		return end.result
	}
	defer release(w.tokens())
	g.budget.RecordFirstTry(w.pool)
	s.attempts(ctx, c, g, end, begin)
	return end.result
}

// attempts runs a stream until it is whole or may not go on.
func (s *streamTable) attempts(ctx context.Context, c *cluster, g *gateway, end *streamEnd, begin time.Time) {
	fingerprint := retry.Fingerprint(end.team, end.pool, fmt.Append(nil, end.at))
	place := balancer.Request{Pool: end.pool, PromptTokens: end.prompt, OutputTokens: end.output, Prefix: end.prefix}
	var next *placement
	for done := 0; end.tries-end.moves < streamAttempts; {
		if next == nil {
			if end.tries > 0 && (g.quarantine.Blocked(fingerprint) || !g.budget.AllowRetry(end.pool)) {
				return
			}
			if next = s.choose(ctx, g, place, begin.Add(end.patience)); next == nil {
				end.refused = end.tries == 0
				return
			}
			if end.tries > 0 {
				end.reruns++
			}
		}
		at := *next
		end.tries++
		n, moved, err := s.attempt(ctx, c, g, end, at, place, done, begin)
		done += n
		if next = moved; next != nil {
			end.moves++
		}
		if err == nil {
			end.whole = true
			return
		}
		if errors.Is(err, errDied) {
			g.quarantine.RecordCrash(fingerprint, at.endpoint)
		}
		place.Exclude = append(slices.Clone(place.Exclude), at.endpoint)
		place.PromptTokens, place.OutputTokens = end.prompt+done, end.output-done
	}
}

// choose picks an endpoint, and waits while all are full and the caller is patient.
func (s *streamTable) choose(ctx context.Context, g *gateway, place balancer.Request, deadline time.Time) *placement {
	for {
		p, err := g.choice.choose(ctx, place, deadline)
		if err == nil {
			return &p
		}
		if kindOf(err) != apierror.Overloaded || time.Now().After(deadline) || pause(ctx, nil, 10*time.Millisecond) != nil {
			return nil
		}
	}
}

// attempt runs the rest of a stream at one endpoint. It returns the tokens that came and, with an error, where the stream goes on.
func (s *streamTable) attempt(ctx context.Context, c *cluster, g *gateway, end *streamEnd, at placement, place balancer.Request, done int, begin time.Time) (int, *placement, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	live := &liveStream{gateway: g, endpoint: at.endpoint, place: place, moves: end.moves, cancel: cancel}
	s.add(live)
	e := c.engines[at.endpoint]
	rest := *end.request
	rest.prompt, rest.output = end.prompt+done, end.output-done
	_ = pause(ctx, nil, oneWay)
	var first time.Time
	err := e.serve(attemptCtx, &rest, func() {
		first = time.Now()
		if end.first == 0 {
			end.first = time.Since(begin) + oneWay
		}
		at.firstToken()
	})
	tokens := rest.output
	if err != nil {
		tokens = 0
		if !first.IsZero() {
			tokens = int(math.Min(float64(rest.output), time.Since(first).Seconds()*e.kind.streamRate))
		}
	}
	if e.state().Class == apitypes.Reclaimable {
		end.cheap += float64(tokens)
	}
	next := s.remove(live)
	at.done(balancer.Outcome{Failed: errors.Is(err, errDied), TimeToFirstToken: end.first, OutputTokens: tokens})
	if err == nil && next != nil {
		next.done(balancer.Outcome{})
		next = nil
	}
	return tokens, next, err
}
