package endpoint

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// errSendDeadlinePassed is the error of a call that was still unsent at its send deadline.
var errSendDeadlinePassed = errors.New("call not sent before its deadline; repeat it with the same idempotency key")

// sendGuard prevents the first byte of a call from being sent after a deadline. Without it, a process that resumes from a pause could
// send a call that other VMs have already declared dead. A pause between the check and the system call is not covered.
type sendGuard struct {
	deadline time.Time
	wrote    atomic.Bool
}

type sendGuardKey struct{}

// expired reports whether the deadline has passed on the monotonic or the wall clock. The monotonic clock stops while a VM is suspended.
func (g *sendGuard) expired() bool {
	now := time.Now()
	return now.After(g.deadline) || now.Round(0).After(g.deadline.Round(0))
}

// guardedConn is the connection of one call with a sendGuard.
type guardedConn struct {
	net.Conn
	guard *sendGuard
}

// Write returns errSendDeadlinePassed if nothing was written before the deadline.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.guard.wrote.Load() && c.guard.expired() {
		return 0, errSendDeadlinePassed
	}
	c.guard.wrote.Store(true)
	return c.Conn.Write(b)
}

// guardDial wraps a dial function so that connections check the deadline of the sendGuard in their context, if there is one.
func guardDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		guard, ok := ctx.Value(sendGuardKey{}).(*sendGuard)
		if err != nil || !ok {
			return conn, err
		}
		return &guardedConn{conn, guard}, nil
	}
}
