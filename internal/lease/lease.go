// Package lease elects one process as the holder of a duty for a bounded time, with a fencing token for each term.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// DefaultTTL is how long a lease is valid after its last renewal.
	DefaultTTL = 10 * time.Second
	// DefaultMargin is how long before the end of the TTL the holder stops, and how long after it candidates wait. It covers clocks
	// that run at different rates and the time that bytes are in transit.
	DefaultMargin = 2 * time.Second
	// DefaultRenewInterval is the renewal interval. It allows three attempts before the holder stops.
	DefaultRenewInterval = 2 * time.Second
	// maxRetryInterval is the maximum wait after a renewal of unknown outcome. For short leases the wait is the authority's lifetime
	// divided by retriesPerLifetime.
	maxRetryInterval   = 250 * time.Millisecond
	retriesPerLifetime = 20
	// clockCheckInterval bounds how long the context of an expired authority stays open after a suspended VM resumes.
	clockCheckInterval = 250 * time.Millisecond
	// pollsPerTTL is how often a candidate reads the lease during one TTL unless PollInterval is set.
	pollsPerTTL = 10
	// maxActiveRank is the highest rank of candidates that read the lease every PollInterval. Candidates of higher ranks wait
	// inactivePollFactor times as long.
	maxActiveRank      = 2
	inactivePollFactor = 12
	// rankDelay is the additional wait of a candidate for each candidate of lower rank, so that leases spread over processes.
	rankDelay = 500 * time.Millisecond
	// maxCallTimeout bounds one platform call. For short leases the bound is the authority's lifetime divided by callsPerLifetime: after
	// a write whose response is lost, there must be time to read the lease and to write again before the authority ends. At the
	// shortest lease in use (3 s) that is 450 ms, above the 200 ms that a slow store takes.
	maxCallTimeout   = 1500 * time.Millisecond
	callsPerLifetime = 5
)

// Options configures an Elector. Zero durations mean the defaults.
type Options struct {
	Store objectstore.Store
	// Name is the lease object's name, such as "<pool>.orders" or "usage".
	Name string
	// Holder is the unique id of this incarnation of the process. It must differ after a restart.
	Holder string
	// TTL, Margin and RenewInterval replace DefaultTTL, DefaultMargin and DefaultRenewInterval.
	TTL, Margin, RenewInterval time.Duration
	// PollInterval is the interval at which a candidate reads the lease; 0 means a tenth of the TTL at every rank. If it is set, candidates
	// of a rank above maxActiveRank read the lease less often, because those of lower ranks are expected to acquire it.
	PollInterval time.Duration
	// Rank returns the rank of this process among the candidates; 0 tries first, and nil means 0. Processes may disagree on the ranks:
	// these affect only the order of attempts, never who holds the lease.
	Rank func() int
	// WallClock reads the wall clock; nil means time.Now.
	WallClock func() time.Time
	// Eras knows the eras of the store; nil if it never comes back from a copy.
	Eras *objectstore.Eras
	// Now returns the estimated Unix time; nil means time.Now.
	Now func() time.Time
	// HighestToken returns the highest fencing token of the lease that other processes told of, 0 for none; nil means that nobody tells. A write that
	// an earlier era of the store left under way may hide the record of a later term.
	HighestToken func() uint64
}

// Elector acquires, renews and releases one lease. It is not safe for concurrent use.
type Elector struct {
	opts Options

	// version and value are the lease object as last read or written.
	version uint64
	value   apitypes.Lease
	// versionSeenAt is when version was first read or written, on the monotonic clock.
	versionSeenAt time.Time
	// freeSince is when the lease was first read without a holder; zero while it has one.
	freeSince time.Time
	// era is the era of the store that version and value belong to. The lease may have had other holders than the record says, if that is from an
	// earlier one.
	era uint64
	// eraSeenAt is when this process learned of era, on the monotonic clock.
	eraSeenAt time.Time
	// former is the authority of the last term if that ended because a new era began, and no other process could take over before its deadline; nil
	// otherwise.
	former *Authority
	// pendingWrites holds the time at which each write of unknown outcome was sent, by writer id.
	pendingWrites map[string]clockReading
}

