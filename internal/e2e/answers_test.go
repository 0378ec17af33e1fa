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

// openStream is a streamed chat in progress, of which the first bytes were read.
type openStream struct {
	id         string
	body       io.ReadCloser
	firstBytes []byte
	cancel     context.CancelFunc
}

// openChat starts a streamed chat and reads the first bytes of the response.
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
		c.t.Fatalf("start of the stream: status %d, body %q: %v", resp.StatusCode, first, err)
	}
	return &openStream{id: resp.Header.Get("X-Request-Id"), body: resp.Body, firstBytes: first, cancel: cancel}
}

// readToEnd reads the rest of the stream and parses it.
func (s *openStream) readToEnd() reply {
	data, err := io.ReadAll(s.body)
	r := reply{id: s.id, status: http.StatusOK, body: string(s.firstBytes) + string(data), complete: err == nil}
	r.parseStream()
	return r
}

// fetch gets a streamed answer by its request id from a VM's gateway.
func (c *cluster) fetch(vm int, team, id string) reply {
	r := c.call(vm, team, http.MethodGet, "/v1/answers/"+id, "", nil)
	if r.status == http.StatusOK {
		r.parseStream()
	}
	return r
}

// key returns the key in use of a team.
func (c *cluster) key(team string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[team]
}

// Guards against an answer that is reported as complete although the engine truncated it, sent invalid data or sent the answer to
// another request. All gateways send requests concurrently over reused connections.
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
		// A gateway ejects engines that failed. Without this wait a step might reach no engine.
		c.setEngineFaults(standin.EngineFaults{})
		for vm := range vmCount {
			c.await("an engine to serve at "+c.vms[vm].Name, func() bool { return c.chat(vm, "skippers", "ready", 1, false).complete })
		}
		before := c.countEngineRequests()
		c.setEngineFaults(f)
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
		if c.countEngineRequests() == before {
			t.Errorf("step %d reached no engine, so it tested nothing", i)
		}
	}
	c.setEngineFaults(standin.EngineFaults{})
	for _, f := range []standin.ServiceFaults{{MismatchedRequestID: true, MaxCalls: 4}, {ShortBody: true, MaxCalls: 4}, {DisconnectAfterExecuting: true, MaxCalls: 4}} {
		c.setServiceFaults(f)
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
	c.setServiceFaults(standin.ServiceFaults{})
	complete := 0
	for _, r := range c.history.Requests {
		if r.Result == history.ResultComplete {
			complete++
		}
		if r.Result == history.ResultDisconnected {
			t.Errorf("G7: request %s was disconnected without an error", r.ID)
		}
	}
	if complete == 0 {
		t.Error("no answer was complete, so the run tested nothing")
	}
	c.checkGuarantees()
}

// countEngineRequests returns the number of requests that all engines received.
func (c *cluster) countEngineRequests() int {
	n := 0
	for _, e := range c.engines {
		n += len(e.Requests())
	}
	return n
}

