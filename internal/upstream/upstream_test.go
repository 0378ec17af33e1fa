package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

const idHeader = "X-Id"

// startServer accepts connections and calls script for the nth one, counted from 0. It returns the listener's address.
func startServer(t *testing.T, script func(n int, c *net.TCPConn, br *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func(n int) {
				defer c.Close()
				script(n, c.(*net.TCPConn), bufio.NewReader(c))
			}(n)
		}
	}()
	return l.Addr().String()
}

// readRequest reads one complete request and returns its id and body.
func readRequest(br *bufio.Reader) (id, body string, err error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return "", "", err
	}
	data, err := io.ReadAll(r.Body)
	return r.Header.Get(idHeader), string(data), err
}

func writeResponse(w io.Writer, id, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a?b=%2f", Host: "h", Header: http.Header{idHeader: {id}}, Body: []byte("body"), ID: id}
}

// exchange sends a request, reads the whole response, and returns its body and whether the connection was reused.
func exchange(t *testing.T, c *Client, addr string, r *Request) (string, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, addr, r)
	if err != nil {
		return "", false, err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	return string(data), resp.Reused, err
}

// Guards against returning the response to an earlier request to the caller of the next one on a reused connection.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
		if id, _, err := readRequest(br); err == nil {
			writeResponse(c, id, "first")
		}
		if id, _, err := readRequest(br); err == nil {
			writeResponse(c, "first-id", "stale")
			writeResponse(c, id, "second")
		}
		_, _ = br.ReadByte()
	})
	c := New(idHeader)
	if got, _, err := exchange(t, c, addr, newRequest("first-id")); err != nil || got != "first" {
		t.Fatalf("first response %q, %v", got, err)
	}
	got, reused, err := exchange(t, c, addr, newRequest("second-id"))
	if err != nil || got != "second" || !reused {
		t.Errorf("second response %q, reused %v, %v", got, reused, err)
	}
}

// Guards against taking a repeated refusal of an earlier request for the response to the next one on a reused connection: the caller would
// be told that its request hasn't run.
func TestRepeatedRefusalIsNotTakenForResponse(t *testing.T) {
	refusal := func(header string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + header + "Content-Length: 0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		repeated string
		secondID string
		want     string // the body, or "" for an error
	}{
		"with its id":                        {refusal("X-Id: first-id\r\n"), "second-id", "second"},
		"without an id":                      {refusal(""), "second-id", ""},
		"with its id, before a control call": {refusal("X-Id: first-id\r\n"), "", "second"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startServer(t, func(n int, conn *net.TCPConn, br *bufio.Reader) {
				if _, _, err := readRequest(br); err == nil {
					fmt.Fprint(conn, refusal("X-Id: first-id\r\n"))
				}
				if id, _, err := readRequest(br); err == nil {
					fmt.Fprint(conn, c.repeated)
					writeResponse(conn, id, "second")
				}
				_, _ = br.ReadByte()
			})
			client := New(idHeader)
			if _, _, err := exchange(t, client, addr, newRequest("first-id")); err != nil {
				t.Fatal(err)
			}
			r := newRequest(c.secondID)
			if c.secondID == "" {
				r.Header.Del(idHeader)
			}
			got, reused, err := exchange(t, client, addr, r)
			var sendErr *SendError
			switch {
			case c.want != "" && (err != nil || got != c.want || !reused):
				t.Errorf("response %q, reused %v, %v; want %q", got, reused, err, c.want)
			case c.want == "" && (!errors.As(err, &sendErr) || !sendErr.MaySent):
				t.Errorf("response %q, %v; want an error that says that the request may have run", got, err)
			}
		})
	}
}

