package endpoint_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/certtest"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/standin"
)

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newClient(t *testing.T) *endpoint.Client {
	c := endpoint.New(endpoint.Options{TokenWait: 100 * time.Millisecond})
	t.Cleanup(c.Close)
	return c
}

func drain(s *endpoint.Stream) (string, error) {
	defer s.Close()
	text := ""
	for {
		c, err := s.Next()
		if err != nil {
			return text, err
		}
		text += c.Text
	}
}

// Guards against a broken stream that is returned as complete, and against a wrong Reason in its error.
func TestStreamFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults standin.EngineFaults
		reason endpoint.Reason
	}{
		"whole":   {standin.EngineFaults{}, ""},
		"cut":     {standin.EngineFaults{DisconnectAfter: 3}, endpoint.Interrupted},
		"half":    {standin.EngineFaults{TruncateAfter: 3}, endpoint.Interrupted},
		"stall":   {standin.EngineFaults{StallAfter: 3}, endpoint.Stalled},
		"garbage": {standin.EngineFaults{InvalidDataAfter: 3}, endpoint.Invalid},
		"wrong":   {standin.EngineFaults{MismatchedRequestID: true}, endpoint.WrongRequest},
		"crash":   {standin.EngineFaults{CrashMarker: "rope", CrashAfter: 3}, endpoint.Interrupted},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, standin.NewEngine(standin.EngineConfig{Faults: c.faults}))
			r := endpoint.DataRequest{Path: endpoint.ChatPath, RequestID: "r1",
				Body: []byte(`{"messages":[{"role":"user","content":"rope"}],"max_tokens":5,"stream":true}`)}
			text, err := "", error(nil)
			s, err := newClient(t).Stream(context.Background(), addr, r)
			if err == nil {
				text, err = drain(s)
			}
			if c.reason == "" {
				if want := standin.ExpectedOutput(standin.ChatPrompt("user", "rope"), 5); text != want || err != io.EOF {
					t.Fatalf("got %q and %v, want %q and the end marker", text, err, want)
				}
				return
			}
			if e := endpoint.AsError(err); e == nil || e.Reason != c.reason || !e.MaybeSent {
				t.Fatalf("got %v, want reason %s of a request that was sent", err, c.reason)
			}
		})
	}
}

// Guards against a wrong MaybeSent in errors: it must be set after a connection was made and not set before.
func TestErrorsReportWhetherSent(t *testing.T) {
	c := newClient(t)
	s := httptest.NewServer(http.NotFoundHandler())
	closedAddr := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	_, err := c.CallService(context.Background(), closedAddr, endpoint.ServiceCall{Method: "POST", URI: "/x", RequestID: "a"})
	if e := endpoint.AsError(err); e == nil || e.MaybeSent || e.Reason != endpoint.Unreachable {
		t.Fatalf("an unreachable endpoint gave %v", err)
	}
	addr := serve(t, standin.NewService(standin.ServiceConfig{Faults: standin.ServiceFaults{DisconnectBeforeExecuting: true}}))
	_, err = c.CallService(context.Background(), addr, endpoint.ServiceCall{Method: "POST", URI: "/x", RequestID: "a"})
	if e := endpoint.AsError(err); e == nil || !e.MaybeSent {
		t.Fatalf("a broken connection gave %v", err)
	}
}

// Guards against a call that runs twice: the HTTP transport repeats a request with an idempotency key when a reused connection breaks.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	service := standin.NewService(standin.ServiceConfig{})
	addr := serve(t, service)
	c := newClient(t)
	call := endpoint.ServiceCall{Method: "POST", URI: "/x", RequestID: "a", Header: http.Header{"Idempotency-Key": {"k"}}}
	if _, err := c.CallService(context.Background(), addr, call); err != nil {
		t.Fatal(err)
	}
	service.SetFaults(standin.ServiceFaults{DisconnectAfterExecuting: true})
	call.RequestID = "b"
	if _, err := c.CallService(context.Background(), addr, call); err == nil {
		t.Fatal("a call on a broken connection returned a response")
	}
	if n := service.ExecutionsByRequest()["b"]; n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}

