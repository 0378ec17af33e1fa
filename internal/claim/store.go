package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// MaxBodyBytes is the largest body that an outcome keeps.
	MaxBodyBytes = 4 << 10
	// DefaultRetention is how long a claim is kept after its outcome.
	DefaultRetention = 24 * time.Hour
	// DefaultBeginTimeout bounds the wait for a claim before the request is refused as not run.
	DefaultBeginTimeout = 3 * time.Second
	// callTimeout bounds one call of the platform.
	callTimeout = 2 * time.Second
)

// ErrSuperseded is returned when the claim has been taken over or resolved by someone else.
var ErrSuperseded = errors.New("claim: another attempt or an operator has changed the claim; read it again")

// Options sets up a Store. All fields but Platform are optional.
type Options struct {
	Platform     objectstore.Store
	Retention    time.Duration
	BeginTimeout time.Duration
	Log          zerolog.Logger
	// OnShardWrite, when not nil, is called with the number of operations in each write of a shard.
	OnShardWrite func(operations int)
	// Now is the clock for retention.
	Now func() time.Time
}

// Store keeps claims on the platform. Its methods may be called concurrently.
type Store struct {
	opts   Options
	shards [apitypes.ClaimShards]*shard

	mu      sync.Mutex
	pending int           // attempts that still have to be marked not_run
	settled chan struct{} // closed while pending is 0
}

var _ Claims = (*Store)(nil)

// NewStore returns a store of claims.
func NewStore(o Options) *Store {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.BeginTimeout == 0 {
		o.BeginTimeout = DefaultBeginTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnShardWrite == nil {
		o.OnShardWrite = func(int) {}
	}
	s := &Store{opts: o, settled: make(chan struct{})}
	close(s.settled)
	for i := range s.shards {
		s.shards[i] = &shard{name: fmt.Sprintf("%03d", i), opts: &s.opts}
	}
	return s
}

func (s *Store) shardOf(key string) *shard {
	return s.shards[xxhash.Sum64String(key)%apitypes.ClaimShards]
}

// CreateClaim implements Claims. A refusal is true in any case: a claim whose write may still take effect is marked not_run in the
// background, and the caller sends nothing without a won claim.
func (s *Store) CreateClaim(ctx context.Context, c apitypes.Claim) (apitypes.Claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.BeginTimeout)
	defer cancel()
	b := &beginning{claim: c}
	b.claim.State = apitypes.ClaimClaimed
	err := s.shardOf(c.Key).do(ctx, &operation{apply: b.apply, adds: true})
	switch {
	case errors.Is(err, errFull):
		return apitypes.Claim{}, false, apierror.New(apierror.Overloaded, "repeat the call with the same key later", "the store of claims is full")
	case err != nil:
		s.disown(b.claim)
		return apitypes.Claim{}, false, apierror.New(apierror.Unavailable, "repeat the call with the same key later",
			"the platform can't take the claim of this call, so it was not sent")
	case b.mismatch:
		return apitypes.Claim{}, false, apierror.New(apierror.IdempotencyMismatch, "use a new key for other work", "the idempotency key was used with another request")
	}
	return b.existing, b.won, nil
}

// beginning is the first write of an attempt.
type beginning struct {
	claim    apitypes.Claim
	existing apitypes.Claim
	won      bool
	mismatch bool
}

// apply decides who owns the key. It is repeated after a lost answer: a claim with the own attempt id was written by it.
func (b *beginning) apply(claims map[string]apitypes.Claim, now time.Time) (changed bool) {
	b.existing, b.won, b.mismatch = apitypes.Claim{}, false, false
	existing, found := claims[b.claim.Key]
	switch {
	case found && existing.Attempt == b.claim.Attempt:
		b.won = existing.State == apitypes.ClaimClaimed
		b.existing = existing
		return false
	case found && existing.BodyHash != b.claim.BodyHash:
		b.mismatch = true
		return false
	case found && existing.State != apitypes.ClaimNotRun:
		b.existing = existing
		return false
	}
	b.claim.UpdatedAt = now.UnixMilli()
	claims[b.claim.Key] = b.claim
	b.won = true
	return true
}

