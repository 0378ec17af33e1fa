package config

import (
	"context"
	"math/rand/v2"
	"time"

	"crocusglade.example/crocusglade/internal/ctxtime"
)

const (
	// minBackoff is short because most failures are a lost connection that the first retry re-establishes.
	minBackoff = 100 * time.Millisecond
	// maxBackoff keeps recovery after an outage well below the 11 s within which a change must be in force.
	maxBackoff = 3 * time.Second
)

// backoff is an exponential delay with jitter, so that processes don't reconnect to a recovered server all at once.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = 0 }

// wait sleeps for a random time between half of the next delay and all of it. It returns false if ctx ends first.
func (b *backoff) wait(ctx context.Context) bool {
	b.next = min(max(2*b.next, minBackoff), maxBackoff)
	return ctxtime.Sleep(ctx, b.next/2+rand.N(b.next/2))
}
