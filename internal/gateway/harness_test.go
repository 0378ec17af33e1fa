package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/claim"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/standin"
)

// harness runs an in-memory platform, and stand-in endpoints and gateways on loopback.
type harness struct {
	t          *testing.T
	platform   *memplatform.Platform
	snapshots  *config.SnapshotStore
	keyring    *auth.Keyring
	engines    []*standin.Engine
	service    *standin.Service
	keys       map[string]string // by team
	keyRecords []apitypes.KeyRecord
	pools      []apitypes.Pool

	mu               sync.Mutex
	gateways         map[string]*Gateway // by VM
	recordedUsage    []apitypes.Usage
	crashedEndpoints []string
	partitioned      bool
	retireMode       apitypes.RetireMode
}

// Record implements usage.Recorder.
func (h *harness) Record(_ context.Context, _ string, u apitypes.Usage) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordedUsage = append(h.recordedUsage, u)
	return nil
}

// FetchAnswer implements AnswerFetcher by a direct call to the gateway.
func (h *harness) FetchAnswer(ctx context.Context, vm, incarnation, team, id string, offset int64, handle func(AnswerPart) error) error {
	h.mu.Lock()
	g := h.gateways[vm]
	h.mu.Unlock()
	if g == nil || g.Incarnation() != incarnation {
		return ErrGatewayGone
	}
	return g.StreamAnswer(ctx, team, id, offset, handle)
}

// fakeDiscovery lists this gateway and one other until this gateway leaves.
type fakeDiscovery struct {
	mu   sync.Mutex
	left bool
}

func (d *fakeDiscovery) Addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left {
		return []string{"10.0.0.2:1"}
	}
	return []string{"10.0.0.1:1", "10.0.0.2:1"}
}

func (d *fakeDiscovery) LeaveDiscovery() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = true
}

// serve starts an HTTP server on loopback and returns its host and port.
func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newHarness(t *testing.T, engines ...standin.EngineConfig) *harness {
	h := &harness{t: t, platform: memplatform.New(), snapshots: config.NewSnapshotStore(), keyring: auth.NewKeyring([]byte("secret")),
		keys: make(map[string]string), gateways: make(map[string]*Gateway)}
	llm := apitypes.Pool{Name: "llm", Kind: apitypes.PoolEngine, Model: "m", Version: "1"}
	for i, cfg := range engines {
		cfg.Model = "m"
		h.engines = append(h.engines, standin.NewEngine(cfg))
		llm.Endpoints = append(llm.Endpoints, apitypes.Endpoint{Name: string(rune('a' + i)), Addr: serve(t, h.engines[i]), Class: apitypes.OnDemand})
	}
	h.service = standin.NewService(standin.ServiceConfig{})
	svc := apitypes.Pool{Name: "svc", Kind: apitypes.PoolService, Endpoints: []apitypes.Endpoint{
		{Name: "s", Addr: serve(t, h.service), Class: apitypes.OnDemand}}}
	h.pools = []apitypes.Pool{llm, svc, {Name: "other", Model: "other"}}
	for _, team := range []string{"rope", "clerk"} {
		h.keys[team] = auth.NewKey(team)
		h.keyRecords = append(h.keyRecords, apitypes.KeyRecord{ID: team, Team: team, Hash: h.keyring.Hash(h.keys[team])})
	}
	h.applyConfig(1)
	return h
}

// applyConfig replaces the configuration of all gateways.
func (h *harness) applyConfig(revision uint64) {
	var objects []apitypes.Object
	add := func(kind, name string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			h.t.Fatal(err)
		}
		objects = append(objects, apitypes.Object{Kind: kind, Name: name, Version: revision, Data: data})
	}
	add(apitypes.KindTemplate, "full", apitypes.Template{Name: "full", Models: []apitypes.ModelGrant{{Model: "m", Versions: []string{"1"}}},
		Routes: []string{"harvest"}, OpenRoutes: []string{"public"}, Priority: apitypes.PriorityNormal, Retire: h.retireMode,
		RoutePriority: map[string]apitypes.Priority{endpoint.ChatPath: apitypes.PriorityUrgent}})
	add(apitypes.KindTeam, "rope", apitypes.Team{Name: "rope", Template: "full", Limits: apitypes.Limits{MaxBodyBytes: 4096}})
	add(apitypes.KindTeam, "clerk", apitypes.Team{Name: "clerk", Template: "full"})
	for _, p := range h.pools {
		add(apitypes.KindPool, p.Name, p)
	}
	for _, r := range []string{"harvest", "public", "hidden"} {
		add(apitypes.KindRoute, r, apitypes.Route{Name: r, Pool: "svc"})
	}
	add(apitypes.KindKeySet, "00", apitypes.KeySet{Keys: h.keyRecords})
	if err := h.snapshots.ReplaceObjects(objects, revision); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) withdrawKey(team string) {
	for i := range h.keyRecords {
		if h.keyRecords[i].Team == team {
			h.keyRecords[i].WithdrawnAt = 1
		}
	}
	h.applyConfig(h.snapshots.Current().Revision() + 1)
}

