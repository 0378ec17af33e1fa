package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/standin"
)

// Guards against requests that reach an endpoint although they must be refused, and against refusals that name no remedy or
// do not say that nothing ran.
func TestRefusals(t *testing.T) {
	b := newBed(t, standin.EngineConfig{})
	addr := b.gateway("vm-1")
	b.keys["unknown"] = auth.NewKey("rope")
	b.keys["malformed"] = "hello"
	chat, svc, public := endpoint.ChatPath, "/svc/harvest/declare", "/svc/public/x"
	for name, c := range map[string]struct {
		method, path, team, body string
		header                   []string
		status                   int
		kind                     apierror.Kind
	}{
		"no key":                {"POST", chat, "", chatStream, nil, 401, apierror.Unauthenticated},
		"malformed key":         {"POST", chat, "malformed", chatStream, nil, 401, apierror.Unauthenticated},
		"unknown key":           {"POST", chat, "unknown", chatStream, nil, 401, apierror.Unauthenticated},
		"bad key on open route": {"GET", public, "unknown", "", nil, 401, apierror.Unauthenticated},
		"unknown model":         {"POST", chat, "rope", strings.Replace(chatStream, `"m"`, `"none"`, 1), nil, 404, apierror.NotFound},
		"model not allowed":     {"POST", chat, "rope", strings.Replace(chatStream, `"m"`, `"other"`, 1), nil, 403, apierror.Forbidden},
		"version not allowed":   {"POST", chat, "rope", strings.Replace(chatStream, `"m"`, `"m@2"`, 1), nil, 403, apierror.Forbidden},
		"not JSON":              {"POST", chat, "rope", `{"model":`, nil, 400, apierror.InvalidRequest},
		"two JSON values":       {"POST", chat, "rope", chatStream + chatStream, nil, 400, apierror.InvalidRequest},
		"wrong field type":      {"POST", chat, "rope", `{"model":5}`, nil, 400, apierror.InvalidRequest},
		"no messages":           {"POST", chat, "rope", `{"model":"m"}`, nil, 400, apierror.InvalidRequest},
		"too large":             {"POST", chat, "rope", strings.Repeat("x", 5000), nil, 413, apierror.TooLarge},
		"bad deadline":          {"POST", chat, "rope", chatStream, []string{deadlineHeader, "soon"}, 400, apierror.InvalidRequest},
		"unknown route":         {"GET", "/svc/none/x", "rope", "", nil, 404, apierror.NotFound},
		"route not allowed":     {"GET", "/svc/hidden/x", "rope", "", nil, 403, apierror.Forbidden},
		"route without key":     {"GET", svc, "", "", nil, 401, apierror.Unauthenticated},
		"no idempotency key":    {"POST", svc, "rope", "{}", nil, 400, apierror.InvalidRequest},
		"open and not idem.":    {"POST", public, "", "{}", []string{idempotencyHeader, "k"}, 401, apierror.Unauthenticated},
		"method override":       {"GET", svc, "rope", "", []string{"X-Http-Method-Override", "POST"}, 400, apierror.InvalidRequest},
		"upgrade":               {"GET", svc, "rope", "", []string{"Upgrade", "websocket", "Connection", "Upgrade"}, 400, apierror.InvalidRequest},
		"hop header":            {"GET", svc, "rope", "", []string{"Connection", "X-Team"}, 400, apierror.InvalidRequest},
		"underscored length":    {"POST", svc, "rope", "{}", []string{"Content_Length", "0"}, 400, apierror.InvalidRequest},
		"unknown path":          {"GET", "/v2/x", "rope", "", nil, 404, apierror.NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			r := b.call(c.method, addr, c.path, c.team, c.body, c.header...)
			if r.status != c.status || r.err.Kind != c.kind || r.err.Execution != apierror.NotExecuted || r.err.Remedy == "" {
				t.Fatalf("got %d %s", r.status, r.body)
			}
		})
	}
	b.lost = true
	if r := b.call("POST", addr, chat, "rope", chatStream); r.err.Kind != apierror.Unavailable || len(r.err.Addresses) == 0 {
		t.Fatalf("a gateway without contact answered %d %s", r.status, r.body)
	}
	if r := b.call("GET", addr, public, "", ""); r.status != 200 {
		t.Fatalf("an open route without key gave %d %s", r.status, r.body)
	}
	b.lost = false
	b.withdraw("rope")
	if r := b.call("POST", addr, chat, "rope", chatStream); r.err.Kind != apierror.KeyWithdrawn {
		t.Fatalf("a withdrawn key gave %d %s", r.status, r.body)
	}
	if n := b.seenByEndpoints(); n != 1 {
		t.Fatalf("endpoints saw %d requests, want the open one", n)
	}
}

// raw sends bytes and returns the status lines of what comes back.
func raw(t *testing.T, addr, request string) []string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, request)
	conn.(*net.TCPConn).CloseWrite()
	data, _ := io.ReadAll(conn)
	var lines []string
	for s := bufio.NewScanner(strings.NewReader(string(data))); s.Scan(); {
		if strings.HasPrefix(s.Text(), "HTTP/1.1 ") {
			lines = append(lines, s.Text()[9:12])
		}
	}
	return lines
}

