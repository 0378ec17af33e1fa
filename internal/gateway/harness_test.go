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

// bed holds a platform, stand-in endpoints and gateways on loopback.
type bed struct {
	t        *testing.T
	platform *memplatform.Platform
	holder   *config.SnapshotStore
	keyring  *auth.Keyring
	engines  []*standin.Engine
	service  *standin.Service
	keys     map[string]string // by team
	records  []apitypes.KeyRecord
	pools    []apitypes.Pool

	mu       sync.Mutex
	gateways map[string]*Gateway // by VM
	usage    []apitypes.Usage
	deaths   []string
	lost     bool
	retire   apitypes.RetireMode
}

// Record implements usage.Recorder.
func (b *bed) Record(_ context.Context, _ string, u apitypes.Usage) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage = append(b.usage, u)
	return nil
}

// FetchAnswer implements AnswerFetcher without a network.
func (b *bed) FetchAnswer(ctx context.Context, vm, inc, team, id string, offset int64, handle func(AnswerPart) error) error {
	b.mu.Lock()
	g := b.gateways[vm]
	b.mu.Unlock()
	if g == nil || g.Incarnation() != inc {
		return ErrGatewayGone
	}
	return g.StreamAnswer(ctx, team, id, offset, handle)
}

type members struct {
	mu   sync.Mutex
	left bool
}

func (m *members) Addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left {
		return []string{"10.0.0.2:1"}
	}
	return []string{"10.0.0.1:1", "10.0.0.2:1"}
}

func (m *members) LeaveDiscovery() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = true
}

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newBed(t *testing.T, engines ...standin.EngineConfig) *bed {
	b := &bed{t: t, platform: memplatform.New(), holder: config.NewSnapshotStore(), keyring: auth.NewKeyring([]byte("secret")),
		keys: make(map[string]string), gateways: make(map[string]*Gateway)}
	llm := apitypes.Pool{Name: "llm", Kind: apitypes.PoolEngine, Model: "m", Version: "1"}
	for i, cfg := range engines {
		cfg.Model = "m"
		b.engines = append(b.engines, standin.NewEngine(cfg))
		llm.Endpoints = append(llm.Endpoints, apitypes.Endpoint{Name: string(rune('a' + i)), Addr: serve(t, b.engines[i]), Class: apitypes.OnDemand})
	}
	b.service = standin.NewService(standin.ServiceConfig{})
	svc := apitypes.Pool{Name: "svc", Kind: apitypes.PoolService, Endpoints: []apitypes.Endpoint{
		{Name: "s", Addr: serve(t, b.service), Class: apitypes.OnDemand}}}
	b.pools = []apitypes.Pool{llm, svc, {Name: "other", Model: "other"}}
	for _, team := range []string{"rope", "clerk"} {
		b.keys[team] = auth.NewKey(team)
		b.records = append(b.records, apitypes.KeyRecord{ID: team, Team: team, Hash: b.keyring.Hash(b.keys[team])})
	}
	b.configure(1)
	return b
}

func (b *bed) configure(revision uint64) {
	var objects []apitypes.Object
	add := func(kind, name string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			b.t.Fatal(err)
		}
		objects = append(objects, apitypes.Object{Kind: kind, Name: name, Version: revision, Data: data})
	}
	add(apitypes.KindTemplate, "full", apitypes.Template{Name: "full", Models: []apitypes.ModelGrant{{Model: "m", Versions: []string{"1"}}},
		Routes: []string{"harvest"}, OpenRoutes: []string{"public"}, Priority: apitypes.PriorityNormal, Retire: b.retire,
		RoutePriority: map[string]apitypes.Priority{endpoint.ChatPath: apitypes.PriorityUrgent}})
	add(apitypes.KindTeam, "rope", apitypes.Team{Name: "rope", Template: "full", Limits: apitypes.Limits{MaxBodyBytes: 4096}})
	add(apitypes.KindTeam, "clerk", apitypes.Team{Name: "clerk", Template: "full"})
	for _, p := range b.pools {
		add(apitypes.KindPool, p.Name, p)
	}
	for _, r := range []string{"harvest", "public", "hidden"} {
		add(apitypes.KindRoute, r, apitypes.Route{Name: r, Pool: "svc"})
	}
	add(apitypes.KindKeySet, "00", apitypes.KeySet{Keys: b.records})
	if err := b.holder.ReplaceObjects(objects, revision); err != nil {
		b.t.Fatal(err)
	}
}

// withdraw withdraws a team's key.
func (b *bed) withdraw(team string) {
	for i := range b.records {
		if b.records[i].Team == team {
			b.records[i].WithdrawnAt = 1
		}
	}
	b.configure(b.holder.Current().Revision() + 1)
}

// know tells a balancer of an endpoint with its present load. An endpoint that can't be reached counts as idle.
func (b *bed) know(bal *balancer.Balancer, client *endpoint.Client, pool string, e apitypes.Endpoint) {
	load, err := client.Load(b.t.Context(), e.Addr)
	if err != nil {
		load = apitypes.Load{Version: "1"}
	}
	bal.UpdateEndpoint(pool, balancer.Endpoint{Endpoint: e, Load: load, ReportedAt: time.Now()})
}

// gateway starts a gateway on a VM and returns its address.
func (b *bed) gateway(vm string, change ...func(*Options)) string {
	client := endpoint.New(endpoint.Options{TokenWait: 100 * time.Millisecond, FirstTokenWait: 5 * time.Second})
	b.t.Cleanup(client.Close)
	bal := balancer.New(1)
	for _, p := range b.pools {
		for _, e := range p.Endpoints {
			b.know(bal, client, p.Name, e)
		}
	}
	o := Options{VM: vm, Config: b.holder, Keyring: b.keyring, Admission: admission.New(), Balancer: bal, Budget: retry.NewBudget(1),
		Quarantine: retry.NewQuarantine(time.Minute), Usage: b, Discovery: &members{}, Answers: b, Endpoints: client,
		Claims:          claim.NewStore(claim.Options{Platform: b.platform, BeginTimeout: 2 * time.Second}),
		IsPartitioned:   func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.lost },
		OnEndpointDeath: func(_ uint64, e string) { b.mu.Lock(); defer b.mu.Unlock(); b.deaths = append(b.deaths, e) }}
	for _, f := range change {
		f(&o)
	}
	g := New(o)
	b.mu.Lock()
	b.gateways[vm] = g
	b.mu.Unlock()
	return serve(b.t, g)
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    apierror.Error
}

func (b *bed) request(method, addr, path, team, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	if team != "" {
		req.Header.Set("Authorization", "Bearer "+b.keys[team])
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header[header[i]] = []string{header[i+1]}
	}
	return req
}

func (b *bed) call(method, addr, path, team, body string, header ...string) reply {
	b.t.Helper()
	resp, err := http.DefaultClient.Do(b.request(method, addr, path, team, body, header...))
	if err != nil {
		b.t.Error(err)
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		b.t.Error(err)
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

// text returns the output in a stream and whether it has its end marker.
func (r reply) text() (string, bool) {
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

func (b *bed) seenByEndpoints() int {
	n := len(b.service.Calls())
	for _, e := range b.engines {
		n += len(e.Requests())
	}
	return n
}
