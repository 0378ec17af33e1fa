// Package balancer chooses the endpoint of a request from load reports and cache events that are delayed and may be incomplete.
package balancer

import (
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/continuation"
)

// Request holds the properties of a request that determine which endpoints can serve it and how fast.
type Request struct {
	Pool         string
	PromptTokens int
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
	// Prefix holds the hashes of the prompt's blocks, from the start of the prompt.
	Prefix []uint64
	// OnDemandOnly excludes reclaimable endpoints; set for non-idempotent requests.
	OnDemandOnly bool
	// Version and Adapter, when not empty, require a version of the model and a loaded adapter.
	Version string
	Adapter string
	// Origin is what began the request's stream, which can go on only at endpoints that it allows.
	Origin continuation.Origin
	// Exclude names endpoints that must not be chosen, such as those that failed this request.
	Exclude []string
	// SuspectFingerprint is the fingerprint of a suspect, a request that was in progress at an endpoint when it crashed; 0 for other requests.
	// Suspects run at different endpoints where possible.
	SuspectFingerprint uint64

	isolation    isolationLevel
	isolatedOnly bool
}

// TokensPerBlock is the number of prompt tokens in one prefix block.
const TokensPerBlock = 16

// Endpoint is an endpoint with its last reported load.
type Endpoint struct {
	apitypes.Endpoint
	Load apitypes.Load
	// NoNewWork is true while the endpoint must not get requests because it drains, changes, is cleaned or leaves.
	NoNewWork bool
	// ReportedAt is the local time at which Load was valid: the time of arrival minus the age of the report.
	ReportedAt time.Time
}

// Choice is the endpoint chosen for a request. Done must be called when the request has left the endpoint.
type Choice struct {
	Endpoint apitypes.Endpoint
	Instance string
	// SoftwareVersion is the version of the endpoint's software; empty if unknown.
	SoftwareVersion string
	// PredictedFirstTokenTime is the predicted time to the first token.
	PredictedFirstTokenTime time.Duration
	// CachedTokens is the expected number of prompt tokens in the endpoint's prefix cache.
	CachedTokens int

	balancer           *Balancer
	state              *endpointState
	work               work
	suspectFingerprint uint64
	probe              bool
	inPrefill          bool // true until the first token or Done
	finished           bool
}

// Outcome is the result of a request at an endpoint.
type Outcome struct {
	// Failed is true when the endpoint refused or failed the request or broke off its response.
	Failed bool
	// Pause is how long the endpoint wants nothing from this gateway. A refusal with a pause is no failure.
	Pause time.Duration
	// TimeToFirstToken is the time from the dispatch to the first token; 0 when there was none.
	TimeToFirstToken time.Duration
	OutputTokens     int
}

// Done records that the request has left the endpoint. Later calls have no effect.
func (c *Choice) Done(o Outcome) {
	if c.balancer != nil {
		c.balancer.finish(c, o)
	}
}

// RecordFirstToken records that prefill has ended and decoding has begun.
func (c *Choice) RecordFirstToken() {
	if c.balancer != nil {
		c.balancer.recordFirstToken(c)
	}
}
