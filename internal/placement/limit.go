package placement

import "time"

const (
	// waitFactor is how long the most urgent requests may wait behind others, as a multiple of the longest objective of their
	// service. Beyond what the engines read, a longer queue only makes more answers late: docs/load.md has the figures.
	waitFactor = 1.0
	// urgencyStep is by which part of it each further priority may wait less, leastWaitShare what is left for the last.
	urgencyStep    = 0.1
	leastWaitShare = 0.5
)

// MaxWait is how long requests of a priority, 0 first, may wait behind others, given the longest objective of their service. It
// answers a load beyond what the engines read, from bursts or from engines that are lost. Less urgent requests are the first that
// are too many; limits by each route's own objective would refuse the most urgent ones first, which have the shortest.
func MaxWait(objective time.Duration, priority int) time.Duration {
	share := max(1-urgencyStep*float64(max(priority, 0)), leastWaitShare)
	return time.Duration(waitFactor * share * float64(objective))
}

// Fits tells whether the engines of a service have memory for a prompt. One that is larger can't be served, now or later.
func (f *Fleet) Fits(service string, p *Prompt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	return s == nil || s.engine == nil || s.engine.CacheTokens <= 0 || int64(p.Tokens) <= s.engine.CacheTokens
}

// over is by how much an option exceeds the prompt's limits.
func (p *Prompt) over(o *option) time.Duration {
	var over time.Duration
	if p.MaxWait > 0 {
		over = milliseconds(o.wait) - p.MaxWait
	}
	if p.MaxTimeToFirstToken > 0 {
		over = max(over, milliseconds(o.predicted)-p.MaxTimeToFirstToken)
	}
	return over
}

// firstTokenBase and firstTokenFactor are how long an engine may take to the first token, beyond which its answer counts as lost: a
// base time, and a multiple of the predicted time. Callers leave after two seconds without an event. A queue longer than
// predicted must not look like a loss, or prompts would be read twice when engines have most to do.
const (
	firstTokenBase   = 900 * time.Millisecond
	firstTokenFactor = 2
)

// FirstTokenLimit is the time after which a prompt whose first token was predicted is tried again elsewhere, where that is allowed.
// It answers engines that lose answers, which callers would otherwise leave after two seconds with nothing.
func FirstTokenLimit(predicted time.Duration) time.Duration {
	return firstTokenBase + firstTokenFactor*predicted
}
