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

// Streams move as in internal/gateway: a stream on an endpoint that is being reclaimed continues on another endpoint with room,
// and a stream whose endpoint crashed continues on another one within the retry budget.
const (
	// moveInterval is the time between two searches for streams to move.
	moveInterval = 250 * time.Millisecond
	// maxMoves is the number of moves after which a stream is not moved again.
	maxMoves = 4
	// maxStreamAttempts is the limit on the attempts of a stream, not counting its moves.
	maxStreamAttempts = 4
)

var errMoved = errors.New("the stream moves to another endpoint")

// endpoint returns a copy of the endpoint as the provider lists it.
func (e *engine) endpoint() apitypes.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Endpoint
}

// cancelJob removes a job that was cancelled before its prefill started, unless the engine has crashed since the job came.
func (e *engine) cancelJob(crashed chan struct{}, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed != e.crashed {
		return
	}
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.queuedTokens -= float64(j.request.promptTokens)
		return
	}
	if i := slices.Index(e.prefillQueue, j); i >= 0 {
		e.prefillQueue = slices.Delete(e.prefillQueue, i, i+1)
	} else {
		e.prefillBusy = false
	}
	e.queuedTokens -= j.uncached
	e.running--
	e.kvUsed -= j.blocks
	e.startWaiting()
}

// streamResult is the outcome of one stream.
type streamResult struct {
	result
	complete          bool
	reruns            int     // attempts after a crash
	moves             int     // attempts at an endpoint that was chosen before the previous attempt ended
	reclaimableTokens float64 // output tokens from reclaimable endpoints
}

// streamAttempt is a running attempt of a stream at an endpoint.
type streamAttempt struct {
	gateway       *gateway
	endpoint      string
	choiceRequest balancer.Request // for the choice of another endpoint
	moves         int              // of the stream so far
	cancel        context.CancelCauseFunc
	destination   *placement // where the stream continues; nil unless it is being moved
}

// streamTable holds the running streams of all gateways and the results of the others.
type streamTable struct {
	mu      sync.Mutex
	running map[*streamAttempt]struct{}
	results []streamResult
}

// moveStreams moves streams away from endpoints with a reclaim notice until ctx ends.
func (s *streamTable) moveStreams(ctx context.Context) {
	for pause(ctx, nil, moveInterval) == nil {
		s.moveReclaimed(ctx)
	}
}

// moveReclaimed moves each stream on an endpoint with a reclaim notice for which another endpoint has room now.
func (s *streamTable) moveReclaimed(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.running {
		e, known := a.gateway.chooser.(realBalancer).Endpoint(a.endpoint)
		if a.destination != nil || a.moves >= maxMoves || !known || e.ReclaimAt == 0 {
			continue
		}
		choiceRequest := a.choiceRequest
		choiceRequest.Exclude = append(slices.Clone(choiceRequest.Exclude), a.endpoint)
		if destination, err := a.gateway.chooser.choose(ctx, choiceRequest, time.Now()); err == nil {
			a.destination = &destination
			a.cancel(errMoved)
		}
	}
}

func (s *streamTable) add(a *streamAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[a] = struct{}{}
}

// remove removes an attempt and returns where the stream continues, or nil.
func (s *streamTable) remove(a *streamAttempt) *placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, a)
	return a.destination
}

func (s *streamTable) addResult(r *streamResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, *r)
}

// handle runs one stream through a gateway. It replaces cluster.handle for requests of the engine pool.
func (s *streamTable) handle(ctx context.Context, c *cluster, g *gateway, w *request) result {
	res := &streamResult{result: result{request: w}}
	defer s.addResult(res)
	start := time.Now()
	release, err := g.queue.acquire(ctx, admission.Request{Team: w.team, Pool: w.pool, Priority: w.priority, Tokens: w.tokens(), Deadline: start.Add(w.firstTokenTimeout)})
	if err != nil {
		res.refused, res.errorKind = true, kindOf(err)
		return res.result
	}
	defer release(w.tokens())
	g.budget.RecordFirstTry(w.pool)
	s.runAttempts(ctx, c, g, res, start)
	return res.result
}

