package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// Guards against an exchange whose traffic grows with teams and endpoints beyond a node's 6 KB/s, a large change that waits behind small
// ones, and a demand that is never sent.
func TestOutboxIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, rate = 60, largeFleetEntriesPerSecond / 8.0
		out := newOutbox(rate)
		demands, loadDeltas := 0, 0
		demand := func(step int) map[string]*peerpb.TeamDemand {
			all := make(map[string]*peerpb.TeamDemand)
			for team := range 1000 {
				all[fmt.Sprint(team)] = &peerpb.TeamDemand{TokensPerSecond: float64(step%7 + 1)}
			}
			all["large"] = &peerpb.TeamDemand{Team: "large", TokensPerSecond: 1000 * float64(step%2+1)}
			return all
		}
		for step := range seconds * 4 {
			time.Sleep(deltaPeriod)
			load := make(map[string]balancer.LoadDelta)
			for e := range 300 {
				load[fmt.Sprint(e)] = balancer.LoadDelta{PromptTokens: 10, Requests: 1}
			}
			load["large"] = balancer.LoadDelta{PromptTokens: 5000, Requests: 1}
			out.add(demand(step), load, nil, nil)
			unsent := out.demandDifference(demand(step)["large"])
			u := out.nextUpdate()
			if u == nil {
				continue
			}
			demands, loadDeltas = demands+len(u.Demand), loadDeltas+len(u.Sends)
			if len(u.Demand) > 0 && u.Demand[0].Team != "large" && unsent > 0 ||
				len(u.Sends) > 0 && u.Sends[0].Endpoint != "large" {
				t.Fatalf("step %d: the largest entries are not first: %v", step, u)
			}
		}
		if limit := int(rate*seconds) + entryBurst; demands > limit || loadDeltas > limit {
			t.Errorf("%d demands and %d load deltas in %d s, more than %d", demands, loadDeltas, seconds, limit)
		}
		// Once demand no longer changes, all of it is sent eventually.
		last := map[string]*peerpb.TeamDemand{"a": {TokensPerSecond: 1}, "b": {TokensPerSecond: 2}}
		for range 4 * 120 {
			time.Sleep(deltaPeriod)
			out.add(last, nil, nil, nil)
			out.nextUpdate()
		}
		if len(out.sentDemand) != len(last) || out.sentDemand["a"] == nil || out.sentDemand["b"] == nil {
			t.Errorf("%d demands were sent, want %d", len(out.sentDemand), len(last))
		}
	})
}
