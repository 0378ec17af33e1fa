package endpoint

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// errTooLate refuses to send a call after its time.
var errTooLate = errors.New("the call was not sent in time; repeat it with the same idempotency key")

// sendGuard stops the first byte of a call from leaving after a time. A process that was paused would else send a call that
// others have declared dead meanwhile. One gap stays open: a pause between the check and the system call.
type sendGuard struct {
	before time.Time
	wrote  atomic.Bool
}

type guardKey struct{}

// late checks the monotonic and the wall clock, because the monotonic clock stands still while a VM is suspended.
func (g *sendGuard) late() bool {
	now := time.Now()
	return now.After(g.before) || now.Round(0).After(g.before.Round(0))
}

// guardedConn is the connection of one guarded call.
type guardedConn struct {
	net.Conn
	guard *sendGuard
}

// Write sends bytes unless it is too late for the first of them.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.guard.wrote.Load() && c.guard.late() {
		return 0, errTooLate
	}
	c.guard.wrote.Store(true)
	return c.Conn.Write(b)
}

// guardDial wraps a dial function so that the connections of guarded calls check the time.
func guardDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		guard, ok := ctx.Value(guardKey{}).(*sendGuard)
		if err != nil || !ok {
			return conn, err
		}
		return &guardedConn{conn, guard}, nil
	}
}
