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

func attempt(key, id string) apitypes.Claim {
	return apitypes.Claim{Key: key, BodyHash: "b", Attempt: id, Gateway: "vm.1", RequestID: "r-" + id, Endpoint: "e", Instance: "i1"}
}

func begin(t *testing.T, s *Store, c apitypes.Claim) (apitypes.Claim, bool) {
	t.Helper()
	existing, won, err := s.CreateClaim(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	return existing, won
}

func kindOf(err error) apierror.Kind { return apierror.From(err, apierror.ExecutionUnknown).Kind }

// Guards against two gateways that both win a key while answers of the platform are lost.
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
				_, won, err := s.CreateClaim(ctx, attempt(key, fmt.Sprintf("%d-%d", round, i)))
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

// Guards against writes of claims that are not counted, or counted with the repeats that write nothing.
func TestGroupsAreCounted(t *testing.T) {
	var groups []int
	s := NewStore(Options{Platform: memplatform.New(), OnShardWrite: func(n int) { groups = append(groups, n) }})
	for _, key := range []string{"a", "b", "a"} {
		begin(t, s, attempt(key, key))
	}
	if !slices.Equal(groups, []int{1, 1}) {
		t.Errorf("groups %v, want two writes of one claim", groups)
	}
}

// Guards against a repeat at another gateway that sees an old state of the claim for ever.
func TestRepeatSeesOutcomeElsewhere(t *testing.T) {
	p := memplatform.New()
	a, b := NewStore(Options{Platform: p}), NewStore(Options{Platform: p})
	c := attempt("k", "1")
	begin(t, a, c)
	if existing, won := begin(t, b, attempt("k", "2")); won || existing.State != apitypes.ClaimClaimed {
		t.Fatalf("repeat at once got %+v, won %v", existing, won)
	}
	if err := a.MarkDone(ctx, c, Outcome{Status: 201, Body: make([]byte, MaxBodyBytes+1)}); err != nil {
		t.Fatal(err)
	}
	if existing, won := begin(t, b, attempt("k", "3")); won || existing.Status != 201 || existing.BodyKept {
		t.Fatalf("repeat later got %+v, won %v", existing, won)
	}
	other := attempt("k", "4")
	other.BodyHash = "other"
	if _, _, err := b.CreateClaim(ctx, other); kindOf(err) != apierror.IdempotencyMismatch {
		t.Fatalf("another body gave %v", err)
	}
}

// Guards against a claim that stays in force after its request was refused as not run during an outage.
func TestOutageRefusesAndReleases(t *testing.T) {
	p := memplatform.New()
	s := NewStore(Options{Platform: p, BeginTimeout: 50 * time.Millisecond})
	p.SetFaults(memplatform.Faults{Down: true})
	_, _, err := s.CreateClaim(ctx, attempt("k", "1"))
	if e := apierror.From(err, apierror.ExecutionUnknown); e.Execution != apierror.NotExecuted || e.Kind != apierror.Unavailable {
		t.Fatalf("an outage gave %v", err)
	}
	p.SetFaults(memplatform.Faults{})
	if err := s.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if _, won := begin(t, NewStore(Options{Platform: p}), attempt("k", "2")); !won {
		t.Fatal("a new attempt after the outage did not win")
	}
}

// Guards against a claim that was written although its answer was lost and its caller was told "not run".
func TestGivenUpWriteIsMarkedNotRun(t *testing.T) {
	p := memplatform.New()
	s := NewStore(Options{Platform: p})
	c := attempt("k", "1")
	begin(t, s, c)
	s.disown(c)
	if err := s.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if _, won := begin(t, NewStore(Options{Platform: p}), attempt("k", "2")); !won {
		t.Fatal("the key stayed claimed")
	}
}

// Guards against a shard that grows above the platform's limit, or that drops a claim without an outcome to make room.
func TestFullShard(t *testing.T) {
	p := memplatform.New()
	s := NewStore(Options{Platform: p})
	shard := s.shards[0]
	shard.known, shard.fresh = make(map[string]apitypes.Claim), true
	const open = 220 // of about 4 KiB each; about 240 fill the shard
	for i := range open {
		c := attempt(fmt.Sprintf("open-%d", i), fmt.Sprint(i))
		c.State, c.Endpoint = apitypes.ClaimClaimed, strings.Repeat("e", 4000)
		shard.known[c.Key] = c
	}
	done := attempt("done", "d")
	done.State, done.Body, done.BodyKept = apitypes.ClaimDone, make([]byte, MaxBodyBytes), true
	done.UpdatedAt = time.Now().UnixMilli()
	shard.known[done.Key] = done
	var last error
	won := 0
	for i := range open {
		b := &beginning{claim: attempt(fmt.Sprintf("new-%d", i), fmt.Sprintf("n%d", i))}
		b.claim.Endpoint = strings.Repeat("e", 4000)
		if last = shard.do(ctx, &operation{apply: b.apply, adds: true}); last != nil {
			break
		}
		won++
	}
	if !errors.Is(last, errFull) || won == 0 {
		t.Fatalf("%d claims fitted, then %v", won, last)
	}
	if shard.known["done"].BodyKept {
		t.Fatal("a claim was refused while a body was kept")
	}
	finish := change(attempt("new-0", "n0"), apitypes.ClaimDone, &Outcome{Status: 200})
	if err := shard.do(ctx, &operation{apply: finish.apply}); err != nil || finish.superseded {
		t.Fatalf("a full shard refused an outcome: %v", err)
	}
	if len(shard.known) != open+1+won {
		t.Fatalf("the shard holds %d claims, want %d", len(shard.known), open+1+won)
	}
}

// Guards against claims that are dropped early, and against unresolved ones that expire.
func TestRetention(t *testing.T) {
	now := time.Now()
	p := memplatform.New()
	s := NewStore(Options{Platform: p, Now: func() time.Time { return now }})
	done, open := attempt("done", "1"), attempt("open", "2")
	begin(t, s, done)
	begin(t, s, open)
	if err := errors.Join(s.MarkDone(ctx, done, Outcome{Status: 200}), s.MarkUnresolved(ctx, open)); err != nil {
		t.Fatal(err)
	}
	now = now.Add(DefaultRetention - time.Second)
	if _, won := begin(t, s, attempt("done", "3")); won {
		t.Fatal("a claim ended before its retention")
	}
	now = now.Add(2 * time.Second)
	if _, won := begin(t, s, attempt("done", "4")); !won {
		t.Fatal("a claim outlived its retention")
	}
	if _, won := begin(t, s, attempt("open", "5")); won {
		t.Fatal("an unresolved claim expired")
	}
}

type fakeWorld struct {
	gone, owns bool
	answer     RequestStatus
	err        error
}

func (f fakeWorld) IsGone(context.Context, string) (bool, error)              { return f.gone, nil }
func (f fakeWorld) OwnsAttempt(context.Context, string, string) (bool, error) { return f.owns, nil }
func (f fakeWorld) QueryRequest(context.Context, apitypes.Claim) (RequestStatus, error) {
	return f.answer, f.err
}

// Guards against a claim that is released for a second run without proof that the first did not happen.
func TestReconciler(t *testing.T) {
	unknown := RequestStatus{State: RequestUnknown, Instance: "i1"}
	for name, c := range map[string]struct {
		world fakeWorld
		want  apitypes.ClaimState
	}{
		"owner works":            {fakeWorld{owns: true, answer: unknown}, apitypes.ClaimClaimed},
		"gone, done":             {fakeWorld{gone: true, answer: RequestStatus{State: RequestDone, Outcome: Outcome{Status: 200}}}, apitypes.ClaimDone},
		"gone, unknown":          {fakeWorld{gone: true, answer: unknown}, apitypes.ClaimNotRun},
		"gone, running":          {fakeWorld{gone: true, answer: RequestStatus{State: RequestRunning, Instance: "i1"}}, apitypes.ClaimUnresolved},
		"gone, restarted":        {fakeWorld{gone: true, answer: RequestStatus{State: RequestUnknown, Instance: "i2"}}, apitypes.ClaimUnresolved},
		"gone, can't be asked":   {fakeWorld{gone: true, err: errors.New("no lookup")}, apitypes.ClaimUnresolved},
		"alive, unknown":         {fakeWorld{answer: unknown}, apitypes.ClaimUnresolved},
		"gone, instance unnamed": {fakeWorld{gone: true, answer: RequestStatus{State: RequestUnknown}}, apitypes.ClaimUnresolved},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewStore(Options{Platform: memplatform.New()})
			begin(t, s, attempt("k", "1"))
			r := &Reconciler{Store: s, Incarnations: c.world, Endpoints: c.world, HoldsLease: func() bool { return true }, DispatchGrace: time.Nanosecond}
			if _, err := r.ReconcileOnce(ctx); err != nil {
				t.Fatal(err)
			}
			if existing, won := begin(t, s, attempt("k", "2")); won != (c.want == apitypes.ClaimNotRun) || !won && existing.State != c.want {
				t.Fatalf("state %s, won %v, want %s", existing.State, won, c.want)
			}
		})
	}
}

