package roles

import (
	"fmt"
	"testing"
	"time"
)

func engines(readers, runners int, age time.Duration) []MixEngine {
	var list []MixEngine
	for i := range readers + runners {
		list = append(list, MixEngine{ID: fmt.Sprintf("e%02d", i), Domain: fmt.Sprint(i % 3), Prefill: i < readers, Age: age})
	}
	return list
}

func changes(p *RoleSharePlanner, list []MixEngine, now time.Time) int {
	n := 0
	for p.Plan(list, now) != nil {
		n++
	}
	return n
}

// Guards against role changes that cost more than they bring: none near the share, and none of engines that have work.
func TestMixLeavesWorkingEnginesAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, list := range map[string][]MixEngine{"near the share": engines(6, 12, time.Second), "old engines": engines(1, 17, time.Minute)} {
		if n := changes(NewRoleSharePlanner(3*time.Second), list, now); n != 0 {
			t.Errorf("%s: %d changes", name, n)
		}
	}
}

// Guards against a fleet without readers or with too few engines that make tokens, whatever their age.
func TestMixMendsAMissingRole(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, list := range map[string][]MixEngine{"no readers": engines(0, 9, time.Minute), "no runners": engines(9, 0, time.Minute)} {
		if n := changes(NewRoleSharePlanner(3*time.Second), list, now); n == 0 {
			t.Errorf("%s: no change", name)
		}
	}
}

// Guards against orders to the same engine while an earlier one may still be carried out, and against too many at once.
func TestMixChangesFewAtATime(t *testing.T) {
	p := NewRoleSharePlanner(3 * time.Second)
	list := engines(0, 20, time.Second)
	start := time.Unix(1000, 0)
	seen := make(map[string]int)
	for s := range 10 {
		for c := p.Plan(list, start.Add(time.Duration(s)*time.Second)); c != nil; c = p.Plan(list, start.Add(time.Duration(s)*time.Second)) {
			seen[c.ID]++
		}
		if s == 0 && float64(len(seen)) > maxChanges*20 {
			t.Errorf("%d engines change at once", len(seen))
		}
	}
	for id, n := range seen {
		if n > 1 {
			t.Errorf("engine %s was ordered %d times in 10 s", id, n)
		}
	}
}
