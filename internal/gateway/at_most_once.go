package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/claim"
	"crocusglade.example/crocusglade/internal/endpoint"
)

const (
	// storeTimeout bounds the storing of an outcome. It is long, since an outcome that is not stored has to be reconciled.
	storeTimeout = 10 * time.Minute
	// storeWait is how long an answer waits for its outcome to be stored; the storing goes on after it.
	storeWait = 2 * time.Second
	// outcomeWait bounds the time in which a service is asked for the outcome of a call whose answer was lost.
	outcomeWait = 5 * time.Second
	// outcomePoll is the time between two such questions.
	outcomePoll = 100 * time.Millisecond
)

// RepeatAnswer tells how a repeated idempotency key was answered.
type RepeatAnswer string

const (
	RepeatStored     RepeatAnswer = "stored"
	RepeatInProgress RepeatAnswer = "in_progress"
	RepeatUnknown    RepeatAnswer = "unknown"
)

// replayHeader marks an answer that was stored when the call ran.
const replayHeader = "Idempotent-Replayed"

// newClaim returns the claim of one attempt at an endpoint.
func (g *Gateway) newClaim(s *serviceCall, choice *balancer.Choice) apitypes.Claim {
	return apitypes.Claim{
		Key:       hashParts(s.team, s.route, s.idempotencyKey),
		Team:      s.team,
		Route:     s.route,
		BodyHash:  hashParts(s.method, s.uri, string(s.body)),
		Attempt:   uuid.NewString(),
		Gateway:   g.Name(),
		Endpoint:  choice.Endpoint.Name,
		RequestID: s.id,
		Instance:  choice.Instance,
		State:     apitypes.ClaimClaimed,
	}
}

// instanceOf asks an endpoint for its instance, since no report of it has arrived yet. Without an instance in the claim, an
// endpoint that does not know the request proves nothing, and the claim of a killed gateway stays unresolved.
func (g *Gateway) instanceOf(ctx context.Context, choice *balancer.Choice) string {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := g.opts.Endpoints.Load(ctx, choice.Endpoint.Addr)
	if err != nil {
		return "" // The service may report no load; the call itself tells whether it can be reached.
	}
	return load.Instance
}

