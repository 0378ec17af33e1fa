package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against endpoints that are given more time than is left, because their time was computed before a connection was opened, which takes long
// on a busy link. They work on for callers that have left then.
func TestTimeLeftIsSetOnceTheConnectionIsOpen(t *testing.T) {
	const connectTime, given = 200 * time.Millisecond, 500 * time.Millisecond
	received := make(chan int, 1)
	addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
		if r, err := http.ReadRequest(br); err == nil {
			ms, _ := strconv.Atoi(r.Header.Get("Left")) // 0 if it isn't a number
			received <- ms
			writeResponse(c, r.Header.Get(idHeader), "ok")
		}
	})
	cl := New(idHeader)
	control := cl.dialer.Control
	cl.dialer.Control = func(network, address string, raw syscall.RawConn) error {
		time.Sleep(connectTime)
		return control(network, address, raw)
	}
	r, deadline := newRequest("r"), time.Now().Add(given)
	r.BeforeWrite = func(h http.Header, delay time.Duration) {
		h.Set("Left", strconv.FormatInt((time.Until(deadline)-delay).Milliseconds(), 10))
	}
	resp, err := cl.Do(t.Context(), addr, r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Close()
	if got, most := <-received, int((given - 2*connectTime).Milliseconds()); got > most {
		t.Errorf("the endpoint got %d ms, want at most %d ms after a connection that took %v", got, most, connectTime)
	}
	if d := cl.ConnectDelay(); d < connectTime {
		t.Errorf("connect delay %v, want at least %v", d, connectTime)
	}
}

// Guards against a delay of a busy link that counts after the link has become idle.
func TestConnectDelayFollowsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d connectDelay
		d.record(dialTimeout, false)
		if got := d.current(); got != 0 {
			t.Errorf("after an endpoint without a connection: %v", got)
		}
		d.record(300*time.Millisecond, true)
		if got := d.current(); got != 300*time.Millisecond {
			t.Errorf("first: %v", got)
		}
		for range 8 {
			d.record(2*time.Millisecond, true)
		}
		if got := d.current(); got > 5*time.Millisecond {
			t.Errorf("after short ones: %v", got)
		}
		d.record(300*time.Millisecond, true)
		d.record(dialTimeout, false)
		if got := d.current(); got < 200*time.Millisecond {
			t.Errorf("after an attempt without a connection on a busy link: %v", got)
		}
		time.Sleep(connectDelayMemory + time.Millisecond)
		if got := d.current(); got != 0 {
			t.Errorf("without new ones: %v", got)
		}
	})
}
