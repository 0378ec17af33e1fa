package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/telemetry"
)

// Limits on the connections of HTTP servers, so that clients that send or read nothing can't hold connections for ever.
const (
	// headerTimeout limits the time in which a client must send the header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout limits the time between two requests on a connection.
	idleTimeout = 2 * time.Minute
	// bodyTimeout limits the time to receive the body of a request. Handlers may set a deadline of their own.
	bodyTimeout = time.Minute
	// unreadBodyTimeout limits the time in which the rest of a body arrives that the handler has not read.
	unreadBodyTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request. net/http adds 4 KiB to it. Many small lines occupy about ten times their bytes.
	maxHeaderBytes = 16 << 10
	// A write of writeChunkBytes must be accepted by the client's side within writeTimeout. It allows for links of 1 KiB/s.
	writeTimeout    = time.Minute
	writeChunkBytes = 64 << 10
)

const (
	// callerDescriptorShare, vmDescriptorShare and otherDescriptorShare are the shares of the process's descriptors for the connections to the
	// port for callers, for other VMs, and to each other port. The rest remains for endpoints, the platform and other VMs.
	callerDescriptorShare = 0.5
	vmDescriptorShare     = 0.25
	otherDescriptorShare  = 0.0625
	// maxOtherConnections bounds the connections to a port that is not for callers. They occupy about 32 KiB each.
	maxOtherConnections = 256
	// maxVMConnections bounds those to the port for other VMs, of which there may be 330.
	maxVMConnections = 1024
	// refusalLogInterval is the minimum interval of log lines on refusals, and the time without one after which refusing has ended.
	refusalLogInterval = time.Second
)

// connectionLimit returns the number of connections of a port: at most maxConnections, and at most a share of the process's descriptors.
func connectionLimit(maxConnections int, share float64) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		maxConnections = min(maxConnections, int(share*float64(min(limit.Cur, 1<<30))))
	}
	return max(maxConnections, 1)
}

// HTTPServerComponent returns a component that serves HTTP on an address, over TLS unless config is nil. Its drain closes the listener and
// waits for the requests in progress. It is for ports that few clients use; see newHTTPServerComponent.
func HTTPServerComponent(name, address string, config *tls.Config, handler http.Handler, t *telemetry.Telemetry) Component {
	return newHTTPServerComponent(name, address, config, handler, t, connectionLimit(maxOtherConnections, otherDescriptorShare))
}

// VMServerComponent is like HTTPServerComponent for a port that all other VMs may call at the same moment, for example after a change of the
// configuration.
func VMServerComponent(name, address string, handler http.Handler, t *telemetry.Telemetry) Component {
	return newHTTPServerComponent(name, address, nil, handler, t, connectionLimit(maxVMConnections, vmDescriptorShare))
}

// newHTTPServerComponent is like HTTPServerComponent with a bound for the connections. At the bound, a new connection replaces the one that
// has been without a running request for the longest; if all run requests, the new one is closed.
func newHTTPServerComponent(name, address string, config *tls.Config, handler http.Handler, t *telemetry.Telemetry, maxConnections int) Component {
	connections := &connectionSet{max: maxConnections, waiting: make(map[*serverConn]time.Time), refusals: refusals{name: name, telemetry: t}}
	server := &http.Server{Handler: connections.handler(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if secure, ok := c.(*tls.Conn); ok {
				c = secure.NetConn()
			}
			return context.WithValue(ctx, serverConnKey{}, c)
		}}
	return Component{Name: name,
		Run: func(ctx context.Context) error {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return errors.Wrap(err, "listen (check the address and that no other process uses it)")
			}
			defer context.AfterFunc(ctx, func() { _ = server.Close() })()
			listener = &limitedListener{Listener: listener, connections: connections}
			if config != nil {
				listener = tls.NewListener(listener, config)
			}
			err = server.Serve(listener)
			if errors.Is(err, http.ErrServerClosed) {
				<-ctx.Done() // a drain has closed the listener; the component ends with its context
				return nil
			}
			return err
		},
		Drain: server.Shutdown,
	}
}