// Guards against reuse of a connection with unread bytes that belong to no request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	addr := startServer(t, func(n int, c *net.TCPConn, br *bufio.Reader) {
		id, _, err := readRequest(br)
		if err != nil {
			return
		}
		writeResponse(c, id, "whole")
		if n == 0 {
			writeResponse(c, id, "extra")
		}
		_, _ = br.ReadByte()
	})
	c := New(idHeader)
	for i := range 2 {
		got, reused, err := exchange(t, c, addr, newRequest(fmt.Sprint("id", i)))
		if err != nil || got != "whole" || reused {
			t.Errorf("exchange %d: %q, reused %v, %v", i, got, reused, err)
		}
		time.Sleep(20 * time.Millisecond) // the extra response may arrive after the first was read
	}
}

// Guards against treating a response without a length as complete when a reset truncated it.
func TestResetDuringResponseWithoutLengthIsAnError(t *testing.T) {
	addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
		id, _, _ := readRequest(br)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", idHeader, id)
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	if got, _, err := exchange(t, New(idHeader), addr, newRequest("x")); err == nil {
		t.Errorf("truncated response %q was treated as complete", got)
	}
}

// Guards against accepting truncated or malformed responses: both must return an error, and the request counts as possibly sent.
func TestMalformedResponsesCountAsSent(t *testing.T) {
	for name, bytes := range map[string]string{
		"short body":      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfour",
		"malformed":       "\x00\x01nonsense\r\n\r\n",
		"empty":           "",
		"truncated chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nfour",
	} {
		addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
			_, _, _ = readRequest(br)
			_, _ = io.WriteString(c, bytes)
		})
		_, _, err := exchange(t, New(idHeader), addr, newRequest("x"))
		if err == nil {
			t.Errorf("%s: no error", name)
		}
		var send *SendError
		if errors.As(err, &send) && !send.MaySent {
			t.Errorf("%s: error reports that nothing was sent: %v", name, err)
		}
	}
}

// Guards against an endpoint in trouble that sends bytes without end where a response is due, until its caller closes: each kind must
// end the exchange as malformed and reset the connection, long before the request's own time limit.
func TestBytesWithoutEndAreMalformed(t *testing.T) {
	filler := strings.Repeat("x", 8192)
	for name, start := range map[string]string{
		"no response":                     "",
		"header field":                    "HTTP/1.1 200 OK\r\nX-Long: ",
		"body of a response to another":   "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n\r\n",
		"chunks of a response to another": "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nTransfer-Encoding: chunked\r\n\r\n40000000\r\n",
	} {
		closed := make(chan error, 1)
		addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
			_, _, _ = readRequest(br)
			_, err := io.WriteString(c, start)
			for err == nil {
				_, err = io.WriteString(c, filler)
			}
			closed <- err
		})
		started := time.Now()
		_, _, err := exchange(t, New(idHeader), addr, newRequest("x"))
		if !errors.Is(err, ErrMalformed) || time.Since(started) > 2*time.Second {
			t.Errorf("%s: %v after %v, want ErrMalformed", name, err, time.Since(started))
		}
		select {
		case <-closed:
		case <-time.After(2 * time.Second):
			t.Errorf("%s: the connection was not closed", name)
		}
	}
}

// Guards against a retry by the client itself: a request whose connection failed must reach the endpoint at most once.
func TestNothingIsSentTwice(t *testing.T) {
	seen := make(chan string, 8)
	addr := startServer(t, func(n int, c *net.TCPConn, br *bufio.Reader) {
		for {
			id, _, err := readRequest(br)
			if err != nil {
				return
			}
			seen <- id
			if id == "dropped" {
				return // the reused connection closes after the request was read
			}
			writeResponse(c, id, "ok")
		}
	})
	c := New(idHeader)
	if _, _, err := exchange(t, c, addr, newRequest("kept")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := exchange(t, c, addr, newRequest("dropped")); err == nil {
		t.Error("no error for a request without a response")
	}
	time.Sleep(50 * time.Millisecond) // a retry would arrive within this time
	var ids []string
	for range len(seen) {
		ids = append(ids, <-seen)
	}
	if strings.Join(ids, " ") != "kept dropped" {
		t.Errorf("endpoint received %v", ids)
	}
}

// Guards against reporting that a request may have been sent when the connection was refused: the caller may retry it on another
// endpoint.
func TestRefusedConnectionSentNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	_, _, err = exchange(t, New(idHeader), addr, newRequest("x"))
	var send *SendError
	if !errors.As(err, &send) || send.MaySent {
		t.Errorf("error is %v, want a SendError with MaySent false", err)
	}
}