// NewElector returns an elector that competes for the lease once Run is called.
func NewElector(o Options) *Elector {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.Margin <= 0 {
		o.Margin = DefaultMargin
	}
	if o.RenewInterval <= 0 {
		o.RenewInterval = DefaultRenewInterval
	}
	if o.Rank == nil {
		o.Rank = func() int { return 0 }
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Eras == nil {
		o.Eras = &objectstore.Eras{}
	}
	if o.HighestToken == nil {
		o.HighestToken = func() uint64 { return 0 }
	}
	return &Elector{opts: o, pendingWrites: make(map[string]clockReading)}
}

// Run competes for the lease until ctx ends, and returns ctx.Err(). For each term it calls lead, which must return soon after the
// authority's context ends: the release and the next term wait for that. Platform errors are retried.
func (e *Elector) Run(ctx context.Context, lead func(*Authority)) error {
	for ctx.Err() == nil {
		if a := e.acquire(ctx); a != nil {
			e.runTerm(a, lead)
		}
		if e.mayContinue() {
			ctxtime.Sleep(ctx, e.retryInterval())
			continue
		}
		// The wait also follows a term, so that another candidate can acquire the lease when lead fails immediately.
		ctxtime.Sleep(ctx, e.pollInterval())
	}
	return ctx.Err()
}

// pollInterval returns the wait between two attempts of a candidate.
func (e *Elector) pollInterval() time.Duration {
	if e.opts.PollInterval > 0 {
		if e.opts.Rank() > maxActiveRank {
			return e.opts.PollInterval * inactivePollFactor
		}
		return e.opts.PollInterval
	}
	return e.opts.TTL / pollsPerTTL
}

// runTerm calls lead and renews the lease until lead returns or the authority ends. It then waits for lead and releases the lease.
func (e *Elector) runTerm(a *Authority, lead func(*Authority)) {
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

// renewUntilEnd renews the lease until the authority ends or another process holds the lease.
func (e *Elector) renewUntilEnd(a *Authority) {
	next := time.Now().Add(e.opts.RenewInterval)
	for a.Valid() {
		if !ctxtime.Sleep(a.Context(), min(clockCheckInterval, time.Until(next))) {
			return
		}
		if e.enterNewestEra() {
			e.former = a
			return
		}
		if time.Now().Before(next) {
			continue
		}
		if lost := e.renew(a); lost {
			return
		}
		next = time.Now().Add(e.opts.RenewInterval)
		if len(e.pendingWrites) > 0 {
			next = time.Now().Add(e.retryInterval())
		}
	}
}

// callTimeout returns the timeout of one platform call.
func (e *Elector) callTimeout() time.Duration {
	return min(maxCallTimeout, e.authorityLifetime()/callsPerLifetime)
}

// retryInterval returns the wait after a renewal of unknown outcome.
func (e *Elector) retryInterval() time.Duration {
	return min(maxRetryInterval, e.authorityLifetime()/retriesPerLifetime)
}

// authorityLifetime returns how long the holder may act after it sent a write that is confirmed later.
func (e *Elector) authorityLifetime() time.Duration { return e.opts.TTL - e.opts.Margin }

// acquire reads the lease and tries to acquire it if it is free or expired. It returns nil if this process didn't become the holder.
func (e *Elector) acquire(ctx context.Context) *Authority {
	if err := e.readLease(ctx); err != nil {
		return nil
	}
	if !e.available() {
		return nil
	}
	former, token, eraSeen := e.former, e.nextToken(), e.eraSeen()
	continues := e.mayContinue()
	l := apitypes.Lease{Holder: e.opts.Holder, Fence: token}
	if !eraSeen.IsZero() {
		l.EraSeenMS = eraSeen.UnixMilli()
	}
	sentAt, err := e.writeLease(ctx, l)
	if err != nil {
		return nil
	}
	e.former = nil
	a := newAuthority(ctx, token, sentAt, e.authorityLifetime(), e.opts.WallClock)
	a.heldSince, a.completeSince = e.opts.Now(), eraSeen
	if continues {
		a.continues, a.heldSince, a.completeSince = true, former.heldSince, former.heldSince
	}
	if !a.Valid() {
		return nil
	}
	return a
}

const (
	// tokensPerEra is the number of fencing tokens that each era of the store has. Tokens stay small: the platform may hold them in 32 bits.
	tokensPerEra = 1 << 16
	// lostTerms is more than the number of terms that a store can lose that comes back from a copy. It counts in an era that needs more tokens than it has.
	lostTerms = 1 << 10
)

// nextToken returns a fencing token that is higher than each one that was ever sent. Within an era the record holds the last one. A store that has
// come back from a copy may have lost the last ones, so each era has tokens of its own, above those of earlier eras.
func (e *Elector) nextToken() uint64 {
	last := e.value.Fence
	if e.era > 0 && !e.recordIsCurrent() {
		last += lostTerms
	}
	return max(last, e.era*tokensPerEra, e.opts.HighestToken()) + 1
}

// eraSeen returns the time at which the era of the store is known to have begun already; the zero time for a store that has no eras. A time in the
// future, by a clock that was wrong, counts as now.
func (e *Elector) eraSeen() time.Time {
	if e.era == 0 {
		return time.Time{}
	}
	now := e.opts.Now()
	if seen := time.UnixMilli(e.value.EraSeenMS); e.recordIsCurrent() && e.value.EraSeenMS > 0 && seen.Before(now) {
		return seen
	}
	_, since := e.opts.Eras.Newest()
	return now.Add(-bootclock.Since(since))
}

// recordIsCurrent reports whether the lease was written in the present era, so that it names the last holder.
func (e *Elector) recordIsCurrent() bool {
	return objectstore.Revision(e.version).Number() > 0 && e.value.Era == e.era
}

// enterNewestEra forgets what was read in an earlier era of the store, and reports whether a new one has begun.
func (e *Elector) enterNewestEra() bool {
	newest, _ := e.opts.Eras.Newest()
	if newest <= e.era {
		return false
	}
	e.era, e.eraSeenAt = newest, time.Now()
	e.version, e.value, e.freeSince = uint64(objectstore.Absent(newest)), apitypes.Lease{}, time.Time{}
	clear(e.pendingWrites)
	return true
}

// mayContinue reports whether this process held the lease when the store's era ended and nobody else can have acquired it since: the others
// wait for longer than this one's authority lasts.
func (e *Elector) mayContinue() bool {
	return e.former != nil && !e.former.deadlinePassed() && !e.recordIsCurrent()
}

// available reports whether a candidate may acquire the lease. If this incarnation is the recorded holder, the record is from a term
// whose lead has returned or from an acquisition whose response was lost, so the lease may be acquired again immediately, with a new
// fencing token.
//
// In an era of which there is no record, the holder of the one before may still act, whoever the record of the copy names.
func (e *Elector) available() bool {
	if e.mayContinue() {
		return true
	}
	rankWait := time.Duration(e.opts.Rank()) * rankDelay
	ttl := max(e.opts.TTL, time.Duration(e.value.TTLMS)*time.Millisecond)
	if e.era > 0 && !e.recordIsCurrent() {
		// A write of an earlier era that was carried out late may have replaced the record of a holder.
		changedAt := e.eraSeenAt
		if e.versionSeenAt.After(changedAt) {
			changedAt = e.versionSeenAt
		}
		return time.Since(changedAt) >= ttl+e.opts.Margin+rankWait
	}
	if e.version != 0 && e.value.Holder == e.opts.Holder {
		return true
	}
	if e.version == 0 || e.value.Holder == "" {
		if e.freeSince.IsZero() {
			e.freeSince = time.Now()
		}
		return time.Since(e.freeSince) >= rankWait
	}
	e.freeSince = time.Time{}
	return time.Since(e.versionSeenAt) >= ttl+e.opts.Margin+rankWait
}

// readLease updates version and value from the store.
func (e *Elector) readLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	o, err := e.opts.Store.Get(ctx, apitypes.KindLease, e.opts.Name)
	e.enterNewestEra()
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil // The first write creates the object. e.version doesn't change, so a stale read can't reset it.
	}
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	if !objectstore.SameEra(o.Version, e.version) {
		return errors.Wrap(objectstore.ErrUnavailable, "read lease: the store has come back from a copy meanwhile; read again")
	}
	if o.Version <= e.version {
		return nil
	}
	var l apitypes.Lease
	if err := json.Unmarshal(o.Data, &l); err != nil {
		return errors.Wrapf(err, "decode lease %s; remove the object once no controller is running", e.opts.Name)
	}
	e.version, e.value, e.versionSeenAt = o.Version, l, time.Now()
	if e.recordIsCurrent() && l.EraSeenMS > 0 {
		e.opts.Eras.Observe(e.era, bootclock.Now().Add(-e.opts.Now().Sub(time.UnixMilli(l.EraSeenMS))))
	}
	return nil
}

