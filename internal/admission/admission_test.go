package admission

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
)

// submit starts n requests, each of which runs for 100 ms after admission. An admitted request sends its team and priority to admitted.
func submit(t *testing.T, q *Queue, n int, r Request, admitted chan<- string) {
	for range n {
		go func() {
			ticket, err := q.Acquire(t.Context(), r)
			if err != nil {
				return
			}
			admitted <- fmt.Sprint(r.Team, r.Priority)
			time.Sleep(100 * time.Millisecond)
			ticket.Release(r.Tokens)
		}()
	}
	synctest.Wait()
}

// receiveCounts receives n values and returns how often each came.
func receiveCounts(admitted <-chan string, n int) map[string]int {
	got := make(map[string]int)
	for range n {
		got[<-admitted]++
	}
	return got
}

// A team that floods a pool must not take the weighted share of other teams.
func TestFloodLeavesWeightedShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New()
		q.SetTeams(map[string]TeamConfig{"flood": {}, "small": {Weight: 2}})
		q.SetCapacity("p", 1, 1000)
		admitted := make(chan string, 400)
		submit(t, q, 300, Request{Team: "flood", Pool: "p", Tokens: 100, Priority: 1}, admitted)
		submit(t, q, 40, Request{Team: "small", Pool: "p", Tokens: 100, Priority: 1}, admitted)
		if got := receiveCounts(admitted, 58)["small1"]; got < 36 {
			t.Errorf("small team got %d of 58 dispatches, want two thirds", got)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against starvation of the lower classes, and against lower classes that get more than their minimum share.
func TestLowClassesGetMinimumShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New()
		q.SetCapacity("p", 1, 10000)
		admitted := make(chan string, 1000)
		for class := range apitypes.Priority(apitypes.PriorityClasses) {
			submit(t, q, 200, Request{Team: "t", Pool: "p", Tokens: 100, Priority: class}, admitted)
		}
		// The first request finds no queue, and both lower classes become due at the same dispatch, so the last of 20 comes
		// at the 102nd.
		got := receiveCounts(admitted, 102)
		if got["t1"] != 20 || got["t2"] != 20 {
			t.Errorf("dispatches by class: %v, want 20 of 102 for each lower class", got)
		}
		time.Sleep(time.Minute)
	})
}

// A request that can't be admitted before its deadline must get a DeadlineUnreachable error, immediately when the predicted wait is too long and
// otherwise at the deadline.
func TestUnreachableDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New()
		q.SetCapacity("p", 1, 1000)
		first, err := q.Acquire(t.Context(), Request{Team: "a", Pool: "p", Tokens: 1000})
		if err != nil {
			t.Fatal(err)
		}
		submit(t, q, 5, Request{Team: "a", Pool: "p", Tokens: 1000}, make(chan string, 5))
		q.SetCapacity("empty", 0, 0)
		var refusal *apierror.Error
		if _, err := q.Acquire(t.Context(), Request{Team: "a", Pool: "empty"}); !errors.As(err, &refusal) || refusal.Kind != apierror.Unavailable {
			t.Errorf("pool without capacity: %v", err)
		}
		check := func(limit time.Duration) {
			t.Helper()
			start := time.Now()
			_, err := q.Acquire(t.Context(), Request{Team: "a", Pool: "p", Tokens: 10, Deadline: start.Add(2 * time.Second)})
			var e *apierror.Error
			if !errors.As(err, &e) || e.Kind != apierror.DeadlineUnreachable || e.Execution != apierror.NotExecuted {
				t.Fatalf("got %v", err)
			}
			if got := time.Since(start); got > limit {
				t.Errorf("refused after %v, want at most %v", got, limit)
			}
		}
		check(0)
		q.SetCapacity("p", 1, 1e9)
		check(2 * time.Second)
		first.Release(1000)
		time.Sleep(time.Minute)
	})
}

// Guards against a panic, or waiting requests that are not counted, when requests above their team's fair share wait.
func TestWaitingByClassCountsSurplus(t *testing.T) {
	q := New()
	q.SetTeams(map[string]TeamConfig{"a": {}})
	q.SetCapacity("p", 1, 1000)
	p := q.pools["p"]
	for _, class := range []int{1, 1 + apitypes.PriorityClasses} {
		if !p.enqueue(&waiter{class: class, team: q.teams["a"], tokens: 1}) {
			t.Fatal("the queue is full")
		}
	}
	if got := q.WaitingByClass(); got != [apitypes.PriorityClasses]int{0, 2} {
		t.Errorf("waiting by class: %v", got)
	}
}

