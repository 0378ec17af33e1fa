package config

import (
	"context"
	"math/rand/v2"
	"time"

	"crocusglade.example/crocusglade/internal/ctxtime"
)

const (
	// firstBackoff is short because most failures are a lost connection that a second try repairs.
	firstBackoff = 100 * time.Millisecond
	// maxBackoff keeps recovery after an outage well inside the 11 s in which a change must be in force.
	maxBackoff = 3 * time.Second
)

// backoff is a doubling wait with full jitter, so that processes don't return to a recovered server all at once.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = 0 }

// wait sleeps and returns false when ctx has ended.
func (b *backoff) wait(ctx context.Context) bool {
	b.next = min(max(2*b.next, firstBackoff), maxBackoff)
	return ctxtime.Sleep(ctx, b.next/2+rand.N(b.next/2))
}
