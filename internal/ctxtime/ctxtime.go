// Package ctxtime provides sleeps that end early when a context ends.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and returns true. It returns false when ctx ends first.
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

// PositiveDuration returns d, or one nanosecond if d is not positive. Use it for timers with a computed duration: the race detector
// of Go 1.26.8 crashes when a timer that is already due is started within a testing/synctest bubble.
func PositiveDuration(d time.Duration) time.Duration { return max(d, time.Nanosecond) }
