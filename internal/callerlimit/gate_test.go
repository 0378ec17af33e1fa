package callerlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// startBody admits a connection that reads a body through src, and returns it with the other end.
func startBody(t *testing.T, g *Gate) (*Conn, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	c := g.Admit(near)
	if c == nil {
		t.Fatal("connection refused below the bound")
	}
	if err := c.Begin(http.Header{}, true); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = far.Close() })
	return c, far
}

// Guards against limits that exceed the memory or the descriptors, and against none at all for an unknown VM.
func TestLimitsFor(t *testing.T) {
	for _, c := range []struct {
		memoryMB, descriptors int64
		want                  Limits
	}{
		{0, 0, Limits{defaultMemoryBytes, defaultMaxConns}},
		{144, 0, Limits{18 << 20, 1152}},
		{144, 3075, Limits{18 << 20, 1152}},
		{4096, 3075, Limits{512 << 20, 1345}},
		{144, 300, Limits{18 << 20, 118}},
		{144, 10, Limits{18 << 20, 1}},
	} {
		if got := LimitsFor(c.memoryMB, c.descriptors); got != c.want {
			t.Errorf("%d MiB, %d descriptors: %+v, want %+v", c.memoryMB, c.descriptors, got, c.want)
		}
	}
}

// Guards against charging for what was announced, and against a body inside its limit that is refused without overload.
func TestBodyIsChargedAsItArrives(t *testing.T) {
	g := NewGate(Limits{MemoryBytes: 1 << 20, MaxConns: 4})
	c, far := startBody(t, g)
	const size = 4 << 20 // above the whole account
	read := make(chan []byte)
	go func() {
		body, err := c.ReadBody(c, size, size, time.Minute, time.Time{})
		if err != nil {
			t.Error(err)
		}
		read <- body
	}()
	writeBody(t, far, 100<<10)
	if held := g.Stats().BodyBytes; held < 64<<10 || held > 256<<10 {
		t.Errorf("%d bytes are charged after 100 KiB have arrived", held)
	}
	writeBody(t, far, size-100<<10)
	if body := <-read; len(body) != size || !c.EndBody(false, 0) {
		t.Errorf("read %d bytes", len(body))
	}
	c.endRequest()
	if s := g.Stats(); s.BodyBytes != 0 || s.HeaderBytes != 0 {
		t.Errorf("charged after the request: %+v", s)
	}
}

func writeBody(t *testing.T, w io.Writer, n int) {
	t.Helper()
	if _, err := io.WriteString(w, strings.Repeat("x", n)); err != nil {
		t.Error(err)
	}
}

// Guards against a stalled body that keeps its memory while another one needs it, and against evicting a body that makes progress.
func TestStalledBodyIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Limits{MemoryBytes: 100 << 10, MaxConns: 4})
		stalled, stalledFar := startBody(t, g)
		stalledErr := make(chan error, 1)
		go func() {
			_, err := stalled.ReadBody(stalled, -1, 1<<20, time.Minute, time.Time{})
			stalledErr <- err
		}()
		writeBody(t, stalledFar, 60<<10)
		synctest.Wait()

		early, earlyFar := startBody(t, g)
		earlyErr := make(chan error, 1)
		go func() {
			_, err := early.ReadBody(early, -1, 1<<20, time.Minute, time.Time{})
			earlyErr <- err
		}()
		go func() { _, _ = io.WriteString(earlyFar, strings.Repeat("x", 60<<10)) }()
		if err := <-earlyErr; !errors.Is(err, ErrNoRoom) {
			t.Errorf("second body: %v, want ErrNoRoom", err)
		}
		_ = early.Close()

		time.Sleep(2 * minSilence)
		late, lateFar := startBody(t, g)
		go func() { _, _ = io.WriteString(lateFar, strings.Repeat("x", 60<<10)) }()
		if _, err := late.ReadBody(late, 60<<10, 1<<20, time.Minute, time.Time{}); err != nil {
			t.Errorf("body after the other stalled: %v", err)
		}
		if err := <-stalledErr; !errors.Is(err, ErrStalled) || stalled.EndBody(true, 0) {
			t.Errorf("stalled body: %v, want ErrStalled", err)
		}
	})
}

// Guards against a body without progress that is waited for without end.
func TestBodyIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Limits{MemoryBytes: 1 << 20, MaxConns: 4})
		c, far := startBody(t, g)
		go func() {
			for range 3 {
				writeBody(t, far, 1)
				time.Sleep(9 * time.Second)
			}
		}()
		started := time.Now()
		_, err := c.ReadBody(c, 10, 10, 10*time.Second, time.Time{})
		if !errors.Is(err, ErrStalled) || time.Since(started) != 28*time.Second {
			t.Errorf("%v after %v", err, time.Since(started))
		}
	})
}

