package placement

import (
	"math"
	"time"
)

const (
	// correctionGain is the weight of one request in the moving average, maxCorrectionMS the largest correction in milliseconds.
	correctionGain  = 0.03
	maxCorrectionMS = 400.0
	// correctionHold is how long a correction stays constant without a new measurement; after that it decays with
	// correctionHalfLife. Under load, a VM of the known deployments measures every 50 ms.
	correctionHold     = 500 * time.Millisecond
	correctionHalfLife = 500 * time.Millisecond
)

// correction is the moving average of how much later than estimated first tokens arrive. It accounts for work at the engines that
// this VM has no information about. It decays without new measurements: a correction that makes all prompts exceed their limits
// also stops the requests that would measure a lower value.
type correction struct {
	valueMS    float64
	measuredAt time.Time
}

// valueAt returns the correction in milliseconds, decayed to the given time.
func (c *correction) valueAt(now time.Time) float64 {
	stale := now.Sub(c.measuredAt) - correctionHold
	if stale <= 0 {
		return c.valueMS
	}
	return c.valueMS * math.Exp2(-float64(stale)/float64(correctionHalfLife))
}

// add updates the average with the error of one estimate in milliseconds; it is negative for a first token that arrived early.
func (c *correction) add(errorMS float64, now time.Time) {
	current := c.valueAt(now)
	c.valueMS = min(max(current+correctionGain*(errorMS-current), 0), maxCorrectionMS)
	c.measuredAt = now
}
