package claim

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/standin"
)

var ctx = context.Background()

// newClaim returns a claim of a key by the attempt with the given id.
func newClaim(key, id string) apitypes.Claim {
	return apitypes.Claim{Key: key, BodyHash: "b", Attempt: id, Gateway: "vm.1", RequestID: "r-" + id, Endpoint: "e", Instance: "i1"}
}

func mustCreateClaim(t *testing.T, s *Store, c apitypes.Claim) (apitypes.Claim, bool) {
	t.Helper()
	existing, won, err := s.CreateClaim(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	return existing, won
}

func kindOf(err error) apierror.Kind { return apierror.From(err, apierror.ExecutionUnknown).Kind }

// Guards against two gateways that both win a key while responses of the platform are lost.
func TestOneWinnerPerKey(t *testing.T) {
	p := memplatform.New()
	stores := []*Store{NewStore(Options{Platform: p}), NewStore(Options{Platform: p}), NewStore(Options{Platform: p})}
	var wg sync.WaitGroup
	var mu sync.Mutex
	winners := make(map[string]int)
	for round := range 40 {
		key := fmt.Sprintf("key-%d", round)
		p.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 2 })
		for i, s := range stores {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, won, err := s.CreateClaim(ctx, newClaim(key, fmt.Sprintf("%d-%d", round, i)))
				if err != nil {
					t.Error(err)
				}
				if won {
					mu.Lock()
					winners[key]++
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		if winners[key] != 1 {
			t.Fatalf("%d winners of %s", winners[key], key)
		}
	}
}

// Guards against shard writes that are not reported to OnShardWrite, and against reports of repeated requests that write nothing.
func TestShardWritesAreCounted(t *testing.T) {
	var writes []int
	s := NewStore(Options{Platform: memplatform.New(), OnShardWrite: func(n int) { writes = append(writes, n) }})
	for _, key := range []string{"a", "b", "a"} {
		mustCreateClaim(t, s, newClaim(key, key))
	}
	if !slices.Equal(writes, []int{1, 1}) {
		t.Errorf("writes of %v operations, want two writes of one", writes)
	}
}

// Guards against a repeated request at another gateway that keeps seeing an old state of the claim.
func TestRepeatSeesOutcomeElsewhere(t *testing.T) {
	p := memplatform.New()
	a, b := NewStore(Options{Platform: p}), NewStore(Options{Platform: p})
	c := newClaim("k", "1")
	mustCreateClaim(t, a, c)
	if existing, won := mustCreateClaim(t, b, newClaim("k", "2")); won || existing.State != apitypes.ClaimClaimed {
		t.Fatalf("the repeat before the outcome got %+v, won %v", existing, won)
	}
	if err := a.MarkDone(ctx, c, Outcome{Status: 201, Body: make([]byte, MaxBodyBytes+1)}); err != nil {
		t.Fatal(err)
	}
	if existing, won := mustCreateClaim(t, b, newClaim("k", "3")); won || existing.Status != 201 || existing.BodyKept {
		t.Fatalf("the repeat after the outcome got %+v, won %v", existing, won)
	}
	other := newClaim("k", "4")
	other.BodyHash = "other"
	if _, _, err := b.CreateClaim(ctx, other); kindOf(err) != apierror.IdempotencyMismatch {
		t.Fatalf("a repeat with a different body gave %v", err)
	}
}

// Guards against a claim that stays in state claimed after its request was refused as not run during an outage of the platform.
func TestOutageRefusesAndReleases(t *testing.T) {
	p := memplatform.New()
	s := NewStore(Options{Platform: p, ClaimTimeout: 50 * time.Millisecond})
	p.SetFaults(memplatform.Faults{Down: true})
	_, _, err := s.CreateClaim(ctx, newClaim("k", "1"))
	if e := apierror.From(err, apierror.ExecutionUnknown); e.Execution != apierror.NotExecuted || e.Kind != apierror.Unavailable {
		t.Fatalf("an outage gave %v", err)
	}
	p.SetFaults(memplatform.Faults{})
	if err := s.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if _, won := mustCreateClaim(t, NewStore(Options{Platform: p}), newClaim("k", "2")); !won {
		t.Fatal("a new attempt after the outage did not win")
	}
}

// Guards against a key that stays claimed when the write took effect but its response was lost and the request was refused as not run.
func TestAbandonedWriteIsMarkedNotRun(t *testing.T) {
	p := memplatform.New()
	s := NewStore(Options{Platform: p})
	c := newClaim("k", "1")
	mustCreateClaim(t, s, c)
	s.markNotRunInBackground(c)
	if err := s.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if _, won := mustCreateClaim(t, NewStore(Options{Platform: p}), newClaim("k", "2")); !won {
		t.Fatal("the key stayed claimed")
	}
}

// Guards against a shard that grows above the platform's size limit, and against dropping a claim without an outcome to free space.
func TestFullShard(t *testing.T) {
	p := memplatform.New()
	s := NewStore(Options{Platform: p})
	shard := s.shards[0]
	shard.claims, shard.loaded = make(map[string]apitypes.Claim), true
	const open = 220 // claims of about 4 KiB each; about 240 fill the shard
	for i := range open {
		c := newClaim(fmt.Sprintf("open-%d", i), fmt.Sprint(i))
		c.State, c.Endpoint = apitypes.ClaimClaimed, strings.Repeat("e", 4000)
		shard.claims[c.Key] = c
	}
	done := newClaim("done", "d")
	done.State, done.Body, done.BodyKept = apitypes.ClaimDone, make([]byte, MaxBodyBytes), true
	done.UpdatedAt = time.Now().UnixMilli()
	shard.claims[done.Key] = done
	var last error
	won := 0
	for i := range open {
		create := &creation{claim: newClaim(fmt.Sprintf("new-%d", i), fmt.Sprintf("n%d", i))}
		create.claim.Endpoint = strings.Repeat("e", 4000)
		if last = shard.execute(ctx, &operation{apply: create.apply, addsClaim: true}); last != nil {
			break
		}
		won++
	}
	if !errors.Is(last, errFull) || won == 0 {
		t.Fatalf("%d claims were added, then the error was %v, want errFull", won, last)
	}
	if shard.claims["done"].BodyKept {
		t.Fatal("a claim was refused while a body was still stored")
	}
	finish := newTransition(newClaim("new-0", "n0"), apitypes.ClaimDone, &Outcome{Status: 200})
	if err := shard.execute(ctx, &operation{apply: finish.apply}); err != nil || finish.superseded {
		t.Fatalf("a full shard refused an outcome: %v", err)
	}
	if len(shard.claims) != open+1+won {
		t.Fatalf("the shard holds %d claims, want %d", len(shard.claims), open+1+won)
	}
}

// Guards against claims that are removed before or kept after their retention, and against unresolved claims that expire.
func TestRetention(t *testing.T) {
	now := time.Now()
	p := memplatform.New()
	s := NewStore(Options{Platform: p, Now: func() time.Time { return now }})
	done, open := newClaim("done", "1"), newClaim("open", "2")
	mustCreateClaim(t, s, done)
	mustCreateClaim(t, s, open)
	if err := errors.Join(s.MarkDone(ctx, done, Outcome{Status: 200}), s.MarkUnresolved(ctx, open)); err != nil {
		t.Fatal(err)
	}
	now = now.Add(DefaultRetention - time.Second)
	if _, won := mustCreateClaim(t, s, newClaim("done", "3")); won {
		t.Fatal("a claim was removed before its retention had passed")
	}
	now = now.Add(2 * time.Second)
	if _, won := mustCreateClaim(t, s, newClaim("done", "4")); !won {
		t.Fatal("a claim was kept after its retention had passed")
	}
	if _, won := mustCreateClaim(t, s, newClaim("open", "5")); won {
		t.Fatal("an unresolved claim expired")
	}
}

// fakeCluster implements IncarnationTracker and RequestQuerier with fixed results.
type fakeCluster struct {
	gone, owns bool
	status     RequestStatus
	err        error
}

func (f fakeCluster) IsGone(context.Context, string) (bool, error)              { return f.gone, nil }
func (f fakeCluster) OwnsAttempt(context.Context, string, string) (bool, error) { return f.owns, nil }
func (f fakeCluster) QueryRequest(context.Context, apitypes.Claim) (RequestStatus, error) {
	return f.status, f.err
}

// Guards against a claim that is released for another attempt although the first attempt may have run.
func TestReconciler(t *testing.T) {
	unknown := RequestStatus{State: RequestUnknown, Instance: "i1"}
	for name, c := range map[string]struct {
		cluster fakeCluster
		want    apitypes.ClaimState
	}{
		"gateway owns the attempt":      {fakeCluster{owns: true, status: unknown}, apitypes.ClaimClaimed},
		"gone, done":                    {fakeCluster{gone: true, status: RequestStatus{State: RequestDone, Outcome: Outcome{Status: 200}}}, apitypes.ClaimDone},
		"gone, unknown":                 {fakeCluster{gone: true, status: unknown}, apitypes.ClaimNotRun},
		"gone, running":                 {fakeCluster{gone: true, status: RequestStatus{State: RequestRunning, Instance: "i1"}}, apitypes.ClaimUnresolved},
		"gone, restarted":               {fakeCluster{gone: true, status: RequestStatus{State: RequestUnknown, Instance: "i2"}}, apitypes.ClaimUnresolved},
		"gone, query fails":             {fakeCluster{gone: true, err: errors.New("no lookup")}, apitypes.ClaimUnresolved},
		"alive, unknown":                {fakeCluster{status: unknown}, apitypes.ClaimUnresolved},
		"gone, no instance in response": {fakeCluster{gone: true, status: RequestStatus{State: RequestUnknown}}, apitypes.ClaimUnresolved},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewStore(Options{Platform: memplatform.New()})
			mustCreateClaim(t, s, newClaim("k", "1"))
			r := &Reconciler{Store: s, Incarnations: c.cluster, Endpoints: c.cluster, HoldsLease: func() bool { return true }, DispatchGrace: time.Nanosecond}
			if _, err := r.ReconcileOnce(ctx); err != nil {
				t.Fatal(err)
			}
			if existing, won := mustCreateClaim(t, s, newClaim("k", "2")); won != (c.want == apitypes.ClaimNotRun) || !won && existing.State != c.want {
				t.Fatalf("state %s, won %v, want %s", existing.State, won, c.want)
			}
		})
	}
}

