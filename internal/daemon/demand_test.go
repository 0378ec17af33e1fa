package daemon

import (
	"testing"
	"time"
)

// Guards against a first sample of 2 s that weighs in for the whole averaging time: roles follow the long average.
func TestFirstSampleOfDemandFades(t *testing.T) {
	p := &poolRates{}
	p.average(rates{prefill: 10000, decode: 1000}, demandPollEvery)
	for read := time.Duration(0); read < 5*time.Minute; read += demandPollEvery {
		p.average(rates{prefill: 1000, decode: 100}, demandPollEvery)
	}
	if p.long.prefill > 1400 || p.long.decode > 140 {
		t.Errorf("the long average is %.0f and %.0f tokens/s after 5 min of 1000 and 100", p.long.prefill, p.long.decode)
	}
}
