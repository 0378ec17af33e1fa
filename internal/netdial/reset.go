package netdial

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer opens connections whose reads tell a reset from the regular end; see DetectReset.
type Dialer struct{ net.Dialer }

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return DetectReset(c), nil
}

// DetectResets wraps a dial function so that its connections tell a reset from the regular end; see DetectReset.
func DetectResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return DetectReset(c), nil
	}
}

// DetectReset returns a connection whose Read fails with ECONNRESET when the peer has reset the connection. The kernel reports a reset once,
// to the system call that comes first. If that is a concurrent write, later reads find the end of the stream, as after a regular
// close. Connections other than TCP connections are returned as they are.
func DetectReset(c net.Conn) net.Conn {
	if t, ok := c.(*net.TCPConn); ok {
		return &resetAwareConn{Conn: t, tcp: t}
	}
	return c
}

// resetAwareConn embeds the interface, which hides the WriteTo method of TCP connections: it would bypass Read.
type resetAwareConn struct {
	net.Conn
	tcp *net.TCPConn
	// writeReset is set once a write has failed because of a reset.
	writeReset atomic.Bool
}

// Read implements net.Conn.
func (c *resetAwareConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.wasReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// Write implements net.Conn.
func (c *resetAwareConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.writeReset.Store(true)
	}
	return n, err
}

// wasReset reports whether the connection was reset rather than closed by the peer. The kernel knows it even while the write that learned
// of the reset has not returned yet.
func (c *resetAwareConn) wasReset() bool {
	state, err := c.state()
	return c.writeReset.Load() || err == nil && state == unix.BPF_TCP_CLOSE
}

// state returns the state of the TCP connection.
func (c *resetAwareConn) state() (state uint8, err error) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return state, err
}

// SyscallConn implements syscall.Conn.
func (c *resetAwareConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// SetLinger is like that of net.TCPConn.
func (c *resetAwareConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }
