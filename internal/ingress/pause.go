package ingress

import (
	"math/rand/v2"
	"time"

	"crocusglade.example/crocusglade/internal/ctxtime"
)

const (
	// maxPauseWaitShare is the share of a request's remaining time for which it waits for the end of a pause; the rest is for the run. A
	// caller that is refused instead comes back after at most a third of its time and has used up a retry then.
	maxPauseWaitShare = 2.0 / 3
	// returnSpread is the share of a pause, and minReturnSpread the time, over which the returns of refused callers are spread.
	returnSpread    = 0.25
	minReturnSpread = 100 * time.Millisecond
)

// awaitFreeEndpoint waits until an endpoint accepts requests again, if all of them pause and the wait is short enough. It returns false if
// the request can't be placed, and sets freeAfter if that is because of pauses.
func (c *call) awaitFreeEndpoint() bool {
	model := ""
	if c.r.Prompt != nil {
		model = c.r.Prompt.Model
	}
	wait, ok := c.Fleet.NextFree(c.service, model, c.filter())
	if unavailable := c.Fleet.DescribeUnavailable(c.service); unavailable != "" {
		c.unavailable = unavailable
	}
	if !ok {
		return false
	}
	spread := time.Duration(float64(wait) * returnSpread)
	if c.pauseWaitEnds.IsZero() {
		c.pauseWaitEnds = time.Now().Add(time.Duration(float64(c.remaining()) * c.pauseWaitShare))
	}
	if time.Until(c.pauseWaitEnds) < wait {
		c.freeAfter = wait + rand.N(max(spread, minReturnSpread))
		c.Observe.Paused(c.service, false)
		return false
	}
	c.Observe.Paused(c.service, true)
	return ctxtime.Sleep(c.ctx, wait+rand.N(max(min(spread, time.Until(c.pauseWaitEnds)-wait), time.Millisecond)))
}
