package lease

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/netdial"
)

// ErrNoAuthority is returned by writes on a connection whose authority has ended. Nothing of the write was sent.
var ErrNoAuthority = errors.New("lease: authority has ended; acquire the lease again before sending")

// userTimeout bounds how long the kernel retransmits unacknowledged bytes. It is below DefaultMargin, so no byte written
// under an authority is delivered after a successor took over.
const userTimeout = time.Second

// Authority is one term of a lease. It is valid for the lease's lifetime less the margin, counted from before the last
// confirmed renewal was sent. Once it has ended it never becomes valid again.
type Authority struct {
	fence  uint64
	wall   func() time.Time
	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex
	monoDeadline time.Time
	wallDeadline time.Time
	timer        *time.Timer
}

// stamp is one instant on both clocks. Go's monotonic clock stands still while a VM is suspended, and the wall clock may be
// set back, so neither suffices alone.
type stamp struct{ mono, wall time.Time }

func now(wall func() time.Time) stamp { return stamp{mono: time.Now(), wall: wall().Round(0)} }

// NewAuthority returns an authority that ends after the given time, for tests and tools that need no lease. A nil wall
// means time.Now.
func NewAuthority(ctx context.Context, fence uint64, lifetime time.Duration, wall func() time.Time) *Authority {
	if wall == nil {
		wall = time.Now
	}
	return newAuthority(ctx, fence, now(wall), lifetime, wall)
}

func newAuthority(ctx context.Context, fence uint64, start stamp, lifetime time.Duration, wall func() time.Time) *Authority {
	a := &Authority{fence: fence, wall: wall}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.monoDeadline, a.wallDeadline = start.mono.Add(lifetime), start.wall.Add(lifetime)
	a.timer = time.AfterFunc(ctxtime.PositiveDuration(time.Until(a.monoDeadline)), func() { a.Valid() })
	return a
}

// FencingToken returns the fencing number of the term.
func (a *Authority) FencingToken() uint64 { return a.fence }

// Context returns a context that is cancelled when the authority ends.
func (a *Authority) Context() context.Context { return a.ctx }

// Valid checks both clocks. The first check that fails ends the authority.
func (a *Authority) Valid() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.validLocked()
}

func (a *Authority) validLocked() bool {
	if a.ctx.Err() != nil {
		return false
	}
	if time.Now().Before(a.monoDeadline) && a.wall().Round(0).Before(a.wallDeadline) {
		return true
	}
	a.cancel()
	a.timer.Stop()
	return false
}

// extend moves the deadlines after a confirmed renewal that was sent at start. It returns false when the authority has
// ended in the meantime.
func (a *Authority) extend(start stamp, lifetime time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.validLocked() {
		return false
	}
	if mono := start.mono.Add(lifetime); mono.After(a.monoDeadline) {
		a.monoDeadline, a.wallDeadline = mono, start.wall.Add(lifetime)
		a.timer.Reset(ctxtime.PositiveDuration(time.Until(mono)))
	}
	return a.validLocked()
}

// End ends the authority at once.
func (a *Authority) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel()
	a.timer.Stop()
}

// DialContext opens a TCP connection that is bound to the authority: each Write checks Valid, and the connection is reset
// when the authority ends, so that bytes still queued in the kernel are dropped.
func (a *Authority) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if !a.Valid() {
		return nil, ErrNoAuthority
	}
	d := net.Dialer{Timeout: userTimeout, Control: netdial.UserTimeoutControl(userTimeout)}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	b := &boundConn{Conn: c, authority: a}
	b.unbind = context.AfterFunc(a.ctx, func() { netdial.ResetConn(b.Conn) })
	return b, nil
}

// boundConn is a connection whose writes need a valid authority.
type boundConn struct {
	net.Conn
	authority *Authority
	unbind    func() bool
}

// Write returns ErrNoAuthority and sends nothing when the authority has ended.
func (c *boundConn) Write(p []byte) (int, error) {
	if !c.authority.Valid() {
		return 0, ErrNoAuthority
	}
	return c.Conn.Write(p)
}

// Close resets the connection: a call that is given up before it was answered must not arrive under a later authority.
func (c *boundConn) Close() error {
	c.unbind()
	netdial.ResetConn(c.Conn)
	return nil
}
