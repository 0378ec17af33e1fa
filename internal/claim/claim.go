// Package claim keeps idempotency records of non-idempotent requests on the platform, so that each runs at most once.
package claim

import (
	"context"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Outcome is the answer to a non-idempotent request.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claims is what the gateway needs of the package.
type Claims interface {
	// CreateClaim writes the claim of a first attempt before anything is sent. It returns the existing claim and false when the
	// key was claimed before, and an *apierror.Error with run state "not_run" when the platform can't be reached, the body
	// differs or the shard is full.
	CreateClaim(ctx context.Context, c apitypes.Claim) (existing apitypes.Claim, won bool, err error)
	// MarkDone stores the outcome of an attempt. It keeps trying until the platform accepts it or ctx ends.
	MarkDone(ctx context.Context, c apitypes.Claim, o Outcome) error
	// MarkNotRun records that nothing was sent, which allows a new attempt.
	MarkNotRun(ctx context.Context, c apitypes.Claim) error
	// MarkUnresolved records that the outcome of a dispatched attempt can't be told.
	MarkUnresolved(ctx context.Context, c apitypes.Claim) error
}