// Guards against a call that a process sends after a pause, when other VMs have already declared the call dead.
func TestCallAfterDeadlineIsNotSent(t *testing.T) {
	service := standin.NewService(standin.ServiceConfig{})
	addr := serve(t, service)
	call := endpoint.ServiceCall{Method: "POST", URI: "/x", RequestID: "a", Body: []byte("{}"), SendBefore: time.Now().Add(-time.Second)}
	_, err := newClient(t).CallService(context.Background(), addr, call)
	if e := endpoint.AsError(err); e == nil || e.MaybeSent || len(service.Calls()) != 0 {
		t.Fatalf("a call after its deadline gave %v and reached the service %d times", err, len(service.Calls()))
	}
	call.SendBefore = time.Now().Add(time.Minute)
	if _, err := newClient(t).CallService(context.Background(), addr, call); err != nil || service.TotalExecutions() != 1 {
		t.Fatalf("a call before its deadline gave %v", err)
	}
}

// Guards against a call over TLS that a process sends after its deadline because it was paused after the handshake, here a handshake
// that takes too long, and against MaybeSent being set because the bytes of the handshake were counted as bytes of the call.
func TestCallAfterDeadlineIsNotSentOverTLS(t *testing.T) {
	files := auth.TLSFiles(certtest.NewAuthority(t, "services").WriteCertificateFiles(t.TempDir(), []string{"127.0.0.1"}))
	identity, err := auth.LoadTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	service := standin.NewService(standin.ServiceConfig{})
	server := httptest.NewUnstartedServer(service)
	config, finishHandshake := identity.ServerConfig(true), make(chan struct{})
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { <-finishHandshake; return nil, nil }
	server.Listener = tls.NewListener(server.Listener, config)
	server.Start()
	defer server.Close()
	call := endpoint.ServiceCall{Method: "POST", URI: "/x", RequestID: "a", Body: []byte("{}"), SendBefore: time.Now().Add(200 * time.Millisecond)}
	time.AfterFunc(400*time.Millisecond, func() { close(finishHandshake) })
	client := endpoint.New(endpoint.Options{TLS: identity})
	defer client.Close()
	_, err = client.CallService(context.Background(), "https://"+server.Listener.Addr().String(), call)
	if e := endpoint.AsError(err); e == nil || e.MaybeSent || len(service.Calls()) != 0 {
		t.Fatalf("a call after its deadline gave %v and reached the service %d times", err, len(service.Calls()))
	}
	call.SendBefore = time.Now().Add(time.Minute)
	if _, err := client.CallService(context.Background(), "https://"+server.Listener.Addr().String(), call); err != nil || service.TotalExecutions() != 1 {
		t.Fatalf("a call before its deadline gave %v", err)
	}
}

// Guards against treating a call as sent when the endpoint rejects the client certificate: the call would stay unresolved, and the failure
// would count as a crash of the endpoint.
func TestCallWithRejectedCertificateIsNotSent(t *testing.T) {
	services, other := certtest.NewAuthority(t, "services"), certtest.NewAuthority(t, "other")
	identity, err := auth.LoadTLS(auth.TLSFiles(services.WriteCertificateFiles(t.TempDir(), []string{"127.0.0.1"})))
	if err != nil {
		t.Fatal(err)
	}
	refused, err := auth.LoadTLS(auth.TLSFiles(other.WriteCertificateFiles(t.TempDir(), nil, services)))
	if err != nil {
		t.Fatal(err)
	}
	service := standin.NewService(standin.ServiceConfig{})
	server := httptest.NewUnstartedServer(service)
	server.Listener = tls.NewListener(server.Listener, identity.ServerConfig(true))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	defer server.Close()
	client := endpoint.New(endpoint.Options{TLS: refused})
	defer client.Close()
	for _, idempotent := range []bool{false, true} {
		call := endpoint.ServiceCall{Method: "POST", URI: "/x", RequestID: "a", Body: []byte("{}"), Idempotent: idempotent}
		_, err = client.CallService(context.Background(), "https://"+server.Listener.Addr().String(), call)
		if e := endpoint.AsError(err); e == nil || e.MaybeSent || e.SuggestsCrash() || len(service.Calls()) != 0 {
			t.Errorf("idempotent %v: %v, %+v", idempotent, err, e)
		}
	}
}

