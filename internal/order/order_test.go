package order

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/certtest"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEngine is an EngineClient that applies each order id once and checks fencing tokens when checksFence is set.
type fakeEngine struct {
	mu          sync.Mutex
	checksFence bool
	fence       uint64
	applied     []string
	// loseResponses is the number of next orders that take effect without a response; hang makes orders wait until their context ends.
	loseResponses int
	hang          bool
}

func (e *fakeEngine) SendOrder(ctx context.Context, _ apitypes.Endpoint, o apitypes.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hang {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return ctx.Err()
	}
	if e.checksFence && o.Fence < e.fence {
		return errors.Wrap(ErrRefused, "old fencing token")
	}
	e.fence = max(e.fence, o.Fence)
	if !slices.Contains(e.applied, o.ID) {
		e.applied = append(e.applied, o.ID)
	}
	if e.loseResponses > 0 {
		e.loseResponses--
		return errors.New("connection reset")
	}
	return nil
}

type fixture struct {
	mem    *memplatform.Platform
	engine *fakeEngine
	// afterOrder, when set, runs after each provider order has taken effect.
	afterOrder func()
	// outcomes are the recorded outcomes, as "<kind> <state>".
	outcomes []string
}

// PlaceOrder implements objectstore.Provider; the response is lost when afterOrder is set.
func (f *fixture) PlaceOrder(ctx context.Context, pool string, o apitypes.Order, expected uint64) (objectstore.ProviderView, error) {
	view, err := f.mem.PlaceOrder(ctx, pool, o, expected)
	if err == nil && f.afterOrder != nil {
		f.afterOrder()
		return objectstore.ProviderView{}, objectstore.ErrUnavailable
	}
	return view, err
}

// Endpoints implements objectstore.Provider.
func (f *fixture) Endpoints(ctx context.Context, pool string) (objectstore.ProviderView, error) {
	return f.mem.Endpoints(ctx, pool)
}

func newFixture(checks bool) *fixture {
	f := &fixture{mem: memplatform.New(), engine: &fakeEngine{checksFence: checks}}
	f.mem.SetEndpoints("p", []apitypes.Endpoint{{Name: "e1", FailureDomain: "roja", Class: apitypes.OnDemand}})
	return f
}

func (f *fixture) dispatcher(a *lease.Authority) *Dispatcher {
	return New(Options{Pool: "p", Holder: "h", Authority: a, Store: f.mem, Provider: f, EngineClient: f.engine,
		OnOutcome: func(k apitypes.OrderKind, s apitypes.IntentState) {
			f.outcomes = append(f.outcomes, string(k)+" "+string(s))
		},
		LookupEndpoint: func(name string) (apitypes.Endpoint, bool) {
			return apitypes.Endpoint{Name: name, FailureDomain: "roja", Class: apitypes.OnDemand, ChecksFence: f.engine.checksFence}, name == "e1"
		}})
}

// takeOver starts a term that ends with the test.
func (f *fixture) takeOver(t *testing.T, fence uint64) (*Dispatcher, *lease.Authority) {
	a := lease.NewAuthority(t.Context(), fence, time.Hour, nil)
	d := f.dispatcher(a)
	if err := d.TakeOver(t.Context()); err != nil {
		t.Fatal(err)
	}
	return d, a
}

func setRole(id string) apitypes.Order {
	return apitypes.Order{ID: id, Kind: apitypes.OrderSetRole, Value: "decode", Endpoint: "e1"}
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

// Guards against a stale holder whose intent is still accepted after another holder has taken over, and against its late order being
// applied by an engine that checks fencing tokens.
func TestStaleHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true)
		stale, a1 := f.takeOver(t, 1)
		next, a2 := f.takeOver(t, 2)
		defer a1.End()
		defer a2.End()
		wantErr(t, stale.Submit(t.Context(), setRole("late")), ErrSuperseded)
		wantErr(t, next.Submit(t.Context(), setRole("o2")), nil)
		wantErr(t, f.engine.SendOrder(t.Context(), apitypes.Endpoint{}, apitypes.Order{ID: "late", Fence: 1}), ErrRefused)
		if !slices.Equal(f.engine.applied, []string{"o2"}) {
			t.Errorf("applied %v", f.engine.applied)
		}
		wantErr(t, f.dispatcher(a1).TakeOver(t.Context()), ErrSuperseded)
		a2.End()
		wantErr(t, next.Submit(t.Context(), setRole("o3")), lease.ErrNoAuthority)
	})
}

