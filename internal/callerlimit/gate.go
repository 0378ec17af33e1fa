// Package callerlimit bounds what callers can take of a process: memory for the bodies and headers of requests that are being read, and
// connections. Callers aren't trusted; beyond the bounds, the connections that make no progress are closed first.
package callerlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// memoryShare is the share of a VM's memory for bodies and headers of requests. Buffered responses have a share of the same size.
	memoryShare = 0.125
	// connMemoryShare is the share of a VM's memory for connections, each of which takes connBytes for buffers, stacks and the uncharged
	// parts of its header and body.
	connMemoryShare = 0.25
	connBytes       = 32 << 10
	// descriptorReserveShare is the share of the descriptors, and minDescriptorReserve the smallest number, that is kept for the store,
	// other VMs, duties and files. Half of the others is for callers, because a request in progress also takes a connection to an endpoint.
	descriptorReserveShare = 0.125
	minDescriptorReserve   = 64
	// defaultMemoryBytes and defaultMaxConns apply if the settings don't give the memory or the descriptors.
	defaultMemoryBytes = 64 << 20
	defaultMaxConns    = 16 << 10
	// headerLineBytes is charged for each header line besides its bytes: net/http keeps a map entry, a slice and two strings for it, and
	// the header is copied for the endpoint.
	headerLineBytes = 256
	// unchargedHeaderBytes and unchargedBodyBytes are included in connBytes, so that ordinary requests are served at any load.
	unchargedHeaderBytes = 8 << 10
	unchargedBodyBytes   = 4 << 10
	// largeBodyBytes is the size from which a body counts as large. Large bodies together hold at most half of the memory, so that ordinary
	// ones find room.
	largeBodyBytes = 128 << 10
	// minSilence is the time without a byte after which a connection with an unfinished request may be closed for others.
	minSilence = time.Second
	// defaultHeaderTimeout applies until SetHeaderTimeout. headerTimeoutMargin is added to the time that a caller takes, which counts it from
	// when it sends.
	defaultHeaderTimeout = 10 * time.Second
	headerTimeoutMargin  = time.Second
	// refusalWriteTime bounds the write of a refusal for a header, which holds up only the refused connection.
	refusalWriteTime = 100 * time.Millisecond
)

// Limits are the bounds of a process.
type Limits struct {
	// MemoryBytes bounds the memory for bodies and headers, MaxConns the connections.
	MemoryBytes int64
	MaxConns    int
}

// LimitsFor returns the limits for a VM with an amount of memory in MiB and a number of file descriptors; 0 means unknown.
func LimitsFor(memoryMB, fileDescriptors int64) Limits {
	l := Limits{MemoryBytes: defaultMemoryBytes, MaxConns: defaultMaxConns}
	if memoryMB > 0 {
		memory := float64(memoryMB << 20)
		l.MemoryBytes = int64(memory * memoryShare)
		l.MaxConns = min(l.MaxConns, int(memory*connMemoryShare)/connBytes)
	}
	if fileDescriptors > 0 {
		reserve := max(minDescriptorReserve, int64(float64(fileDescriptors)*descriptorReserveShare))
		l.MaxConns = min(l.MaxConns, int(fileDescriptors-reserve)/2)
	}
	l.MaxConns = max(l.MaxConns, 1)
	return l
}

// Causes of refusals.
const (
	CauseConnections   = "connections"    // a new connection was closed
	CauseIdle          = "idle"           // an idle or silent connection was closed for a new one
	CauseBodyEvicted   = "body_evicted"   // a body without progress was evicted for another one
	CauseBodyStalled   = "body_stalled"   // a body received no byte for the idle timeout
	CauseBodyNoRoom    = "body_no_room"   // a body did not fit
	CauseHeaderNoRoom  = "header_no_room" // a header did not fit
	CauseHeaderEvicted = "header_evicted" // an unfinished header was evicted for another header or body
)

// Gate accounts for the connections and requests of the callers of a process. It is safe for concurrent use.
type Gate struct {
	limits Limits
	now    func() time.Time

	mu    sync.Mutex
	conns int
	// headerBytes and bodyBytes are charged; largeBytes is the part of bodyBytes of largeBodies bodies.
	headerBytes, bodyBytes, largeBytes int64
	largeBodies                        int
	// idle holds the connections without a request, reading those with an unfinished request and new ones. The one without a byte for the
	// longest is first.
	idle, reading list.List
	refusals      map[string]int64
	total         int64
	// headerTimeout is the time within which a caller inside the limits sends a header.
	headerTimeout time.Duration
}

// NewGate returns a gate with the given limits.
func NewGate(l Limits) *Gate {
	return &Gate{limits: l, now: time.Now, refusals: make(map[string]int64), headerTimeout: defaultHeaderTimeout}
}

// SetHeaderTimeout sets the time within which a caller inside the limits sends a header. Connections that take longer may be closed for new
// ones although they make progress.
func (g *Gate) SetHeaderTimeout(d time.Duration) {
	if d <= 0 {
		d = defaultHeaderTimeout
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.headerTimeout = d + headerTimeoutMargin
}

// Stats describes the current load.
type Stats struct {
	Conns                  int
	HeaderBytes, BodyBytes int64
	// Refusals counts refusals by cause since the start, TotalRefusals all of them.
	Refusals      map[string]int64
	TotalRefusals int64
}

// Stats returns the current load.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Stats{Conns: g.conns, HeaderBytes: g.headerBytes, BodyBytes: g.bodyBytes, Refusals: make(map[string]int64, len(g.refusals)), TotalRefusals: g.total}
	for cause, n := range g.refusals {
		s.Refusals[cause] = n
	}
	return s
}

