// Package lease grants a process authority over a duty for a bounded time, with a fencing number.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// DefaultTTL is the lifetime of a lease after its last renewal.
	DefaultTTL = 10 * time.Second
	// DefaultMargin is how much earlier than the lifetime the holder stops, and how much longer candidates wait. It covers
	// different rates of clocks and the time that bytes spend on their way.
	DefaultMargin = 2 * time.Second
	// DefaultRenewEvery leaves three tries before the holder stops.
	DefaultRenewEvery = 2 * time.Second
	// retryEvery is the longest wait after a failed renewal, retriesPerLifetime how often it fits into the holder's time.
	retryEvery         = 250 * time.Millisecond
	retriesPerLifetime = 20
	// clockCheckEvery bounds how long a suspended holder keeps its context after waking up.
	clockCheckEvery = 250 * time.Millisecond
	// pollsPerTTL is how often a candidate reads the lease within its lifetime.
	pollsPerTTL = 10
	// activeRanks is the highest rank of candidates that read the lease at the full rate; idlePollFactor is how much more rarely
	// others do.
	activeRanks    = 2
	idlePollFactor = 12
	// rankDelay is how much longer a candidate waits for each candidate before it, so that leases spread over processes.
	rankDelay = 500 * time.Millisecond
	// callTimeout bounds one platform call. For short leases it is a part of the holder's time: a write whose answer is lost must
	// leave room to read the lease and to write again before the authority ends. At the shortest lease in use (3 s) that is
	// 450 ms, above the 200 ms that a slow store takes.
	callTimeout      = 1500 * time.Millisecond
	callsPerLifetime = 5
)

// Options configures a Elector. Zero durations take the defaults.
type Options struct {
	Store objectstore.Store
	// Name is the lease object's name, such as "<pool>.orders" or "usage".
	Name string
	// Holder is the unique id of this incarnation of the process. It must differ after a restart.
	Holder                  string
	TTL, Margin, RenewEvery time.Duration
	// PollEvery is how often a candidate reads the lease; 0 means a tenth of the TTL. Candidates of a rank above activeRanks read
	// it more rarely, because those before them will take the lease.
	PollEvery time.Duration
	// Rank returns this process's place among those that may hold the lease, 0 first; nil means 0. The ranks of processes may
	// disagree: they decide who tries first, never who holds the lease.
	Rank func() int
	// Wall reads the wall clock; nil means time.Now.
	Wall func() time.Time
}

// Elector acquires, renews and releases one lease.
type Elector struct {
	o Options

	// version and value are the lease object as last read or written.
	version uint64
	value   apitypes.Lease
	// seen is when version was first seen on the monotonic clock.
	seen time.Time
	// free is when the lease was first seen without a holder; zero while it has one.
	free time.Time
	// pending holds when each write of unknown outcome was sent, by writer id.
	pending map[string]stamp
}

// NewElector returns an elector. Run does the work.
func NewElector(o Options) *Elector {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.Margin <= 0 {
		o.Margin = DefaultMargin
	}
	if o.RenewEvery <= 0 {
		o.RenewEvery = DefaultRenewEvery
	}
	if o.Rank == nil {
		o.Rank = func() int { return 0 }
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	return &Elector{o: o, pending: make(map[string]stamp)}
}

// Run competes for the lease until ctx ends. For each term it calls lead, which must return soon after the authority's
// context ends; the next term, or the release, waits for that. Platform errors are retried.
func (e *Elector) Run(ctx context.Context, lead func(*Authority)) error {
	for ctx.Err() == nil {
		if a := e.acquire(ctx); a != nil {
			e.hold(a, lead)
		}
		// The wait also follows a term, so that another candidate gets its turn when lead fails at once.
		ctxtime.Sleep(ctx, e.pollEvery())
	}
	return ctx.Err()
}

func (e *Elector) pollEvery() time.Duration {
	if e.o.PollEvery > 0 {
		if e.o.Rank() > activeRanks {
			return e.o.PollEvery * idlePollFactor
		}
		return e.o.PollEvery
	}
	return e.o.TTL / pollsPerTTL
}

// hold renews while lead runs, then releases the lease.
func (e *Elector) hold(a *Authority, lead func(*Authority)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer a.End()
		lead(a)
	}()
	e.renewUntilEnd(a)
	a.End()
	<-done
	e.release()
}

func (e *Elector) renewUntilEnd(a *Authority) {
	next := time.Now().Add(e.o.RenewEvery)
	for a.Valid() {
		if !ctxtime.Sleep(a.Context(), min(clockCheckEvery, time.Until(next))) {
			return
		}
		if time.Now().Before(next) {
			continue
		}
		if lost := e.renew(a); lost {
			return
		}
		next = time.Now().Add(e.o.RenewEvery)
		if len(e.pending) > 0 {
			next = time.Now().Add(e.retryEvery())
		}
	}
}

