package ingress

import (
	"context"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/continuation"
	"crocusglade.example/crocusglade/internal/placement"
)

// Streams knows where streams that callers take up began. continuation.Tracker implements it.
type Streams interface {
	// Begin records a stream before the caller gets its first event. severalServices is true if the route has several services.
	Begin(s continuation.Stream, severalServices bool)
	// Known returns the origin of a stream as far as this VM knows it by itself.
	Known(k continuation.Key) (continuation.Origin, bool)
	// TakeUp returns the origin of a stream, and false if it isn't known. service is empty if the route has several.
	TakeUp(ctx context.Context, service string, k continuation.Key) (continuation.Origin, bool)
}

// remedyBeginAgain is for callers whose stream can't go on.
const remedyBeginAgain = "send the request again without the id of the last event, to begin a new stream"

// answersWithStream reports whether the response is a stream of events, or one to a prompt.
func (c *call) answersWithStream() bool { return c.route.Semantics == catalog.Stream || c.hasPrompt() }

// streamKey returns the key of the request's stream: that of the request that began it, if the caller takes it up.
func (c *call) streamKey() continuation.Key {
	if c.r.ResumeAfter != "" {
		return continuation.NewKey(c.team, c.r.Resumes)
	}
	return continuation.NewKey(c.team, c.r.ID)
}

// takeUp sets the origin and the service of a stream that the caller takes up, or returns the error of one whose origin isn't known.
func (c *call) takeUp() (*apierror.Error, time.Duration) {
	if c.r.ResumeAfter == "" || !c.answersWithStream() {
		return nil, 0
	}
	service := ""
	if len(c.route.WeightedServices) == 1 {
		service = c.route.WeightedServices[0].Service
	}
	origin, known := c.Streams.TakeUp(c.ctx, service, c.streamKey())
	switch {
	case !known:
		return apierror.New(apierror.Unavailable, remedyBeginAgain, "it isn't known which software version began the stream"), 0
	case !c.route.HasService(origin.Service):
		return apierror.New(apierror.Unavailable, remedyBeginAgain, "the route no longer has the service that began the stream"), 0
	}
	c.service, c.origin = origin.Service, origin
	return nil, 0
}

// begin records that the current endpoint begins the stream, or that the stream goes on there.
func (c *call) begin(e *catalog.Endpoint) {
	if !c.origin.HasBegun() {
		c.origin = continuation.Begun(e.Service, e.SoftwareVersion)
	}
	c.Streams.Begin(continuation.Stream{Key: c.streamKey(), Service: c.origin.Service, Version: c.origin.Version, Endpoint: e.ID, StartedAtMS: e.StartedAtMS},
		len(c.route.WeightedServices) > 1)
}

// filter returns the endpoints that may be selected for the request now.
func (c *call) filter() placement.Filter {
	if c.origin.HasBegun() {
		// A restart of the endpoint that began the stream makes the version unknown.
		if origin, known := c.Streams.Known(c.streamKey()); known {
			c.origin = origin
		}
	}
	return placement.Filter{Excluded: c.excluded, Origin: c.origin}
}

// cannotGoOn reports whether no endpoint is left at which the stream that the caller takes up may go on.
func (c *call) cannotGoOn() bool { return c.origin.HasBegun() && !c.Fleet.MayGoOn(c.origin) }