// Guards against a request without TLS to an address outside loopback that came from the configuration or the provider.
func TestPlaintextOutsideLoopbackIsNotDialed(t *testing.T) {
	dialed := false
	c := endpoint.New(endpoint.Options{DialContext: func(context.Context, string, string) (net.Conn, error) {
		dialed = true
		return nil, errors.New("dialed")
	}})
	_, err := c.Load(context.Background(), "192.0.2.1:80")
	if e := endpoint.AsError(err); e == nil || e.MaybeSent || dialed || !strings.Contains(err.Error(), "https://192.0.2.1:80") {
		t.Errorf("got %v, dialed %v", err, dialed)
	}
}

// Guards against a stale order that is reported as accepted, and against a lookup without the instance.
func TestControlAndLookup(t *testing.T) {
	c, ctx := newClient(t), context.Background()
	e := standin.NewEngine(standin.EngineConfig{ChecksFence: true})
	addr := serve(t, e)
	if err := c.SendOrder(ctx, addr, apitypes.Order{ID: "1", Fence: 7, Kind: apitypes.OrderSetRole, Value: "decode"}); err != nil {
		t.Fatal(err)
	}
	if err := c.SendOrder(ctx, addr, apitypes.Order{ID: "2", Fence: 6, Kind: apitypes.OrderDrain}); !errors.Is(err, endpoint.ErrStaleFence) {
		t.Fatalf("a stale order gave %v", err)
	}
	state, err := c.ControlState(ctx, addr)
	if err != nil || state.FencingToken != 7 || state.Role != apitypes.RoleDecode {
		t.Fatalf("state %+v, %v", state, err)
	}
	load, err := c.Load(ctx, addr)
	if err != nil || load.Instance != e.Instance() || load.KVTotal != 2000 {
		t.Fatalf("load %+v, %v", load, err)
	}
	l, err := c.Lookup(ctx, addr, "none")
	if err != nil || l.State != endpoint.LookupUnknown || l.Instance != e.Instance() {
		t.Fatalf("lookup %+v, %v", l, err)
	}
}

// Guards against lost cache events that the caller can't detect: the sequence numbers must show a gap for each lost event.
func TestCacheEvents(t *testing.T) {
	e := standin.NewEngine(standin.EngineConfig{DropEveryNthCacheEvent: 2, CacheEventDelay: 5 * time.Millisecond})
	addr := serve(t, e)
	c, ctx := newClient(t), context.Background()
	events := make(chan endpoint.CacheEvent, 8)
	ended := make(chan error, 1)
	go func() {
		ended <- c.CacheEvents(ctx, addr, func(ev endpoint.CacheEvent) error {
			events <- ev
			if len(events) == 3 {
				return io.EOF
			}
			return nil
		})
	}()
	// Events before the subscription are not delivered, so requests continue until the last event has arrived.
	var prompts []string
	for done := false; !done; {
		select {
		case err := <-ended:
			if err != io.EOF {
				t.Fatal(err)
			}
			done = true
		default:
			prompt := fmt.Sprintf("%064d", len(prompts))
			prompts = append(prompts, prompt)
			r := endpoint.DataRequest{Path: endpoint.CompletionPath, RequestID: fmt.Sprint(len(prompts)), Body: []byte(`{"prompt":"` + prompt + `","cache_salt":"s"}`)}
			if _, err := c.RunUnary(ctx, addr, r); err != nil {
				t.Fatal(err)
			}
		}
	}
	var got []endpoint.CacheEvent
	close(events)
	for ev := range events {
		got = append(got, ev)
	}
	for _, ev := range got {
		if ev.Seq%2 == 0 || len(ev.Stored) != 1 || ev.Stored[0] != endpoint.PrefixBlocks("s", prompts[ev.Seq-1])[0] {
			t.Fatalf("events %+v", got)
		}
	}
}

