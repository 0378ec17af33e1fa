package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// Guards against an exchange that grows with teams and endpoints beyond a node's 6 KB/s, against a large change that waits behind small
// ones, and against a demand that is never told.
func TestOutboxIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, rate = 60, largeFleetEntries / 8.0
		out := newOutbox(rate)
		demands, sends := 0, 0
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
			behind := out.distance(demand(step)["large"])
			u := out.next()
			if u == nil {
				continue
			}
			demands, sends = demands+len(u.Demand), sends+len(u.Sends)
			if len(u.Demand) > 0 && u.Demand[0].Team != "large" && behind > 0 ||
				len(u.Sends) > 0 && u.Sends[0].Endpoint != "large" {
				t.Fatalf("step %d: the largest entries are not first: %v", step, u)
			}
		}
		if limit := int(rate*seconds) + entryBurst; demands > limit || sends > limit {
			t.Errorf("%d demands and %d sends in %d s, above %d", demands, sends, seconds, limit)
		}
		// Once demand stands still, everything is told in the end.
		last := map[string]*peerpb.TeamDemand{"a": {TokensPerSecond: 1}, "b": {TokensPerSecond: 2}}
		for range 4 * 120 {
			time.Sleep(deltaPeriod)
			out.add(last, nil, nil, nil)
			out.next()
		}
		if len(out.told) != len(last) || out.told["a"] == nil || out.told["b"] == nil {
			t.Errorf("%d demands are told, want %d", len(out.told), len(last))
		}
	})
}
