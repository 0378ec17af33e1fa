// Package fault provokes failures in tests: a loopback relay that cuts or delays connections, and processes that can be
// killed and frozen. It is for tests only.
package fault

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a relay does with traffic.
type Mode int

const (
	// ForwardAll forwards everything.
	ForwardAll Mode = iota
	// BlockAll holds back all bytes both ways without closing, as a partition does.
	BlockAll
	// BlockRequests holds back bytes from client to server only.
	BlockRequests
	// BlockResponses holds back bytes from server to client only.
	BlockResponses
	// RefuseConnections closes connections at once.
	RefuseConnections
)

// pollInterval is how often a held-back direction looks whether it may go on.
const pollInterval = 5 * time.Millisecond

// Relay forwards TCP connections from a loopback address to a target. Its methods may be called concurrently.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	conns map[net.Conn]struct{}
}

// NewRelay listens on a free loopback port and forwards to target.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

// Addr returns the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetMode changes what happens to present and future connections. RefuseConnections closes present ones.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m == RefuseConnections {
		r.closeConns()
	}
}

// SetDelay delays each read in both directions.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Close ends the relay and its connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeConns()
	return r.listener.Close()
}

// closeConns closes all connections. The caller holds the lock.
func (r *Relay) closeConns() {
	for c := range r.conns {
		c.Close()
	}
}

func (r *Relay) state() (Mode, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode, r.delay
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(client net.Conn) {
	defer client.Close()
	if m, _ := r.state(); m == RefuseConnections {
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer server.Close()
	r.track(client, server)
	defer r.untrack(client, server)
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(server, client, BlockRequests) })
	directions.Go(func() { r.forward(client, server, BlockResponses) })
	directions.Wait()
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// forward copies one direction, holding bytes back while the mode drops this direction.
func (r *Relay) forward(to, from net.Conn, dropMode Mode) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !r.waitOpen(dropMode) {
			break
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err == io.EOF {
			closeWrite(to)
			return
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}

// waitOpen blocks while the direction is held back and returns false when the connection has to end.
func (r *Relay) waitOpen(dropMode Mode) bool {
	for {
		m, delay := r.state()
		switch m {
		case RefuseConnections:
			return false
		case BlockAll, dropMode:
			time.Sleep(pollInterval)
			continue
		}
		time.Sleep(delay)
		return true
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}