// disown marks an attempt not_run once the platform is back.
func (s *Store) disown(c apitypes.Claim) {
	s.mu.Lock()
	if s.pending == 0 {
		s.settled = make(chan struct{})
	}
	s.pending++
	s.mu.Unlock()
	go func() {
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pending--
			if s.pending == 0 {
				close(s.settled)
			}
		}()
		// The write that was given up may arrive late. A newer version of the shard rules that out, so the shard is
		// written even when it does not hold the attempt.
		mark := change(c, apitypes.ClaimNotRun, nil)
		err := s.shardOf(c.Key).do(context.Background(), &operation{apply: func(claims map[string]apitypes.Claim, now time.Time) bool {
			mark.apply(claims, now)
			return true
		}})
		if err != nil {
			s.opts.Log.Error().Str("request", c.RequestID).Err(err).Msg("attempt not marked as not run")
		}
	}()
}

// Flush waits until all attempts that were given up are marked not_run.
func (s *Store) Flush(ctx context.Context) error {
	s.mu.Lock()
	settled := s.settled
	s.mu.Unlock()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "claims: attempts are left for reconciliation")
	}
}

// transition is a later write of an attempt.
type transition struct {
	claim      apitypes.Claim
	to         apitypes.ClaimState
	outcome    *Outcome
	superseded bool
}

func change(c apitypes.Claim, to apitypes.ClaimState, o *Outcome) *transition {
	return &transition{claim: c, to: to, outcome: o}
}

func (t *transition) apply(claims map[string]apitypes.Claim, now time.Time) (changed bool) {
	t.superseded = false
	current, found := claims[t.claim.Key]
	switch {
	case found && current.Attempt != t.claim.Attempt, !found && t.to != apitypes.ClaimDone:
		t.superseded = true
		return false
	case !found:
		// An outcome is worth keeping even when its claim has been lost.
		current = t.claim
	case current.State == t.to || current.State == apitypes.ClaimDone:
		return false
	case t.to == apitypes.ClaimUnresolved && current.State != apitypes.ClaimClaimed:
		t.superseded = true
		return false
	}
	current.State, current.UpdatedAt = t.to, now.UnixMilli()
	if t.outcome != nil {
		current.Status, current.ContentType = t.outcome.Status, t.outcome.ContentType
		if len(t.outcome.Body) <= MaxBodyBytes {
			current.Body, current.BodyKept = t.outcome.Body, true
		}
	}
	claims[t.claim.Key] = current
	return true
}

func (s *Store) transit(ctx context.Context, t *transition) error {
	if err := s.shardOf(t.claim.Key).do(ctx, &operation{apply: t.apply}); err != nil {
		return err
	}
	if t.superseded {
		return ErrSuperseded
	}
	return nil
}

// MarkDone implements Claims.
func (s *Store) MarkDone(ctx context.Context, c apitypes.Claim, o Outcome) error {
	return s.transit(ctx, change(c, apitypes.ClaimDone, &o))
}

// MarkNotRun implements Claims.
func (s *Store) MarkNotRun(ctx context.Context, c apitypes.Claim) error {
	return s.transit(ctx, change(c, apitypes.ClaimNotRun, nil))
}

// MarkUnresolved implements Claims.
func (s *Store) MarkUnresolved(ctx context.Context, c apitypes.Claim) error {
	return s.transit(ctx, change(c, apitypes.ClaimUnresolved, nil))
}

// ListOpenClaims returns the claims without an outcome, claimed and unresolved, in no particular order.
func (s *Store) ListOpenClaims(ctx context.Context) ([]apitypes.Claim, error) {
	items, _, err := s.opts.Platform.List(ctx, apitypes.KindClaims)
	if err != nil {
		return nil, err
	}
	var open []apitypes.Claim
	for _, item := range items {
		content, err := parseShard(item.Data)
		if err != nil {
			s.opts.Log.Error().Str("shard", item.Name).Err(err).Msg("shard of claims can't be read")
			continue
		}
		for _, c := range content.Claims {
			if c.State == apitypes.ClaimClaimed || c.State == apitypes.ClaimUnresolved {
				open = append(open, c)
			}
		}
	}
	return open, nil
}

// ResolveClaim returns an unresolved claim with the outcome that an operator gives it, done or not_run. Its retention begins now. Without a
// status, a repeated key could not be answered.
func ResolveClaim(c apitypes.Claim, to apitypes.ClaimState, now time.Time) apitypes.Claim {
	c.State, c.UpdatedAt = to, now.UnixMilli()
	if to == apitypes.ClaimDone && c.Status == 0 {
		c.Status = operatorStatus
	}
	return c
}

// operatorStatus is the status of an outcome that an operator set without knowing the answer.
const operatorStatus = 200