// Guards against a request whose outcome is lost, or that runs again, when its gateway died after the service ran it.
func TestReconcilerQueriesService(t *testing.T) {
	service := standin.NewService(standin.ServiceConfig{})
	server := httptest.NewServer(service)
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	client := endpoint.New(endpoint.Options{})
	defer client.Close()
	s := NewStore(Options{Platform: memplatform.New()})
	ran, never := newClaim("ran", "1"), newClaim("never", "2")
	ran.Instance, never.Instance = service.Instance(), service.Instance()
	mustCreateClaim(t, s, ran)
	mustCreateClaim(t, s, never)
	if _, err := client.CallService(ctx, addr, endpoint.ServiceCall{Method: "POST", URI: "/x", RequestID: ran.RequestID}); err != nil {
		t.Fatal(err)
	}
	querier := HTTPRequestQuerier{Client: client, Addr: func(name string) (string, bool) { return addr, name == "e" }}
	r := &Reconciler{Store: s, Incarnations: fakeCluster{gone: true}, Endpoints: querier, HoldsLease: func() bool { return true }, DispatchGrace: time.Nanosecond}
	if report, err := r.ReconcileOnce(ctx); err != nil || report.Done != 1 || report.NotRun != 1 {
		t.Fatalf("%+v, %v", report, err)
	}
	if existing, won := mustCreateClaim(t, s, newClaim("ran", "3")); won || existing.Status != 200 || !existing.BodyKept || existing.ContentType != "application/json" {
		t.Fatalf("the outcome is %+v", existing)
	}
	r.HoldsLease = func() bool { return false }
	mustCreateClaim(t, s, newClaim("later", "4"))
	if _, err := r.ReconcileOnce(ctx); !errors.Is(err, ErrNoAuthority) {
		t.Fatalf("a pass without the lease returned %v, want ErrNoAuthority", err)
	}
}

