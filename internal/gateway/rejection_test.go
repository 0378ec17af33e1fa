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

// Guards against requests that reach an endpoint although they must be refused, and against refusals without a remedy or without the
// information that nothing ran.
func TestRefusals(t *testing.T) {
	h := newHarness(t, standin.EngineConfig{})
	addr := h.startGateway("vm-1")
	h.keys["unknown"] = auth.NewKey("rope")
	h.keys["malformed"] = "hello"
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
		"open, not idempotent":  {"POST", public, "", "{}", []string{idempotencyHeader, "k"}, 401, apierror.Unauthenticated},
		"method override":       {"GET", svc, "rope", "", []string{"X-Http-Method-Override", "POST"}, 400, apierror.InvalidRequest},
		"upgrade":               {"GET", svc, "rope", "", []string{"Upgrade", "websocket", "Connection", "Upgrade"}, 400, apierror.InvalidRequest},
		"hop header":            {"GET", svc, "rope", "", []string{"Connection", "X-Team"}, 400, apierror.InvalidRequest},
		"underscored length":    {"POST", svc, "rope", "{}", []string{"Content_Length", "0"}, 400, apierror.InvalidRequest},
		"unknown path":          {"GET", "/v2/x", "rope", "", nil, 404, apierror.NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			r := h.call(c.method, addr, c.path, c.team, c.body, c.header...)
			if r.status != c.status || r.err.Kind != c.kind || r.err.Execution != apierror.NotExecuted || r.err.Remedy == "" {
				t.Fatalf("got %d %s", r.status, r.body)
			}
		})
	}
	h.partitioned = true
	if r := h.call("POST", addr, chat, "rope", chatStream); r.err.Kind != apierror.Unavailable || len(r.err.Addresses) == 0 {
		t.Fatalf("a partitioned gateway returned %d %s", r.status, r.body)
	}
	if r := h.call("GET", addr, public, "", ""); r.status != 200 {
		t.Fatalf("an open route without a key returned %d %s", r.status, r.body)
	}
	h.partitioned = false
	h.withdrawKey("rope")
	if r := h.call("POST", addr, chat, "rope", chatStream); r.err.Kind != apierror.KeyWithdrawn {
		t.Fatalf("a withdrawn key returned %d %s", r.status, r.body)
	}
	if n := h.endpointRequestCount(); n != 1 {
		t.Fatalf("endpoints received %d requests, want only the one on the open route", n)
	}
}

// sendRaw sends a raw request and returns the status codes of the responses.
func sendRaw(t *testing.T, addr, request string) []string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, request)
	conn.(*net.TCPConn).CloseWrite()
	data, _ := io.ReadAll(conn)
	var statuses []string
	for s := bufio.NewScanner(strings.NewReader(string(data))); s.Scan(); {
		if strings.HasPrefix(s.Text(), "HTTP/1.1 ") {
			statuses = append(statuses, s.Text()[9:12])
		}
	}
	return statuses
}

