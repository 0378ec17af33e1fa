// Package fault injects failures: a loopback TCP relay that blocks, delays or refuses connections, and child processes that can be
// suspended and killed. It is used by tests only.
package fault

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode says how a relay handles traffic.
type Mode int

const (
	// ForwardAll forwards all bytes.
	ForwardAll Mode = iota
	// BlockAll holds back all bytes in both directions without closing connections, like a network partition.
	BlockAll
	// BlockRequests holds back only bytes from client to server.
	BlockRequests
	// BlockResponses holds back only bytes from server to client.
	BlockResponses
	// RefuseConnections closes new connections immediately.
	RefuseConnections
)

// pollInterval is how often a blocked direction checks whether the mode has changed.
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

// SetMode sets the mode of existing and new connections. RefuseConnections also closes existing ones.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m == RefuseConnections {
		r.closeConns()
	}
}

// SetDelay sets the delay between each read and the write that forwards it, in both directions.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Close closes the relay's listener and its connections.
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

// forward copies bytes in one direction and holds them back while the mode is BlockAll or blockMode.
func (r *Relay) forward(to, from net.Conn, blockMode Mode) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !r.waitUnblocked(blockMode) {
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

// waitUnblocked waits while the mode is BlockAll or blockMode, then for the relay's delay. It returns false when the connection has
// to be closed.
func (r *Relay) waitUnblocked(blockMode Mode) bool {
	for {
		m, delay := r.state()
		switch m {
		case RefuseConnections:
			return false
		case BlockAll, blockMode:
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
