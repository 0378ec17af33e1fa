package admission

import (
	"math"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// serviceRateAverageTime is the averaging time of the measured service rate, serviceRateWarmup the time with a queue after which
	// the measured rate replaces the configured one.
	serviceRateAverageTime = 5 * time.Second
	serviceRateWarmup      = 2 * time.Second
)

// serviceRate measures the tokens per second that a pool dispatches from its queue. Only time with a queue counts.
type serviceRate struct {
	lastDispatch  time.Time // last dispatch after which requests still waited; zero otherwise
	rate          float64
	queuedSeconds float64 // time with a queue
}

// recordDispatch adds a dispatch; queued is true when requests still wait. Otherwise the measurement starts again.
func (s *serviceRate) recordDispatch(now time.Time, tokens int, queued bool) {
	if !s.lastDispatch.IsZero() {
		elapsed := now.Sub(s.lastDispatch).Seconds()
		decay := math.Exp(-elapsed / serviceRateAverageTime.Seconds())
		s.rate = s.rate*decay + float64(tokens)/serviceRateAverageTime.Seconds()
		s.queuedSeconds += elapsed
	}
	s.lastDispatch = now
	if !queued {
		s.lastDispatch, s.queuedSeconds, s.rate = time.Time{}, 0, 0
	}
}

// value returns the measured rate, or the configured rate until the measurement covers serviceRateWarmup. The measured rate is corrected
// for the initial zero of the moving average.
func (s *serviceRate) value(configured float64) float64 {
	if s.queuedSeconds < serviceRateWarmup.Seconds() {
		return configured
	}
	return s.rate / (1 - math.Exp(-s.queuedSeconds/serviceRateAverageTime.Seconds()))
}

// predictWait returns the predicted wait in seconds of a request that would be queued now. The work ahead of it is that of more urgent
// classes, and from its own class what fair queuing serves before the team's next request.
func (p *pool) predictWait(w *waiter) float64 {
	rate := p.measuredRate.value(p.configuredRate)
	if rate <= 0 {
		return 0
	}
	c := &p.classes[w.class]
	ahead := float64(c.waitingTokens)
	if f := c.flows[w.team.name]; f != nil {
		weightSum := c.weightSum
		if f.waiting.Len() == 0 {
			weightSum += w.team.weight
		}
		virtualWait := max(0, f.finish-c.virtualTime) + float64(f.waitingTokens)/w.team.weight
		ahead = min(ahead, virtualWait*weightSum)
	} else {
		ahead = 0
	}
	urgentTokens := 0
	for i := range w.class {
		urgentTokens += p.classes[i].waitingTokens
	}
	if urgentTokens == 0 {
		return ahead / rate
	}
	// Behind more urgent classes, the class is served at least at its minimum share.
	return min((float64(urgentTokens)+ahead)/rate, (ahead+float64(w.tokens))/(minClassShare*rate))
}

// EnginePriority returns the priority that is sent to the engine with an admitted request; lower values run first. Normal and batch requests
// get the same value, since admission has already given the lower classes their minimum share. Engines schedule strictly by priority: with a
// value of their own, batch requests waited at the engine for up to 26 s while a flood of normal ones was admitted.
func EnginePriority(p apitypes.Priority) int {
	return min(classOf(p), int(apitypes.PriorityNormal))
}