// Guards against an answer that can't be fetched from another gateway, or is fetched with wrong content, after its gateway was
// killed or its caller was disconnected mid-stream, and against an answer that another team can fetch.
func TestAnswerFetchedFromAnotherGateway(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 2, engine: standin.EngineConfig{DecodeRate: 40}})
	const tokens = 60
	var streams []*openStream
	for i := range 6 {
		streams = append(streams, c.openChat(0, c.key("skippers"), fmt.Sprintf("log %d", i), tokens))
	}
	if r := c.fetch(1, "clerks", streams[0].id); r.status != http.StatusNotFound {
		t.Errorf("G4: another team's fetch of an answer in progress: status %d: %s", r.status, r.body)
	}
	// The caller disconnects while the answer is in progress; all gateways are asked for the answer at the same time.
	streams[0].cancel()
	var fetches sync.WaitGroup
	for vm := range vmCount {
		fetches.Go(func() {
			start, r := time.Now(), c.fetch(vm, "skippers", streams[0].id)
			if !r.complete {
				t.Errorf("G7: fetch at %s after the caller disconnected: status %d: %s", c.vms[vm].Name, r.status, r.body)
			}
			c.record(vm, "skippers", "chat", start, r, expected("log 0", tokens))
		})
	}
	fetches.Wait()
	// The first streams have ended by now; the kill needs streams in progress.
	streams = nil
	for i := range 6 {
		streams = append(streams, c.openChat(0, c.key("skippers"), fmt.Sprintf("log again %d", i), tokens))
	}
	// The caller of a request that is not streamed receives the request id only with the answer.
	start, unary := time.Now(), c.chat(0, "skippers", "one object", 4, false)
	c.record(0, "skippers", "chat", start, unary, expected("one object", 4))
	if err := c.vms[0].gateway.Kill(); err != nil {
		t.Fatal(err)
	}
	start, fetched := time.Now(), c.fetch(2, "skippers", unary.id)
	c.record(2, "skippers", "chat", start, fetched, expected("one object", 4))
	t.Logf("fetch of an answer that was not streamed, after its gateway was killed: status %d, complete %v", fetched.status, fetched.complete)
	if fetched.status != http.StatusNotFound && !fetched.complete {
		t.Errorf("G7: fetch of an answer that was not streamed: status %d: %s", fetched.status, fetched.body)
	}
	for i, s := range streams {
		if r := s.readToEnd(); r.complete {
			t.Errorf("G7: stream %s of the killed gateway ended as complete", s.id)
		}
		fetches.Go(func() {
			start, r := time.Now(), c.fetch(1+i%3, "skippers", s.id)
			if !r.complete {
				t.Errorf("G7: fetch of answer %s after its gateway was killed: status %d: %s", s.id, r.status, r.body)
			}
			c.record(1+i%3, "skippers", "chat", start, r, expected(fmt.Sprintf("log again %d", i), tokens))
		})
	}
	fetches.Wait()
	if r := c.fetch(1, "clerks", streams[0].id); r.status != http.StatusNotFound {
		t.Errorf("G4: another team's fetch after the gateway was killed: status %d: %s", r.status, r.body)
	}
	c.checkGuarantees()
}

// escapedKey returns a key with every byte escaped, as percent escapes and as JSON Unicode escapes.
func escapedKey(key string) (percent, unicode string) {
	var p, u strings.Builder
	for _, b := range []byte(key) {
		fmt.Fprintf(&p, "%%%02X", b)
		fmt.Fprintf(&u, `\u%04x`, b)
	}
	return p.String(), u.String()
}

// Guards against a caller's key that reaches an endpoint in a header, the query, the path or the body, in plain text or escaped,
// and against a request that runs for another team because its caller names that team.
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
	suffixes := []string{"?key=" + key, "?api_key=" + key, "?a=1&b=" + percent, "?" + key + "=1", "?%61pi_key=" + key, "/" + key, "/" + percent + "/x"}
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
	for i, suffix := range suffixes {
		c.call(i%vmCount, "skippers", http.MethodGet, "/svc/lines/of/skippers/q"+suffix, "", nil)
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
	received := 0
	for name, s := range c.services {
		for _, call := range s.Calls() {
			received++
			if c.containsKey(call.Header, call.URI+string(call.Body)) || c.containsEscapedKey(call.URI, call.Body) {
				t.Errorf("G4: %s received a key: URI %s, header %v, body %s", name, call.URI, call.Header, call.Body)
			}
		}
	}
	for name, e := range c.engines {
		for _, r := range e.Requests() {
			received++
			if c.containsKey(r.Header, string(r.Body)) || c.containsEscapedKey("", r.Body) {
				t.Errorf("G4: %s received a key: header %v, body %s", name, r.Header, r.Body)
			}
		}
	}
	if received < len(bodies)*len(types) {
		t.Errorf("endpoints received only %d requests, so the run tested too little", received)
	}
	d.awaitSettledClaims()
	c.checkGuarantees()
}

