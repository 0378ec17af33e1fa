package ctxtime

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
)

// Guards against sleeps that start a timer which is already due: under the race detector, in a synctest bubble, that crashes the test
// process in most runs of this load.
func TestSleepZeroDuration(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			var wg sync.WaitGroup
			for range 16 {
				wg.Go(func() {
					for range 50 {
						if !Sleep(context.Background(), 0) {
							t.Error("Sleep(0) returned false although its context did not end")
						}
					}
				})
			}
			wg.Wait()
		})
	}
}
