package gateway

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/retry"
)

const (
	servicePrefix        = "/svc/"
	idempotencyHeader    = "Idempotency-Key"
	maxIdempotencyLength = 256
	// serviceCallTokens is the number of tokens that admission counts for one plain-service call.
	serviceCallTokens = 1
)

var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// serviceCall is a call of a plain service.
type serviceCall struct {
	*call
	method         string
	uri            string
	header         http.Header
	idempotent     bool
	idempotencyKey string
	timeout        time.Duration
	placement      balancer.Request
}

// serveService handles plain-service calls.
func (g *Gateway) serveService(ec echo.Context) error {
	if err := g.beginRequest(); err != nil {
		return err
	}
	defer g.endPendingWork()
	s, err := g.prepareService(ec.Response(), ec.Request())
	if err != nil {
		return apierror.From(err, apierror.NotExecuted)
	}
	s.id = g.newID(s.team, servicePrefix, s.pool.Name)
	ec.Response().Header().Set(requestIDHeader, s.id)
	return g.startRequest(ec, s.call, s.idempotent, func(ctx context.Context, a *answer) { g.runService(ctx, s, a) })
}

// splitService returns the unescaped route name and the still escaped rest of a service path.
func splitService(u *url.URL) (route, rest string, ok bool) {
	escaped, ok := strings.CutPrefix(u.EscapedPath(), servicePrefix)
	if !ok {
		return "", "", false
	}
	name, rest, _ := strings.Cut(escaped, "/")
	route, err := url.PathUnescape(name)
	return route, "/" + rest, err == nil && route != ""
}

// prepareService authenticates, reads and validates a plain-service call.
func (g *Gateway) prepareService(w http.ResponseWriter, r *http.Request) (*serviceCall, error) {
	if err := checkFraming(r); err != nil {
		return nil, err
	}
	name, rest, ok := splitService(r.URL)
	if !ok {
		return nil, apierror.New(apierror.NotFound, "call /svc/<route>/<path>", "the path has no route name")
	}
	snapshot := g.opts.Config.Current()
	c, err := g.authenticate(r, snapshot.IsRouteOpen(name))
	if err != nil {
		return nil, err
	}
	route, err := c.authorizeRoute(name)
	if err != nil {
		return nil, err
	}
	c.setRoute(name)
	if err := c.setDeadline(r); err != nil {
		return nil, err
	}
	s := &serviceCall{call: c, method: r.Method, timeout: apitypes.DefaultRouteTimeout}
	if route.TimeoutMS > 0 {
		s.timeout = time.Duration(route.TimeoutMS) * time.Millisecond
	}
	if err := s.classify(r, route); err != nil {
		return nil, err
	}
	if err := g.readBody(c, w, r); err != nil {
		return nil, err
	}
	s.setTarget(r, rest)
	c.fingerprint = retry.Fingerprint(c.team, r.Method+" "+name+s.uri, c.body)
	if g.opts.Quarantine.Blocked(c.fingerprint) {
		c.releaseBody()
		return nil, quarantinedError()
	}
	return s, nil
}

// authorizeRoute returns the route if the team may call it.
func (c *call) authorizeRoute(name string) (*apitypes.Route, error) {
	route := c.snapshot.Route(name)
	if route == nil {
		return nil, apierror.New(apierror.NotFound, "check the route's name", "route %s is not known", name)
	}
	allowed := c.snapshot.IsRouteOpen(name) || c.template != nil && slices.Contains(c.template.Routes, name)
	if !allowed {
		return nil, apierror.New(apierror.Forbidden, "ask an operator to add the route to the team's template", "team %s may not call route %s", c.team, name)
	}
	if c.pool = c.snapshot.Pool(route.Pool); c.pool == nil {
		return nil, apierror.New(apierror.NotFound, "ask an operator to create the pool", "pool %s of route %s does not exist", route.Pool, name)
	}
	return route, nil
}

// classify sets whether the call is idempotent. A call that is not must have a key and an idempotency key.
func (s *serviceCall) classify(r *http.Request, route *apitypes.Route) error {
	methods := route.IdempotentMethods
	if len(methods) == 0 {
		methods = defaultIdempotentMethods
	}
	s.idempotent = slices.Contains(methods, r.Method)
	if s.idempotent {
		return nil
	}
	if s.keyHash == "" {
		// Callers without a key share one team, so a caller could read another's outcome by using the same idempotency key.
		return apierror.New(apierror.Unauthenticated, "send a key in the Authorization header", "method %s of route %s requires a key", r.Method, route.Name)
	}
	values := r.Header.Values(idempotencyHeader)
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxIdempotencyLength {
		return apierror.New(apierror.InvalidRequest, "send one Idempotency-Key header of at most 256 bytes, unique to each operation",
			"method %s of route %s requires an idempotency key", r.Method, route.Name)
	}
	s.idempotencyKey = values[0]
	return nil
}

