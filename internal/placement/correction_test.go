package placement

import (
	"testing"
	"testing/synctest"
	"time"
)

// serveLate has prompts served whose first tokens come much later than predicted, as when engines crash in a burst.
func serveLate(f *Fleet, prompts int, late time.Duration) {
	for range prompts {
		plan := f.PlacePrompt("llm", promptOn("", 0, 40_000), nil)
		time.Sleep(plan.Predicted + late)
		plan.RecordFirstToken()
		if plan.Reader != nil {
			plan.Reader.Done(Served)
		}
		plan.Runner.Done(Served)
	}
}

// limited returns a long prompt that may wait as long as the usual requests may.
func limited() *Prompt {
	p := promptOn("", 0, 40_000)
	p.MaxWait = 320 * time.Millisecond
	return p
}

// Guards against refusals that outlast their cause: a correction learned in a burst refused long prompts for the rest of the day on
// idle engines, because refused plans brought no new measurement (scale-2 and trouble-1 of rope-logs-grown).
func TestCorrectionFadesWithoutMeasurements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet(0, 3)
		serveLate(f, 200, time.Second)
		time.Sleep(3 * time.Second)
		if plan := f.PlacePrompt("llm", limited(), nil); plan.LimitExcess > 0 {
			t.Errorf("idle engines refuse a prompt 3 s after the last late one: predicted %v, over by %v", plan.Predicted, plan.LimitExcess)
		}
	})
}

// Guards the correction against fading between the requests of a quiet VM: under load, late first tokens must go on to count.
func TestCorrectionHoldsBetweenMeasurements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet(0, 1)
		for range 300 {
			plan := f.PlacePrompt("llm", promptOn("", 0, 10), nil)
			time.Sleep(milliseconds(plan.estimate) + 100*time.Millisecond)
			plan.RecordFirstToken()
			plan.Runner.Done(Served)
		}
		plan := f.PlacePrompt("llm", promptOn("", 0, 10), nil)
		if late := plan.Predicted - milliseconds(plan.estimate); late < 90*time.Millisecond {
			t.Errorf("first tokens come 100 ms later than estimated, the prediction adds %v", late)
		}
	})
}