// Guards against a declaration that ran, whose gateway died, and that is lost or run again.
func TestReconcilerAsksTheService(t *testing.T) {
	service := standin.NewService(standin.ServiceConfig{})
	server := httptest.NewServer(service)
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	client := endpoint.New(endpoint.Options{})
	defer client.Close()
	s := NewStore(Options{Platform: memplatform.New()})
	ran, never := attempt("ran", "1"), attempt("never", "2")
	ran.Instance, never.Instance = service.Instance(), service.Instance()
	begin(t, s, ran)
	begin(t, s, never)
	if _, err := client.CallService(ctx, addr, endpoint.ServiceCall{Method: "POST", URI: "/x", RequestID: ran.RequestID}); err != nil {
		t.Fatal(err)
	}
	asker := HTTPEndpointQuerier{Client: client, Addr: func(name string) (string, bool) { return addr, name == "e" }}
	r := &Reconciler{Store: s, Incarnations: fakeWorld{gone: true}, Endpoints: asker, HoldsLease: func() bool { return true }, DispatchGrace: time.Nanosecond}
	if report, err := r.ReconcileOnce(ctx); err != nil || report.Done != 1 || report.NotRun != 1 {
		t.Fatalf("%+v, %v", report, err)
	}
	if existing, won := begin(t, s, attempt("ran", "3")); won || existing.Status != 200 || !existing.BodyKept || existing.ContentType != "application/json" {
		t.Fatalf("the outcome is %+v", existing)
	}
	r.HoldsLease = func() bool { return false }
	begin(t, s, attempt("later", "4"))
	if _, err := r.ReconcileOnce(ctx); !errors.Is(err, ErrNoAuthority) {
		t.Fatalf("a pass without the lease gave %v", err)
	}
}

