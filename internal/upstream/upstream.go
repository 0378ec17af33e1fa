// Package upstream sends HTTP/1.1 requests to endpoints over kept connections.
//
// It never sends a request twice: retries belong to the caller, who learns from *SendError whether any byte may have left. An
// answer on a kept connection that belongs to an earlier request is told by its id and skipped.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"crocusglade.example/crocusglade/internal/netdial"
)

const (
	// dialTimeout is above the time that a calm network needs by two orders of magnitude, and below the shortest objective by
	// enough to try another endpoint.
	dialTimeout = 400 * time.Millisecond
	// userTimeout bounds how long sent bytes stay unacknowledged before the connection counts as lost.
	userTimeout = time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxIdlePerAddress bounds kept connections to one endpoint.
	maxIdlePerAddress = 32
	// idleLimit is how long a connection is kept when the endpoint states no time-out of its own.
	idleLimit = 4 * time.Second
	// keepAliveMargin is how long before the endpoint's stated time-out a connection is no longer used.
	keepAliveMargin = 700 * time.Millisecond
	// inlineBody is the size up to which a request is written before its answer is awaited; socket buffers hold it.
	inlineBody = 16 << 10
	// maxStaleAnswers bounds how many answers of earlier requests are skipped on a connection.
	maxStaleAnswers = 4
)

// SendError is a failed exchange. If MaySent is false, no byte of the request left this VM.
type SendError struct {
	MaySent bool
	Err     error
}

func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ErrMalformed means that the endpoint sent bytes that are no answer in the protocol.
var ErrMalformed = errors.New("upstream: the endpoint's bytes are not an HTTP answer; check the endpoint")

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the request target as it stands on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the value of the header by which answers name their request; empty when answers carry none.
	ID string
	// NewConnection asks for a new connection, for requests that must not meet a connection that the endpoint has dropped.
	NewConnection bool
}

// Response is an answer whose body may still be arriving. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Reused tells that the answer came over a kept connection.
	Reused bool
	body   io.ReadCloser
	c      *conn
	client *Client
	once   sync.Once
	ended  bool
	// framed tells that the answer has a length or is chunked, so that its end doesn't end the connection.
	framed bool
	// stop detaches the request's context from the connection. It returns false when the context has ended.
	stop func() bool
}

// Client keeps connections to endpoints. Its methods may be called concurrently.
type Client struct {
	idHeader string
	dialer   *net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	dialed uint64
}

// New returns a client. idHeader is the header by which answers name their request.
func New(idHeader string) *Client {
	return &Client{
		idHeader: idHeader,
		idle:     make(map[string][]*conn),
		dialer:   netdial.NewDialer(dialTimeout, userTimeout),
	}
}

// conn is one connection. It belongs to one exchange at a time.
type conn struct {
	net.Conn
	addr    string
	limited *io.LimitedReader
	br      *bufio.Reader
	// keepFor is how long the connection may stay idle; idleSince is when it became idle.
	keepFor   time.Duration
	idleSince time.Time
	// written is closed when the request has been written whole; writeErr is set before that.
	written  chan struct{}
	writeErr error
}

// Do sends a request once and returns the answer when its header has arrived. The context bounds the whole exchange, the body
// included. Errors are *SendError.
func (cl *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c, reused, err := cl.take(ctx, addr, r.NewConnection)
	if err != nil {
		return nil, &SendError{Err: errors.Wrap(err, "connect")}
	}
	// A request that is given up must not reach the endpoint later, so its connection is reset.
	stop := context.AfterFunc(ctx, func() { netdial.ResetConn(c.Conn) })
	sent, err := c.send(r)
	if err != nil {
		stop()
		netdial.ResetConn(c.Conn)
		return nil, &SendError{MaySent: sent, Err: errors.Wrap(err, "send")}
	}
	resp, err := cl.readAnswer(c, r)
	if err != nil {
		stop()
		netdial.ResetConn(c.Conn)
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &SendError{MaySent: true, Err: errors.Wrap(err, "await the answer")}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Reused: reused, body: resp.Body, c: c, client: cl, stop: stop,
		framed: !resp.Close}, nil
}

// take returns a kept connection that is still open, or a new one.
func (cl *Client) take(ctx context.Context, addr string, fresh bool) (*conn, bool, error) {
	for !fresh {
		c := cl.popIdle(addr)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.keepFor && c.quiet() {
			return c, true, nil
		}
		_ = c.Conn.Close()
	}
	raw, err := cl.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, false, err
	}
	cl.mu.Lock()
	cl.dialed++
	cl.mu.Unlock()
	limited := &io.LimitedReader{R: raw}
	return &conn{Conn: raw, addr: addr, limited: limited, br: bufio.NewReaderSize(limited, 4096), keepFor: idleLimit}, false, nil
}

