package daemon

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/telemetry"
)

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against silent connections that take all connections of a port, so that others are refused, against a new connection that
// interrupts a running request, and against refusals that operators can't see.
func TestConnectionBound(t *testing.T) {
	var log lockedBuffer
	tel, err := telemetry.New(&log, "info", telemetry.Identity{})
	if err != nil {
		t.Fatal(err)
	}
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	_ = probe.Close()
	running, finish := make(chan struct{}, 8), make(chan struct{})
	component := newHTTPServerComponent("test", address, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			running <- struct{}{}
			<-finish
		}
		_, _ = io.WriteString(w, "done")
	}), tel, 4)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- component.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	open := func() net.Conn {
		for {
			c, err := net.Dial("tcp", address)
			if err == nil {
				t.Cleanup(func() { _ = c.Close() })
				return c
			}
			time.Sleep(time.Millisecond) // the component has not started to listen yet
		}
	}
	answer := func(c net.Conn) string {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err.Error()
		}
		body, _ := io.ReadAll(resp.Body)
		return string(body)
	}
	long := open()
	fmt.Fprint(long, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
	<-running
	for range 20 {
		open()
	}
	ordinary := open()
	fmt.Fprint(ordinary, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if got := answer(ordinary); got != "done" {
		t.Errorf("request beside silent connections: %s", got)
	}
	for range 3 {
		fmt.Fprint(open(), "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		<-running
	}
	if got := answer(open()); got == "done" || !strings.Contains(got, "EOF") && !strings.Contains(got, "reset") {
		t.Errorf("connection beyond the bound: %s", got)
	}
	close(finish)
	if got := answer(long); got != "done" {
		t.Errorf("running request: %s", got)
	}
	for !strings.Contains(log.String(), "no longer refusing clients") {
		time.Sleep(time.Millisecond)
	}
	if n := strings.Count(log.String(), `"refusing clients"`); n != 1 {
		t.Errorf("%d lines on the start of refusing", n)
	}
	w := httptest.NewRecorder()
	tel.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, cause := range []string{"evicted", "full"} {
		if !strings.Contains(w.Body.String(), `cause="`+cause+`"`) {
			t.Errorf("no metric of the cause %s", cause)
		}
	}
}
