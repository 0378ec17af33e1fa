// Package claim stores an idempotency record (a claim) for each non-idempotent request on the platform, so that the request runs at
// most once. A reconciler determines the outcome of claims whose gateway ended before it stored one.
package claim

import (
	"context"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Outcome is the service's response to a non-idempotent request. Repeated requests with the same key are answered with it. A claim
// holds the body only up to MaxBodyBytes.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
}

// ClaimStore is the interface through which the gateway reads and writes claims.
type ClaimStore interface {
	// CreateClaim writes the claim of an attempt before the request is sent to an endpoint. won is true when the attempt owns the key
	// and may send the request. When the key was claimed before, CreateClaim returns the existing claim and false. It returns an
	// *apierror.Error with run state "not_run" when the platform can't be reached, the request body differs from that of the
	// existing claim, or the shard is full.
	CreateClaim(ctx context.Context, c apitypes.Claim) (existing apitypes.Claim, won bool, err error)
	// MarkDone stores the outcome of an attempt. It retries until the platform accepts the outcome or ctx ends.
	MarkDone(ctx context.Context, c apitypes.Claim, o Outcome) error
	// MarkNotRun records that the attempt did not run, which allows a new attempt with the same key.
	MarkNotRun(ctx context.Context, c apitypes.Claim) error
	// MarkUnresolved records that the request may have run and that its outcome is unknown.
	MarkUnresolved(ctx context.Context, c apitypes.Claim) error
}
