package node

import (
	"net"
	"net/http"
	"sync"
)

// activeConns counts the connections on which a request is in progress, from its first byte to the end of its response. An
// http.Server reports their states to update. The zero value is ready for use.
type activeConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// update records a new state of a connection. It implements http.Server.ConnState.
func (a *activeConns) update(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state != http.StateActive {
		delete(a.conns, conn)
		return
	}
	if a.conns == nil {
		a.conns = make(map[net.Conn]struct{})
	}
	a.conns[conn] = struct{}{}
}

// count returns the number of connections with a request in progress.
func (a *activeConns) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
