// Package balancer chooses the endpoint of a request from late and partial knowledge.
package balancer

import (
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Request describes what has to be known of a request to place it.
type Request struct {
	Pool         string
	PromptTokens int
	// OutputTokens is the expected output.
	OutputTokens int
	// Prefix holds the hashes of the prompt's blocks, from the start of the prompt.
	Prefix []uint64
	// OnDemandOnly excludes reclaimable endpoints; set for non-idempotent requests.
	OnDemandOnly bool
	// Version, when not empty, requires a version of the model. Adapter requires a loaded adapter.
	Version string
	Adapter string
	// Exclude names endpoints that must not be chosen, such as those that failed this request.
	Exclude []string
	// SuspectFingerprint is the fingerprint of a request under which an endpoint died; 0 for others. Suspects are kept apart while other
	// endpoints can take them.
	SuspectFingerprint uint64

	apart     apartness
	onlyApart bool
}

// BlockTokens is the number of prompt tokens in one prefix block.
const BlockTokens = 16

// Endpoint is what the balancer knows of an endpoint.
type Endpoint struct {
	apitypes.Endpoint
	Load apitypes.Load
	// NoNewWork excludes the endpoint: it drains, changes, is cleaned or leaves.
	NoNewWork bool
	// ReportedAt is the local time for which Load holds, that is arrival minus age.
	ReportedAt time.Time
}

// Choice is a chosen endpoint. Done must be called once when the request has left the endpoint.
type Choice struct {
	Endpoint apitypes.Endpoint
	Instance string
	// PredictedFirstTokenTime is the predicted time to the first token.
	PredictedFirstTokenTime time.Duration
	// CachedTokens is the expected number of prompt tokens in the endpoint's prefix cache.
	CachedTokens int

	balancer *Balancer
	state    *endpointState
	work     work
	suspect  uint64
	probe    bool
	prefill  bool // true until the first token or the end
	finished bool
}

// Outcome is what became of a request at an endpoint.
type Outcome struct {
	// Failed is true when the endpoint refused, failed or cut the request.
	Failed bool
	// TimeToFirstToken is the time from sending to the first token; 0 when there was none.
	TimeToFirstToken time.Duration
	OutputTokens     int
}

// Done reports that the request has left the endpoint. Later calls have no effect.
func (c *Choice) Done(o Outcome) {
	if c.balancer != nil {
		c.balancer.finish(c, o)
	}
}

// RecordFirstToken reports that prefill has ended and decoding has begun.
func (c *Choice) RecordFirstToken() {
	if c.balancer != nil {
		c.balancer.firstToken(c)
	}
}