// A request that is cancelled while it waits must not stay in the queue or in the counts of its team.
func TestCancelledWaiterIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New()
		q.SetTeams(map[string]TeamConfig{"a": {Limits: apitypes.Limits{Concurrent: 2}}})
		q.SetCapacity("p", 1, 1000)
		first, _ := q.Acquire(t.Context(), Request{Team: "a", Pool: "p", Tokens: 10})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := q.Acquire(ctx, Request{Team: "a", Pool: "p", Tokens: 10})
			done <- err
		}()
		synctest.Wait()
		if got := q.WaitingByClass(); got != [apitypes.PriorityClasses]int{1} {
			t.Errorf("waiting by class: %v", got)
		}
		if _, err := q.Acquire(t.Context(), Request{Team: "a", Pool: "p"}); err == nil {
			t.Error("third concurrent request admitted under a limit of 2")
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
		first.Release(10)
		first.Release(10)
		if got := q.WaitingByClass(); got != [apitypes.PriorityClasses]int{} {
			t.Errorf("waiting after the end: %v", got)
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		if p := q.pools["p"]; p.waiting != 0 || p.inFlight != 0 || q.teams["a"].running != 0 {
			t.Errorf("after the end: %d waiting, %d in flight", p.waiting, p.inFlight)
		}
	})
}

// The queue must stay bounded. When it is full, requests of the flooding teams must be dropped, not those of others.
func TestFullQueueDropsLongestFlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New()
		q.SetCapacity("p", 1, 1e9)
		if _, err := q.Acquire(t.Context(), Request{Team: "x", Pool: "p"}); err != nil {
			t.Fatal(err)
		}
		admitted := make(chan string, 10)
		for i := range maxWaiting / maxFlowWaiting {
			submit(t, q, maxFlowWaiting, Request{Team: fmt.Sprint("flood", i), Pool: "p", Tokens: 1}, admitted)
		}
		submit(t, q, 3, Request{Team: "small", Pool: "p", Tokens: 1}, admitted)
		q.mu.Lock()
		waiting, small := q.pools["p"].waiting, q.teams["small"].waiting
		q.mu.Unlock()
		if waiting != maxWaiting || small != 3 {
			t.Errorf("%d waiting, %d of them of the small team", waiting, small)
		}
		time.Sleep(time.Hour)
	})
}

// Gateways that each grant a team's whole limit would exceed it together.
func TestLimitsAreSharedByDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := map[string]TeamConfig{"a": {Limits: apitypes.Limits{RequestsPerSecond: 40}}, "c": {Limits: apitypes.Limits{Concurrent: 5}}}
		gateways := make([]*Queue, 4)
		for i := range gateways {
			gateways[i] = New()
			gateways[i].SetVMName(fmt.Sprint("vm", i))
			gateways[i].SetTeams(config)
		}
		exchange := func() {
			for i, from := range gateways {
				for j, to := range gateways {
					if i != j {
						to.SetPeerDemand(fmt.Sprint("vm", i), from.DemandByTeam())
					}
				}
			}
		}
		exchange()
		admitted, concurrent := 0, 0
		for step := range 3000 {
			if step%20 == 0 {
				exchange()
			}
			if step == 1000 {
				admitted = 0
			}
			for i := range 1 + step%2 {
				if ticket, err := gateways[i].Acquire(t.Context(), Request{Team: "a", Pool: "p", Tokens: 100}); err == nil {
					admitted++
					ticket.Release(100)
				}
			}
			if _, err := gateways[step%4].Acquire(t.Context(), Request{Team: "c", Pool: "p"}); err == nil {
				concurrent++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if admitted < 40*20*9/10 || admitted > 40*20*11/10 {
			t.Errorf("%d requests admitted in 20 s under a limit of 40/s", admitted)
		}
		if concurrent != 5 {
			t.Errorf("%d concurrent requests under a limit of 5", concurrent)
		}
	})
}

// BenchmarkAdmission3500Teams measures Acquire and Release without a queue, with limits for each of 3,500 teams.
func BenchmarkAdmission3500Teams(b *testing.B) {
	q := New()
	teams := make(map[string]TeamConfig)
	names := make([]string, 3500)
	for i := range names {
		names[i] = fmt.Sprintf("team-%04d", i)
		teams[names[i]] = TeamConfig{Weight: 1, Limits: apitypes.Limits{TokensPerSecond: 1e12, RequestsPerSecond: 1e9, Concurrent: 1000}}
	}
	q.SetTeams(teams)
	q.SetPeerDemand("vm2", map[string]Demand{names[0]: {TokensPerSecond: 10}})
	q.SetCapacity("p", 100, 1e6)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		ticket, err := q.Acquire(b.Context(), Request{Team: names[i*7%3500], Pool: "p", Tokens: 500, Priority: 1})
		if err != nil {
			b.Fatal(err)
		}
		ticket.Release(480)
	}
}

// BenchmarkQueued3500Teams measures dispatch and enqueue while one request of each of 3,500 teams waits.
func BenchmarkQueued3500Teams(b *testing.B) {
	q := New()
	q.SetCapacity("p", 1, 1e9)
	now := time.Now()
	p := q.pools["p"]
	p.inFlight = 1
	for i := range 3500 {
		p.enqueue(&waiter{pool: p, team: q.team(fmt.Sprintf("team-%04d", i)), tokens: 100 + i, class: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		head := p.classes[1].active[0].team
		p.inFlight--
		p.dispatch(now)
		head.running--
		p.enqueue(&waiter{pool: p, team: head, tokens: 100, class: 1})
	}
}
