package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// The valid shares must never add up to more than a team's limits, in any order of reports and when gateways stop reporting.
func TestSharesNeverExceedLimits(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) { checkValidShares(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func checkValidShares(t *testing.T, rng *rand.Rand) {
	limits := apitypes.Limits{TokensPerSecond: 1000, RequestsPerSecond: 50, Concurrent: 7}
	d := NewDivider()
	d.SetTeams(map[string]TeamConfig{"a": {Limits: limits}})
	shares, expiresAt := make(map[string]LimitShare), make(map[string]time.Time)
	for range 60 {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		gateway := fmt.Sprint("vm", rng.IntN(12))
		demand := Demand{TokensPerSecond: 1 + 900*rng.Float64(), RequestsPerSecond: 1 + 40*rng.Float64(),
			Concurrent: rng.IntN(shares[gateway].Concurrent + 1)}
		shares[gateway] = d.DivideLimits(gateway, map[string]Demand{"a": demand})["a"]
		expiresAt[gateway] = time.Now().Add(shareTTL)
		var sum LimitShare
		for name, s := range shares {
			if time.Now().After(expiresAt[name]) {
				delete(shares, name)
				continue
			}
			sum.Tokens += s.Tokens
			sum.Requests += s.Requests
			sum.Concurrent += s.Concurrent
		}
		const rounding = 1e-9
		if sum.Tokens > 1+rounding || sum.Requests > 1+rounding || sum.Concurrent > limits.Concurrent {
			t.Fatalf("shares add up to %+v", sum)
		}
	}
}

// Guards against gateways that get no share while the team is far below its limits, and against shares that are not released when demand
// ends.
func TestDividerServesNewGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDivider()
		d.SetTeams(map[string]TeamConfig{"a": {Limits: apitypes.Limits{TokensPerSecond: 1000, Concurrent: 4}}})
		for round := range 4 {
			for i := range 3 {
				s := d.DivideLimits(fmt.Sprint("vm", i), map[string]Demand{"a": {TokensPerSecond: 100}})["a"]
				if round > 1 && (s.Tokens < 0.2 || s.Concurrent < 1 || s.BelowTarget) {
					t.Errorf("round %d, gateway %d: %+v", round, i, s)
				}
			}
			time.Sleep(reportInterval)
		}
		for i := range 2 {
			d.DivideLimits(fmt.Sprint("vm", i), map[string]Demand{"a": {}})
		}
		if s := d.DivideLimits("vm2", map[string]Demand{"a": {TokensPerSecond: 900, Concurrent: 1}})["a"]; s.Tokens < 0.9 || s.Concurrent < 2 {
			t.Errorf("after the others have left: %+v", s)
		}
		if s := d.DivideLimits("vm2", map[string]Demand{"unknown": {TokensPerSecond: 900}}); len(s) != 0 {
			t.Errorf("shares of an unknown team: %v", s)
		}
	})
}

// A gateway must stop using its share when it expires, since the Divider may then assign it to others.
func TestSharesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New()
		q.SetTeams(map[string]TeamConfig{"a": {Limits: apitypes.Limits{Concurrent: 40}}})
		q.SetFleetSize(20)
		countAdmitted := func() (n int) {
			var tickets []*Ticket
			for {
				ticket, err := q.Acquire(t.Context(), Request{Team: "a", Pool: "p", Tokens: 1})
				if err != nil {
					break
				}
				tickets = append(tickets, ticket)
			}
			for _, ticket := range tickets {
				ticket.Release(1)
			}
			return len(tickets)
		}
		if n := countAdmitted(); n != 1 {
			t.Errorf("%d requests without a share", n)
		}
		q.SetShares(map[string]LimitShare{"a": {Concurrent: 9}}, time.Now())
		if n := countAdmitted(); n != 9 {
			t.Errorf("%d requests with a share of 9", n)
		}
		time.Sleep(shareTTL)
		if n := countAdmitted(); n != 1 {
			t.Errorf("%d requests after the share has expired", n)
		}
	})
}