// writeLease sends one conditional update. If the call fails, it reads the lease and checks by the writer id whether the update was
// applied. It returns the time at which the write was sent, or an error if the update was not applied or its outcome is unknown. In
// the latter case the write stays in pendingWrites.
func (e *Elector) writeLease(ctx context.Context, l apitypes.Lease) (clockReading, error) {
	l.Era = e.era
	l.Writer, l.TTLMS, l.Renewal = uuid.NewString(), e.opts.TTL.Milliseconds(), e.value.Renewal+1
	data, err := json.Marshal(l)
	if err != nil {
		return clockReading{}, errors.Wrap(err, "encode lease")
	}
	sentAt := readClocks(e.opts.WallClock)
	callCtx, cancel := context.WithTimeout(ctx, e.callTimeout())
	version, err := e.opts.Store.Put(callCtx, apitypes.KindLease, e.opts.Name, data, e.version)
	cancel()
	if err == nil {
		clear(e.pendingWrites)
		e.version, e.value, e.versionSeenAt = version, l, time.Now()
		return sentAt, nil
	}
	if !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrThrottled) {
		e.pendingWrites[l.Writer] = sentAt
	}
	if readErr := e.readLease(ctx); readErr != nil {
		return clockReading{}, readErr
	}
	if e.value.Writer == l.Writer && e.era == l.Era {
		clear(e.pendingWrites)
		return sentAt, nil
	}
	return clockReading{}, err
}

