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
	// serviceTokens is the work that admission counts for one call of a plain service.
	serviceTokens = 1
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
	place          balancer.Request
}

// serveService handles calls of plain services.
func (g *Gateway) serveService(ec echo.Context) error {
	if err := g.enter(); err != nil {
		return err
	}
	defer g.leave()
	s, err := g.prepareService(ec.Response(), ec.Request())
	if err != nil {
		return apierror.From(err, apierror.NotExecuted)
	}
	s.id = g.newID(s.team, servicePrefix, s.pool.Name)
	ec.Response().Header().Set(requestIDHeader, s.id)
	return g.launch(ec, s.call, s.idempotent, func(ctx context.Context, a *answer) { g.runService(ctx, s, a) })
}

// splitService returns the route and the rest of a service path, which keeps its escapes.
func splitService(u *url.URL) (route, rest string, ok bool) {
	escaped, ok := strings.CutPrefix(u.EscapedPath(), servicePrefix)
	if !ok {
		return "", "", false
	}
	name, rest, _ := strings.Cut(escaped, "/")
	route, err := url.PathUnescape(name)
	return route, "/" + rest, err == nil && route != ""
}

// prepareService authenticates and classifies a call of a plain service.
func (g *Gateway) prepareService(w http.ResponseWriter, r *http.Request) (*serviceCall, error) {
	if err := checkFraming(r); err != nil {
		return nil, err
	}
	name, rest, ok := splitService(r.URL)
	if !ok {
		return nil, apierror.New(apierror.NotFound, "call /svc/<route>/<path>", "the path names no route")
	}
	snapshot := g.opts.Config.Current()
	c, err := g.identify(r, snapshot.RouteOpen(name))
	if err != nil {
		return nil, err
	}
	route, err := c.findRoute(name)
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
		return nil, quarantined()
	}
	return s, nil
}

// findRoute returns the route if the team may call it.
func (c *call) findRoute(name string) (*apitypes.Route, error) {
	route := c.snapshot.Route(name)
	if route == nil {
		return nil, apierror.New(apierror.NotFound, "check the route's name", "route %s is not known", name)
	}
	allowed := c.snapshot.RouteOpen(name) || c.template != nil && slices.Contains(c.template.Routes, name)
	if !allowed {
		return nil, apierror.New(apierror.Forbidden, "ask an operator to add the route to the team's template", "team %s may not call route %s", c.team, name)
	}
	if c.pool = c.snapshot.Pool(route.Pool); c.pool == nil {
		return nil, apierror.New(apierror.NotFound, "ask an operator to create the pool", "pool %s of route %s does not exist", route.Pool, name)
	}
	return route, nil
}

// classify tells idempotent calls from those that may run once only.
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
		// Callers without a key share one team, so one could read another's outcome with its idempotency key.
		return apierror.New(apierror.Unauthenticated, "send a key", "method %s of route %s needs a key", r.Method, route.Name)
	}
	values := r.Header.Values(idempotencyHeader)
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxIdempotencyLength {
		return apierror.New(apierror.InvalidRequest, "send one Idempotency-Key header of at most 256 bytes, new for each piece of work",
			"method %s of route %s needs an idempotency key", r.Method, route.Name)
	}
	s.idempotencyKey = values[0]
	return nil
}

// setTarget sets what goes to the endpoint, without keys.
func (s *serviceCall) setTarget(r *http.Request, rest string) {
	s.header = scrubHeader(r.Header)
	s.header.Del(requestIDHeader)
	s.header.Del(deadlineHeader)
	s.body = scrubBody(r.Header.Get("Content-Type"), s.body)
	s.uri = scrubPath(rest)
	if query := scrubQuery(r.URL.RawQuery); query != "" {
		s.uri += "?" + query
	}
	s.place = balancer.Request{Pool: s.pool.Name, OnDemandOnly: !s.idempotent}
}

// request returns the call as the endpoint gets it.
func (s *serviceCall) request() endpoint.ServiceCall {
	return endpoint.ServiceCall{Method: s.method, URI: s.uri, Header: s.header, Body: s.body, RequestID: s.id, Idempotent: s.idempotent}
}

// runService admits and runs a call of a plain service.
func (g *Gateway) runService(ctx context.Context, s *serviceCall, a *answer) {
	ticket, err := g.admit(ctx, s.call, serviceTokens)
	if err != nil {
		a.fail(g.admissionError(ctx, err))
		return
	}
	defer ticket.Release(serviceTokens)
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	if s.idempotent {
		g.runIdempotent(ctx, s, a)
		return
	}
	g.runClaimed(ctx, s, a)
}

// runIdempotent tries a call on one endpoint after another within the retry budget.
func (g *Gateway) runIdempotent(ctx context.Context, s *serviceCall, a *answer) {
	run := apierror.NotExecuted
	var last error
	for try := 0; try < g.opts.MaxAttempts; try++ {
		if try > 0 && !g.mayRetry(s.call, last) {
			break
		}
		choice, err := g.choose(ctx, s.call, &s.place)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		got, err := g.opts.Endpoints.CallService(ctx, choice.Endpoint.Addr, s.request())
		choice.Done(balancer.Outcome{Failed: ctx.Err() == nil && (endpointFailed(err) || got != nil && retryableGatewayStatus(got.Status))})
		if err == nil && !(retryableGatewayStatus(got.Status) && try+1 < g.opts.MaxAttempts && g.opts.Budget.AllowRetry(s.pool.Name)) {
			g.settleService(ctx, s, a, got)
			return
		}
		if err == nil {
			err = &endpoint.Error{Addr: choice.Endpoint.Addr, Op: s.method, Reason: endpoint.Refused, MaybeSent: true, Status: got.Status}
		}
		last = err
		if e := endpoint.AsError(err); e == nil || e.MaybeSent {
			run = apierror.ExecutionUnknown
			g.noteServiceDeath(ctx, s, choice, e)
		}
		if ctx.Err() != nil {
			break
		}
		s.place.Exclude = append(s.place.Exclude, choice.Endpoint.Name)
	}
	if ctx.Err() != nil {
		a.fail(g.serviceTimeout(ctx, s, run))
		return
	}
	a.fail(g.failure(s.call, last, run, false))
}

// retryableGatewayStatus tells whether a service's answer means that another replica may do better.
func retryableGatewayStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable
}

// noteServiceDeath counts an endpoint that crashed under a call.
func (g *Gateway) noteServiceDeath(ctx context.Context, s *serviceCall, choice *balancer.Choice, e *endpoint.Error) {
	if e != nil && e.SuggestsCrash() && g.hasDied(context.WithoutCancel(ctx), choice, s.id) {
		g.recordDeath(s.call, choice.Endpoint.Name)
	}
}

func (g *Gateway) serviceTimeout(ctx context.Context, s *serviceCall, run apierror.Execution) *apierror.Error {
	if context.Cause(ctx) != context.DeadlineExceeded {
		return cancelledError(ctx, run)
	}
	return apierror.New(apierror.AnswerIncomplete, "retry later, or ask an operator to raise timeout_ms of the route",
		"route %s gave no answer within %s", s.route, s.timeout).WithExecution(run)
}

// settleService records usage and hands a service's answer to the caller.
func (g *Gateway) settleService(ctx context.Context, s *serviceCall, a *answer, got *endpoint.ServiceAnswer) {
	s.firstAt = time.Now()
	g.opts.Quarantine.Clear(s.fingerprint)
	g.recordUsage(ctx, s.call, endpoint.Usage{})
	header := got.Header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}
	a.settle(got.Status, header, got.Body)
}
