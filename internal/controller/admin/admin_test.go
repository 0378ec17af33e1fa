package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/peer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// fakeGateway responds to GetStatus from a snapshot store, or not at all when it is unreachable.
type fakeGateway struct {
	peerpb.GatewayClient
	snapshots   *config.SnapshotStore
	unreachable bool
}

func (g *fakeGateway) GetStatus(ctx context.Context, r *peerpb.StatusRequest, _ ...grpc.CallOption) (*peerpb.StatusResponse, error) {
	if g.unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s := peer.Server{Config: g.snapshots, Freshness: &config.Freshness{}}
	return s.GetStatus(ctx, r)
}

// fixture is an API server on an in-memory platform.
type fixture struct {
	platform *memplatform.Platform
	gateways map[string]*fakeGateway
	server   *Server
	handler  http.Handler
}

// newFixture returns an API server with four live VMs whose gateways follow the platform.
func newFixture(t *testing.T) *fixture {
	f := &fixture{platform: memplatform.New(), gateways: map[string]*fakeGateway{}}
	// The templates that the tests' teams refer to.
	for _, name := range []string{"t", "u"} {
		if _, err := f.platform.Put(t.Context(), apitypes.KindTemplate, name, fmt.Appendf(nil, `{"name":%q,"retire":"wait"}`, name), 0); err != nil {
			t.Fatal(err)
		}
	}
	var vms []apitypes.VM
	ctx, cancel := context.WithCancel(context.Background())
	newFollowingStore := func() *config.SnapshotStore {
		snapshots := config.NewSnapshotStore()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.platform.Watch(ctx, apitypes.ConfigKinds, 0, func(e apitypes.Event) error { snapshots.ApplyEvents([]apitypes.Event{e}); return nil })
		}()
		t.Cleanup(func() { cancel(); <-done })
		return snapshots
	}
	for i := range 4 {
		name := fmt.Sprintf("vm-%d", i)
		vms = append(vms, apitypes.VM{Name: name, State: apitypes.VMLive})
		f.gateways[name] = &fakeGateway{snapshots: newFollowingStore()}
	}
	f.platform.SetVMs(vms)
	members := membership.New(vms[0], f.platform)
	members.Refresh(ctx)
	keyring := auth.NewKeyring([]byte("secret"))
	f.server = &Server{Store: f.platform, Config: newFollowingStore(), Freshness: &config.Freshness{}, Members: members, Keyring: keyring,
		Admins:      auth.NewAdminAuthenticator(keyring, "boot"),
		DialGateway: func(vm apitypes.VM) (peerpb.GatewayClient, error) { return f.gateways[vm.Name], nil }}
	f.handler = f.server.Handler()
	return f
}

// call sends a request and returns the status and the body of the response. version is "" for none, "*" for a creation, or the
// expected version.
func (f *fixture) call(credential, method, path, version, body string) (int, map[string]any) {
	r := httptest.NewRequest(method, "/admin/v1"+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+credential)
	r.Header.Set("Content-Type", "application/json")
	switch version {
	case "":
	case "*":
		r.Header.Set("If-None-Match", "*")
	default:
		r.Header.Set("If-Match", `"`+version+`"`)
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	var out map[string]any
	_ = json.Unmarshal(w.Body.Bytes(), &out)
	return w.Code, out
}

// errorOf returns the type and the message of an error, or "no remedy" as the type when it names none.
func errorOf(body map[string]any) (kind, message string) {
	e, _ := body["error"].(map[string]any)
	kind, _ = e["type"].(string)
	message, _ = e["message"].(string)
	if remedy, _ := e["remedy"].(string); remedy == "" {
		return "no remedy", message
	}
	return kind, message
}

// Guards against an operator's write that overwrites another's, and against a conflict that does not name the newer version.
func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		code, body := f.call("boot", "PUT", "/config/team/a", "*", `{"name":"a","template":"t"}`)
		if code != 200 || body["version"] != 4.0 || body["gateways"] != 4.0 || body["confirmed"].(float64) < 3 {
			t.Fatalf("create: %d %v", code, body)
		}
		if code, body = f.call("boot", "PUT", "/config/team/a", "4", `{"name":"a","template":"t","weight":2}`); code != 200 {
			t.Fatalf("first operator: %d %v", code, body)
		}
		code, body = f.call("boot", "PUT", "/config/team/a", "4", `{"name":"a","template":"t","weight":3}`)
		kind, message := errorOf(body)
		if code != 412 || kind != string(apierror.PreconditionFailed) || !strings.Contains(message, "newer version 5") {
			t.Fatalf("second operator: %d %v", code, body)
		}
		for _, bad := range []struct{ version, body string }{{"", `{"name":"a","template":"t"}`}, {"4", `{"name":"a"}`}, {"4", `{`}} {
			if code, body = f.call("boot", "PUT", "/config/team/a", bad.version, bad.body); code != 400 {
				t.Errorf("%v: %d %v", bad, code, body)
			}
		}
		if code, body = f.call("boot", "DELETE", "/config/team/a", "5", ""); code != 200 || body["confirmed"].(float64) < 3 {
			t.Fatalf("delete: %d %v", code, body)
		}
	})
}

