// Package memnet connects servers and clients in memory, without sockets, so that tests can run them in the virtual time of
// testing/synctest. It is used by tests only.
//
// It replaces grpc's bufconn, whose connections start timers that are already due. Such timers crash the race detector within a
// synctest bubble (see PositiveDuration in internal/ctxtime).
package memnet

import (
	"context"
	"net"
	"sync"
)

// Listener is an in-memory net.Listener. Dial connects to it.
type Listener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen returns a listener that accepts connections until it is closed.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial connects to the listener and returns once the connection has been accepted. It returns net.ErrClosed after Close, or the
// context's error.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Accepted connections stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return addr{} }

type addr struct{}

func (addr) Network() string { return "memory" }
func (addr) String() string  { return "memory" }
