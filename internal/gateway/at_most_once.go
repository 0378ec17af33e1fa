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
	// outcomeStoreTimeout limits the time to store an outcome. It is long because an outcome that is not stored must be reconciled.
	outcomeStoreTimeout = 10 * time.Minute
	// outcomeStoreWait is how long an answer waits for its outcome to be stored. Storing continues in the background after that.
	outcomeStoreWait = 2 * time.Second
	// outcomeLookupTimeout limits the time spent on looking up the outcome of a call whose response was lost.
	outcomeLookupTimeout = 5 * time.Second
	// outcomePollInterval is the time between two lookups.
	outcomePollInterval = 100 * time.Millisecond
)

// RepeatedKeyAnswer is the kind of answer to a call with a repeated idempotency key.
type RepeatedKeyAnswer string

const (
	// RepeatStored: the stored outcome was returned.
	RepeatStored RepeatedKeyAnswer = "stored"
	// RepeatInProgress: the call is still in progress.
	RepeatInProgress RepeatedKeyAnswer = "in_progress"
	// RepeatUnknown: the outcome of the call is unknown.
	RepeatUnknown RepeatedKeyAnswer = "unknown"
)

// replayHeader marks a response that was replayed from the stored outcome of an earlier call.
const replayHeader = "Idempotent-Replayed"

// newClaim returns the claim for one attempt at an endpoint.
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

// fetchInstance returns the instance id of an endpoint that has sent no load report yet; empty when the endpoint does not return one.
// Reconciliation needs the instance: without it, an endpoint that does not know the request is no evidence that the call did not
// run, and the claim of a killed gateway stays unresolved.
func (g *Gateway) fetchInstance(ctx context.Context, choice *balancer.Choice) string {
	ctx, cancel := context.WithTimeout(ctx, endpointProbeTimeout)
	defer cancel()
	load, err := g.opts.Endpoints.Load(ctx, choice.Endpoint.Addr)
	if err != nil {
		return "" // The service may not report load; the call itself shows whether it is reachable.
	}
	return load.Instance
}