// Guards against a withdrawal that is acknowledged while a majority of the gateways still accepts the key, for example because a
// gateway has a larger revision but has missed the change, and against a withdrawal that a single unreachable gateway blocks.
func TestWithdrawalNeedsMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.call("boot", "PUT", "/config/team/a", "*", `{"name":"a","template":"t"}`)
		code, issued := f.call("boot", "POST", "/keys", "", `{"team":"a"}`)
		if code != 201 {
			t.Fatalf("issue: %d %v", code, issued)
		}
		synctest.Wait()
		key, id := "Bearer "+issued["key"].(string), issued["id"].(string)
		snapshot := f.gateways["vm-1"].snapshots.Current
		if _, err := f.server.Keyring.Authenticate(snapshot(), key); err != nil {
			t.Fatal(err)
		}
		f.gateways["vm-3"].unreachable = true
		follower := f.gateways["vm-2"].snapshots
		f.gateways["vm-2"].snapshots = config.NewSnapshotStore()
		if err := f.gateways["vm-2"].snapshots.ReplaceObjects(follower.Current().Objects(), 1000); err != nil {
			t.Fatal(err)
		}
		if code, body := f.call("boot", "DELETE", "/keys/"+id, "", ""); code != 503 {
			t.Fatalf("acknowledged by two of four: %d %v", code, body)
		}
		f.gateways["vm-2"].snapshots = follower
		if code, body := f.call("boot", "DELETE", "/keys/"+id, "", ""); code != 200 || body["confirmed"] != 3.0 {
			t.Fatalf("repeated with one gateway unreachable: %d %v", code, body)
		}
		if _, err := f.server.Keyring.Authenticate(snapshot(), key); err == nil {
			t.Fatal("the key still works")
		}
		if _, body := f.call("boot", "GET", "/keys?team=a", "", ""); strings.Contains(fmt.Sprint(body), f.server.Keyring.Hash(issued["key"].(string))) {
			t.Fatal("the list shows the hash")
		}
	})
}

// Guards against a write whose response is lost and that is reported as failed, applied twice or mistaken for another operator's
// write.
func TestLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.platform.SetFaults(memplatform.Faults{LoseAnswers: 1})
		if code, body := f.call("boot", "PUT", "/config/team/a", "*", `{"name":"a","template":"t"}`); code != 200 || body["version"] != 4.0 {
			t.Fatalf("own write: %d %v", code, body)
		}
		f.platform.SetFaults(memplatform.Faults{LoseAnswers: 1})
		f.server.Store = &racingStore{Store: f.platform}
		if code, body := f.call("boot", "PUT", "/config/team/a", "4", `{"name":"a","template":"t","weight":2}`); code != 412 {
			t.Fatalf("overwritten by another operator: %d %v", code, body)
		}
		f.server.Store = f.platform
		f.platform.SetFaults(memplatform.Faults{LoseAnswers: 1})
		_, issued := f.call("boot", "POST", "/keys", "", `{"team":"a"}`)
		_, keys := f.call("boot", "GET", "/keys", "", "")
		if n := len(keys["keys"].([]any)); n != 1 || issued["id"] == nil {
			t.Fatalf("%d keys were issued: %v", n, issued)
		}
		f.platform.SetFaults(memplatform.Faults{LoseAnswers: 1})
		if code, body := f.call("boot", "DELETE", "/config/team/a", "6", ""); code != 200 {
			t.Fatalf("own deletion: %d %v", code, body)
		}
		f.platform.SetFaults(memplatform.Faults{Down: true})
		code, body := f.call("boot", "PUT", "/config/team/b", "*", `{"name":"b","template":"t"}`)
		if kind, _ := errorOf(body); code != 503 || kind != string(apierror.Unavailable) {
			t.Fatalf("in an outage: %d %v", code, body)
		}
	})
}

// racingStore writes another operator's version after each write whose response was lost.
type racingStore struct{ objectstore.Store }

func (s *racingStore) Put(ctx context.Context, kind, name string, data []byte, expected uint64) (uint64, error) {
	version, err := s.Store.Put(ctx, kind, name, data, expected)
	if responseLost(err) {
		o, _ := s.Store.Get(ctx, kind, name)
		_, _ = s.Store.Put(ctx, kind, name, []byte(`{"name":"a","template":"other"}`), o.Version)
	}
	return version, err
}