// Probe opens a connection and keeps it. It fails when nothing listens at the address.
func (cl *Client) Probe(ctx context.Context, addr string) error {
	c, _, err := cl.take(ctx, addr, true)
	if err != nil {
		return err
	}
	cl.keep(c)
	return nil
}

func (cl *Client) popIdle(addr string) *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	list := cl.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	cl.idle[addr] = list[:len(list)-1]
	return c
}

// quiet tells whether an idle connection is open and has no bytes waiting: such bytes belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, readErr := unix.Read(int(fd), b[:])
		open = n < 0 && (readErr == unix.EAGAIN || readErr == unix.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

// send writes the request. Large bodies are written beside the wait for the answer, because an endpoint may answer before it
// has read them. It reports whether any byte may have left.
func (c *conn) send(r *Request) (sent bool, err error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), inlineBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	c.written = make(chan struct{})
	if len(r.Body) <= inlineBody {
		b.Write(r.Body)
		defer close(c.written)
		n, err := c.Conn.Write(b.Bytes())
		c.writeErr = err
		if err != nil && n > 0 {
			return true, nil // The answer may be on its way all the same.
		}
		return n > 0, err
	}
	n, err := c.Conn.Write(b.Bytes())
	if err != nil {
		close(c.written)
		return n > 0, err
	}
	go func(written chan struct{}) {
		defer close(written)
		_, c.writeErr = c.Conn.Write(r.Body)
	}(c.written)
	return true, nil
}

// readAnswer reads answers until one belongs to the request.
func (cl *Client) readAnswer(c *conn, r *Request) (*http.Response, error) {
	for range maxStaleAnswers {
		resp, err := c.readHeader(r.Method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // interim answers carry nothing for the caller
		}
		id := resp.Header.Get(cl.idHeader)
		if r.ID == "" || id == "" || id == r.ID {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, errors.Wrap(ErrMalformed, "an answer to another request ends the connection")
		}
	}
	return nil, errors.Wrap(ErrMalformed, "answers to other requests")
}

func (c *conn) readHeader(method string) (*http.Response, error) {
	c.limited.N = maxHeaderBytes
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	c.limited.N = 1 << 62
	if err == nil {
		return resp, nil
	}
	if isTransport(err) {
		return nil, err
	}
	return nil, errors.Wrap(ErrMalformed, err.Error())
}

func isTransport(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// Read reads the body. io.EOF means that the answer is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// Close releases the connection. It is kept only after a complete answer.
func (r *Response) Close() error {
	r.once.Do(func() {
		live := r.stop()
		if live && r.ended && r.framed && r.c.reusable(r.Header) {
			r.client.keep(r.c)
			return
		}
		netdial.ResetConn(r.c.Conn)
	})
	return nil
}

// reusable tells whether the connection may carry another request, and notes how long the endpoint keeps it.
func (c *conn) reusable(h http.Header) bool {
	select {
	case <-c.written:
	default:
		return false // the endpoint answered before it had read the whole request
	}
	if c.writeErr != nil || c.br.Buffered() > 0 || hasToken(h.Get("Connection"), "close") {
		return false
	}
	c.keepFor = idleLimit
	if t, ok := keepAliveTimeout(h.Get("Keep-Alive")); ok {
		c.keepFor = t - keepAliveMargin
	}
	return c.keepFor > 0
}

func hasToken(value, token string) bool {
	for _, part := range strings.Split(value, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}
	return false
}

// keepAliveTimeout reads the time-out of a Keep-Alive header, in whole seconds.
func keepAliveTimeout(value string) (time.Duration, bool) {
	for _, part := range strings.Split(value, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(number); err == nil && s >= 0 {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}

func (cl *Client) keep(c *conn) {
	c.idleSince = time.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.idle[c.addr]) >= maxIdlePerAddress {
		_ = c.Conn.Close()
		return
	}
	cl.idle[c.addr] = append(cl.idle[c.addr], c)
}

// CloseIdleTo closes the kept connections to an address, such as that of an endpoint that has gone.
func (cl *Client) CloseIdleTo(addr string) {
	cl.mu.Lock()
	list := cl.idle[addr]
	delete(cl.idle, addr)
	cl.mu.Unlock()
	for _, c := range list {
		_ = c.Conn.Close()
	}
}

// Prune closes connections that were idle for too long.
func (cl *Client) Prune() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for addr, list := range cl.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.keepFor {
				kept = append(kept, c)
				continue
			}
			_ = c.Conn.Close()
		}
		if len(kept) == 0 {
			delete(cl.idle, addr)
			continue
		}
		cl.idle[addr] = kept
	}
}

// Dialed returns the number of connections opened so far.
func (cl *Client) Dialed() uint64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.dialed
}