// Guards against a body that the gateway and an endpoint delimit differently, and against a cut body that is run.
func TestFraming(t *testing.T) {
	b := newBed(t)
	addr := b.gateway("vm-1")
	head := "POST /svc/harvest/x HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nAuthorization: Bearer " + b.keys["rope"] + "\r\n"
	for name, c := range map[string]struct{ request, status string }{
		"two lengths":      {head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x", "400"},
		"unknown encoding": {head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501"},
		"cut short":        {head + "Content-Length: 10\r\n\r\n{}", "400"},
		"cut chunk":        {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", "400"},
		"trailer":          {head + "Transfer-Encoding: chunked\r\nTrailer: X-Key\r\n\r\n2\r\n{}\r\n0\r\nX-Key: a\r\n\r\n", "400"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := raw(t, addr, c.request); len(got) > 1 || len(got) == 1 && got[0] != c.status {
				t.Fatalf("got statuses %v, want %s", got, c.status)
			}
		})
	}
	if n := b.seenByEndpoints(); n != 0 {
		t.Fatalf("endpoints saw %d requests", n)
	}
	// With both framings the encoding counts, and the endpoint gets a length of its own.
	got := raw(t, addr, head+"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
	for _, call := range b.service.Calls() {
		if string(call.Body) != "{}" || call.Header.Get("Transfer-Encoding") != "" {
			t.Fatalf("the endpoint got %q, %v (statuses %v)", call.Body, call.Header, got)
		}
	}
}

// Guards against a key that reaches an endpoint in a header, the query or the body.
func TestKeysDoNotLeave(t *testing.T) {
	b := newBed(t, standin.EngineConfig{})
	addr := b.gateway("vm-1")
	key := b.keys["rope"]
	escaped := strings.Replace(key, "cg_", `\u0063g_`, 1)
	r := b.call("PUT", addr, "/svc/harvest/x?a=1&token="+key+"&api_key=z&t=%63"+key[1:], "rope",
		`{"n":12345678901234567890,"api_key":"z","deep":[{"k":"`+escaped+`"}]}`,
		idempotencyHeader, "k1", "X-Api-Key", "z", "X-Forwarded-Key", key, "Content-Type", "application/json")
	r2 := b.call("POST", addr, "/svc/harvest/x", "rope", "text "+key, idempotencyHeader, "k2")
	r3 := b.call("POST", addr, "/svc/harvest/x", "rope", "a=%63"+key[1:]+"&b=2", idempotencyHeader, "k3", "Content-Type", "application/x-www-form-urlencoded")
	r4 := b.call("POST", addr, endpoint.CompletionPath, "rope", `{"model":"m","prompt":"say `+key+`","api_key":"`+key+`","priority":-9,"cache_salt":"x"}`)
	for _, r := range []reply{r, r2, r3, r4} {
		if r.status != http.StatusOK {
			t.Fatalf("got %d %s", r.status, r.body)
		}
	}
	random := key[len(key)-32:]
	calls := b.service.Calls()
	for _, c := range calls {
		if seen := fmt.Sprint(c.URI, c.Header, string(c.Body)); strings.Contains(seen, random) || strings.Contains(seen, "api_key") {
			t.Fatalf("an endpoint saw a key: %s", seen)
		}
	}
	if !strings.Contains(string(calls[0].Body), "12345678901234567890") || calls[0].URI != "/x?a=1" || string(calls[2].Body) != "b=2" {
		t.Fatalf("content without a key was changed: %q %s, %q", calls[0].URI, calls[0].Body, calls[2].Body)
	}
	q := b.engines[0].Requests()[0]
	if strings.Contains(string(q.Body), random) || q.Header.Get("Authorization") != "" || q.Priority != 1 || q.CacheSalt != b.keyring.CacheSalt("rope") {
		t.Fatalf("the engine got %s", q.Body)
	}
}

// Guards against refusals while another request holds the last slot for a moment, and against a wait for a place that can't come.
func TestFullPoolIsWaitedFor(t *testing.T) {
	b := newBed(t, standin.EngineConfig{Slots: 1, DecodeRate: 200})
	addr := b.gateway("vm-1")
	first, _ := b.start(addr, "rope")
	r := b.call("POST", addr, endpoint.ChatPath, "clerk", chatStream)
	if _, done := r.text(); !done {
		t.Errorf("behind a stream with all slots: %d %s", r.status, r.body)
	}
	first.Body.Close()
	long := strings.Replace(chatStream, `"max_tokens":8`, `"max_tokens":100000`, 1)
	if r := b.call("POST", addr, endpoint.ChatPath, "clerk", long); r.err.Kind != apierror.Overloaded || r.err.Execution != apierror.NotExecuted {
		t.Errorf("above the engine's memory: %d %s", r.status, r.body)
	}
}