// addEndpoint adds an endpoint with its current load to a balancer. An unreachable endpoint is added as idle.
func (h *harness) addEndpoint(lb *balancer.Balancer, client *endpoint.Client, pool string, e apitypes.Endpoint) {
	load, err := client.Load(h.t.Context(), e.Addr)
	if err != nil {
		load = apitypes.Load{Version: "1"}
	}
	lb.UpdateEndpoint(pool, balancer.Endpoint{Endpoint: e, Load: load, ReportedAt: time.Now()})
}

// startGateway starts a gateway on a VM and returns its address.
func (h *harness) startGateway(vm string, configure ...func(*Options)) string {
	client := endpoint.New(endpoint.Options{TokenWait: 100 * time.Millisecond, FirstTokenWait: 5 * time.Second})
	h.t.Cleanup(client.Close)
	lb := balancer.New(1)
	for _, p := range h.pools {
		for _, e := range p.Endpoints {
			h.addEndpoint(lb, client, p.Name, e)
		}
	}
	o := Options{VM: vm, Config: h.snapshots, Keyring: h.keyring, Admission: admission.New(), Balancer: lb, Budget: retry.NewBudget(1),
		Quarantine: retry.NewQuarantine(time.Minute), Usage: h, Discovery: &fakeDiscovery{}, Answers: h, Endpoints: client,
		Claims:        claim.NewStore(claim.Options{Platform: h.platform, ClaimTimeout: 2 * time.Second}),
		IsPartitioned: func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.partitioned },
		OnEndpointCrash: func(_ uint64, e string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.crashedEndpoints = append(h.crashedEndpoints, e)
		}}
	for _, f := range configure {
		f(&o)
	}
	g := New(o)
	h.mu.Lock()
	h.gateways[vm] = g
	h.mu.Unlock()
	return serve(h.t, g)
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    apierror.Error
}

// newRequest returns a request with the key of a team; header alternates names and values.
func (h *harness) newRequest(method, addr, path, team, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	if team != "" {
		req.Header.Set("Authorization", "Bearer "+h.keys[team])
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header[header[i]] = []string{header[i+1]}
	}
	return req
}

// call sends a request and returns its reply. The error is read from a JSON body or from the last event of a stream.
func (h *harness) call(method, addr, path, team, body string, header ...string) reply {
	h.t.Helper()
	resp, err := http.DefaultClient.Do(h.newRequest(method, addr, path, team, body, header...))
	if err != nil {
		h.t.Error(err)
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		h.t.Error(err)
	}
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(data)}
	if _, after, ok := bytes.Cut(data, []byte("event: error\ndata: ")); ok {
		data = after
	}
	var e struct {
		Error apierror.Error `json:"error"`
	}
	if json.Unmarshal(bytes.TrimSpace(data), &e) == nil {
		r.err = e.Error
	}
	return r
}

const chatStream = `{"model":"m","messages":[{"role":"user","content":"rope"}],"max_tokens":8,"stream":true}`

var chatOutput = standin.ExpectedOutput(standin.ChatPrompt("user", "rope"), 8)

// output returns the text of a stream and whether the stream has its end marker.
func (r reply) output() (string, bool) {
	out, done := "", false
	for _, line := range strings.Split(r.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		done = data == "[DONE]"
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
				Text  string
			}
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			out += c.Choices[0].Delta.Content + c.Choices[0].Text
		}
	}
	return out, done
}

// endpointRequestCount returns the number of requests that all endpoints have received.
func (h *harness) endpointRequestCount() int {
	n := len(h.service.Calls())
	for _, e := range h.engines {
		n += len(e.Requests())
	}
	return n
}