// hashParts returns a SHA-256 hash of the parts in hexadecimal. Each part is hashed first, so that parts can't run into each other.
func hashParts(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256([]byte(p))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// runClaimed runs a call at most once. It tries another endpoint only when no byte was sent to the previous one.
func (g *Gateway) runClaimed(ctx context.Context, s *serviceCall, a *answer) {
	var last error
	for try := 0; try < g.opts.MaxAttempts; try++ {
		choice, err := g.chooseEndpoint(ctx, s.call, &s.placement)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		// The key may have been withdrawn while the call waited for admission or an endpoint. A dispatched call runs to completion.
		if isKeyWithdrawn(g.opts.Config.Current(), s.keyHash) {
			choice.Done(balancer.Outcome{})
			a.fail(apierror.New(apierror.KeyWithdrawn, "ask an operator for a new key", "the key was withdrawn before the call was sent"))
			return
		}
		done, err := g.attemptClaimed(ctx, s, choice, a)
		if done {
			return
		}
		last = err
		s.placement.Exclude = append(s.placement.Exclude, choice.Endpoint.Name)
	}
	a.fail(g.requestError(s.call, last, apierror.NotExecuted, false))
}

// attemptClaimed writes the claim and dispatches the call. It returns false and the error when nothing was sent and the claim is
// released; otherwise it has finished the answer.
func (g *Gateway) attemptClaimed(ctx context.Context, s *serviceCall, choice *balancer.Choice, a *answer) (bool, error) {
	c := g.newClaim(s, choice)
	if c.Instance == "" {
		c.Instance = g.fetchInstance(ctx, choice)
	}
	sendBefore := time.Now().Add(g.opts.DispatchTimeout)
	g.addClaimAttempt(c.Attempt)
	existing, won, err := g.opts.Claims.CreateClaim(ctx, c)
	if err != nil || !won {
		g.removeClaimAttempt(c.Attempt)
		choice.Done(balancer.Outcome{})
		if err != nil {
			a.fail(apierror.From(err, apierror.NotExecuted))
			return true, nil
		}
		g.replayClaim(existing, a)
		return true, nil
	}
	request := s.endpointRequest()
	request.SendBefore = sendBefore
	response, err := g.opts.Endpoints.CallService(ctx, choice.Endpoint.Addr, request)
	choice.Done(balancer.Outcome{Failed: endpointFailed(err), Pause: endpoint.PauseOf(response, err)})
	e := endpoint.AsError(err)
	switch {
	case err == nil && g.refusedWithoutExecution(ctx, c, choice, response.Status):
		g.endRefusedCall(ctx, s, c, a, response)
		return true, nil
	case err == nil:
		g.finishClaim(ctx, s, c, a, response)
		return true, nil
	case e != nil && !e.MaybeSent:
		return g.releaseClaim(ctx, c, a, err)
	}
	g.recordServiceCrash(ctx, s, choice, e)
	g.lookUpOutcome(ctx, s, c, choice, a)
	return true, nil
}

// replayClaim answers a call with a repeated idempotency key from the existing claim.
func (g *Gateway) replayClaim(c apitypes.Claim, a *answer) {
	switch {
	case c.State == apitypes.ClaimDone && c.BodyKept:
		g.opts.OnRepeatedKey(RepeatStored)
		a.completeResponse(c.Status, http.Header{"Content-Type": {c.ContentType}, replayHeader: {"true"}}, c.Body)
	case c.State == apitypes.ClaimDone:
		g.opts.OnRepeatedKey(RepeatStored)
		note := []byte(`{"note":"the call ran before with this status; its body was not kept"}`)
		a.completeResponse(c.Status, http.Header{"Content-Type": {jsonType}, replayHeader: {"true"}, "Idempotent-Body-Kept": {"false"}}, note)
	case c.State == apitypes.ClaimUnresolved:
		g.opts.OnRepeatedKey(RepeatUnknown)
		a.fail(outcomeUnknownError(c))
	default:
		g.opts.OnRepeatedKey(RepeatInProgress)
		a.fail(apierror.New(apierror.InProgress, "repeat the call with the same key later to get its outcome",
			"a call with this idempotency key is in progress").WithExecution(apierror.ExecutionUnknown))
	}
}

func outcomeUnknownError(c apitypes.Claim) *apierror.Error {
	return apierror.New(apierror.OutcomeUnknown, "repeat the call with the same key later; it will not run again while its outcome is unknown",
		"the outcome of the call is unknown; its request id is %s", c.RequestID).WithExecution(apierror.ExecutionUnknown)
}

// releaseClaim records that nothing was sent, which allows another attempt. It returns true when the record could not be stored and
// the answer has failed.
func (g *Gateway) releaseClaim(ctx context.Context, c apitypes.Claim, a *answer, cause error) (bool, error) {
	stored := g.storeClaimEnd(ctx, c, func(ctx context.Context) error { return g.opts.Claims.MarkNotRun(ctx, c) })
	g.opts.OnClaim(c.Team, apitypes.ClaimNotRun)
	if !stored {
		// The claim is still in force, so another attempt would be treated as a repeated call.
		a.fail(apierror.New(apierror.Unavailable, "repeat the call with the same key later", "no endpoint could be reached"))
		return true, nil
	}
	return false, cause
}

// storeClaimEnd writes the final state of a claim and waits up to outcomeStoreWait for it. It returns whether the write succeeded by
// then. A write that takes longer continues in the background, and a drain waits for it.
func (g *Gateway) storeClaimEnd(ctx context.Context, c apitypes.Claim, write func(context.Context) error) bool {
	g.addPendingWork()
	done := make(chan error, 1)
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeStoreTimeout)
	go func() {
		defer g.endPendingWork()
		defer cancel()
		defer g.removeClaimAttempt(c.Attempt)
		err := write(background)
		if err != nil {
			g.opts.Log.Error().Str("request", c.RequestID).Err(err).Msg("storing claim state failed; claim must be reconciled")
		}
		done <- err
	}()
	wait := time.NewTimer(outcomeStoreWait)
	defer wait.Stop()
	select {
	case err := <-done:
		return err == nil
	case <-wait.C:
		return false
	}
}

