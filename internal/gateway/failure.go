package gateway

import (
	"context"
	"net/http"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/endpoint"
)

// probeTimeout bounds the question whether an endpoint has crashed.
const probeTimeout = time.Second

// endpointFailed tells whether an error counts against the endpoint. A request that an endpoint refuses as wrong does not,
// or one caller's bad requests would eject endpoints.
func endpointFailed(err error) bool {
	if e := endpoint.AsError(err); e != nil && e.Reason == endpoint.Refused {
		return retryableStatus(e.Status)
	}
	return err != nil
}

// afterFailure cleans up after a failed attempt at an engine: it records a death, or stops what may still run there.
func (g *Gateway) afterFailure(ctx context.Context, c *call, choice *balancer.Choice, err error) {
	e := endpoint.AsError(err)
	if e == nil || !e.MaybeSent {
		return
	}
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if e.SuggestsCrash() && g.hasDied(background, choice, c.id) {
		g.recordDeath(c, choice.Endpoint.Name)
		return
	}
	if e.Reason == endpoint.Refused {
		return
	}
	// The engine keeps a request for a resume, so without the call it would run on for nothing.
	if err := g.opts.Endpoints.Cancel(background, choice.Endpoint.Addr, c.id); err != nil {
		g.opts.Log.Debug().Str("endpoint", choice.Endpoint.Name).Err(err).Msg("request not cancelled")
	}
}

// hasDied tells whether an endpoint has crashed since it was chosen. A broken connection alone may be the network's fault.
func (g *Gateway) hasDied(ctx context.Context, choice *balancer.Choice, requestID string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := g.opts.Endpoints.Load(ctx, choice.Endpoint.Addr)
	if e := endpoint.AsError(err); e != nil {
		return e.Reason == endpoint.Unreachable || e.Reason == endpoint.Interrupted
	}
	if choice.Instance != "" && load.Instance != "" {
		return load.Instance != choice.Instance
	}
	// Without an instance to compare, an endpoint that has forgotten the request has restarted.
	lookup, err := g.opts.Endpoints.Lookup(ctx, choice.Endpoint.Addr, requestID)
	return err == nil && lookup.State == endpoint.LookupUnknown
}

func (g *Gateway) recordDeath(c *call, endpointName string) {
	blocked := g.opts.Quarantine.RecordCrash(c.fingerprint, endpointName)
	g.opts.OnEndpointDeath(c.fingerprint, endpointName)
	if blocked {
		g.opts.Log.Warn().Str("team", c.team).Str("endpoint", endpointName).Str("request", c.id).Msg("request quarantined")
	}
}

// failure describes a request that no attempt completed. Begun tells that the caller has a part of the answer.
func (g *Gateway) failure(c *call, last error, run apierror.Execution, begun bool) *apierror.Error {
	if g.opts.Quarantine.Blocked(c.fingerprint) {
		return quarantined().WithExecution(run)
	}
	e := endpoint.AsError(last)
	switch {
	case begun:
		return apierror.New(apierror.AnswerIncomplete, "send the request again", "the answer could not be completed").WithExecution(run)
	case e == nil:
		return apierror.From(last, run).WithExecution(run)
	case e.Reason == endpoint.Refused && e.Status == http.StatusTooManyRequests:
		return apierror.New(apierror.Overloaded, "retry later", "endpoints of pool %s are overloaded", c.pool.Name).WithExecution(run)
	case e.Reason == endpoint.Refused && e.Status < http.StatusInternalServerError && e.Status != http.StatusConflict:
		return apierror.New(apierror.InvalidRequest, "change the request as the message says", "the engine refused the request: %s", e.Body).WithExecution(run)
	case e.Reason == endpoint.Refused || e.Reason == endpoint.Unreachable:
		return apierror.New(apierror.Unavailable, "retry later", "no endpoint of pool %s took the request", c.pool.Name).WithExecution(run)
	case e.Reason == endpoint.Invalid || e.Reason == endpoint.WrongRequest:
		return apierror.New(apierror.InvalidEndpointAnswer, "send the request again; if it persists, report the request id to the operators",
			"an endpoint of pool %s gave an answer that is not valid", c.pool.Name).WithExecution(run)
	}
	return apierror.New(apierror.AnswerIncomplete, "send the request again", "the answer could not be completed").WithExecution(run)
}
