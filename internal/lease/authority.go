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

// ErrNoAuthority is returned by dials and by writes on a connection after the authority has ended. No byte of the write was sent.
var ErrNoAuthority = errors.New("lease: authority has ended; acquire the lease again before sending")

// userTimeout is the dial timeout and the TCP_USER_TIMEOUT, which bounds how long the kernel retransmits unacknowledged bytes. It is
// below DefaultMargin, so no byte written under an authority is delivered after a successor has taken over.
const userTimeout = time.Second

// Authority is one term of a lease. It is valid for the TTL of the lease minus the margin, counted from just before the last confirmed
// renewal was sent. Once it has ended, it never becomes valid again. It is safe for concurrent use.
type Authority struct {
	fencingToken uint64
	// continues, heldSince and completeSince are set before the authority is passed on. heldSince is the time at which this process acquired the
	// lease, also if the term continues the previous one.
	continues                bool
	heldSince, completeSince time.Time
	wallClock                func() time.Time
	ctx                      context.Context
	cancel                   context.CancelFunc

	mu           sync.Mutex
	monoDeadline time.Time
	wallDeadline time.Time
	timer        *time.Timer
}

// clockReading is one instant on the monotonic and the wall clock. Go's monotonic clock stops while a VM is suspended, and the wall
// clock may be set back, so neither suffices alone.
type clockReading struct{ mono, wall time.Time }

// readClocks reads both clocks. Round removes the monotonic reading from the wall time.
func readClocks(wall func() time.Time) clockReading {
	return clockReading{mono: time.Now(), wall: wall().Round(0)}
}

// NewAuthority returns an authority with the given fencing token that ends after lifetime or with ctx, for tests and tools that need
// no lease. A nil wall means time.Now.
func NewAuthority(ctx context.Context, token uint64, lifetime time.Duration, wall func() time.Time) *Authority {
	if wall == nil {
		wall = time.Now
	}
	return newAuthority(ctx, token, readClocks(wall), lifetime, wall)
}

// newAuthority returns an authority whose lifetime is counted from start.
func newAuthority(ctx context.Context, token uint64, start clockReading, lifetime time.Duration, wall func() time.Time) *Authority {
	a := &Authority{fencingToken: token, wallClock: wall}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.monoDeadline, a.wallDeadline = start.mono.Add(lifetime), start.wall.Add(lifetime)
	a.timer = time.AfterFunc(ctxtime.PositiveDuration(time.Until(a.monoDeadline)), func() { a.Valid() })
	return a
}

// FencingToken returns the fencing token of the term.
func (a *Authority) FencingToken() uint64 { return a.fencingToken }

// Continues reports whether the term continues the holder's previous one, so that no other process can have held the lease in between, although the
// store came back from a copy.
func (a *Authority) Continues() bool { return a.continues }

// CompleteSince returns the time from which on this process and the store together know all that holders of the lease have done. What the
// store kept of earlier times may have been lost when it came back from a copy. It is the zero time for a store that has no eras.
func (a *Authority) CompleteSince() time.Time { return a.completeSince }

// Context returns a context that is cancelled when the authority ends.
func (a *Authority) Context() context.Context { return a.ctx }

// Valid reports whether the authority is still valid: its deadline has passed on neither the monotonic nor the wall clock. The first
// failed check ends the authority.
func (a *Authority) Valid() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.validLocked()
}

// validLocked implements Valid. The caller must hold a.mu.
func (a *Authority) validLocked() bool {
	if a.ctx.Err() != nil {
		return false
	}
	if time.Now().Before(a.monoDeadline) && a.wallClock().Round(0).Before(a.wallDeadline) {
		return true
	}
	a.cancel()
	a.timer.Stop()
	return false
}

// deadlinePassed reports whether the deadline has passed on either clock, whether or not the authority has ended before.
func (a *Authority) deadlinePassed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !time.Now().Before(a.monoDeadline) || !a.wallClock().Round(0).Before(a.wallDeadline)
}

// extend moves the deadlines after a confirmed renewal that was sent at sentAt. It returns false if the authority has ended.
func (a *Authority) extend(sentAt clockReading, lifetime time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.validLocked() {
		return false
	}
	if mono := sentAt.mono.Add(lifetime); mono.After(a.monoDeadline) {
		a.monoDeadline, a.wallDeadline = mono, sentAt.wall.Add(lifetime)
		a.timer.Reset(ctxtime.PositiveDuration(time.Until(mono)))
	}
	return a.validLocked()
}

// End ends the authority immediately.
func (a *Authority) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel()
	a.timer.Stop()
}

// DialContext opens a TCP connection that is bound to the authority: each Write checks Valid, and the connection is reset when the
// authority ends, so that bytes still queued in the kernel are dropped. It returns ErrNoAuthority if the authority has ended.
func (a *Authority) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if !a.Valid() {
		return nil, ErrNoAuthority
	}
	d := net.Dialer{Timeout: userTimeout, Control: netdial.UserTimeoutControl(userTimeout)}
	c, err := netdial.DetectResets(d.DialContext)(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	b := &boundConn{Conn: c, authority: a}
	b.stopReset = context.AfterFunc(a.ctx, func() { netdial.ResetConn(b.Conn) })
	return b, nil
}

// boundConn is a connection whose writes require a valid authority.
type boundConn struct {
	net.Conn
	authority *Authority
	// stopReset stops the reset of the connection at the end of the authority.
	stopReset func() bool
}

// Write returns ErrNoAuthority and sends nothing if the authority has ended.
func (c *boundConn) Write(p []byte) (int, error) {
	if !c.authority.Valid() {
		return 0, ErrNoAuthority
	}
	return c.Conn.Write(p)
}

// Close resets the connection, because a call abandoned before its response must not arrive under a later authority.
func (c *boundConn) Close() error {
	c.stopReset()
	netdial.ResetConn(c.Conn)
	return nil
}
