// Package memnet connects the servers and clients of tests in memory, without sockets, so that they run in virtual time.
//
// It stands in for grpc's bufconn, whose connections start a timer that is due at once (see PositiveDuration in internal/ctxtime).
package memnet

import (
	"context"
	"net"
	"sync"
)

// Listener is a net.Listener whose connections are made by Dial.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns a listener that accepts until it is closed.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial connects to the listener. It returns net.ErrClosed after Close, or the context's error.
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

// Close implements net.Listener. It leaves connections open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return addr{} }

type addr struct{}

func (addr) Network() string { return "memory" }
func (addr) String() string  { return "memory" }