// setTarget sets the URI, header and body for the endpoint, with credentials removed.
func (s *serviceCall) setTarget(r *http.Request, rest string) {
	s.header = scrubHeader(r.Header)
	s.header.Del(requestIDHeader)
	s.header.Del(deadlineHeader)
	s.body = scrubBody(r.Header.Get("Content-Type"), s.body)
	s.uri = scrubPath(rest)
	if query := scrubQuery(r.URL.RawQuery); query != "" {
		s.uri += "?" + query
	}
	s.placement = balancer.Request{Pool: s.pool.Name, OnDemandOnly: !s.idempotent}
}

// endpointRequest returns the request for the endpoint.
func (s *serviceCall) endpointRequest() endpoint.ServiceCall {
	return endpoint.ServiceCall{Method: s.method, URI: s.uri, Header: s.header, Body: s.body, RequestID: s.id, Idempotent: s.idempotent}
}

// runService admits and runs a plain-service call.
func (g *Gateway) runService(ctx context.Context, s *serviceCall, a *answer) {
	ticket, err := g.admit(ctx, s.call, serviceCallTokens)
	if err != nil {
		a.fail(g.admissionError(ctx, err))
		return
	}
	defer ticket.Release(serviceCallTokens)
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	if s.idempotent {
		g.runIdempotent(ctx, s, a)
		return
	}
	g.runClaimed(ctx, s, a)
}

// runIdempotent runs a call and retries it on other endpoints within the retry budget.
func (g *Gateway) runIdempotent(ctx context.Context, s *serviceCall, a *answer) {
	execution := apierror.NotExecuted
	var last error
	for try := 0; try < g.opts.MaxAttempts; try++ {
		if try > 0 && !g.mayRetry(s.call, last) {
			break
		}
		choice, err := g.chooseEndpoint(ctx, s.call, &s.placement)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		response, err := g.opts.Endpoints.CallService(ctx, choice.Endpoint.Addr, s.endpointRequest())
		choice.Done(balancer.Outcome{Failed: ctx.Err() == nil && (endpointFailed(err) || response != nil && retryableServiceStatus(response.Status)),
			Pause: endpoint.PauseOf(response, err)})
		if err == nil && !(retryableServiceStatus(response.Status) && try+1 < g.opts.MaxAttempts && g.opts.Budget.AllowRetry(s.pool.Name)) {
			g.completeServiceCall(ctx, s, a, response)
			return
		}
		if err == nil {
			err = &endpoint.Error{Addr: choice.Endpoint.Addr, Op: s.method, Reason: endpoint.Refused, MaybeSent: true, Status: response.Status}
		}
		last = err
		if e := endpoint.AsError(err); e == nil || e.MaybeSent {
			execution = apierror.ExecutionUnknown
			g.recordServiceCrash(ctx, s, choice, e)
		}
		if ctx.Err() != nil {
			break
		}
		s.placement.Exclude = append(s.placement.Exclude, choice.Endpoint.Name)
	}
	if ctx.Err() != nil {
		a.fail(g.serviceContextError(ctx, s, execution))
		return
	}
	a.fail(g.requestError(s.call, last, execution, false))
}

// retryableServiceStatus reports whether another replica may succeed after a service responded with this status.
func retryableServiceStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable
}

// recordServiceCrash records a crash when the error suggests one and a probe confirms it.
func (g *Gateway) recordServiceCrash(ctx context.Context, s *serviceCall, choice *balancer.Choice, e *endpoint.Error) {
	if e != nil && e.SuggestsCrash() && g.hasCrashed(context.WithoutCancel(ctx), choice, s.id) {
		g.recordCrash(s.call, choice.Endpoint.Name)
	}
}

// serviceContextError returns the error for a call whose context ended: a timeout of the route or a cancellation.
func (g *Gateway) serviceContextError(ctx context.Context, s *serviceCall, execution apierror.Execution) *apierror.Error {
	if context.Cause(ctx) != context.DeadlineExceeded {
		return cancelledError(ctx, execution)
	}
	return apierror.New(apierror.AnswerIncomplete, "retry later, or ask an operator to raise timeout_ms of the route",
		"route %s did not respond within %s", s.route, s.timeout).WithExecution(execution)
}

// completeServiceCall records usage and sets the service's response as the caller's answer.
func (g *Gateway) completeServiceCall(ctx context.Context, s *serviceCall, a *answer, response *endpoint.ServiceAnswer) {
	s.firstByteAt = time.Now()
	g.opts.Quarantine.Clear(s.fingerprint)
	g.recordUsage(ctx, s.call, endpoint.Usage{})
	header := response.Header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}
	a.completeResponse(response.Status, header, response.Body)
}