// Guards against orders that are applied twice or lost when responses of the platform, the engine or the provider are lost.
func TestLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		f.mem.SetFaults(memplatform.Faults{LoseAnswers: 1})
		d, a := f.takeOver(t, 1)
		defer a.End()
		f.mem.SetFaults(memplatform.Faults{LoseAnswers: 2})
		f.engine.loseResponses = 3
		wantErr(t, d.Submit(t.Context(), setRole("o1")), nil)
		f.mem.SetFaults(memplatform.Faults{LoseAnswers: 4})
		wantErr(t, d.Submit(t.Context(), apitypes.Order{ID: "o2", Kind: apitypes.OrderAdd, FailureDomain: "roja", Class: apitypes.OnDemand}), nil)
		view, err := f.mem.Endpoints(t.Context(), "p")
		if err != nil || len(view.Endpoints) != 2 || len(f.engine.applied) != 1 {
			t.Errorf("endpoints %v, engine applied %v, %v", view.Endpoints, f.engine.applied, err)
		}
		if got := d.State().Intents; len(got) != 1 || got[0].State != apitypes.IntentDone {
			t.Errorf("intents %+v", got)
		}
	})
}

// loseAuthorityDuringOrder ends the authority of a first holder while its order is in flight, so that the order stays unresolved.
func (f *fixture) loseAuthorityDuringOrder(t *testing.T) {
	f.engine.hang = true
	d, a := f.takeOver(t, 1)
	time.AfterFunc(time.Second, a.End)
	wantErr(t, d.Submit(t.Context(), setRole("o1")), lease.ErrNoAuthority)
	f.engine.hang = false
	f.engine.applied = nil
}

// Guards against a successor that does not resend an unresolved order to an engine that checks fencing tokens.
func TestSuccessorReissues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true)
		f.loseAuthorityDuringOrder(t)
		d, a := f.takeOver(t, 2)
		defer a.End()
		if !slices.Equal(f.engine.applied, []string{"o1"}) || f.engine.fence != 2 || len(d.State().Abandoned) != 0 {
			t.Errorf("applied %v with fencing token %d; state %+v", f.engine.applied, f.engine.fence, d.State())
		}
	})
}

// Guards against a second order to an endpoint that ignores fencing tokens and may still receive the first order, and against an
// abandoned endpoint that is not replaced or is replaced twice.
func TestAmbiguousEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		f.loseAuthorityDuringOrder(t)
		// The first successor loses its authority after it has ordered the replacement.
		a := lease.NewAuthority(t.Context(), 2, time.Hour, nil)
		f.afterOrder = a.End
		wantErr(t, f.dispatcher(a).TakeOver(t.Context()), lease.ErrNoAuthority)
		f.afterOrder = nil
		for fence := uint64(3); fence < 5; fence++ {
			f.mem.UpdateFaults(func(x *memplatform.Faults) { x.LoseAnswers = 3 })
			d, a := f.takeOver(t, fence)
			defer a.End()
			wantErr(t, d.Submit(t.Context(), setRole("o2")), ErrAbandoned)
			wantErr(t, d.Undrain(t.Context(), "e1"), ErrAbandoned)
			s := d.State()
			if len(f.engine.applied) != 0 || !slices.Equal(s.Abandoned, []string{"e1"}) || !strings.Contains(s.Drained["e1"], "o1") {
				t.Errorf("applied %v; state %+v", f.engine.applied, s)
			}
			if view, err := f.mem.Endpoints(t.Context(), "p"); err != nil || len(view.Endpoints) != 2 {
				t.Errorf("endpoints %v, %v; want the old one and one replacement", view.Endpoints, err)
			}
		}
	})
}

// Guards against an engine that does not respond and blocks the pool's orders for ever, and against two unresolved intents at a time.
func TestSilentEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true)
		d, a := f.takeOver(t, 1)
		defer a.End()
		f.engine.hang = true
		go func() { wantErr(t, d.Submit(t.Context(), setRole("o1")), ErrAbandoned) }()
		time.Sleep(time.Second)
		wantErr(t, d.Submit(t.Context(), apitypes.Order{ID: "o2", Kind: apitypes.OrderAdd, FailureDomain: "roja", Class: apitypes.OnDemand}), nil)
		if s := d.State(); !slices.Equal(s.Abandoned, []string{"e1"}) || len(s.Intents) != 1 {
			t.Errorf("state %+v", s)
		}
		if !slices.Equal(f.outcomes, []string{"set_role ambiguous", "add done", "add done"}) {
			t.Errorf("outcomes %q", f.outcomes)
		}
	})
}