// frozenGateway blocks queries of the gateway "vm.frozen", as for a stopped process or during a partition.
type frozenGateway struct{ fakeCluster }

func (f frozenGateway) IsGone(ctx context.Context, gateway string) (bool, error) {
	if gateway == "vm.frozen" {
		<-ctx.Done()
		return false, ctx.Err()
	}
	return f.gone, nil
}

// Guards against one unresponsive gateway that blocks the claims of all others, and against claims of such a gateway that are neither
// resolved nor marked unresolved.
func TestUnresponsiveGateway(t *testing.T) {
	frozen := newClaim("frozen", "1")
	frozen.Gateway = "vm.frozen"
	for name, c := range map[string]struct {
		state           RequestState
		unresolvedAfter time.Duration
		wantFrozen      apitypes.ClaimState
	}{
		"unresponsive for a short time":         {RequestUnknown, time.Hour, apitypes.ClaimClaimed},
		"unresponsive for a long time":          {RequestUnknown, time.Nanosecond, apitypes.ClaimUnresolved},
		"unresponsive, but the endpoint ran it": {RequestDone, time.Hour, apitypes.ClaimDone},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewStore(Options{Platform: memplatform.New()})
			mustCreateClaim(t, s, frozen)
			mustCreateClaim(t, s, newClaim("other", "2"))
			cluster := frozenGateway{fakeCluster{gone: true, status: RequestStatus{State: c.state, Instance: "i1", Outcome: Outcome{Status: 200}}}}
			r := &Reconciler{Store: s, Incarnations: cluster, Endpoints: cluster, HoldsLease: func() bool { return true },
				CallTimeout: 10 * time.Millisecond, UnresolvedAfter: c.unresolvedAfter, DispatchGrace: time.Nanosecond}
			for range 2 {
				if _, err := r.ReconcileOnce(ctx); err != nil {
					t.Fatal(err)
				}
			}
			again := frozen
			again.Attempt = "3"
			if existing, won := mustCreateClaim(t, s, again); won || existing.State != c.wantFrozen {
				t.Errorf("the claim of the unresponsive gateway is %s, won %v, want %s", existing.State, won, c.wantFrozen)
			}
			if existing, won := mustCreateClaim(t, s, newClaim("other", "4")); !won && existing.State != apitypes.ClaimDone {
				t.Errorf("the other claim is %s", existing.State)
			}
		})
	}
}

// Guards against a claim that is released although its gateway may still dispatch the request: an outdated list of VMs lacks a new VM
// just as it lacks one that is gone.
func TestClaimOfUnlistedGatewayWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore(Options{Platform: memplatform.New()})
		mustCreateClaim(t, s, newClaim("k", "1"))
		cluster := fakeCluster{gone: true, status: RequestStatus{State: RequestUnknown, Instance: "i1"}}
		r := &Reconciler{Store: s, Incarnations: cluster, Endpoints: cluster, HoldsLease: func() bool { return true }}
		for _, want := range []apitypes.ClaimState{apitypes.ClaimClaimed, apitypes.ClaimNotRun} {
			if _, err := r.ReconcileOnce(ctx); err != nil {
				t.Fatal(err)
			}
			if open, err := s.ListOpenClaims(ctx); err != nil || len(open) == 0 != (want == apitypes.ClaimNotRun) {
				t.Fatalf("open claims %+v, %v; want state %s", open, err, want)
			}
			time.Sleep(DefaultDispatchGrace)
		}
	})
}
