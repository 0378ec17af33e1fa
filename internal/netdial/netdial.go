// Package netdial configures TCP connections so that an unresponsive peer is detected within a bound and a reset is told from a regular end,
// and resets them.
package netdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeoutControl returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT: a connection fails when sent bytes remain
// unacknowledged for userTimeout.
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

// NewDialer returns a dialer whose connections fail when the peer stops responding: after userTimeout with unacknowledged bytes, and when
// idle after unanswered TCP keep-alive probes for userTimeout or a few seconds, whichever is longer.
func NewDialer(dialTimeout, userTimeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{Timeout: dialTimeout, Control: UserTimeoutControl(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}}
}

// ResetConn closes a connection and discards the bytes that are not yet delivered. After an ordinary close the kernel keeps
// retransmitting such bytes and may deliver them seconds later, when a network partition has healed.
func ResetConn(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // fails only when the connection is already closed and has nothing to discard
	}
	_ = c.Close()
}