// Guards against large bodies that take all the memory, so that ordinary ones are refused.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	g := NewGate(Limits{MemoryBytes: 1 << 20, MaxConns: 10})
	refused := 0
	for range 5 {
		c, far := startBody(t, g)
		go func() { _, _ = io.WriteString(far, strings.Repeat("x", 200<<10)) }()
		if _, err := c.ReadBody(c, 200<<10, 1<<20, time.Minute, time.Time{}); errors.Is(err, ErrNoRoom) {
			refused++
			_ = c.Close()
		}
	}
	if held := g.Stats().BodyBytes; refused != 3 || held > 512<<10 {
		t.Errorf("%d of 5 large bodies refused, %d bytes held", refused, held)
	}
	c, far := startBody(t, g)
	go func() { _, _ = io.WriteString(far, strings.Repeat("x", 100<<10)) }()
	if _, err := c.ReadBody(c, 100<<10, 1<<20, time.Minute, time.Time{}); err != nil {
		t.Errorf("ordinary body: %v", err)
	}
}

// Guards against more connections than the bound, and against closing one with a request in progress or with recent progress for a new one.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Limits{MemoryBytes: 1 << 20, MaxConns: 2})
		running, _ := startBody(t, g)
		running.EndBody(false, 0)
		near, _ := net.Pipe()
		silent := g.Admit(near)
		near, _ = net.Pipe()
		if g.Admit(near) != nil {
			t.Error("a connection above the bound was admitted while no other was silent")
		}
		time.Sleep(2 * minSilence)
		near, _ = net.Pipe()
		if c := g.Admit(near); c == nil || !silent.removed || running.removed {
			t.Errorf("new connection %v, silent one closed: %v, the one with a request: %v", c != nil, silent.removed, running.removed)
		}
		if s := g.Stats(); s.Conns != 2 || s.Refusals[CauseConnections] != 1 || s.Refusals[CauseIdle] != 1 {
			t.Errorf("%+v", s)
		}
		if silent.Begin(http.Header{}, false) == nil {
			t.Error("a request on a closed connection is run")
		}
		_ = silent.Close()
		if n := g.Stats().Conns; n != 2 {
			t.Errorf("%d connections after a second close", n)
		}
	})
}

// Guards against header lines that cost memory without being charged, and against a refusal without an answer.
func TestHeaderLinesAreCharged(t *testing.T) {
	g := NewGate(Limits{MemoryBytes: 1 << 20, MaxConns: 2})
	near, far := net.Pipe()
	c := g.Admit(near)
	go func() {
		_, _ = io.WriteString(far, "\r\n\r\nGET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 100)+"\r\n"+strings.Repeat("\n", 1000))
	}()
	if _, err := c.Read(make([]byte, 8<<10)); err != nil {
		t.Fatal(err)
	}
	if got, want := g.Stats().HeaderBytes, headerCost(4+16+4*100+2, 104); got != want {
		t.Errorf("%d bytes charged, want %d", got, want)
	}
	c.endRequest()
	answer := make(chan string, 1)
	go func() {
		_, _ = io.WriteString(far, strings.Repeat("a:\r\n", 5000))
		data := make([]byte, 1024)
		n, _ := far.Read(data)
		answer <- string(data[:n])
	}()
	if _, err := c.Read(make([]byte, 32<<10)); !errors.Is(err, errRefused) {
		t.Errorf("5000 header lines: %v", err)
	}
	if got := <-answer; !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "Retry-After") {
		t.Errorf("answer %q", got)
	}
	_ = c.Close()
	if s := g.Stats(); s.Conns != 0 || s.HeaderBytes != 0 {
		t.Errorf("%+v", s)
	}
}

// Guards against headers and bodies that are sent byte by byte, without a pause, and keep all connections without end.
func TestSlowRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Limits{MemoryBytes: 1 << 20, MaxConns: 1})
		g.SetHeaderTimeout(3 * time.Second)
		near, far := net.Pipe()
		slow := g.Admit(near)
		go func() {
			for {
				if _, err := io.WriteString(far, "x"); err != nil {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
		go func() {
			for {
				if _, err := slow.Read(make([]byte, 10)); err != nil {
					return
				}
			}
		}()
		started := time.Now()
		var next *Conn
		for next == nil {
			time.Sleep(100 * time.Millisecond)
			near, far := net.Pipe()
			defer far.Close()
			next = g.Admit(near)
		}
		if after := time.Since(started); after < 3*time.Second || after > 5*time.Second {
			t.Errorf("the slow header was closed for another connection after %v", after)
		}
		_ = next.Close()
		c, bodyFar := startBody(t, g)
		go func() {
			for {
				if _, err := io.WriteString(bodyFar, "x"); err != nil {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
		started = time.Now()
		if _, err := c.ReadBody(c, 1000, 1000, time.Minute, time.Now().Add(4*time.Second)); !errors.Is(err, ErrStalled) || time.Since(started) != 4*time.Second {
			t.Errorf("slow body: %v after %v", err, time.Since(started))
		}
		_ = c.Close()
		time.Sleep(time.Second) // until the writers have ended
	})
}