// renew renews the lease and extends a. It reports whether the term is lost: another holder or fencing token is recorded, or the
// authority has ended.
func (e *Elector) renew(a *Authority) (lost bool) {
	era := e.era
	sentAt, err := e.writeLease(a.Context(), apitypes.Lease{Holder: e.opts.Holder, Fence: a.FencingToken(), EraSeenMS: e.value.EraSeenMS})
	if err == nil {
		return !a.extend(sentAt, e.authorityLifetime())
	}
	if e.era != era {
		e.former = a
		return true
	}
	if e.value.Holder != e.opts.Holder || e.value.Fence != a.FencingToken() {
		return true
	}
	// An earlier write of unknown outcome may have been applied. Its lifetime counts from when it was sent.
	if sentAt, ok := e.pendingWrites[e.value.Writer]; ok {
		clear(e.pendingWrites)
		return !a.extend(sentAt, e.authorityLifetime())
	}
	return false
}

// release clears the holder of the lease. If that fails, the lease expires.
func (e *Elector) release() {
	e.enterNewestEra()
	if e.value.Holder != e.opts.Holder || e.era > 0 && !e.recordIsCurrent() {
		return
	}
	e.former = nil
	ctx, cancel := context.WithTimeout(context.Background(), e.callTimeout())
	defer cancel()
	_, _ = e.writeLease(ctx, apitypes.Lease{Fence: e.value.Fence, EraSeenMS: e.value.EraSeenMS})
}
