// Package ctxtime waits for a time or for the end of a context, whichever comes first.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