// Guards against credentials that act outside their scopes or teams.
func TestScopes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		code, made := f.call("boot", "POST", "/credentials", "", `{"name":"clerk","scopes":["keys","config"],"teams":["a"]}`)
		if code != 201 {
			t.Fatalf("credential: %d %v", code, made)
		}
		for _, name := range []string{"a", "b"} {
			f.call("boot", "PUT", "/config/team/"+name, "*", `{"name":"`+name+`","template":"t"}`)
		}
		time.Sleep(time.Second)
		clerk := made["credential"].(string)
		for _, c := range []struct {
			credential, method, path, version, body string
			code                                    int
		}{
			{"", "GET", "/status", "", "", 401},
			{"wrong", "GET", "/status", "", "", 401},
			{clerk, "GET", "/status", "", "", 200},
			{clerk, "POST", "/keys", "", `{"team":"a"}`, 201},
			{clerk, "POST", "/keys", "", `{"team":"b"}`, 403},
			{clerk, "PUT", "/config/team/a", "5", `{"name":"a","template":"u"}`, 200},
			{clerk, "PUT", "/config/team/b", "6", `{"name":"b","template":"u"}`, 403},
			{clerk, "PUT", "/config/pool/p", "*", `{"name":"p","kind":"service"}`, 403},
			{clerk, "POST", "/credentials", "", `{"name":"x","scopes":["admin"]}`, 403},
			{clerk, "POST", "/endpoints/p/e/drain", "", "", 403},
			{"boot", "GET", "/config/admin", "", "", 404},
			{"boot", "PUT", "/config/team/open", "*", `{"name":"open","template":"u"}`, 400},
			{"boot", "DELETE", "/credentials/clerk", "", "", 200},
		} {
			if code, body := f.call(c.credential, c.method, c.path, c.version, c.body); code != c.code {
				t.Errorf("%s %s: %d instead of %d: %v", c.method, c.path, code, c.code, body)
			}
		}
		time.Sleep(time.Second)
		if code, _ := f.call(clerk, "GET", "/status", "", ""); code != 401 {
			t.Errorf("withdrawn credential: %d", code)
		}
	})
}

// endpointList is a fixed list of endpoint names.
type endpointList []string

func (l endpointList) Endpoints(pool string) map[string]apitypes.Endpoint {
	out := map[string]apitypes.Endpoint{}
	for _, name := range l {
		out[name] = apitypes.Endpoint{Name: name, Pool: pool, State: apitypes.EndpointReady}
	}
	return out
}

// Guards against drains of unknown endpoints, drains that the list of endpoints does not show, and resolutions of claims that a
// gateway still owns.
func TestEndpointsAndClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.server.Endpoints = endpointList{"e1"}
		f.call("boot", "PUT", "/config/pool/p", "*", `{"name":"p","kind":"service"}`)
		if code, body := f.call("boot", "POST", "/endpoints/p/unknown/drain", "", ""); code != 404 {
			t.Errorf("unknown endpoint: %d %v", code, body)
		}
		for path, drained := range map[string]bool{"drain": true, "return": false} {
			if path == "return" {
				f.call("boot", "POST", "/endpoints/p/e1/drain", "", "")
			}
			if code, body := f.call("boot", "POST", "/endpoints/p/e1/"+path, "", ""); code != 200 {
				t.Errorf("%s: %d %v", path, code, body)
			}
			synctest.Wait()
			_, body := f.call("boot", "GET", "/endpoints?pool=p", "", "")
			if e := body["endpoints"].([]any)[0].(map[string]any); e["no_new_work"] != drained {
				t.Errorf("after %s: %v", path, e)
			}
		}
		shard, _ := json.Marshal(apitypes.ClaimShard{Claims: map[string]apitypes.Claim{"u": {Key: "u", State: apitypes.ClaimUnresolved}, "c": {Key: "c", State: apitypes.ClaimClaimed}}})
		if _, err := f.platform.Put(context.Background(), apitypes.KindClaims, "000", shard, 0); err != nil {
			t.Fatal(err)
		}
		if _, body := f.call("boot", "GET", "/requests/unresolved", "", ""); len(body["claims"].([]any)) != 1 {
			t.Errorf("unresolved: %v", body)
		}
		for key, want := range map[string]int{"u": 200, "c": 409, "x": 404} {
			if code, body := f.call("boot", "POST", "/requests/"+key+"/resolve", "", `{"outcome":"not_run"}`); code != want {
				t.Errorf("resolve %s: %d %v", key, code, body)
			}
		}
		// Guards against a retention that starts with the original call: the key could run again right after the resolution.
		o, _ := f.platform.Get(context.Background(), apitypes.KindClaims, "000")
		var after apitypes.ClaimShard
		if err := json.Unmarshal(o.Data, &after); err != nil || after.Claims["u"].State != apitypes.ClaimNotRun || after.Claims["u"].UpdatedAt == 0 {
			t.Errorf("after the resolution: %+v, %v", after.Claims["u"], err)
		}
		if code, body := f.call("boot", "GET", "/usage?from=x", "", ""); code != 400 {
			t.Errorf("usage: %d %v", code, body)
		}
	})
}
