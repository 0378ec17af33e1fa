package ingress

import (
	"context"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/retry"
)

const (
	// revokeMargin is subtracted from Bounds.RevokeBound: a VM whose configuration was last confirmed longer ago than the difference
	// accepts no keys, because one of them may have been withdrawn.
	revokeMargin = 300 * time.Millisecond
	// timeoutMargin is how long before the route's time-out the final response is sent.
	timeoutMargin = 20 * time.Millisecond
	// defaultTimeout is the time limit of requests for which neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// startupGrace is how long after the start requests wait for the configuration and the endpoints to load, startupPollInterval how
	// often a request checks for them.
	startupGrace        = 400 * time.Millisecond
	startupPollInterval = 5 * time.Millisecond
	// retryAfterUnready is the Retry-After time while the configuration is missing or possibly outdated, retryAfterStopping that of a VM
	// that stops too soon to complete the request.
	retryAfterUnready  = 300 * time.Millisecond
	retryAfterStopping = 100 * time.Millisecond
)

// awaitReady delays requests that arrive while the VM starts, for at most startupGrace after the start. If the store responds, the
// endpoints are loaded within milliseconds; a refusal would delay the caller for longer.
func (s *Server) awaitReady(ctx context.Context) {
	for time.Since(s.started) < startupGrace {
		if s.Ready() || !ctxtime.Sleep(ctx, startupPollInterval) {
			return
		}
	}
}

// admitHead selects the route and the team, and returns the configuration, or an error with its Retry-After time if the request is
// refused. It accepts keys only while the configuration is recent enough to rule out that they were withdrawn. It doesn't use the body.
func (c *call) admitHead() (*catalog.Catalog, *apierror.Error, time.Duration) {
	cat := c.Catalog.Current()
	if cat == nil {
		return nil, apierror.New(apierror.Unavailable, "retry soon or use another address", "this VM has not loaded a configuration yet"), retryAfterUnready
	}
	age := c.configAge()
	c.route = cat.Match(c.r.Host, c.r.Path)
	if c.route == nil {
		refusal, retryAfter := c.denial(age, apierror.NotFound, "use a configured host and path", "no route matches the host and path")
		return nil, refusal, retryAfter
	}
	team, known := cat.TeamsByKey[c.r.Key]
	if cat.RequiresKeys && !c.route.AllowAnonymous {
		if !known {
			refusal, retryAfter := c.denial(age, apierror.Unauthenticated, "send a valid key", "the key is unknown")
			return nil, refusal, retryAfter
		}
		if age > c.Bounds().RevokeBound-revokeMargin {
			return nil, apierror.New(apierror.Unavailable, "retry at another address",
				"this VM can't confirm that the key is still in force (configuration confirmed %d ms ago)", age.Milliseconds()), time.Second
		}
	}
	c.team, c.priority, c.quota = team.Name, c.route.Priority, team.Quota
	if team.HasPriority {
		c.priority = team.Priority
	}
	if refusal := c.stopRefusal(); refusal != nil {
		return nil, refusal, retryAfterStopping
	}
	return cat, nil, 0
}

// admit performs the checks of admitHead and those that need the body, and selects the service.
func (c *call) admit() (*apierror.Error, time.Duration) {
	cat, refusal, retryAfter := c.admitHead()
	if refusal != nil {
		return refusal, retryAfter
	}
	c.service = c.route.PickService(c.nextPick())
	if refusal, retryAfter := c.takeUp(); refusal != nil {
		return refusal, retryAfter
	}
	c.deadline = c.r.Arrived.Add(c.timeLimit())
	c.fingerprint = retry.Fingerprint(c.team, c.route.Name+"\x00"+c.r.Target, c.r.Body)
	if c.Quarantine.Blocked(c.fingerprint) {
		return apierror.New(apierror.Unavailable, "don't send this request again", "the request crashed endpoints that ran it"), 0
	}
	if refusal, retryAfter := c.takeQuota(); refusal != nil {
		return refusal, retryAfter
	}
	if c.hasPrompt() {
		for _, id := range c.r.Prompt.SharedPartIDs() {
			c.sharedParts = append(c.sharedParts, retry.NewPart(c.service, id))
		}
	}
	admission := c.Parts.Admit(c.sharedParts)
	if !admission.OK {
		c.Observe.PartRefused(c.service)
		return errCrashingPart(), admission.RetryAfter
	}
	c.probesPart = admission.Probe
	c.objective = cat.MaxObjectiveByService[c.service]
	c.Budget.RecordFirstTry(c.service)
	return nil, 0
}

// errCrashingPart returns the error for a request whose prompt has a blocked part.
func errCrashingPart() *apierror.Error {
	return apierror.New(apierror.Unavailable, "leave out the part of the prompt that other requests shared before the failures, or retry later",
		"a part of the prompt crashed the engines that answered it")
}

// stopRefusal returns an error if this VM may stop before the request's time limit. The response would be cut off then, which doesn't
// tell the caller whether the request has run.
func (c *call) stopRefusal() *apierror.Error {
	if c.TimeToStop == nil {
		return nil
	}
	if left, stopping := c.TimeToStop(); stopping && c.timeLimit() > left {
		return apierror.New(apierror.Unavailable, "retry at another address", "this VM stops in %d ms", left.Milliseconds())
	}
	return nil
}

// denial returns the error for a request that the configuration does not allow. If the configuration may be outdated, it is an Unavailable
// error, because a newer configuration may allow the request.
func (c *call) denial(age time.Duration, kind apierror.Kind, remedy, message string) (*apierror.Error, time.Duration) {
	if age > c.Bounds().ApplyBound {
		return apierror.New(apierror.Unavailable, "retry soon or use another address",
			"%s, but this VM's configuration may be outdated (last confirmed %d ms ago)", message, age.Milliseconds()), retryAfterUnready
	}
	return apierror.New(kind, remedy, "%s", message), 0
}

// configAge returns the time since the configuration was last confirmed as the newest, or one hour if it never was.
func (c *call) configAge() time.Duration {
	at, ok := c.Catalog.ConfirmedAt()
	if !ok {
		return time.Hour
	}
	return bootclock.Since(at)
}

// timeLimit returns how long the request may take: the shorter of the caller's limit and the route's time-out less timeoutMargin.
func (c *call) timeLimit() time.Duration {
	caller, route := c.r.Timeout, c.route.Timeout-timeoutMargin
	switch {
	case c.route.Timeout <= 0 && caller <= 0:
		return defaultTimeout
	case c.route.Timeout <= 0:
		return caller
	case caller <= 0:
		return route
	}
	return min(caller, route)
}