// runAttempts runs a stream until it is complete or may not continue.
func (s *streamTable) runAttempts(ctx context.Context, c *cluster, g *gateway, res *streamResult, start time.Time) {
	fingerprint := retry.Fingerprint(res.team, res.pool, fmt.Append(nil, res.arrival))
	choiceRequest := balancer.Request{Pool: res.pool, PromptTokens: res.promptTokens, OutputTokens: res.outputTokens, Prefix: res.prefix}
	var next *placement
	for generated := 0; res.attempts-res.moves < maxStreamAttempts; {
		if next == nil {
			if res.attempts > 0 && (g.quarantine.Blocked(fingerprint) || !g.budget.AllowRetry(res.pool)) {
				return
			}
			if next = s.choose(ctx, g, choiceRequest, start.Add(res.firstTokenTimeout)); next == nil {
				res.refused = res.attempts == 0
				return
			}
			if res.attempts > 0 {
				res.reruns++
			}
		}
		chosen := *next
		res.attempts++
		n, destination, err := s.runAttempt(ctx, c, g, res, chosen, choiceRequest, generated, start)
		generated += n
		if next = destination; next != nil {
			res.moves++
		}
		if err == nil {
			res.complete = true
			return
		}
		if errors.Is(err, errEngineCrashed) {
			g.quarantine.RecordCrash(fingerprint, chosen.endpoint)
		}
		choiceRequest.Exclude = append(slices.Clone(choiceRequest.Exclude), chosen.endpoint)
		choiceRequest.PromptTokens, choiceRequest.OutputTokens = res.promptTokens+generated, res.outputTokens-generated
	}
}

// choose chooses an endpoint. While all are full it tries again until the deadline. It returns nil if there is none.
func (s *streamTable) choose(ctx context.Context, g *gateway, choiceRequest balancer.Request, deadline time.Time) *placement {
	for {
		p, err := g.chooser.choose(ctx, choiceRequest, deadline)
		if err == nil {
			return &p
		}
		if kindOf(err) != apierror.Overloaded || time.Now().After(deadline) || pause(ctx, nil, 10*time.Millisecond) != nil {
			return nil
		}
	}
}

// runAttempt runs the rest of a stream at one endpoint. It returns the number of tokens generated and, with an error, where the
// stream continues, or nil.
func (s *streamTable) runAttempt(ctx context.Context, c *cluster, g *gateway, res *streamResult, chosen placement, choiceRequest balancer.Request, generated int, start time.Time) (int, *placement, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := &streamAttempt{gateway: g, endpoint: chosen.endpoint, choiceRequest: choiceRequest, moves: res.moves, cancel: cancel}
	s.add(attempt)
	e := c.engines[chosen.endpoint]
	rest := *res.request
	rest.promptTokens, rest.outputTokens = res.promptTokens+generated, res.outputTokens-generated
	_ = pause(ctx, nil, oneWayDelay)
	var firstToken time.Time
	err := e.serve(attemptCtx, &rest, func() {
		firstToken = time.Now()
		if res.firstToken == 0 {
			res.firstToken = time.Since(start) + oneWayDelay
		}
		chosen.recordFirstToken()
	})
	tokens := rest.outputTokens
	if err != nil {
		tokens = 0
		if !firstToken.IsZero() {
			tokens = int(math.Min(float64(rest.outputTokens), time.Since(firstToken).Seconds()*e.kind.streamRate))
		}
	}
	if e.endpoint().Class == apitypes.Reclaimable {
		res.reclaimableTokens += float64(tokens)
	}
	destination := s.remove(attempt)
	chosen.done(balancer.Outcome{Failed: errors.Is(err, errEngineCrashed), TimeToFirstToken: res.firstToken, OutputTokens: tokens})
	if err == nil && destination != nil {
		destination.done(balancer.Outcome{})
		destination = nil
	}
	return tokens, destination, err
}
