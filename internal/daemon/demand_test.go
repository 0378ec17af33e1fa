package daemon

import (
	"testing"
	"time"
)

// Guards against a first sample of 2 s that dominates the long average of demand for its whole time constant of 10 min; role changes are
// planned by this average.
func TestFirstSampleOfDemandFades(t *testing.T) {
	p := &poolRates{}
	p.addSample(tokenRates{prefill: 10000, decode: 1000}, demandPollInterval)
	for elapsed := time.Duration(0); elapsed < 5*time.Minute; elapsed += demandPollInterval {
		p.addSample(tokenRates{prefill: 1000, decode: 100}, demandPollInterval)
	}
	if p.long.prefill > 1400 || p.long.decode > 140 {
		t.Errorf("the long average is %.0f and %.0f tokens/s after 5 min of 1000 and 100", p.long.prefill, p.long.decode)
	}
}