// callTimeout bounds one call.
func (e *Elector) callTimeout() time.Duration { return min(callTimeout, e.lifetime()/callsPerLifetime) }

// retryEvery is the wait after a failed renewal.
func (e *Elector) retryEvery() time.Duration { return min(retryEvery, e.lifetime()/retriesPerLifetime) }

// lifetime is how long the holder may act after sending a write that is confirmed later.
func (e *Elector) lifetime() time.Duration { return e.o.TTL - e.o.Margin }

// acquire reads the lease and, if it is free or lapsed, tries to take it. It returns nil when this process is not holder.
func (e *Elector) acquire(ctx context.Context) *Authority {
	if err := e.read(ctx); err != nil {
		return nil
	}
	if !e.available() {
		return nil
	}
	fence := e.value.Fence + 1
	start, err := e.write(ctx, apitypes.Lease{Holder: e.o.Holder, Fence: fence})
	if err != nil {
		return nil
	}
	a := newAuthority(ctx, fence, start, e.lifetime(), e.o.Wall)
	if !a.Valid() {
		return nil
	}
	return a
}

// available says whether a candidate may take the lease. A lease of this incarnation is left from a term whose lead has
// returned, or from an acquisition whose answer was lost, so it may be taken again at once, with a new fencing number.
func (e *Elector) available() bool {
	if e.version != 0 && e.value.Holder == e.o.Holder {
		return true
	}
	behind := time.Duration(e.o.Rank()) * rankDelay
	if e.version == 0 || e.value.Holder == "" {
		if e.free.IsZero() {
			e.free = time.Now()
		}
		return time.Since(e.free) >= behind
	}
	e.free = time.Time{}
	ttl := max(e.o.TTL, time.Duration(e.value.TTLMS)*time.Millisecond)
	return time.Since(e.seen) >= ttl+e.o.Margin+behind
}

// read refreshes version and value.
func (e *Elector) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	o, err := e.o.Store.Get(ctx, apitypes.KindLease, e.o.Name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil // The first write creates the object; e.version stays as it was, so an old read can't reset it.
	}
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	if o.Version <= e.version {
		return nil
	}
	var l apitypes.Lease
	if err := json.Unmarshal(o.Data, &l); err != nil {
		return errors.Wrapf(err, "lease %s is not readable; remove the object once no controller runs", e.o.Name)
	}
	e.version, e.value, e.seen = o.Version, l, time.Now()
	return nil
}

// write sends one conditional update and finds out by its writer id whether it won, if its answer is lost. It returns
// when the write was sent. After an error the outcome may be unknown; then the write stays in pending.
func (e *Elector) write(ctx context.Context, l apitypes.Lease) (stamp, error) {
	l.Writer, l.TTLMS, l.Renewal = uuid.NewString(), e.o.TTL.Milliseconds(), e.value.Renewal+1
	data, err := json.Marshal(l)
	if err != nil {
		return stamp{}, errors.Wrap(err, "encode lease")
	}
	start := now(e.o.Wall)
	callCtx, cancel := context.WithTimeout(ctx, e.callTimeout())
	version, err := e.o.Store.Put(callCtx, apitypes.KindLease, e.o.Name, data, e.version)
	cancel()
	if err == nil {
		clear(e.pending)
		e.version, e.value, e.seen = version, l, time.Now()
		return start, nil
	}
	if !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrThrottled) {
		e.pending[l.Writer] = start
	}
	if readErr := e.read(ctx); readErr != nil {
		return stamp{}, readErr
	}
	if e.value.Writer == l.Writer {
		clear(e.pending)
		return start, nil
	}
	return stamp{}, err
}

// renew extends a, and reports whether another process holds the lease.
func (e *Elector) renew(a *Authority) (lost bool) {
	start, err := e.write(a.Context(), apitypes.Lease{Holder: e.o.Holder, Fence: a.FencingToken()})
	if err == nil {
		return !a.extend(start, e.lifetime())
	}
	if e.value.Holder != e.o.Holder || e.value.Fence != a.FencingToken() {
		return true
	}
	// An earlier write of unknown outcome may have won in the meantime. Its time counts from when it was sent.
	if start, ok := e.pending[e.value.Writer]; ok {
		clear(e.pending)
		return !a.extend(start, e.lifetime())
	}
	return false
}

// release gives the lease up. If it fails the lease lapses.
func (e *Elector) release() {
	if e.value.Holder != e.o.Holder {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.callTimeout())
	defer cancel()
	_, _ = e.write(ctx, apitypes.Lease{Fence: e.value.Fence})
}