// countRefusal counts a refusal. g.mu must be held.
func (g *Gate) countRefusal(cause string) {
	g.refusals[cause]++
	g.total++
}

// Listener returns a listener that accepts connections of l within the limits.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.Admit(conn); c != nil {
			return c, nil
		}
	}
}

// Admit returns a wrapper that accounts for conn. At the bound it closes the connection that has been idle or silent for the longest; if
// there is none, it closes conn and returns nil.
func (g *Gate) Admit(conn net.Conn) *Conn {
	g.mu.Lock()
	var victim *Conn
	if g.conns >= g.limits.MaxConns {
		if victim = g.longestSilent(); victim == nil {
			g.countRefusal(CauseConnections)
			g.mu.Unlock()
			_ = conn.Close()
			return nil
		}
		g.countRefusal(CauseIdle)
		victim.evicted = true
		g.remove(victim)
	}
	c := &Conn{Conn: conn, gate: g, headerStarted: g.now()}
	g.conns++
	c.enlist(&g.reading)
	g.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close()
	}
	return c
}

// longestSilent returns the connection to close for a new one, or nil. g.mu must be held.
func (g *Gate) longestSilent() *Conn {
	var idle, silent *Conn
	if e := g.idle.Front(); e != nil {
		idle = e.Value.(*Conn)
	}
	if e := g.reading.Front(); e != nil {
		if c := e.Value.(*Conn); g.now().Sub(c.lastByte) >= minSilence {
			silent = c
		}
	}
	if idle == nil && silent == nil {
		for e := g.reading.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*Conn); !c.inBody && g.now().Sub(c.headerStarted) > g.headerTimeout {
				return c
			}
		}
	}
	if idle == nil || silent != nil && silent.lastByte.Before(idle.lastByte) {
		return silent
	}
	return idle
}

// remove ends the accounting for a connection. g.mu must be held.
func (g *Gate) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	c.enlist(nil)
	g.setHeader(c, 0)
	g.setBody(c, 0)
	g.conns--
}

// setHeader charges n bytes for the header of a connection in place of what it is charged now. g.mu must be held.
func (g *Gate) setHeader(c *Conn, n int64) {
	g.headerBytes += n - c.headerBytes
	c.headerBytes = n
}

// setBody is like setHeader, for the body.
func (g *Gate) setBody(c *Conn, n int64) {
	if c.bodyBytes > largeBodyBytes {
		g.largeBytes -= c.bodyBytes
		g.largeBodies--
	}
	if n > largeBodyBytes {
		g.largeBytes += n
		g.largeBodies++
	}
	g.bodyBytes += n - c.bodyBytes
	c.bodyBytes = n
}

// fits reports whether a connection's header and body may have new sizes. A body that alone exceeds the share of large ones is admitted
// if no other is held, so that any body inside the configured limit is served when there is no overload. g.mu must be held.
func (g *Gate) fits(c *Conn, header, body int64) (total, large bool) {
	others := g.headerBytes + g.bodyBytes - c.headerBytes - c.bodyBytes
	otherLarge, otherLargeBodies := g.largeBytes, g.largeBodies
	if c.bodyBytes > largeBodyBytes {
		otherLarge -= c.bodyBytes
		otherLargeBodies--
	}
	large = body <= largeBodyBytes || otherLargeBodies == 0 || otherLarge+body <= g.limits.MemoryBytes/2
	onlyLarge := body > largeBodyBytes && otherLargeBodies == 0
	return others+header+body <= g.limits.MemoryBytes || onlyLarge && others+header <= g.limits.MemoryBytes/2, large
}

// grow charges new sizes for a connection's header and body. If they don't fit, it evicts the requests without progress for the longest; if
// that is not enough, it returns false. g.mu must be held.
func (g *Gate) grow(c *Conn, header, body int64) bool {
	for e := g.reading.Front(); ; {
		total, large := g.fits(c, header, body)
		if total && large {
			g.setHeader(c, header)
			g.setBody(c, body)
			return true
		}
		var victim *Conn
		for ; e != nil && victim == nil; e = e.Next() {
			candidate := e.Value.(*Conn)
			if g.now().Sub(candidate.lastByte) < minSilence {
				return false
			}
			if candidate != c && (candidate.bodyBytes > largeBodyBytes || large && candidate.bodyBytes+candidate.headerBytes > 0) {
				victim = candidate
			}
		}
		if victim == nil {
			return false
		}
		g.evict(victim)
	}
}

// evict ends the reading of a request. Its handler refuses a body; an unfinished header is not answered. g.mu must be held.
func (g *Gate) evict(c *Conn) {
	c.evicted = true
	g.setBody(c, 0)
	g.setHeader(c, 0)
	if c.inBody {
		g.countRefusal(CauseBodyEvicted)
		c.enlist(nil)
		_ = c.Conn.SetReadDeadline(past) // ends the blocked read
		return
	}
	g.countRefusal(CauseHeaderEvicted)
	g.remove(c)
	_ = c.Conn.Close()
}

// past is a read deadline that ends reads at once.
var past = time.Unix(1, 0)

// ConnState records that a connection waits for its next request. It implements http.Server.ConnState.
func (g *Gate) ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.endRequest()
	}
}
