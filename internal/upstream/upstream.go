// Package upstream sends HTTP/1.1 requests to endpoints over persistent connections.
//
// It never sends a request twice: retries are left to the caller, and *SendError reports whether any byte may have been sent. A
// response on a reused connection that belongs to an earlier request is recognized by its request id and skipped.
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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"crocusglade.example/crocusglade/internal/httpresponse"
	"crocusglade.example/crocusglade/internal/netdial"
)

const (
	// dialTimeout is two orders of magnitude above the time that a dial takes on an idle network, and short enough to try another
	// endpoint within the shortest latency objective.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: a connection fails when sent bytes stay unacknowledged for longer. It is longer than requests
	// wait, because a sound endpoint may be silent for a second or so. The sender of a request decides how long it waits.
	userTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// maxIdleConnsPerAddress bounds the idle connections to one address.
	maxIdleConnsPerAddress = 32
	// defaultIdleTimeout is how long an idle connection stays usable if the endpoint sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveMargin is how long before the endpoint's Keep-Alive timeout an idle connection is no longer reused.
	keepAliveMargin = 700 * time.Millisecond
	// maxInlineBodyBytes is the largest body that is written before the response is read. Socket buffers hold this much, so the write
	// doesn't block.
	maxInlineBodyBytes = 16 << 10
	// maxStaleResponses bounds the responses read for one request, including interim (1xx) ones and those to earlier requests.
	maxStaleResponses = 4
	// maxStaleBodyBytes bounds the body of a response to an earlier request. A longer one, which may have no end, ends the connection.
	maxStaleBodyBytes = 1 << 20
)

// SendError is the error of a failed exchange. If MaySent is false, no byte of the request was sent.
type SendError struct {
	MaySent bool
	Err     error
}

func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *SendError) Unwrap() error { return e.Err }

// ErrMalformed means that the endpoint sent bytes that are not a valid response to the request.
var ErrMalformed = errors.New("upstream: endpoint sent a malformed HTTP response; check the endpoint")

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the request target, written to the request line verbatim.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request id that the response must carry in the client's id header. On a new connection, a response without such a
	// header is accepted too, and if ID is empty, any response.
	ID string
	// BeforeWrite, if it isn't nil, is called once the connection is open, to set headers that depend on the time. delay is the time that
	// packets need at present.
	BeforeWrite func(h http.Header, delay time.Duration)
	// NewConnection opens a new connection, for requests that must not fail because the endpoint has closed an idle one.
	NewConnection bool
}

// Response is a response whose body may still be arriving. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Reused is true if the request was sent over a reused connection.
	Reused bool
	// EndsWithConnection is true if the response has a body with neither a length nor chunks, so that a crash can't be told from its end.
	EndsWithConnection bool

	body      io.ReadCloser
	conn      *conn
	client    *Client
	closeOnce sync.Once
	complete  atomic.Bool
	// selfDelimited is true if the connection stays open after the response: it has a length or is chunked, and doesn't announce the
	// close of the connection.
	selfDelimited bool
	// detachContext stops the request's context from resetting the connection. It returns false if the context has already ended.
	detachContext func() bool
}

// Client sends requests to endpoints and pools idle connections by address. It is safe for concurrent use.
type Client struct {
	idHeader string
	dialer   *netdial.Dialer
	delay    connectDelay

	mu     sync.Mutex
	idle   map[string][]*conn
	dialed uint64
}

// New returns a client. idHeader is the response header that carries the id of the request.
func New(idHeader string) *Client {
	return &Client{
		idHeader: idHeader,
		idle:     make(map[string][]*conn),
		dialer:   netdial.NewDialer(dialTimeout, userTimeout),
	}
}

// conn is one connection. It is used by one exchange at a time.
type conn struct {
	net.Conn
	addr          string
	limitedReader *io.LimitedReader
	br            *bufio.Reader
	// idleTimeout is how long the connection may stay idle and be reused; idleSince is when it became idle.
	idleTimeout time.Duration
	idleSince   time.Time
	// written is closed when the write of the request has ended; writeErr is set before that.
	written  chan struct{}
	writeErr error
}

