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
	// MaxBodyBytes is the largest response body that is stored with an outcome.
	MaxBodyBytes = 4 << 10
	// DefaultRetention is how long a claim is kept after it became done or not_run.
	DefaultRetention = 24 * time.Hour
	// DefaultClaimTimeout bounds the time to write a claim. The request is refused as not run when it is exceeded.
	DefaultClaimTimeout = 3 * time.Second
	// platformCallTimeout bounds one request to the platform.
	platformCallTimeout = 2 * time.Second
)

// ErrSuperseded is returned when another attempt owns the key by now, or an operator or the reconciler has changed the claim.
var ErrSuperseded = errors.New("claim: another attempt or an operator has changed the claim; read it again")

// Options configures a Store. All fields except Platform are optional.
type Options struct {
	Platform objectstore.Store
	// Retention is how long a claim is kept after it became done or not_run; zero means DefaultRetention.
	Retention time.Duration
	// ClaimTimeout bounds CreateClaim; zero means DefaultClaimTimeout.
	ClaimTimeout time.Duration
	Log          zerolog.Logger
	// OnShardWrite is called after each write of a shard, with the number of operations in the write.
	OnShardWrite func(operations int)
	// Now is the clock for retention; nil means time.Now.
	Now func() time.Time
}

// Store reads and writes claims on the platform, in shards by the hash of the key. Its methods may be called concurrently.
type Store struct {
	opts   Options
	shards [apitypes.ClaimShards]*shard

	mu sync.Mutex
	// pending is the number of attempts that markNotRunInBackground still has to mark; noPending is closed while it is 0.
	pending   int
	noPending chan struct{}
}

var _ ClaimStore = (*Store)(nil)

// NewStore returns a Store with the given options.
func NewStore(o Options) *Store {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.ClaimTimeout == 0 {
		o.ClaimTimeout = DefaultClaimTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnShardWrite == nil {
		o.OnShardWrite = func(int) {}
	}
	s := &Store{opts: o, noPending: make(chan struct{})}
	close(s.noPending)
	for i := range s.shards {
		s.shards[i] = &shard{name: fmt.Sprintf("%03d", i), opts: &s.opts}
	}
	return s
}

func (s *Store) shardFor(key string) *shard {
	return s.shards[xxhash.Sum64String(key)%apitypes.ClaimShards]
}

// CreateClaim implements ClaimStore. A request that is refused as not run is never sent, because the caller sends only requests whose
// claim it won. When the write failed but may still take effect, the claim is marked not_run in the background.
func (s *Store) CreateClaim(ctx context.Context, c apitypes.Claim) (apitypes.Claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.ClaimTimeout)
	defer cancel()
	create := &creation{claim: c}
	create.claim.State = apitypes.ClaimClaimed
	err := s.shardFor(c.Key).execute(ctx, &operation{apply: create.apply, addsClaim: true})
	switch {
	case errors.Is(err, errFull):
		return apitypes.Claim{}, false, apierror.New(apierror.Overloaded, "repeat the call with the same key later", "the store of idempotency keys is full")
	case err != nil:
		s.markNotRunInBackground(create.claim)
		return apitypes.Claim{}, false, apierror.New(apierror.Unavailable, "repeat the call with the same key later",
			"the idempotency key could not be stored on the platform, so the call was not sent")
	case create.mismatch:
		return apitypes.Claim{}, false, apierror.New(apierror.IdempotencyMismatch, "use a new key for a different request", "the idempotency key was already used with a different request")
	}
	return create.existing, create.won, nil
}

// creation is the operation that writes the claim of a new attempt; its fields hold the result of the last call of apply.
type creation struct {
	claim    apitypes.Claim
	existing apitypes.Claim
	won      bool
	mismatch bool
}

// apply decides whether this attempt owns the key. It is repeated when the response to a write was lost: a claim with this attempt's id
// was written by the earlier call.
func (c *creation) apply(claims map[string]apitypes.Claim, now time.Time) (changed bool) {
	c.existing, c.won, c.mismatch = apitypes.Claim{}, false, false
	existing, found := claims[c.claim.Key]
	switch {
	case found && existing.Attempt == c.claim.Attempt:
		c.won = existing.State == apitypes.ClaimClaimed
		c.existing = existing
		return false
	case found && existing.BodyHash != c.claim.BodyHash:
		c.mismatch = true
		return false
	case found && existing.State != apitypes.ClaimNotRun:
		c.existing = existing
		return false
	}
	c.claim.UpdatedAt = now.UnixMilli()
	claims[c.claim.Key] = c.claim
	c.won = true
	return true
}

