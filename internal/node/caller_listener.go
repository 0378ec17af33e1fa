package node

import (
	"net"
	"sync"
)

// callerListener is a listener that can stop to accept connections without ending its server, which goes on with the connections that it
// has: net/http closes connections without an answer once it shuts down.
type callerListener struct {
	net.Listener
	stopped   chan struct{}
	stopOnce  sync.Once
	closed    chan struct{}
	closeOnce sync.Once
}

func newCallerListener(l net.Listener) *callerListener {
	return &callerListener{Listener: l, stopped: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. After stopAccepting it blocks until Close.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		select {
		case <-l.stopped:
			<-l.closed
		default:
		}
	}
	return conn, err
}

// stopAccepting closes the port. New connections are refused from then on.
func (l *callerListener) stopAccepting() error {
	var err error
	l.stopOnce.Do(func() {
		close(l.stopped)
		err = l.Listener.Close()
	})
	return err
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	err := l.stopAccepting()
	l.closeOnce.Do(func() { close(l.closed) })
	return err
}