// refusedWithoutExecution reports whether a service that responded with an overload status (429 or 503) has not run the call and never
// will: a lookup after the response shows that the instance named in the claim does not know the request. Each call has its own
// connection, so no copy of it can be in transit after the response. It returns false when the lookup fails or another instance
// responds.
func (g *Gateway) refusedWithoutExecution(ctx context.Context, c apitypes.Claim, choice *balancer.Choice, status int) bool {
	if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable || c.Instance == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endpointProbeTimeout)
	defer cancel()
	lookup, err := g.opts.Endpoints.Lookup(ctx, choice.Endpoint.Addr, c.RequestID)
	return err == nil && lookup.State == endpoint.LookupUnknown && lookup.Instance == c.Instance
}

// endRefusedCall releases the claim of a call that the service refused without running it, so that its idempotency key can be used
// again.
func (g *Gateway) endRefusedCall(ctx context.Context, s *serviceCall, c apitypes.Claim, a *answer, response *endpoint.ServiceAnswer) {
	g.storeClaimEnd(ctx, c, func(ctx context.Context) error { return g.opts.Claims.MarkNotRun(ctx, c) })
	g.opts.OnClaim(c.Team, apitypes.ClaimNotRun)
	e := apierror.New(apierror.Overloaded, "repeat the call with the same key after the stated time",
		"an endpoint of pool %s refused the call with status %d", s.pool.Name, response.Status)
	e.RetryAfterSeconds = 1
	if after, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && after > 0 {
		e.RetryAfterSeconds = after
	}
	a.fail(e)
}

// finishClaim stores the service's response as the outcome and sends it to the caller. Except for calls refused without execution,
// every response is an outcome, whatever its status.
func (g *Gateway) finishClaim(ctx context.Context, s *serviceCall, c apitypes.Claim, a *answer, response *endpoint.ServiceAnswer) {
	outcome := claim.Outcome{Status: response.Status, ContentType: response.Header.Get("Content-Type"), Body: response.Body}
	g.storeClaimEnd(ctx, c, func(ctx context.Context) error { return g.opts.Claims.MarkDone(ctx, c, outcome) })
	g.opts.OnClaim(c.Team, apitypes.ClaimDone)
	g.completeServiceCall(ctx, s, a, response)
}

// lookUpOutcome looks up the outcome of a call whose response was lost. Unless the service reports the call as done, the claim becomes
// unresolved: a service that does not know the call may still receive it from the network.
func (g *Gateway) lookUpOutcome(ctx context.Context, s *serviceCall, c apitypes.Claim, choice *balancer.Choice, a *answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeLookupTimeout)
	defer cancel()
	for ctx.Err() == nil {
		lookup, err := g.opts.Endpoints.Lookup(ctx, choice.Endpoint.Addr, s.id)
		if err != nil || lookup.State == endpoint.LookupUnknown {
			break
		}
		if lookup.State == endpoint.LookupDone {
			g.finishClaim(ctx, s, c, a, responseFromLookup(lookup, s.id))
			return
		}
		select {
		case <-time.After(outcomePollInterval):
		case <-ctx.Done():
		}
	}
	g.storeClaimEnd(ctx, c, func(ctx context.Context) error { return g.opts.Claims.MarkUnresolved(ctx, c) })
	g.opts.OnClaim(c.Team, apitypes.ClaimUnresolved)
	a.fail(outcomeUnknownError(c))
}

// responseFromLookup returns the service's response as reported by a lookup.
func responseFromLookup(l endpoint.Lookup, id string) *endpoint.ServiceAnswer {
	return &endpoint.ServiceAnswer{Status: l.Status, Header: http.Header{"Content-Type": {l.ContentType()}, requestIDHeader: {id}}, Body: []byte(l.Body)}
}