// Guards against request smuggling, where the gateway and an endpoint disagree on the end of a body, and against truncated bodies that
// are executed.
func TestFraming(t *testing.T) {
	h := newHarness(t)
	addr := h.startGateway("vm-1")
	head := "POST /svc/harvest/x HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nAuthorization: Bearer " + h.keys["rope"] + "\r\n"
	for name, c := range map[string]struct{ request, status string }{
		"two lengths":      {head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x", "400"},
		"unknown encoding": {head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501"},
		"truncated body":   {head + "Content-Length: 10\r\n\r\n{}", "400"},
		"truncated chunk":  {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", "400"},
		"trailer":          {head + "Transfer-Encoding: chunked\r\nTrailer: X-Key\r\n\r\n2\r\n{}\r\n0\r\nX-Key: a\r\n\r\n", "400"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := sendRaw(t, addr, c.request); len(got) > 1 || len(got) == 1 && got[0] != c.status {
				t.Fatalf("got statuses %v, want %s", got, c.status)
			}
		})
	}
	if n := h.endpointRequestCount(); n != 0 {
		t.Fatalf("endpoints received %d requests", n)
	}
	// With both framings the chunked encoding applies, and the endpoint gets a length set by the gateway.
	got := sendRaw(t, addr, head+"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
	for _, call := range h.service.Calls() {
		if string(call.Body) != "{}" || call.Header.Get("Transfer-Encoding") != "" {
			t.Fatalf("the endpoint got %q, %v (statuses %v)", call.Body, call.Header, got)
		}
	}
}

// Guards against keys that reach an endpoint in a header, the query or the body.
func TestKeysAreNotForwarded(t *testing.T) {
	h := newHarness(t, standin.EngineConfig{})
	addr := h.startGateway("vm-1")
	key := h.keys["rope"]
	escaped := strings.Replace(key, "cg_", `\u0063g_`, 1)
	r := h.call("PUT", addr, "/svc/harvest/x?a=1&token="+key+"&api_key=z&t=%63"+key[1:], "rope",
		`{"n":12345678901234567890,"api_key":"z","deep":[{"k":"`+escaped+`"}]}`,
		idempotencyHeader, "k1", "X-Api-Key", "z", "X-Forwarded-Key", key, "Content-Type", "application/json")
	r2 := h.call("POST", addr, "/svc/harvest/x", "rope", "text "+key, idempotencyHeader, "k2")
	r3 := h.call("POST", addr, "/svc/harvest/x", "rope", "a=%63"+key[1:]+"&b=2", idempotencyHeader, "k3", "Content-Type", "application/x-www-form-urlencoded")
	r4 := h.call("POST", addr, endpoint.CompletionPath, "rope", `{"model":"m","prompt":"say `+key+`","api_key":"`+key+`","priority":-9,"cache_salt":"x"}`)
	for _, r := range []reply{r, r2, r3, r4} {
		if r.status != http.StatusOK {
			t.Fatalf("got %d %s", r.status, r.body)
		}
	}
	random := key[len(key)-32:]
	calls := h.service.Calls()
	for _, c := range calls {
		if got := fmt.Sprint(c.URI, c.Header, string(c.Body)); strings.Contains(got, random) || strings.Contains(got, "api_key") {
			t.Fatalf("an endpoint received a key: %s", got)
		}
	}
	if !strings.Contains(string(calls[0].Body), "12345678901234567890") || calls[0].URI != "/x?a=1" || string(calls[2].Body) != "b=2" {
		t.Fatalf("content without a key was changed: %q %s, %q", calls[0].URI, calls[0].Body, calls[2].Body)
	}
	q := h.engines[0].Requests()[0]
	if strings.Contains(string(q.Body), random) || q.Header.Get("Authorization") != "" || q.Priority != 1 || q.CacheSalt != h.keyring.CacheSalt("rope") {
		t.Fatalf("the engine got %s", q.Body)
	}
}

// Guards against refusals while another request briefly holds the last slot, and against waiting for capacity that no endpoint has.
func TestRequestWaitsForFreeSlot(t *testing.T) {
	h := newHarness(t, standin.EngineConfig{Slots: 1, DecodeRate: 200})
	addr := h.startGateway("vm-1")
	first, _ := h.startStream(addr, "rope")
	r := h.call("POST", addr, endpoint.ChatPath, "clerk", chatStream)
	if _, done := r.output(); !done {
		t.Errorf("while a stream holds all slots: %d %s", r.status, r.body)
	}
	first.Body.Close()
	long := strings.Replace(chatStream, `"max_tokens":8`, `"max_tokens":100000`, 1)
	if r := h.call("POST", addr, endpoint.ChatPath, "clerk", long); r.err.Kind != apierror.Overloaded || r.err.Execution != apierror.NotExecuted {
		t.Errorf("a request larger than the engine's memory: %d %s", r.status, r.body)
	}
}
