package gateway

import (
	"context"
	"net/http"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/retry"
)

// endpointProbeTimeout limits requests that query the state of an endpoint, such as whether it crashed.
const endpointProbeTimeout = time.Second

// endpointFailed reports whether an error counts as a failure of the endpoint. A request that the endpoint refuses as invalid does
// not, because a caller's invalid requests would otherwise eject endpoints.
func endpointFailed(err error) bool {
	if e := endpoint.AsError(err); e != nil && e.Reason == endpoint.Refused {
		return retryableStatus(e.Status)
	}
	return err != nil
}

// maxSuspectTokens is the largest number of tokens that an engine may have sent for a request that crashed it because of a message: it
// crashes when it begins the answer.
const maxSuspectTokens = 1

// handleEngineFailure cleans up after a failed attempt at an engine: it records a crash, or cancels the request, which may still run.
// tokens is the number of tokens that the engine had sent.
func (g *Gateway) handleEngineFailure(ctx context.Context, c *call, choice *balancer.Choice, tokens int, err error) {
	e := endpoint.AsError(err)
	if e == nil || !e.MaybeSent {
		return
	}
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if e.SuggestsCrash() && g.hasCrashed(background, choice, c.id) {
		if tokens <= maxSuspectTokens {
			// The time of the crash tells the starts of an engine apart, since its start time isn't known here.
			g.opts.Parts.RecordCrash(c.sharedParts, retry.CrashKey(choice.Endpoint.Name, 0))
		}
		g.recordCrash(c, choice.Endpoint.Name)
		return
	}
	if e.Reason == endpoint.Refused {
		return
	}
	// The engine keeps running a request so that it can be resumed; cancel it because nothing will resume it.
	if err := g.opts.Endpoints.Cancel(background, choice.Endpoint.Addr, c.id); err != nil {
		g.opts.Log.Debug().Str("endpoint", choice.Endpoint.Name).Err(err).Msg("cancelling the request at the endpoint failed")
	}
}

// hasCrashed probes whether an endpoint has crashed since it was chosen. A broken connection alone may be a network failure.
func (g *Gateway) hasCrashed(ctx context.Context, choice *balancer.Choice, requestID string) bool {
	ctx, cancel := context.WithTimeout(ctx, endpointProbeTimeout)
	defer cancel()
	load, err := g.opts.Endpoints.Load(ctx, choice.Endpoint.Addr)
	if e := endpoint.AsError(err); e != nil {
		return e.Reason == endpoint.Unreachable || e.Reason == endpoint.Interrupted
	}
	if choice.Instance != "" && load.Instance != "" {
		return load.Instance != choice.Instance
	}
	// Without instance ids to compare, an endpoint that does not know the request has restarted.
	lookup, err := g.opts.Endpoints.Lookup(ctx, choice.Endpoint.Addr, requestID)
	return err == nil && lookup.State == endpoint.LookupUnknown
}

// recordCrash records that a request crashed an endpoint and notifies OnEndpointCrash.
func (g *Gateway) recordCrash(c *call, endpointName string) {
	blocked := g.opts.Quarantine.RecordCrash(c.fingerprint, endpointName)
	g.opts.OnEndpointCrash(c.fingerprint, endpointName)
	if blocked {
		g.opts.Log.Warn().Str("team", c.team).Str("endpoint", endpointName).Str("request", c.id).Msg("request quarantined")
	}
}

// requestError returns the error for a request that no attempt completed. begun is true when the caller has received a part of the
// answer; last is the error of the last attempt.
func (g *Gateway) requestError(c *call, last error, execution apierror.Execution, begun bool) *apierror.Error {
	if g.opts.Quarantine.Blocked(c.fingerprint) {
		return quarantinedError().WithExecution(execution)
	}
	if retryAfter, blocked := g.opts.Parts.BlockedFor(c.sharedParts); blocked && !begun {
		return quarantinedPartError(retryAfter).WithExecution(execution)
	}
	e := endpoint.AsError(last)
	switch {
	case begun:
		return apierror.New(apierror.AnswerIncomplete, "send the request again", "the answer could not be completed").WithExecution(execution)
	case e == nil:
		return apierror.From(last, execution).WithExecution(execution)
	case e.Reason == endpoint.Refused && e.Status == http.StatusTooManyRequests:
		return apierror.New(apierror.Overloaded, "retry later", "endpoints of pool %s are overloaded", c.pool.Name).WithExecution(execution)
	case e.Reason == endpoint.Refused && e.Status < http.StatusInternalServerError && e.Status != http.StatusConflict:
		return apierror.New(apierror.InvalidRequest, "change the request as the message says", "the engine refused the request: %s", e.Body).WithExecution(execution)
	case e.Reason == endpoint.Refused || e.Reason == endpoint.Unreachable:
		return apierror.New(apierror.Unavailable, "retry later", "no endpoint of pool %s accepted the request", c.pool.Name).WithExecution(execution)
	case e.Reason == endpoint.Invalid || e.Reason == endpoint.WrongRequest:
		return apierror.New(apierror.InvalidEndpointAnswer, "send the request again; if it persists, report the request id to the operators",
			"an endpoint of pool %s returned an invalid response", c.pool.Name).WithExecution(execution)
	}
	return apierror.New(apierror.AnswerIncomplete, "send the request again", "the answer could not be completed").WithExecution(execution)
}
