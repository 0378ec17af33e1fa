package roles

import (
	"math"
	"sort"
	"time"
)

const (
	// prefillShare is the target share of engines in the prefill role. A prefill engine processes prompts twice as fast as a decode
	// engine, but decode engines can process prompts too when all prefill engines are busy or lost. docs/measurements.md compares
	// shares from 0.35 to 0.65.
	prefillShare = 0.35
	// minDeadbandEngines is the smallest deviation from the target, in engines, at which a role changes: a change costs an order and
	// takes the engine out of service for seconds.
	minDeadbandEngines = 1.6
	// deadbandShare is the deadband as a share of all engines; the larger of the two deadbands applies.
	deadbandShare = 0.12
	// roleReportGrace is added to the switch time. Until both have passed since an order, the planner assumes the ordered role
	// instead of the one that the engine reports.
	roleReportGrace = 2 * time.Second
	// maxChangingShare is the share of all engines at which no further engine starts a role change.
	maxChangingShare = 0.3
	// orderRetryInterval is the minimum time between two orders to the same engine; an order without effect is repeated after it.
	orderRetryInterval = 13 * time.Second
	// maxRebalanceAge is the engine age below which a role may change to reach the target share. A young engine has processed few
	// prompts and runs few requests; changing an older one takes a working engine out for seconds when capacity is scarcest.
	maxRebalanceAge = 8 * time.Second
	// minDecodeEngines is the minimum number of decode engines.
	minDecodeEngines = 2
)

// EngineState is an engine that accepts requests.
type EngineState struct {
	ID          string
	Domain      string
	Prefill     bool
	Reclaimable bool
	// Paused is set for an engine that has asked for a pause. It counts as an engine but gets no order.
	Paused bool
	// Age is the time since the engine started.
	Age time.Duration
}

// RoleChange is an order to one engine to switch to the prefill role, or to the decode role if Prefill is false.
type RoleChange struct {
	ID      string
	Prefill bool
}

// RoleSharePlanner keeps the share of prefill engines near a fixed target. It is not safe for concurrent use.
type RoleSharePlanner struct {
	switchTime time.Duration
	ordered    map[string]order
}

type order struct {
	prefill   bool
	orderedAt time.Time
}

// NewRoleSharePlanner returns a planner for engines whose role change takes them out of service for switchTime.
func NewRoleSharePlanner(switchTime time.Duration) *RoleSharePlanner {
	return &RoleSharePlanner{switchTime: switchTime, ordered: make(map[string]order)}
}

// Plan returns the next role change, or nil if none is needed. The planner records the returned change as ordered.
func (p *RoleSharePlanner) Plan(engines []EngineState, now time.Time) *RoleChange {
	if len(engines) <= minDecodeEngines {
		return nil
	}
	prefillCount, changing := 0, 0
	for _, e := range engines {
		if o, ok := p.ordered[e.ID]; ok && now.Sub(o.orderedAt) < p.switchTime+roleReportGrace {
			e.Prefill = o.prefill
			changing++
		}
		if e.Prefill {
			prefillCount++
		}
	}
	wantPrefill := min(int(math.Round(prefillShare*float64(len(engines)))), len(engines)-minDecodeEngines)
	deadband := max(minDeadbandEngines, deadbandShare*float64(len(engines)))
	if changing == 0 && math.Abs(float64(prefillCount-wantPrefill)) < deadband || prefillCount == wantPrefill ||
		float64(changing) >= maxChangingShare*float64(len(engines)) {
		return nil
	}
	urgent := prefillCount == 0 || len(engines)-prefillCount < minDecodeEngines
	change := p.pickEngine(engines, prefillCount < wantPrefill, urgent, now)
	if change != nil {
		p.ordered[change.ID] = order{prefill: change.Prefill, orderedAt: now}
	}
	return change
}

// pickEngine returns the change for an engine of the other role in the failure domain with the most of them. For a change to prefill
// it prefers reclaimable engines, for a change to decode on-demand ones, since a reclaim breaks the streams of a decode engine.
// Unless the change is urgent, only engines younger than maxRebalanceAge qualify. It returns nil if no engine does.
func (p *RoleSharePlanner) pickEngine(engines []EngineState, toPrefill, urgent bool, now time.Time) *RoleChange {
	countByDomain := make(map[string]int)
	var candidates []EngineState
	for _, e := range engines {
		if e.Prefill == toPrefill {
			continue
		}
		countByDomain[e.Domain]++
		if e.Paused {
			continue
		}
		if o, ok := p.ordered[e.ID]; (urgent || e.Age < maxRebalanceAge) && (!ok || now.Sub(o.orderedAt) >= orderRetryInterval) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if countByDomain[a.Domain] != countByDomain[b.Domain] {
			return countByDomain[a.Domain] > countByDomain[b.Domain]
		}
		if a.Reclaimable != b.Reclaimable {
			return a.Reclaimable == toPrefill
		}
		if a.Age != b.Age {
			return a.Age < b.Age
		}
		return a.ID < b.ID
	})
	return &RoleChange{ID: candidates[0].ID, Prefill: toPrefill}
}