// frozenGateway never answers for gateway "vm.frozen", as a stopped process or a partition does.
type frozenGateway struct{ fakeWorld }

func (f frozenGateway) IsGone(ctx context.Context, gateway string) (bool, error) {
	if gateway == "vm.frozen" {
		<-ctx.Done()
		return false, ctx.Err()
	}
	return f.gone, nil
}

// Guards against one gateway that does not answer and holds up the claims of all others, and against claims of such a gateway
// that are neither settled nor listed.
func TestSilentGateway(t *testing.T) {
	frozen := attempt("frozen", "1")
	frozen.Gateway = "vm.frozen"
	for name, c := range map[string]struct {
		answer     RequestState
		listAfter  time.Duration
		wantFrozen apitypes.ClaimState
	}{
		"silent for a short time":      {RequestUnknown, time.Hour, apitypes.ClaimClaimed},
		"silent for long":              {RequestUnknown, time.Nanosecond, apitypes.ClaimUnresolved},
		"silent, but the endpoint ran": {RequestDone, time.Hour, apitypes.ClaimDone},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewStore(Options{Platform: memplatform.New()})
			begin(t, s, frozen)
			begin(t, s, attempt("other", "2"))
			w := frozenGateway{fakeWorld{gone: true, answer: RequestStatus{State: c.answer, Instance: "i1", Outcome: Outcome{Status: 200}}}}
			r := &Reconciler{Store: s, Incarnations: w, Endpoints: w, HoldsLease: func() bool { return true },
				CallTimeout: 10 * time.Millisecond, UnresolvedAfter: c.listAfter, DispatchGrace: time.Nanosecond}
			for range 2 {
				if _, err := r.ReconcileOnce(ctx); err != nil {
					t.Fatal(err)
				}
			}
			again := frozen
			again.Attempt = "3"
			if existing, won := begin(t, s, again); won || existing.State != c.wantFrozen {
				t.Errorf("the claim of the silent gateway is %s, won %v, want %s", existing.State, won, c.wantFrozen)
			}
			if existing, won := begin(t, s, attempt("other", "4")); !won && existing.State != apitypes.ClaimDone {
				t.Errorf("the other claim is %s", existing.State)
			}
		})
	}
}

// Guards against a claim that is released although its gateway may still dispatch it: a VM that is new is missing from a list
// that lags, just as one that is gone.
func TestClaimOfUnlistedGatewayWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore(Options{Platform: memplatform.New()})
		begin(t, s, attempt("k", "1"))
		w := fakeWorld{gone: true, answer: RequestStatus{State: RequestUnknown, Instance: "i1"}}
		r := &Reconciler{Store: s, Incarnations: w, Endpoints: w, HoldsLease: func() bool { return true }}
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
