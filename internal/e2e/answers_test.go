package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/standin"
)

// openStream is a streamed chat whose caller has the first bytes of the answer.
type openStream struct {
	id     string
	body   io.ReadCloser
	first  []byte
	cancel context.CancelFunc
}

// openChat starts a streamed chat and reads the first bytes of its answer.
func (c *cluster) openChat(vm int, key, prompt string, tokens int) *openStream {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	body := fmt.Sprintf(`{"model":"logreader","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(c.vms[vm].GatewayAddr)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { cancel(); resp.Body.Close() })
	first := make([]byte, 16)
	if _, err := io.ReadFull(resp.Body, first); err != nil || resp.StatusCode != http.StatusOK {
		c.t.Fatalf("the stream began with %d %q: %v", resp.StatusCode, first, err)
	}
	return &openStream{id: resp.Header.Get("X-Request-Id"), body: resp.Body, first: first, cancel: cancel}
}

// rest reads the stream to its end.
func (s *openStream) rest() reply {
	data, err := io.ReadAll(s.body)
	r := reply{id: s.id, status: http.StatusOK, body: string(s.first) + string(data), whole: err == nil}
	r.parseStream()
	return r
}

// fetch fetches a streamed answer by its id.
func (c *cluster) fetch(vm int, team, id string) reply {
	r := c.call(vm, team, http.MethodGet, "/v1/answers/"+id, "", nil)
	if r.status == http.StatusOK {
		r.parseStream()
	}
	return r
}

func (c *cluster) key(team string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[team]
}

// Guards against an answer that is passed off as whole although the engine cut, mixed up or garbled it, with requests of all
// gateways on reused connections at once.
func TestAnswersUnderEngineFaults(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 3, services: 2, engine: standin.EngineConfig{DecodeRate: 2000}})
	steps := []standin.EngineFaults{
		{MismatchedRequestID: true, MaxStreams: 8},
		{DisconnectAfter: 3, MaxStreams: 8},
		{DisconnectAfter: 3, RefuseResume: true, MaxStreams: 8},
		{DisconnectAfter: 2, ApplyToResumes: true, MaxStreams: 12},
		{TruncateAfter: 4, MaxStreams: 8},
		{TruncateAfter: 4, RefuseResume: true, MaxStreams: 8},
		{InvalidDataAfter: 2, MaxStreams: 8},
		{CrashMarker: "poison", CrashAfter: 3, CrashDowntime: 100 * time.Millisecond},
	}
	for i, f := range steps {
		// A gateway ejects engines that failed, so without this wait a step might reach none.
		c.engineFaults(standin.EngineFaults{})
		for vm := range vmCount {
			c.await("engines at "+c.vms[vm].Name, func() bool { return c.chat(vm, "skippers", "ready", 1, false).whole })
		}
		before := c.engineRequests()
		c.engineFaults(f)
		var calls sync.WaitGroup
		for n := range 32 {
			calls.Go(func() {
				team := []string{"skippers", "clerks"}[n%2]
				prompt, start := fmt.Sprintf("step %d dossier %d of %s", i, n, team), time.Now()
				if f.CrashMarker != "" && n == 7 {
					prompt += " poison"
				}
				c.record(n%vmCount, team, "chat", start, c.chat(n%vmCount, team, prompt, 12, n%4 != 0), expected(prompt, 12))
			})
		}
		calls.Wait()
		if c.engineRequests() == before {
			t.Errorf("step %d reached no engine, so it shows nothing", i)
		}
	}
	c.engineFaults(standin.EngineFaults{})
	for _, f := range []standin.ServiceFaults{{MismatchedRequestID: true, MaxCalls: 4}, {ShortBody: true, MaxCalls: 4}, {DisconnectAfterExecuting: true, MaxCalls: 4}} {
		c.serviceFaults(f)
		var calls sync.WaitGroup
		for n := range 16 {
			calls.Go(func() {
				path, start := fmt.Sprintf("/of/clerks/%d", n), time.Now()
				r := c.call(n%vmCount, "clerks", http.MethodGet, "/svc/lines"+path, "", nil)
				want := fmt.Sprintf(`{"id":%q,"method":"GET","path":%q,"bytes":0}`, r.id, path)
				r.text = r.body
				c.record(n%vmCount, "clerks", "lines", start, r, want)
			})
		}
		calls.Wait()
	}
	c.serviceFaults(standin.ServiceFaults{})
	whole := 0
	for _, r := range c.history.Requests {
		if r.Result == history.ResultComplete {
			whole++
		}
		if r.Result == history.ResultDisconnected {
			t.Errorf("G7: request %s ended without an error", r.ID)
		}
	}
	if whole == 0 {
		t.Error("no answer was whole, so the run shows nothing")
	}
	c.check()
}

// engineRequests returns how many requests all engines got.
func (c *cluster) engineRequests() int {
	n := 0
	for _, e := range c.engines {
		n += len(e.Requests())
	}
	return n
}

// Guards against an answer that is lost or mixed up when its gateway is killed or its caller is cut in mid-stream, and
// against an answer that another team can fetch.
func TestAnswerFetchedElsewhere(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 2, engine: standin.EngineConfig{DecodeRate: 40}})
	const tokens = 60
	var streams []*openStream
	for i := range 6 {
		streams = append(streams, c.openChat(0, c.key("skippers"), fmt.Sprintf("log %d", i), tokens))
	}
	if r := c.fetch(1, "clerks", streams[0].id); r.status != http.StatusNotFound {
		t.Errorf("G4: another team's fetch of a running answer: %d %s", r.status, r.body)
	}
	// Readers at two gateways while the caller still reads.
	streams[0].cancel()
	var readers sync.WaitGroup
	for vm := range vmCount {
		readers.Go(func() {
			start, r := time.Now(), c.fetch(vm, "skippers", streams[0].id)
			if !r.whole {
				t.Errorf("G7: fetch at %s of a caller that was cut: %d %s", c.vms[vm].Name, r.status, r.body)
			}
			c.record(vm, "skippers", "chat", start, r, expected("log 0", tokens))
		})
	}
	readers.Wait()
	// New streams, since the first ones have ended meanwhile.
	streams = nil
	for i := range 6 {
		streams = append(streams, c.openChat(0, c.key("skippers"), fmt.Sprintf("log again %d", i), tokens))
	}
	// Its caller learns the id of an answer that is not streamed only with the answer.
	start, whole := time.Now(), c.chat(0, "skippers", "one object", 4, false)
	c.record(0, "skippers", "chat", start, whole, expected("one object", 4))
	if err := c.vms[0].gateway.Kill(); err != nil {
		t.Fatal(err)
	}
	start, again := time.Now(), c.fetch(2, "skippers", whole.id)
	c.record(2, "skippers", "chat", start, again, expected("one object", 4))
	t.Logf("an answer that was not streamed, after its gateway was killed: %d whole %v", again.status, again.whole)
	if again.status != http.StatusNotFound && !again.whole {
		t.Errorf("G7: fetch of an answer that was not streamed gave %d %s", again.status, again.body)
	}
	for i, s := range streams {
		if r := s.rest(); r.whole {
			t.Errorf("G7: the killed gateway's stream %s ended as whole", s.id)
		}
		readers.Go(func() {
			start, r := time.Now(), c.fetch(1+i%3, "skippers", s.id)
			if !r.whole {
				t.Errorf("G7: answer %s after its gateway was killed: %d %s", s.id, r.status, r.body)
			}
			c.record(1+i%3, "skippers", "chat", start, r, expected(fmt.Sprintf("log again %d", i), tokens))
		})
	}
	readers.Wait()
	if r := c.fetch(1, "clerks", streams[0].id); r.status != http.StatusNotFound {
		t.Errorf("G4: another team's fetch after the gateway was killed: %d %s", r.status, r.body)
	}
	c.check()
}

// escapedKey returns a key in the escapes that an endpoint would undo.
func escapedKey(key string) (percent, unicode string) {
	var p, u strings.Builder
	for _, b := range []byte(key) {
		fmt.Fprintf(&p, "%%%02X", b)
		fmt.Fprintf(&u, `\u%04x`, b)
	}
	return p.String(), u.String()
}

// Guards against a key that reaches an endpoint in a header, the query, the path or a body, in plain text or escaped, and against
// a request that runs for a team that its caller names.
func TestEndpointsSeeNoKey(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	d := &declarations{c: c}
	key := c.key("skippers")
	percent, unicode := escapedKey(key)
	headers := []map[string]string{
		{"X-Api-Key": key}, {"Api-Key": key}, {"Cookie": "session=" + key}, {"X-Forwarded-Authorization": "Bearer " + key},
		{"X-Custom": percent}, {"Referer": "https://boats.example/?k=" + key}, {"X-Team": "clerks", "X-Crocusglade-Team": "clerks"},
	}
	queries := []string{"?key=" + key, "?api_key=" + key, "?a=1&b=" + percent, "?" + key + "=1", "?%61pi_key=" + key, "/" + key, "/" + percent + "/x"}
	bodies := []string{
		`{"api_key":"` + key + `"}`, `{"deep":[{"k":"` + key + `"}]}`, `{"k":"` + unicode + `"}`, `{"` + key + `":1}`, `{"` + unicode + `":{"x":1}}`,
		"plain " + key, "key=" + key, "key=" + percent,
	}
	types := []string{"application/json", "text/plain", "application/x-www-form-urlencoded", ""}
	for i, h := range headers {
		c.call(i%vmCount, "skippers", http.MethodGet, "/svc/lines/of/skippers/h", "", h)
		c.call(i%vmCount, "skippers", http.MethodPost, "/v1/chat/completions",
			`{"model":"logreader","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`, h)
	}
	for i, q := range queries {
		c.call(i%vmCount, "skippers", http.MethodGet, "/svc/lines/of/skippers/q"+q, "", nil)
	}
	for i, b := range bodies {
		for n, contentType := range types {
			c.call(i%vmCount, "skippers", http.MethodPost, "/svc/declarations/of/skippers/b", b,
				map[string]string{"Content-Type": contentType, "Idempotency-Key": fmt.Sprintf("body-%d-%d", i, n)})
		}
		content, _ := json.Marshal(b)
		c.call(i%vmCount, "skippers", http.MethodPost, "/v1/chat/completions", `{"model":"logreader","max_tokens":2,"user":"`+key+
			`","cache_salt":"clerks","metadata":{"k":"`+unicode+`"},"messages":[{"role":"user","content":`+string(content)+`}]}`, nil)
	}
	seen := 0
	for name, s := range c.services {
		for _, call := range s.Calls() {
			seen++
			if c.holdsKey(call.Header, call.URI+string(call.Body)) || c.holdsEscapedKey(call.URI, call.Body) {
				t.Errorf("G4: %s saw a key: %s %v %s", name, call.URI, call.Header, call.Body)
			}
		}
	}
	for name, e := range c.engines {
		for _, r := range e.Requests() {
			seen++
			if c.holdsKey(r.Header, string(r.Body)) || c.holdsEscapedKey("", r.Body) {
				t.Errorf("G4: %s saw a key: %v %s", name, r.Header, r.Body)
			}
		}
	}
	if seen < len(bodies)*len(types) {
		t.Errorf("endpoints got only %d requests, so the run shows nothing", seen)
	}
	d.settle()
	c.check()
}

// holdsEscapedKey tells whether an endpoint that undoes escapes finds a key in what it received.
func (c *cluster) holdsEscapedKey(uri string, body []byte) bool {
	var out bytes.Buffer
	for _, part := range []string{uri, string(body)} {
		if plain, err := unescapeAll(part); err == nil {
			out.WriteString(plain + "\n")
		}
	}
	var v any
	if json.Unmarshal(body, &v) == nil {
		fmt.Fprintf(&out, "%v", v)
	}
	return c.holdsKey(nil, out.String())
}

// Guards against a withdrawn key that goes on working: with connected callers and a running stream, with the platform down
// right after the withdrawal, and with one gateway cut off before it.
func TestWithdrawnKeyStops(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		t.Run(fmt.Sprint("cut off ", cutOff), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{engines: 2, engine: standin.EngineConfig{DecodeRate: 20}})
			id := c.issueKey("clerks")
			key := c.key("clerks")
			probe := func(vm int) reply {
				start := time.Now()
				r := c.callWithKey(vm, key, http.MethodGet, "/svc/lines/of/clerks/probe", "", nil)
				r.text = r.body
				h := history.Request{ID: r.id, Team: "clerks", KeyID: id, Route: "lines", Start: start, End: time.Now(), Result: history.ResultRefused, ErrorKind: string(r.err.Kind), RunState: string(r.err.Execution)}
				if r.whole {
					h.Result = history.ResultComplete
				}
				c.history.AddRequest(h)
				return r
			}
			for vm := range vmCount {
				c.await("the key at "+c.vms[vm].Name, func() bool { return probe(vm).whole })
			}
			var streams []*openStream
			for vm := range vmCount {
				streams = append(streams, c.openChat(vm, key, fmt.Sprint("long ", vm), 2000))
			}
			cut := c.vms[1]
			if cutOff {
				c.isolate(cut, true)
			}
			status, body := c.admin(http.MethodDelete, "/keys/"+id, nil, nil)
			if status != http.StatusOK {
				t.Fatalf("the withdrawal: %d %s", status, body)
			}
			c.history.AddWithdrawal(history.Withdrawal{KeyID: id, At: time.Now()})
			c.mem.UpdateFaults(func(f *memFaults) { f.Down = true })
			var answer struct{ Confirmed, Gateways int }
			if err := json.Unmarshal(body, &answer); err != nil {
				t.Fatal(err)
			}
			t.Logf("%d of %d gateways confirmed", answer.Confirmed, answer.Gateways)
			accepted := time.Now()
			for vm := range vmCount {
				if answer.Confirmed == answer.Gateways {
					if r := probe(vm); r.whole {
						t.Errorf("G4: %s accepted the key after it had confirmed the withdrawal", c.vms[vm].Name)
					}
				}
				c.await("the refusal at "+c.vms[vm].Name, func() bool { return !probe(vm).whole })
				t.Logf("%s refused the key %v after the withdrawal", c.vms[vm].Name, time.Since(accepted))
			}
			for vm, s := range streams {
				if c.vms[vm] == cut && cutOff {
					continue
				}
				if r := s.rest(); r.whole || r.err.Kind != apierror.KeyWithdrawn {
					t.Errorf("G4: the stream at %s ended whole %v with %q", c.vms[vm].Name, r.whole, r.err.Kind)
				}
			}
			c.heal(cut)
			c.mem.UpdateFaults(func(f *memFaults) { f.Down = false })
			// The gateway has to learn of the withdrawal before it serves again.
			c.await("service of other keys", func() bool {
				if probe(cut.index).whole {
					t.Errorf("G4: %s accepted the key after the cut", cut.Name)
					return true
				}
				return c.call(cut.index, "skippers", http.MethodGet, "/svc/lines/of/skippers/x", "", nil).whole
			})
			if !cutOff {
				c.check()
				return
			}
			if r := streams[cut.index].rest(); r.whole || r.err.Kind != apierror.KeyWithdrawn {
				t.Errorf("G4: the stream at %s ended whole %v with %q", cut.Name, r.whole, r.err.Kind)
			}
			c.check()
		})
	}
}