func hashParts(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256([]byte(p))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// runClaimed runs a call at most once. Another endpoint is tried only when no byte can have left for the one before.
func (g *Gateway) runClaimed(ctx context.Context, s *serviceCall, a *answer) {
	var last error
	for try := 0; try < g.opts.MaxAttempts; try++ {
		choice, err := g.choose(ctx, s.call, &s.place)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		// The key may have been withdrawn while the call waited for admission or a place. A call that is dispatched runs to its end.
		if withdrawn(g.opts.Config.Current(), s.keyHash) {
			choice.Done(balancer.Outcome{})
			a.fail(apierror.New(apierror.KeyWithdrawn, "ask an operator for a new key", "the key was withdrawn before the call was sent"))
			return
		}
		done, err := g.attemptClaimed(ctx, s, choice, a)
		if done {
			return
		}
		last = err
		s.place.Exclude = append(s.place.Exclude, choice.Endpoint.Name)
	}
	a.fail(g.failure(s.call, last, apierror.NotExecuted, false))
}

// attemptClaimed writes the claim and dispatches the call. It returns false when nothing was sent and the claim is released.
func (g *Gateway) attemptClaimed(ctx context.Context, s *serviceCall, choice *balancer.Choice, a *answer) (bool, error) {
	c := g.newClaim(s, choice)
	if c.Instance == "" {
		c.Instance = g.instanceOf(ctx, choice)
	}
	sendBefore := time.Now().Add(g.opts.DispatchTimeout)
	g.addAttempt(c.Attempt)
	existing, won, err := g.opts.Claims.CreateClaim(ctx, c)
	if err != nil || !won {
		g.removeAttempt(c.Attempt)
		choice.Done(balancer.Outcome{})
		if err != nil {
			a.fail(apierror.From(err, apierror.NotExecuted))
			return true, nil
		}
		g.replay(existing, a)
		return true, nil
	}
	request := s.request()
	request.SendBefore = sendBefore
	got, err := g.opts.Endpoints.CallService(ctx, choice.Endpoint.Addr, request)
	choice.Done(balancer.Outcome{Failed: endpointFailed(err)})
	e := endpoint.AsError(err)
	switch {
	case err == nil && g.turnedAway(ctx, c, choice, got.Status):
		g.endNotRun(ctx, s, c, a, got)
		return true, nil
	case err == nil:
		g.finishClaim(ctx, s, c, a, got)
		return true, nil
	case e != nil && !e.MaybeSent:
		return g.releaseClaim(ctx, c, a, err)
	}
	g.noteServiceDeath(ctx, s, choice, e)
	g.findOutcome(ctx, s, c, choice, a)
	return true, nil
}

// replay answers a repeated call from its claim.
func (g *Gateway) replay(c apitypes.Claim, a *answer) {
	switch {
	case c.State == apitypes.ClaimDone && c.BodyKept:
		g.opts.OnRepeatedKey(RepeatStored)
		a.settle(c.Status, http.Header{"Content-Type": {c.ContentType}, replayHeader: {"true"}}, c.Body)
	case c.State == apitypes.ClaimDone:
		g.opts.OnRepeatedKey(RepeatStored)
		note := []byte(`{"note":"the call ran before with this status; its body was not kept"}`)
		a.settle(c.Status, http.Header{"Content-Type": {jsonType}, replayHeader: {"true"}, "Idempotent-Body-Kept": {"false"}}, note)
	case c.State == apitypes.ClaimUnresolved:
		g.opts.OnRepeatedKey(RepeatUnknown)
		a.fail(outcomeUnknown(c))
	default:
		g.opts.OnRepeatedKey(RepeatInProgress)
		a.fail(apierror.New(apierror.InProgress, "repeat the call with the same key later to get its outcome",
			"a call with this idempotency key is in progress").WithExecution(apierror.ExecutionUnknown))
	}
}

func outcomeUnknown(c apitypes.Claim) *apierror.Error {
	return apierror.New(apierror.OutcomeUnknown, "repeat the call with the same key later; it will not run again while its outcome is open",
		"the outcome of the call can't be told; its request id is %s", c.RequestID).WithExecution(apierror.ExecutionUnknown)
}

// releaseClaim records that nothing was sent, which allows another attempt.
func (g *Gateway) releaseClaim(ctx context.Context, c apitypes.Claim, a *answer, cause error) (bool, error) {
	stored := g.store(ctx, c, func(ctx context.Context) error { return g.opts.Claims.MarkNotRun(ctx, c) })
	g.opts.OnClaim(c.Team, apitypes.ClaimNotRun)
	if !stored {
		// The claim still stands, so another attempt could not be told from a repeated call.
		a.fail(apierror.New(apierror.Unavailable, "repeat the call with the same key later", "no endpoint could be reached"))
		return true, nil
	}
	return false, cause
}

// store writes the end of a claim and waits for it for a short time. It tells whether the write is in; otherwise it goes on
// in the background, and a drain waits for it.
func (g *Gateway) store(ctx context.Context, c apitypes.Claim, write func(context.Context) error) bool {
	g.hold()
	done := make(chan error, 1)
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	go func() {
		defer g.leave()
		defer cancel()
		defer g.removeAttempt(c.Attempt)
		err := write(background)
		if err != nil {
			g.opts.Log.Error().Str("request", c.RequestID).Err(err).Msg("claim left for reconciliation")
		}
		done <- err
	}()
	wait := time.NewTimer(storeWait)
	defer wait.Stop()
	select {
	case err := <-done:
		return err == nil
	case <-wait.C:
		return false
	}
}

// turnedAway tells whether a service that answered with a status of overload has not run the call and will not: the instance
// that the claim names, asked after its answer, does not know the request. A call has a connection of its own, so after the answer
// no copy of it can be on the way. A service that can't be asked, or another instance, proves nothing.
func (g *Gateway) turnedAway(ctx context.Context, c apitypes.Claim, choice *balancer.Choice, status int) bool {
	if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable || c.Instance == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	lookup, err := g.opts.Endpoints.Lookup(ctx, choice.Endpoint.Addr, c.RequestID)
	return err == nil && lookup.State == endpoint.LookupUnknown && lookup.Instance == c.Instance
}

// endNotRun ends the claim of a call that the service turned away, so that its key can be used again.
func (g *Gateway) endNotRun(ctx context.Context, s *serviceCall, c apitypes.Claim, a *answer, got *endpoint.ServiceAnswer) {
	g.store(ctx, c, func(ctx context.Context) error { return g.opts.Claims.MarkNotRun(ctx, c) })
	g.opts.OnClaim(c.Team, apitypes.ClaimNotRun)
	e := apierror.New(apierror.Overloaded, "repeat the call with the same key after the stated time",
		"an endpoint of pool %s turned the call away with status %d", s.pool.Name, got.Status)
	e.RetryAfterSeconds = 1
	if after, err := strconv.Atoi(got.Header.Get("Retry-After")); err == nil && after > 0 {
		e.RetryAfterSeconds = after
	}
	a.fail(e)
}

// finishClaim stores the outcome and answers the caller. Any other answer of a service is an outcome, whatever its status.
func (g *Gateway) finishClaim(ctx context.Context, s *serviceCall, c apitypes.Claim, a *answer, got *endpoint.ServiceAnswer) {
	outcome := claim.Outcome{Status: got.Status, ContentType: got.Header.Get("Content-Type"), Body: got.Body}
	g.store(ctx, c, func(ctx context.Context) error { return g.opts.Claims.MarkDone(ctx, c, outcome) })
	g.opts.OnClaim(c.Team, apitypes.ClaimDone)
	g.settleService(ctx, s, a, got)
}

// findOutcome asks the service what became of a call whose answer was lost. Until the service says that it is done the
// claim is unresolved: a service that does not know the call may still get it from the network.
func (g *Gateway) findOutcome(ctx context.Context, s *serviceCall, c apitypes.Claim, choice *balancer.Choice, a *answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeWait)
	defer cancel()
	for ctx.Err() == nil {
		lookup, err := g.opts.Endpoints.Lookup(ctx, choice.Endpoint.Addr, s.id)
		if err != nil || lookup.State == endpoint.LookupUnknown {
			break
		}
		if lookup.State == endpoint.LookupDone {
			g.finishClaim(ctx, s, c, a, lookedUp(lookup, s.id))
			return
		}
		select {
		case <-time.After(outcomePoll):
		case <-ctx.Done():
		}
	}
	g.store(ctx, c, func(ctx context.Context) error { return g.opts.Claims.MarkUnresolved(ctx, c) })
	g.opts.OnClaim(c.Team, apitypes.ClaimUnresolved)
	a.fail(outcomeUnknown(c))
}

// lookedUp returns the answer that a lookup found.
func lookedUp(l endpoint.Lookup, id string) *endpoint.ServiceAnswer {
	return &endpoint.ServiceAnswer{Status: l.Status, Header: http.Header{"Content-Type": {l.ContentType()}, requestIDHeader: {id}}, Body: []byte(l.Body)}
}
