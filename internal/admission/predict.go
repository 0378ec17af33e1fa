package admission

import (
	"math"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// rateTime is the averaging time of the measured service rate, and rateWarmup the time with a queue after which the
	// measured rate replaces the configured one.
	rateTime   = 5 * time.Second
	rateWarmup = 2 * time.Second
)

// serviceRate measures the tokens a second that a pool takes from its queue. Only time with a queue counts.
type serviceRate struct {
	last    time.Time // of the last dispatch that left a queue; zero otherwise
	rate    float64
	seconds float64 // time with a queue
}

func (s *serviceRate) dispatched(now time.Time, tokens int, queued bool) {
	if !s.last.IsZero() {
		elapsed := now.Sub(s.last).Seconds()
		decay := math.Exp(-elapsed / rateTime.Seconds())
		s.rate = s.rate*decay + float64(tokens)/rateTime.Seconds()
		s.seconds += elapsed
	}
	s.last = now
	if !queued {
		s.last, s.seconds, s.rate = time.Time{}, 0, 0
	}
}

// value returns the measured rate, corrected for the time before the measurement began, or the configured rate while too
// little was measured.
func (s *serviceRate) value(configured float64) float64 {
	if s.seconds < rateWarmup.Seconds() {
		return configured
	}
	return s.rate / (1 - math.Exp(-s.seconds/rateTime.Seconds()))
}

// predictWait returns the predicted wait in seconds of a request that would now be queued. Ahead of it are the waiting work
// of more urgent classes, and of its own class what fair queuing serves before its team's next turn.
func (p *pool) predictWait(w *waiter) float64 {
	rate := p.measured.value(p.rate)
	if rate <= 0 {
		return 0
	}
	c := &p.classes[w.class]
	ahead := float64(c.tokens)
	if f := c.flows[w.team.name]; f != nil {
		weights := c.weights
		if f.waiting.Len() == 0 {
			weights += w.team.weight
		}
		distance := max(0, f.finish-c.virtual) + float64(f.tokens)/w.team.weight
		ahead = min(ahead, distance*weights)
	} else {
		ahead = 0
	}
	urgent := 0
	for i := range w.class {
		urgent += p.classes[i].tokens
	}
	if urgent == 0 {
		return ahead / rate
	}
	// Behind an urgent queue the class is served at least at its floor.
	return min((float64(urgent)+ahead)/rate, (ahead+float64(w.tokens))/(classFloor*rate))
}

// EnginePriority returns the priority that an engine is given for an admitted request; lower runs first. Admission has
// already served the lower classes their floor, so only urgent requests go first at the engine: engines serve priorities
// strictly, and batch requests else waited there for up to 26 s while a flood of normal ones was admitted.
func EnginePriority(p apitypes.Priority) int {
	return min(classOf(p), int(apitypes.PriorityNormal))
}
