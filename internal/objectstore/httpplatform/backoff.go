package httpplatform

import (
	"context"
	"math/rand/v2"
	"time"

	"crocusglade.example/crocusglade/internal/ctxtime"
)

// Default bounds of Backoff.
const (
	DefaultBackoffBase = 50 * time.Millisecond
	DefaultBackoffCap  = 5 * time.Second
)

// Backoff computes the delays of a caller's retry loop: exponential, capped and with jitter. The zero value uses the default
// bounds. It is not safe for concurrent use.
type Backoff struct {
	// Base is the upper bound of the first delay, Cap that of every delay; zero means the default.
	Base, Cap time.Duration
	// Rand is the source of the jitter, which tests seed; nil means the global source.
	Rand *rand.Rand

	attempts int
}

// Next returns the next delay, between half of the current bound and the bound. The bound doubles with each call up to Cap.
func (b *Backoff) Next() time.Duration {
	base, limit := b.Base, b.Cap
	if base <= 0 {
		base = DefaultBackoffBase
	}
	if limit <= 0 {
		limit = DefaultBackoffCap
	}
	bound := base
	for i := 0; i < b.attempts && bound < limit; i++ {
		bound *= 2
	}
	bound = min(bound, limit)
	b.attempts++
	return bound/2 + time.Duration(b.randomFloat()*float64(bound/2))
}

func (b *Backoff) randomFloat() float64 {
	if b.Rand != nil {
		return b.Rand.Float64()
	}
	return rand.Float64()
}

// Reset returns to the first delay; callers call it after a success.
func (b *Backoff) Reset() { b.attempts = 0 }

// Wait sleeps for the next delay. It returns the context's error when ctx ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	if !ctxtime.Sleep(ctx, b.Next()) {
		return ctx.Err()
	}
	return nil
}