// Guards against actions whose orders to one endpoint interleave, such as a role change in the middle of a cleaning.
func TestActionsDoNotInterleave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true)
		d, a := f.takeOver(t, 1)
		defer a.End()
		cleaning, err := d.BeginAction(t.Context(), "e1")
		wantErr(t, err, nil)
		go func() { wantErr(t, d.Submit(t.Context(), setRole("role")), nil) }()
		synctest.Wait()
		for _, o := range []apitypes.Order{{ID: "drain", Kind: apitypes.OrderDrain, Endpoint: "e1"}, {ID: "resume", Kind: apitypes.OrderResume, Endpoint: "e1"}} {
			wantErr(t, cleaning.Submit(t.Context(), o), nil)
		}
		wantErr(t, d.SetCleaned(t.Context(), "e1", time.Now()), nil)
		cleaning.End()
		synctest.Wait()
		if !slices.Equal(f.engine.applied, []string{"drain", "resume", "role"}) || d.State().Cleaned["e1"] == 0 {
			t.Errorf("applied %v; state %+v", f.engine.applied, d.State())
		}
	})
}

// Guards against wrong interpretation of the control protocol's responses: a refusal treated as an unknown outcome, or an order that was
// never sent treated as one that may have arrived.
func TestControlProtocol(t *testing.T) {
	status := http.StatusOK
	var got apitypes.Order
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(&got)
		w.WriteHeader(status)
	}))
	a := lease.NewAuthority(t.Context(), 7, time.Hour, nil)
	e := apitypes.Endpoint{Addr: server.Listener.Addr().String()}
	o := apitypes.Order{ID: "o1", Fence: 7, Kind: apitypes.OrderSetRole, Value: "decode"}
	wantErr(t, newHTTPEngineClient(a, nil).SendOrder(t.Context(), e, o), nil)
	if got != o {
		t.Errorf("sent %+v", got)
	}
	status = http.StatusConflict
	wantErr(t, newHTTPEngineClient(a, nil).SendOrder(t.Context(), e, o), ErrRefused)
	status = http.StatusInternalServerError
	if err := newHTTPEngineClient(a, nil).SendOrder(t.Context(), e, o); err == nil || errors.Is(err, ErrRefused) || errors.Is(err, ErrNotSent) {
		t.Errorf("status 500 gave %v", err)
	}
	server.Close()
	wantErr(t, newHTTPEngineClient(a, nil).SendOrder(t.Context(), e, o), ErrNotSent)
	a.End()
	wantErr(t, newHTTPEngineClient(a, nil).SendOrder(t.Context(), e, o), ErrNotSent)
}

// Guards against orders sent over the network without encryption, and against an order to an engine whose certificate is not valid for
// its name or that rejects the client certificate.
func TestControlProtocolOverTLS(t *testing.T) {
	authority := certtest.NewAuthority(t, "engines")
	load := func(host string) *auth.TLS {
		loaded, err := auth.LoadTLS(auth.TLSFiles(authority.WriteCertificateFiles(t.TempDir(), []string{host})))
		if err != nil {
			t.Fatal(err)
		}
		return loaded
	}
	orders := 0
	a := lease.NewAuthority(t.Context(), 7, time.Hour, nil)
	defer a.End()
	for host, want := range map[string]error{"127.0.0.1": nil, "127.0.0.2": ErrNotSent, auth.PeerServerName: ErrNotSent} {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { orders++ }))
		server.Listener = tls.NewListener(server.Listener, load(host).ServerConfig(true))
		server.Config.ErrorLog = log.New(io.Discard, "", 0)
		server.Start()
		e := apitypes.Endpoint{Addr: "https://" + server.Listener.Addr().String()}
		wantErr(t, newHTTPEngineClient(a, load("controller")).SendOrder(t.Context(), e, apitypes.Order{ID: "o1"}), want)
		server.Close()
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { orders++ }))
	server.Listener = tls.NewListener(server.Listener, load("127.0.0.1").ServerConfig(true))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	defer server.Close()
	stranger := certtest.NewAuthority(t, "other")
	files := auth.TLSFiles(stranger.WriteCertificateFiles(t.TempDir(), []string{"controller"}, authority))
	refused, err := auth.LoadTLS(files)
	wantErr(t, err, nil)
	wantErr(t, newHTTPEngineClient(a, refused).SendOrder(t.Context(), apitypes.Endpoint{Addr: "https://" + server.Listener.Addr().String()}, apitypes.Order{ID: "o1"}), ErrNotSent)
	wantErr(t, newHTTPEngineClient(a, nil).SendOrder(t.Context(), apitypes.Endpoint{Addr: "192.0.2.1:80"}, apitypes.Order{ID: "o1"}), ErrNotSent)
	if orders != 1 {
		t.Errorf("%d orders arrived, want 1", orders)
	}
}