// Guards against a test engine that serves urgent requests after others: tests on it would miss faults in priorities.
func TestEnginePriorities(t *testing.T) {
	e := standin.NewEngine(standin.EngineConfig{Slots: 1, DecodeRate: 100})
	addr := serve(t, e)
	c, ctx := newClient(t), context.Background()
	urgent := make(chan error, 1)
	send := func(id, body string) {
		_, err := c.RunUnary(ctx, addr, endpoint.DataRequest{Path: endpoint.CompletionPath, RequestID: id, Body: []byte(body)})
		if id == "urgent" {
			urgent <- err
		}
	}
	// The first request occupies the only slot until the others are waiting.
	for i, r := range [][2]string{{"first", `{"prompt":"p","max_tokens":1000000}`},
		{"batch", `{"prompt":"p","max_tokens":1000000,"priority":2}`}, {"urgent", `{"prompt":"p","max_tokens":8,"priority":0}`}} {
		go send(r[0], r[1])
		for load, err := c.Load(ctx, addr); load.Running+load.Waiting <= i; load, err = c.Load(ctx, addr) {
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	// The batch request does not end on its own, so the urgent one ends only if it runs before it.
	if err := c.Cancel(ctx, addr, "first"); err != nil {
		t.Fatal(err)
	}
	if err := <-urgent; err != nil {
		t.Fatal(err)
	}
	if err := c.Cancel(ctx, addr, "batch"); err != nil {
		t.Fatal(err)
	}
}

// Guards against taking an earlier refusal that an engine repeats on a kept connection for the refusal of the next request, which runs:
// it would run at a second engine too.
func TestRepeatedRefusalBelongsToAnotherRequest(t *testing.T) {
	refuse := func(w io.Writer, id string) {
		fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		br := bufio.NewReader(conn)
		for range 3 {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			refuse(conn, "first")
		}
	}()
	c := endpoint.New(endpoint.Options{})
	defer c.Close()
	run := func(id string) *endpoint.Error {
		_, err := c.RunUnary(t.Context(), l.Addr().String(), endpoint.DataRequest{Path: endpoint.ChatPath, RequestID: id, Body: []byte("{}")})
		return endpoint.AsError(err)
	}
	if e := run("first"); e == nil || e.Reason != endpoint.Refused || e.Status != http.StatusServiceUnavailable {
		t.Errorf("own refusal: %v", e)
	}
	if e := run("second"); e == nil || e.Reason != endpoint.WrongRequest || !e.MaybeSent {
		t.Errorf("repeated refusal, not streamed: %v", e)
	}
	_, err = c.Stream(t.Context(), l.Addr().String(), endpoint.DataRequest{Path: endpoint.ChatPath, RequestID: "third", Body: []byte("{}")})
	if e := endpoint.AsError(err); e == nil || e.Reason != endpoint.WrongRequest || !e.MaybeSent {
		t.Errorf("repeated refusal, streamed: %v", e)
	}
}

// Guards against missing the pause that an endpoint asks for when it refuses a request.
func TestRefusalCarriesPause(t *testing.T) {
	addr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Retry-After", "1.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	c := newClient(t)
	_, err := c.RunUnary(t.Context(), addr, endpoint.DataRequest{Path: endpoint.ChatPath, RequestID: "1", Body: []byte("{}")})
	if got := endpoint.PauseOf(nil, err); got != 1500*time.Millisecond {
		t.Errorf("engine: pause of %v", got)
	}
	response, err := c.CallService(t.Context(), addr, endpoint.ServiceCall{Method: http.MethodGet, URI: "/x", RequestID: "2"})
	if got := endpoint.PauseOf(response, err); got != 1500*time.Millisecond {
		t.Errorf("service: pause of %v, %v", got, err)
	}
}