// containsEscapedKey reports whether a URI or body contains an issued key once percent and JSON escapes are decoded.
func (c *cluster) containsEscapedKey(uri string, body []byte) bool {
	var decoded bytes.Buffer
	for _, part := range []string{uri, string(body)} {
		if plain, err := unescapeTwice(part); err == nil {
			decoded.WriteString(plain + "\n")
		}
	}
	var v any
	if json.Unmarshal(body, &v) == nil {
		fmt.Fprintf(&decoded, "%v", v)
	}
	return c.containsKey(nil, decoded.String())
}

// Guards against a withdrawn key that is still accepted, and against a stream that continues under it: callers are connected, the
// platform goes down right after the withdrawal, and in one case a gateway is partitioned before the withdrawal.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprint("partitioned ", partitioned), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{engines: 2, engine: standin.EngineConfig{DecodeRate: 20}})
			id := c.issueKey("clerks")
			key := c.key("clerks")
			probe := func(vm int) reply {
				start := time.Now()
				r := c.callWithKey(vm, key, http.MethodGet, "/svc/lines/of/clerks/probe", "", nil)
				r.text = r.body
				h := history.Request{ID: r.id, Team: "clerks", KeyID: id, Route: "lines", Start: start, End: time.Now(), Result: history.ResultRefused, ErrorKind: string(r.err.Kind), RunState: string(r.err.Execution)}
				if r.complete {
					h.Result = history.ResultComplete
				}
				c.history.AddRequest(h)
				return r
			}
			for vm := range vmCount {
				c.await("the key to be accepted at "+c.vms[vm].Name, func() bool { return probe(vm).complete })
			}
			var streams []*openStream
			for vm := range vmCount {
				streams = append(streams, c.openChat(vm, key, fmt.Sprint("long ", vm), 2000))
			}
			target := c.vms[1]
			if partitioned {
				c.partition(target, true)
			}
			status, body := c.admin(http.MethodDelete, "/keys/"+id, nil, nil)
			if status != http.StatusOK {
				t.Fatalf("withdraw the key: status %d: %s", status, body)
			}
			c.history.AddWithdrawal(history.Withdrawal{KeyID: id, At: time.Now()})
			c.platform.UpdateFaults(func(f *platformFaults) { f.Down = true })
			var answer struct{ Confirmed, Gateways int }
			if err := json.Unmarshal(body, &answer); err != nil {
				t.Fatal(err)
			}
			t.Logf("%d of %d gateways confirmed the withdrawal", answer.Confirmed, answer.Gateways)
			withdrawnAt := time.Now()
			for vm := range vmCount {
				if answer.Confirmed == answer.Gateways {
					if r := probe(vm); r.complete {
						t.Errorf("G4: %s accepted the key after it had confirmed the withdrawal", c.vms[vm].Name)
					}
				}
				c.await("the key to be refused at "+c.vms[vm].Name, func() bool { return !probe(vm).complete })
				t.Logf("%s refused the key %v after the withdrawal", c.vms[vm].Name, time.Since(withdrawnAt))
			}
			for vm, s := range streams {
				if c.vms[vm] == target && partitioned {
					continue
				}
				if r := s.readToEnd(); r.complete || r.err.Kind != apierror.KeyWithdrawn {
					t.Errorf("G4: the stream at %s ended with complete %v and error kind %q", c.vms[vm].Name, r.complete, r.err.Kind)
				}
			}
			c.heal(target)
			c.platform.UpdateFaults(func(f *platformFaults) { f.Down = false })
			// The gateway must apply the withdrawal before it serves other keys again.
			c.await("another key to be accepted at "+target.Name, func() bool {
				if probe(target.index).complete {
					t.Errorf("G4: %s accepted the key after the partition healed", target.Name)
					return true
				}
				return c.call(target.index, "skippers", http.MethodGet, "/svc/lines/of/skippers/x", "", nil).complete
			})
			if !partitioned {
				c.checkGuarantees()
				return
			}
			if r := streams[target.index].readToEnd(); r.complete || r.err.Kind != apierror.KeyWithdrawn {
				t.Errorf("G4: the stream at %s ended with complete %v and error kind %q", target.Name, r.complete, r.err.Kind)
			}
			c.checkGuarantees()
		})
	}
}