// Do sends a request once and returns the response when its header has arrived. The context bounds the whole exchange, including
// the response body. Errors are of type *SendError.
func (cl *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c, reused, err := cl.getConn(ctx, addr, r.NewConnection)
	if err != nil {
		return nil, &SendError{Err: errors.Wrap(err, "connect")}
	}
	// An abandoned request must not reach the endpoint later, so its connection is reset.
	stop := context.AfterFunc(ctx, func() { netdial.ResetConn(c.Conn) })
	if r.BeforeWrite != nil {
		r.BeforeWrite(r.Header, cl.delay.current())
	}
	sent, err := c.writeRequest(r)
	if err != nil {
		stop()
		netdial.ResetConn(c.Conn)
		return nil, &SendError{MaySent: sent, Err: errors.Wrap(err, "send")}
	}
	resp, err := cl.readResponse(c, r, reused)
	if err != nil {
		stop()
		netdial.ResetConn(c.Conn)
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &SendError{MaySent: true, Err: errors.Wrap(err, "read response header")}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Reused: reused, body: resp.Body, conn: c, client: cl, detachContext: stop,
		selfDelimited: !resp.Close, EndsWithConnection: resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0}, nil
}

// getConn returns an idle connection that is still usable, or a new one. It reports whether the connection is reused.
func (cl *Client) getConn(ctx context.Context, addr string, forceNew bool) (*conn, bool, error) {
	for !forceNew {
		c := cl.popIdle(addr)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.idleTimeout && c.isReusableIdle() {
			return c, true, nil
		}
		_ = c.Conn.Close()
	}
	start := time.Now()
	raw, err := cl.dialer.DialContext(ctx, "tcp", addr)
	if err == nil || time.Since(start) >= dialTimeout {
		cl.delay.record(time.Since(start), err == nil)
	}
	if err != nil {
		return nil, false, err
	}
	cl.mu.Lock()
	cl.dialed++
	cl.mu.Unlock()
	limited := &io.LimitedReader{R: raw}
	return &conn{Conn: raw, addr: addr, limitedReader: limited, br: bufio.NewReaderSize(limited, 4096), idleTimeout: defaultIdleTimeout}, false, nil
}

// ConnectDelay returns how long connections take to open at present, 0 if none was opened lately.
func (cl *Client) ConnectDelay() time.Duration { return cl.delay.current() }

// Probe opens a connection and adds it to the idle ones. It fails when nothing accepts connections at the address.
func (cl *Client) Probe(ctx context.Context, addr string) error {
	c, _, err := cl.getConn(ctx, addr, true)
	if err != nil {
		return err
	}
	cl.putIdle(c)
	return nil
}

// popIdle removes and returns the most recently used idle connection to addr, or returns nil if there is none.
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