// markNotRunInBackground marks an attempt as not_run and retries until the platform accepts the write.
func (s *Store) markNotRunInBackground(c apitypes.Claim) {
	s.mu.Lock()
	if s.pending == 0 {
		s.noPending = make(chan struct{})
	}
	s.pending++
	s.mu.Unlock()
	go func() {
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pending--
			if s.pending == 0 {
				close(s.noPending)
			}
		}()
		// The abandoned conditional write may still reach the platform. It fails once the shard has a newer version, so the shard
		// is written even when it does not contain the attempt.
		mark := newTransition(c, apitypes.ClaimNotRun, nil)
		err := s.shardFor(c.Key).execute(context.Background(), &operation{apply: func(claims map[string]apitypes.Claim, now time.Time) bool {
			mark.apply(claims, now)
			return true
		}})
		if err != nil {
			s.opts.Log.Error().Str("request", c.RequestID).Err(err).Msg("failed to mark abandoned attempt as not run")
		}
	}()
}

// Flush waits until all abandoned attempts are marked not_run, or until ctx ends.
func (s *Store) Flush(ctx context.Context) error {
	s.mu.Lock()
	noPending := s.noPending
	s.mu.Unlock()
	select {
	case <-noPending:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "claim: wait for abandoned attempts to be marked as not run; reconciliation resolves the remaining ones")
	}
}

// transition is the operation that changes the state of an attempt's claim.
type transition struct {
	claim      apitypes.Claim
	to         apitypes.ClaimState
	outcome    *Outcome // nil unless the new state is done
	superseded bool     // set by apply when the claim may no longer make the transition
}

func newTransition(c apitypes.Claim, to apitypes.ClaimState, o *Outcome) *transition {
	return &transition{claim: c, to: to, outcome: o}
}

// apply changes the claim's state, unless the claim is done or already in the new state. It sets superseded when another attempt owns
// the key, when the claim no longer exists and the new state is not done, and when a claim that is not in state claimed would become
// unresolved.
func (t *transition) apply(claims map[string]apitypes.Claim, now time.Time) (changed bool) {
	t.superseded = false
	current, found := claims[t.claim.Key]
	switch {
	case found && current.Attempt != t.claim.Attempt, !found && t.to != apitypes.ClaimDone:
		t.superseded = true
		return false
	case !found:
		// An outcome is stored even when its claim has been lost.
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

// applyTransition executes a transition and returns ErrSuperseded when the claim may no longer make it.
func (s *Store) applyTransition(ctx context.Context, t *transition) error {
	if err := s.shardFor(t.claim.Key).execute(ctx, &operation{apply: t.apply}); err != nil {
		return err
	}
	if t.superseded {
		return ErrSuperseded
	}
	return nil
}

// MarkDone implements ClaimStore.
func (s *Store) MarkDone(ctx context.Context, c apitypes.Claim, o Outcome) error {
	return s.applyTransition(ctx, newTransition(c, apitypes.ClaimDone, &o))
}

// MarkNotRun implements ClaimStore.
func (s *Store) MarkNotRun(ctx context.Context, c apitypes.Claim) error {
	return s.applyTransition(ctx, newTransition(c, apitypes.ClaimNotRun, nil))
}

// MarkUnresolved implements ClaimStore.
func (s *Store) MarkUnresolved(ctx context.Context, c apitypes.Claim) error {
	return s.applyTransition(ctx, newTransition(c, apitypes.ClaimUnresolved, nil))
}

// ListOpenClaims returns the claims in state claimed or unresolved, in no particular order. It logs shards that can't be decoded and
// skips them.
func (s *Store) ListOpenClaims(ctx context.Context) ([]apitypes.Claim, error) {
	items, _, err := s.opts.Platform.List(ctx, apitypes.KindClaims)
	if err != nil {
		return nil, err
	}
	var open []apitypes.Claim
	for _, item := range items {
		content, err := parseShard(item.Data)
		if err != nil {
			s.opts.Log.Error().Str("shard", item.Name).Err(err).Msg("claim shard can't be decoded; skipped its claims")
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

// ResolveClaim returns an unresolved claim with the state that an operator gives it, done or not_run. Its retention begins at now. A
// done claim without a status gets operatorOutcomeStatus, because requests with a repeated key are answered with the claim's status.
func ResolveClaim(c apitypes.Claim, to apitypes.ClaimState, now time.Time) apitypes.Claim {
	c.State, c.UpdatedAt = to, now.UnixMilli()
	if to == apitypes.ClaimDone && c.Status == 0 {
		c.Status = operatorOutcomeStatus
	}
	return c
}

// operatorOutcomeStatus is the HTTP status of a claim that an operator marked done, when the service's response is unknown.
const operatorOutcomeStatus = 200
