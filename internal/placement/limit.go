package placement

import "time"

const (
	// maxWaitFactor is the longest queueing time of requests of priority 0, as a multiple of the longest objective of their service.
	// When the load exceeds the engines' prefill capacity, a longer queue only makes more responses late; docs/load.md has the figures.
	maxWaitFactor = 1.0
	// priorityStep is the fraction of the queueing time that each lower priority loses, minWaitShare the fraction that the lowest
	// ones retain.
	priorityStep = 0.1
	minWaitShare = 0.5
)

// MaxWait returns the longest queueing time for requests of a priority, where 0 is the most urgent, given the longest objective of
// their service. When bursts or lost engines push the load above the prefill capacity, requests of lower priority are refused first.
// Limits by each route's own objective would refuse the most urgent requests first, because theirs are the shortest.
func MaxWait(objective time.Duration, priority int) time.Duration {
	share := max(1-priorityStep*float64(max(priority, 0)), minWaitShare)
	return time.Duration(maxWaitFactor * share * float64(objective))
}

// FitsKVCache reports whether a prompt fits into the KV cache of a service's engines. A larger prompt can never be served.
func (f *Fleet) FitsKVCache(service string, p *Prompt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	return s == nil || s.engine == nil || s.engine.CacheTokens <= 0 || int64(p.Tokens) <= s.engine.CacheTokens
}

// limitExcess returns the largest excess of an option over the prompt's limits. It is 0 or negative if the option is within them.
func (p *Prompt) limitExcess(o *option) time.Duration {
	var excess time.Duration
	if p.MaxWait > 0 {
		excess = milliseconds(o.wait) - p.MaxWait
	}
	if p.MaxTimeToFirstToken > 0 {
		excess = max(excess, milliseconds(o.predicted)-p.MaxTimeToFirstToken)
	}
	return excess
}

// The time-out for the first token is firstTokenBase plus firstTokenFactor times the predicted time. Callers disconnect after two
// seconds without an event. A queue longer than predicted must not cause a time-out, or prompts would be prefilled twice when the
// engines are busiest.
const (
	firstTokenBase   = 900 * time.Millisecond
	firstTokenFactor = 2
)

// FirstTokenLimit returns the time-out for the first token, given the predicted time. After it the prompt is tried at another engine
// where that is allowed. It covers engines that lose a response: without it callers would disconnect after two seconds without a response.
func FirstTokenLimit(predicted time.Duration) time.Duration {
	return firstTokenBase + firstTokenFactor*predicted
}
