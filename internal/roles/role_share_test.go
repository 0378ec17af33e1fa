package roles

import (
	"fmt"
	"testing"
	"time"
)

func testEngines(prefill, decode int, age time.Duration) []EngineState {
	var list []EngineState
	for i := range prefill + decode {
		list = append(list, EngineState{ID: fmt.Sprintf("e%02d", i), Domain: fmt.Sprint(i % 3), Prefill: i < prefill, Age: age})
	}
	return list
}

func countChanges(p *RoleSharePlanner, list []EngineState, now time.Time) int {
	n := 0
	for p.Plan(list, now) != nil {
		n++
	}
	return n
}

// Guards against role changes that cost more than they gain: near the target share, or of engines that already run requests.
func TestRoleShareLeavesWorkingEnginesAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, list := range map[string][]EngineState{"near the target share": testEngines(6, 12, time.Second), "old engines": testEngines(1, 17, time.Minute)} {
		if n := countChanges(NewRoleSharePlanner(3*time.Second), list, now); n != 0 {
			t.Errorf("%s: %d changes", name, n)
		}
	}
}

// Guards against a fleet without prefill engines or with too few decode engines, however old the engines are.
func TestRoleShareRestoresMissingRole(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, list := range map[string][]EngineState{"no prefill engines": testEngines(0, 9, time.Minute), "no decode engines": testEngines(9, 0, time.Minute)} {
		if n := countChanges(NewRoleSharePlanner(3*time.Second), list, now); n == 0 {
			t.Errorf("%s: no change", name)
		}
	}
}

// Guards against orders to an engine that may still be executing an earlier one, and against too many engines changing at once.
func TestRoleShareLimitsConcurrentChanges(t *testing.T) {
	p := NewRoleSharePlanner(3 * time.Second)
	list := testEngines(0, 20, time.Second)
	start := time.Unix(1000, 0)
	seen := make(map[string]int)
	for s := range 10 {
		for c := p.Plan(list, start.Add(time.Duration(s)*time.Second)); c != nil; c = p.Plan(list, start.Add(time.Duration(s)*time.Second)) {
			seen[c.ID]++
		}
		if s == 0 && float64(len(seen)) > maxChangingShare*20 {
			t.Errorf("%d engines change at once", len(seen))
		}
	}
	for id, n := range seen {
		if n > 1 {
			t.Errorf("engine %s was ordered %d times in 10 s", id, n)
		}
	}
}

// Guards against orders for an engine that has asked for a pause, and against planning as if it were gone.
func TestPausedEngineCountsButGetsNoOrder(t *testing.T) {
	list := testEngines(0, 6, time.Second)
	for i := range list[:5] {
		list[i].Paused = true
	}
	p, now := NewRoleSharePlanner(time.Second), time.Now()
	if change := p.Plan(list, now); change == nil || change.ID != list[5].ID {
		t.Fatalf("change %+v, want one of the engine without a pause", change)
	}
	if change := p.Plan(list, now); change != nil {
		t.Errorf("change %+v of an engine that pauses", change)
	}
	list[0].Paused = false
	if change := p.Plan(list, now); change == nil || change.ID != list[0].ID {
		t.Errorf("change %+v after the pause, want one of %s", change, list[0].ID)
	}
}
