// Package netdial sets the socket options by which connections notice that the other side has gone silent.
package netdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeoutControl returns a function for net.Dialer.Control. Connections then fail when sent bytes stay unacknowledged for the given time.
func UserTimeoutControl(userTimeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}

// NewDialer returns a dialer whose connections notice within a few seconds that the other side is silent, idle ones too.
func NewDialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, Control: UserTimeoutControl(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
}

// ResetConn closes a connection and drops what it has not yet delivered. An ordinary close leaves such bytes to the kernel, which may
// deliver them seconds later, when a cut of the network has healed.
func ResetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a connection that is closed already and has nothing to drop
	}
	_ = c.Close()
}
