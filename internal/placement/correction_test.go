package placement

import (
	"testing"
	"testing/synctest"
	"time"
)

// serveDelayed serves prompts whose first tokens arrive later than predicted by a delay, as during a burst of engine crashes.
func serveDelayed(f *Fleet, prompts int, delay time.Duration) {
	for range prompts {
		plan := f.PlacePrompt("llm", promptWithPrefix("", 0, 40_000), Filter{})
		time.Sleep(plan.Predicted + delay)
		plan.RecordFirstToken()
		if plan.Prefill != nil {
			plan.Prefill.Done(Served)
		}
		plan.Decode.Done(Served)
	}
}

// promptWithMaxWait returns a long prompt with the queueing limit of usual requests.
func promptWithMaxWait() *Prompt {
	p := promptWithPrefix("", 0, 40_000)
	p.MaxWait = 320 * time.Millisecond
	return p
}

// Guards against refusals that outlast their cause: a correction from a burst made idle engines refuse long prompts for the rest of
// the day, because refused plans give no new measurement (seen in the runs scale-2 and trouble-1 of rope-logs-grown).
func TestCorrectionFadesWithoutMeasurements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet(0, 3)
		serveDelayed(f, 200, time.Second)
		time.Sleep(3 * time.Second)
		if plan := f.PlacePrompt("llm", promptWithMaxWait(), Filter{}); plan.LimitExcess > 0 {
			t.Errorf("idle engines refuse a prompt 3 s after the last delayed one: predicted %v, limit exceeded by %v", plan.Predicted, plan.LimitExcess)
		}
	})
}

// Guards against a correction that decays between the requests of a VM with few requests: while all first tokens are delayed, the
// correction must hold.
func TestCorrectionHoldsBetweenMeasurements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet(0, 1)
		for range 300 {
			plan := f.PlacePrompt("llm", promptWithPrefix("", 0, 10), Filter{})
			time.Sleep(milliseconds(plan.estimate) + 100*time.Millisecond)
			plan.RecordFirstToken()
			plan.Decode.Done(Served)
		}
		plan := f.PlacePrompt("llm", promptWithPrefix("", 0, 10), Filter{})
		if added := plan.Predicted - milliseconds(plan.estimate); added < 90*time.Millisecond {
			t.Errorf("first tokens arrive 100 ms later than estimated, but the prediction adds only %v", added)
		}
	})
}