// Guards against reuse of a connection on which the endpoint responded before it had read a long body: the next request would be
// read as the rest of that body.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 413 Too Large\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", idHeader, r.Header.Get(idHeader))
		time.Sleep(50 * time.Millisecond)
	})
	c := New(idHeader)
	long := newRequest("long")
	long.Body = make([]byte, 32<<20)
	if got, _, err := exchange(t, c, addr, long); err != nil || got != "no" {
		t.Fatalf("early response %q, %v", got, err)
	}
	if len(c.idle[addr]) != 0 {
		t.Error("the connection is idle and reusable although the body was not sent completely")
	}
}

// Guards against reuse of a connection after the Keep-Alive timeout that the endpoint sent.
func TestKeepAliveTimeoutEndsIdleConnection(t *testing.T) {
	addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
		for {
			id, _, err := readRequest(br)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", idHeader, id)
		}
	})
	c := New(idHeader)
	for i := range 2 {
		if _, reused, err := exchange(t, c, addr, newRequest(fmt.Sprint(i))); err != nil || reused {
			t.Errorf("exchange %d: reused %v, %v", i, reused, err)
		}
	}
}

// Guards against an abandoned request that still reaches its endpoint: bytes held up by a network partition are delivered after it
// ends, unless the connection was reset. Such a request arrived 5 s after its caller had left.
func TestAbandonedRequestsResetTheConnection(t *testing.T) {
	for name, part := range map[string]string{"before the response": "", "during the response": "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 9\r\n\r\nabc"} {
		ended := make(chan error, 1)
		addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
			if _, _, err := readRequest(br); err != nil {
				ended <- err
				return
			}
			_, _ = io.WriteString(c, part)
			_, err := br.ReadByte()
			ended <- err
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		resp, err := New(idHeader).Do(ctx, addr, newRequest("1"))
		if err == nil {
			_, err = io.ReadAll(resp)
			_ = resp.Close()
		}
		cancel()
		if err == nil {
			t.Errorf("%s: the request got a response", name)
		}
		if got := <-ended; !errors.Is(got, syscall.ECONNRESET) {
			t.Errorf("%s: the endpoint's connection ended with %v, want a reset", name, got)
		}
	}
}

// Guards against a body that is read for as long as the endpoint sends bytes: closing the response from another goroutine ends the Read and
// resets the connection.
func TestCloseDuringRead(t *testing.T) {
	closed := make(chan error, 1)
	addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
		id, _, _ := readRequest(br)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Full\r\n%s: %s\r\n\r\n", idHeader, id)
		for err == nil {
			time.Sleep(5 * time.Millisecond)
			_, err = c.Write([]byte("x"))
		}
		closed <- err
	})
	client := New(idHeader)
	resp, err := client.Do(t.Context(), addr, newRequest("1"))
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { _ = resp.Close() })
	if _, err := io.Copy(io.Discard, resp); err == nil {
		t.Error("the response counts as complete")
	}
	<-closed
	if len(client.idle[addr]) != 0 {
		t.Error("the connection is idle and reusable")
	}
}

// Guards against requests that the kernel ends because a sound endpoint is silent for a second or so and doesn't read its connections.
func TestUploadToSilentEndpointIsNotCut(t *testing.T) {
	const silence = 2500 * time.Millisecond
	addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
		time.Sleep(silence)
		if id, body, err := readRequest(br); err == nil {
			writeResponse(c, id, fmt.Sprint(len(body)))
		}
	})
	r := newRequest("r1")
	r.Body = make([]byte, 32<<20) // more than the buffers of both sockets hold
	body, _, err := exchange(t, New(idHeader), addr, r)
	if err != nil || body != fmt.Sprint(len(r.Body)) {
		t.Errorf("response %q, %v", body, err)
	}
}