// isReusableIdle reports whether an idle connection is open and has no unread bytes, which would belong to no request.
func (c *conn) isReusableIdle() bool {
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

// writeRequest writes the request and reports whether any byte may have been sent. It writes the body of a large request in a separate
// goroutine, because an endpoint may respond before it has read the body.
func (c *conn) writeRequest(r *Request) (maySent bool, err error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxInlineBodyBytes))
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
	if len(r.Body) <= maxInlineBodyBytes {
		b.Write(r.Body)
		defer close(c.written)
		n, err := c.Conn.Write(b.Bytes())
		c.writeErr = err
		if err != nil && n > 0 {
			return true, nil // The endpoint may have sent a response nevertheless.
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

// readResponse reads responses until one belongs to the request, at most maxStaleResponses. On a reused connection that is one with the
// request's id, because a response to an earlier request may arrive late or a second time. One without an id can't be assigned to a
// request there.
func (cl *Client) readResponse(c *conn, r *Request, reused bool) (*http.Response, error) {
	for range maxStaleResponses {
		resp, err := c.readResponseHeader(r.Method)
		if err != nil {
			return nil, err
		}
		if httpresponse.IsInterim(resp) {
			continue // interim responses carry nothing for the caller
		}
		id := resp.Header.Get(cl.idHeader)
		switch {
		case id == r.ID, !reused && (r.ID == "" || id == ""):
			return resp, nil
		case id == "":
			return nil, errors.Wrap(ErrMalformed, "response on a reused connection carries no request id")
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBodyBytes))
		if err != nil || resp.Close || skipped == maxStaleBodyBytes {
			return nil, errors.Wrap(ErrMalformed, "connection ended with a response to another request")
		}
	}
	return nil, errors.Wrap(ErrMalformed, "too many interim responses or responses to other requests")
}

// readResponseHeader reads a response up to the end of its header. The error is ErrMalformed unless the connection failed.
func (c *conn) readResponseHeader(method string) (*http.Response, error) {
	c.limitedReader.N = maxHeaderBytes
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	tooLong := c.limitedReader.N <= 0
	c.limitedReader.N = 1 << 62
	if err == nil {
		if invalid := httpresponse.Check(resp); invalid != nil {
			return nil, errors.Wrap(ErrMalformed, invalid.Error())
		}
		return resp, nil
	}
	if tooLong {
		return nil, errors.Wrapf(ErrMalformed, "response header is above %d bytes", maxHeaderBytes)
	}
	if isTransportError(err) {
		return nil, err
	}
	return nil, errors.Wrap(ErrMalformed, err.Error())
}

// isTransportError reports whether err comes from the connection rather than from the content of the response.
func isTransportError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// Read reads the body. io.EOF means that the response is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.complete.Store(true)
	}
	return n, err
}

// Close returns the connection to the idle ones after a complete response, if it can be reused, and resets it otherwise. It may be called
// during a Read, which fails then.
func (r *Response) Close() error {
	r.closeOnce.Do(func() {
		detached := r.detachContext()
		if detached && r.complete.Load() && r.selfDelimited && r.conn.reusable(r.Header) {
			r.client.putIdle(r.conn)
			return
		}
		netdial.ResetConn(r.conn.Conn)
	})
	return nil
}

// reusable reports whether the connection may carry another request, and sets its idle timeout from the response header.
func (c *conn) reusable(h http.Header) bool {
	select {
	case <-c.written:
	default:
		return false // the endpoint responded before it had read the whole request
	}
	if c.writeErr != nil || c.br.Buffered() > 0 || hasToken(h.Get("Connection"), "close") {
		return false
	}
	c.idleTimeout = defaultIdleTimeout
	if t, ok := keepAliveTimeout(h.Get("Keep-Alive")); ok {
		c.idleTimeout = t - keepAliveMargin
	}
	return c.idleTimeout > 0
}

// hasToken reports whether a comma-separated header value contains a token, ignoring case.
func hasToken(value, token string) bool {
	for _, part := range strings.Split(value, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}
	return false
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, which is in whole seconds.
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

// putIdle adds the connection to the idle ones, or closes it if its address has maxIdleConnsPerAddress already.
func (cl *Client) putIdle(c *conn) {
	c.idleSince = time.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.idle[c.addr]) >= maxIdleConnsPerAddress {
		_ = c.Conn.Close()
		return
	}
	cl.idle[c.addr] = append(cl.idle[c.addr], c)
}

// CloseIdleConns closes the idle connections to an address, such as that of a removed endpoint.
func (cl *Client) CloseIdleConns(addr string) {
	cl.mu.Lock()
	list := cl.idle[addr]
	delete(cl.idle, addr)
	cl.mu.Unlock()
	for _, c := range list {
		_ = c.Conn.Close()
	}
}

// Prune closes the connections whose idle timeout has passed.
func (cl *Client) Prune() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for addr, list := range cl.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleTimeout {
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

// Dialed returns the number of connections opened since New.
func (cl *Client) Dialed() uint64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.dialed
}