// serverConnKey is the context key of a request's *serverConn.
type serverConnKey struct{}

// connectionSet holds the open connections of a server. It is safe for concurrent use.
type connectionSet struct {
	max      int
	refusals refusals

	mu   sync.Mutex
	open int
	// waiting holds the connections that run no request, with the time since when.
	waiting map[*serverConn]time.Time
}

// add adds a new connection. It returns false if there is no room, and the connection to close in its favour, if any.
func (s *connectionSet) add(c *serverConn) (evicted *serverConn, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.max {
		var oldest time.Time
		for candidate, since := range s.waiting {
			if evicted == nil || since.Before(oldest) {
				evicted, oldest = candidate, since
			}
		}
		if evicted == nil {
			return nil, false
		}
		s.removeLocked(evicted)
	}
	s.open++
	s.waiting[c] = time.Now()
	return evicted, true
}

func (s *connectionSet) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(c)
}

func (s *connectionSet) removeLocked(c *serverConn) {
	if !c.removed {
		c.removed = true
		s.open--
		delete(s.waiting, c)
	}
}

// setRunning records whether a connection runs a request.
func (s *connectionSet) setRunning(c *serverConn, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.removed:
	case running:
		delete(s.waiting, c)
	default:
		s.waiting[c] = time.Now()
	}
}

// handler returns a handler that records which connections run requests and limits the time to receive bodies.
func (s *connectionSet) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(serverConnKey{}).(*serverConn); ok {
			s.setRunning(c, true)
			defer s.setRunning(c, false)
		}
		if r.Body != http.NoBody {
			controller := http.NewResponseController(w)
			_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
			// The server reads on after the handler, to reuse the connection, and sets the deadline for the next request itself.
			defer func() { _ = controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) }()
		}
		next.ServeHTTP(w, r)
	})
}

// limitedListener accepts connections within the bound of a connectionSet.
type limitedListener struct {
	net.Listener
	connections *connectionSet
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &serverConn{Conn: accepted, set: l.connections}
		evicted, ok := l.connections.add(c)
		if evicted != nil {
			_ = evicted.Close()
			l.connections.refusals.add("evicted")
		}
		if ok {
			return c, nil
		}
		_ = accepted.Close()
		l.connections.refusals.add("full")
	}
}

// serverConn is a connection whose writes have a deadline. removed is guarded by the mutex of its set.
type serverConn struct {
	net.Conn
	set     *connectionSet
	removed bool
}

// Write writes in pieces, each with a deadline, so that a slow client that reads on gets all of a long response.
func (c *serverConn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writeChunkBytes)]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}

// refusals counts the refusals of a port and logs when they start and end.
type refusals struct {
	name      string
	telemetry *telemetry.Telemetry

	mu      sync.Mutex
	count   int // refusals since refusing has started
	last    time.Time
	ongoing bool
}

// add records a refusal.
func (r *refusals) add(cause string) {
	r.telemetry.Metrics.Ports.Refused(context.Background(), r.name, cause)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = time.Now()
	r.count++
	if r.ongoing {
		return
	}
	r.ongoing = true
	r.telemetry.Log.Warn().Str("port", r.name).Str("cause", cause).Msg("refusing clients")
	time.AfterFunc(refusalLogInterval, r.checkEnd)
}

// checkEnd logs the end of refusing if there was no refusal within refusalLogInterval, and otherwise checks again later.
func (r *refusals) checkEnd() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if wait := refusalLogInterval - time.Since(r.last); wait > 0 {
		time.AfterFunc(wait, r.checkEnd)
		return
	}
	r.telemetry.Log.Info().Str("port", r.name).Int("refusals", r.count).Msg("no longer refusing clients")
	r.ongoing, r.count = false, 0
}
