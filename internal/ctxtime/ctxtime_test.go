package ctxtime

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
)

// Guards against timers that are due at once: under the race detector they crash the test process in most runs of this load.
func TestSleepOfNoLength(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			var wg sync.WaitGroup
			for range 16 {
				wg.Go(func() {
					for range 50 {
						if !Sleep(context.Background(), 0) {
							t.Error("Sleep was ended without a context")
						}
					}
				})
			}
			wg.Wait()
		})
	}
}
