package roles

import (
	"math"
	"sort"
	"time"
)

const (
	// prefillShare is the part of the engines that read prompts only. A prefill engine reads twice as fast, but decode engines read as
	// well when all readers are busy, and hold on when readers are lost; see docs/measurements.md for 0.35 to 0.65.
	prefillShare = 0.35
	// mixDeadband is by how many engines the mix may differ from the share before a role changes: a change costs an order and
	// takes the engine out for seconds.
	mixDeadband = 1.6
	// mixDeadbandShare widens that with the number of engines.
	mixDeadbandShare = 0.12
	// changeTime is how long an engine counts as being of the ordered role before its own word is taken, beyond the time of
	// the change.
	changeTime = 2 * time.Second
	// maxChanges is the number of engines that may change at the same time, as a part of all.
	maxChanges = 0.3
	// sameEngineAgain is the time after which an engine whose order had no effect may be ordered again.
	sameEngineAgain = 13 * time.Second
	// freshAge is the age up to which an engine's role is changed for the sake of the share: it has read little, and few requests
	// run there. Later a change would cost seconds of a working engine when they are scarcest.
	freshAge = 8 * time.Second
	// minDecoders is the number of decode engines that always remain.
	minDecoders = 2
)

// MixEngine is an engine that takes work.
type MixEngine struct {
	ID          string
	Domain      string
	Prefill     bool
	Reclaimable bool
	// Age is the time since the engine's start.
	Age time.Duration
}

// RoleChange is an order for one engine.
type RoleChange struct {
	ID      string
	Prefill bool
}

// RoleSharePlanner keeps the share of engines that read prompts. It is not safe for concurrent use.
type RoleSharePlanner struct {
	switchTime time.Duration
	ordered    map[string]order
}

type order struct {
	prefill bool
	at      time.Time
}

// NewRoleSharePlanner returns a planner for engines that are out for switchTime while their role changes.
func NewRoleSharePlanner(switchTime time.Duration) *RoleSharePlanner {
	return &RoleSharePlanner{switchTime: switchTime, ordered: make(map[string]order)}
}

// Plan returns the next change, or nil. The planner takes the change as ordered.
func (p *RoleSharePlanner) Plan(engines []MixEngine, now time.Time) *RoleChange {
	if len(engines) <= minDecoders {
		return nil
	}
	readers, changing := 0, 0
	for _, e := range engines {
		if o, ok := p.ordered[e.ID]; ok && now.Sub(o.at) < p.switchTime+changeTime {
			e.Prefill = o.prefill
			changing++
		}
		if e.Prefill {
			readers++
		}
	}
	want := min(int(math.Round(prefillShare*float64(len(engines)))), len(engines)-minDecoders)
	deadband := max(mixDeadband, mixDeadbandShare*float64(len(engines)))
	if changing == 0 && math.Abs(float64(readers-want)) < deadband || readers == want ||
		float64(changing) >= maxChanges*float64(len(engines)) {
		return nil
	}
	urgent := readers == 0 || len(engines)-readers < minDecoders
	change := p.pick(engines, readers < want, urgent, now)
	if change != nil {
		p.ordered[change.ID] = order{prefill: change.Prefill, at: now}
	}
	return change
}

// pick chooses an engine of the other role in the failure domain that has most of them; of these a reclaimable one, since
// decode engines hold streams that a reclaim would break.
func (p *RoleSharePlanner) pick(engines []MixEngine, toPrefill, urgent bool, now time.Time) *RoleChange {
	inDomain := make(map[string]int)
	var candidates []MixEngine
	for _, e := range engines {
		if e.Prefill == toPrefill {
			continue
		}
		inDomain[e.Domain]++
		if o, ok := p.ordered[e.ID]; (urgent || e.Age < freshAge) && (!ok || now.Sub(o.at) >= sameEngineAgain) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if inDomain[a.Domain] != inDomain[b.Domain] {
			return inDomain[a.Domain] > inDomain[b.Domain]
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
