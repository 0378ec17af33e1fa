// Package ctxtime waits for a time or for the end of a context, whichever comes first.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(PositiveDuration(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// PositiveDuration returns d, or one nanosecond if d is not positive. Timers whose wait is computed take it: the race detector of
// Go 1.26.8 crashes when a timer that is already due starts within a testing/synctest bubble.
func PositiveDuration(d time.Duration) time.Duration { return max(d, time.Nanosecond) }
