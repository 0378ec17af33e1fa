package callerlimit

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Errors of reading a body.
var (
	// ErrNoRoom means that the memory for requests is used up, ErrTooLarge that the body exceeds its limit, and ErrStalled that the
	// body made no progress.
	ErrNoRoom   = errors.New("the memory for requests is used up; retry later")
	ErrTooLarge = errors.New("the body is larger than the limit; send a smaller one")
	ErrStalled  = errors.New("the body made no progress; send it without pauses")
)

// errRefused ends the reading of a header that was refused.
var errRefused = errors.New("the connection was refused because of its header or for another one")

// headerRefusal is sent if a header does not fit into the memory.
const headerRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Conn is a caller's connection. http.Server reads from it.
type Conn struct {
	net.Conn
	gate *Gate
	// inRequest is true from the start of a handler until the connection is idle again. Before, what is read belongs to a header.
	inRequest atomic.Bool

	// The following fields are used by the goroutine that reads the header. afterNewline is true at the start of a line, headerEnded after
	// the blank line that follows a line with text: net/http skips blank lines before a request.
	size, lines                        int64
	afterNewline, hasText, headerEnded bool

	// The following fields are guarded by gate.mu.
	element                *list.Element
	in                     *list.List
	lastByte               time.Time
	headerStarted          time.Time
	headerBytes, bodyBytes int64
	inBody                 bool
	evicted, removed       bool
}

// enlist moves the connection to the end of a list; nil for none. gate.mu must be held.
func (c *Conn) enlist(l *list.List) {
	if l != nil {
		c.lastByte = c.gate.now()
	}
	if c.in == l {
		if l != nil {
			l.MoveToBack(c.element)
		}
		return
	}
	if c.in != nil {
		c.in.Remove(c.element)
	}
	if c.in, c.element = l, nil; l != nil {
		c.element = l.PushBack(c)
	}
}

// Read implements net.Conn. It charges for the header of the next request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.inRequest.Load() && !c.countHeader(p[:n]) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused} // net/http answers other errors with 400
	}
	return n, err
}

// countHeader charges for bytes of a header. It returns false if the connection was closed.
func (c *Conn) countHeader(p []byte) bool {
	for _, b := range p {
		if c.headerEnded {
			break
		}
		c.size++
		switch b {
		case '\n':
			c.headerEnded = c.afterNewline && c.hasText
			c.lines++
			c.afterNewline = true
		case '\r':
		default:
			c.afterNewline, c.hasText = false, true
		}
	}
	g := c.gate
	g.mu.Lock()
	if c.evicted || c.removed {
		g.mu.Unlock()
		return false
	}
	if c.in == &g.idle {
		c.headerStarted = g.now()
	}
	c.enlist(&g.reading)
	ok := g.grow(c, headerCost(c.size, c.lines), 0)
	if !ok {
		g.countRefusal(CauseHeaderNoRoom)
		c.evicted = true
	}
	g.mu.Unlock()
	if !ok {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
		_, _ = io.WriteString(c.Conn, headerRefusal)
	}
	return ok
}

// headerCost returns the charge for a header.
func headerCost(size, lines int64) int64 {
	return max(0, size+lines*headerLineBytes-unchargedHeaderBytes)
}

// CloseWrite closes the sending direction, as net/http does so that refusals reach callers that still send.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.gate.mu.Lock()
	c.gate.remove(c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// ConnContext makes the connection available to handlers. It implements http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection of a handler's context, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Begin starts the handling of a request. It returns ErrStalled if the connection was closed meanwhile, and ErrNoRoom if the header does
// not fit. The header is counted again because a part of it may have been read together with an earlier request.
func (c *Conn) Begin(header http.Header, hasBody bool) error {
	size, lines := c.size, c.lines
	if int64(len(header)) > lines {
		size, lines = 0, 0
		for name, values := range header {
			for _, value := range values {
				size += int64(len(name) + len(value))
				lines++
			}
		}
	}
	g := c.gate
	c.inRequest.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted || c.removed {
		return ErrStalled
	}
	if !g.grow(c, headerCost(size, lines), 0) {
		g.countRefusal(CauseHeaderNoRoom)
		c.enlist(nil)
		return ErrNoRoom
	}
	if c.inBody = hasBody; hasBody {
		c.enlist(&g.reading)
	} else {
		c.enlist(nil)
	}
	return nil
}

// endRequest records that the connection waits for its next request.
func (c *Conn) endRequest() {
	c.size, c.lines, c.afterNewline, c.hasText, c.headerEnded = 0, 0, false, false, false
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	c.inRequest.Store(false)
	if c.removed {
		return
	}
	g.setHeader(c, 0)
	g.setBody(c, 0)
	c.inBody = false
	c.enlist(&g.idle)
}

// progress extends the read deadline and charges for a body of the given capacity.
func (c *Conn) progress(capacity int, idle time.Duration, until time.Time) error {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted || c.removed {
		return ErrStalled
	}
	if charge := max(0, int64(capacity)-unchargedBodyBytes); charge != c.bodyBytes && !g.grow(c, c.headerBytes, charge) {
		g.countRefusal(CauseBodyNoRoom)
		return ErrNoRoom
	}
	c.enlist(&g.reading)
	deadline := c.lastByte.Add(idle)
	if !until.IsZero() && until.Before(deadline) {
		deadline = until
	}
	_ = c.Conn.SetReadDeadline(deadline)
	return nil
}

// EndBody ends the reading of a body. It returns false if the body was evicted; the request must not be run then. After a refusal, the
// rest of the body is discarded for at most the time linger.
func (c *Conn) EndBody(refused bool, linger time.Duration) bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	c.enlist(nil)
	c.inBody = false
	if c.evicted || c.removed {
		return false
	}
	var deadline time.Time
	if refused {
		deadline = g.now().Add(linger)
		g.setBody(c, 0)
	}
	_ = c.Conn.SetReadDeadline(deadline)
	return true
}

// initialBodyBytes is the first capacity of a body without an announced length.
const initialBodyBytes = 512

// ReadBody reads a body of at most limit bytes that may be announced to have a length; -1 if it is not. Its buffer grows with the bytes that
// have arrived. It is read until it receives no byte for the time idle, and until the time until if that isn't zero. It returns ErrTooLarge, ErrNoRoom, ErrStalled or the error of src. Its caller must call EndBody.
func (c *Conn) ReadBody(src io.Reader, announced, limit int64, idle time.Duration, until time.Time) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	end := limit + 1
	first := int64(initialBodyBytes)
	if announced >= 0 {
		end, first = announced, unchargedBodyBytes
	}
	data := make([]byte, 0, min(first, end))
	for {
		if int64(len(data)) > limit {
			return nil, ErrTooLarge
		}
		if announced >= 0 && int64(len(data)) == announced {
			return data, nil
		}
		capacity := cap(data)
		if len(data) == capacity {
			capacity = int(min(int64(2*capacity), end))
		}
		if err := c.progress(capacity, idle, until); err != nil {
			return nil, err
		}
		if capacity > cap(data) {
			data = append(make([]byte, 0, capacity), data...)
		}
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF && (announced < 0 || int64(len(data)) == announced) && int64(len(data)) <= limit:
			return data, nil
		case err == io.EOF && announced >= 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil && err != io.EOF:
			return nil, c.readError(err)
		}
	}
}

// readError returns ErrStalled for a read that was ended by the deadline or by an eviction.
func (c *Conn) readError(err error) error {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted {
		return ErrStalled
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		g.countRefusal(CauseBodyStalled)
		return ErrStalled
	}
	return err
}
