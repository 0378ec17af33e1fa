package claim

import (
	"cmp"
	"context"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// IncarnationTracker reports the state of gateway incarnations.
type IncarnationTracker interface {
	// IsGone reports whether an incarnation is known to have ended: its VM is no longer listed, or another incarnation runs on it.
	IsGone(ctx context.Context, gateway string) (bool, error)
	// OwnsAttempt reports whether a running incarnation still works on an attempt. An incarnation that can't be reached counts as the
	// owner.
	OwnsAttempt(ctx context.Context, gateway, attempt string) (bool, error)
}

// RequestState is the state of a request at an endpoint. RequestUnknown means that the endpoint has no record of the request.
type RequestState string

const (
	RequestDone    RequestState = "done"
	RequestRunning RequestState = "running"
	RequestUnknown RequestState = "unknown"
)

// RequestStatus is an endpoint's response to a query for a request.
type RequestStatus struct {
	State RequestState
	// Outcome is set when State is RequestDone.
	Outcome Outcome
	// Instance is the id of the endpoint's instance that responded. It changes when the endpoint restarts.
	Instance string
}

// RequestQuerier queries the endpoint that a claim names for the state of the claim's request. It returns an error when the query
// fails.
type RequestQuerier interface {
	QueryRequest(ctx context.Context, c apitypes.Claim) (RequestStatus, error)
}

// Reconciler determines the state of claims without an outcome whose gateways no longer work on them. Only the holder of the claims
// lease runs it.
type Reconciler struct {
	Store        *Store
	Incarnations IncarnationTracker
	Endpoints    RequestQuerier
	// HoldsLease reports whether the claims lease is held; it is checked before each write.
	HoldsLease func() bool
	// CallTimeout bounds each query of a gateway or an endpoint; zero means DefaultCallTimeout. A frozen gateway never responds, and
	// without a bound its claims would block all others.
	CallTimeout time.Duration
	// UnresolvedAfter is how long a gateway may be unresponsive before its claims become unresolved; zero means
	// DefaultUnresolvedAfter. It must be longer than the time in which a gateway may still dispatch a claimed request.
	UnresolvedAfter time.Duration

	// DispatchGrace is how long a claim must have been without a known owner before it can become not_run; zero means
	// DefaultDispatchGrace. It must be longer than the time in which a gateway may still dispatch a claimed request: a gateway on a
	// new VM that is not yet in the list of VMs looks like one that is gone.
	DispatchGrace time.Duration

	// unownedSince holds, for each attempt that no gateway is known to work on, the time of the pass that first found it so.
	unownedSince map[string]time.Time
}

// Defaults for the fields of Reconciler.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultUnresolvedAfter = 30 * time.Second
	DefaultDispatchGrace   = 8 * time.Second
)

// ReconcileReport counts the open claims of a pass by the state that the pass decided on.
type ReconcileReport struct {
	Done, NotRun, Unresolved int
	// InProgress counts claims whose gateway still works on them.
	InProgress int
}

// ErrNoAuthority is returned by a pass whose process has lost the claims lease.
var ErrNoAuthority = errors.New("claim: the claims lease is lost; its new holder continues the reconciliation")

// ReconcileOnce decides on the state of each open claim once and stores it. Claims whose outcome can't be determined become or stay
// unresolved. It returns ErrNoAuthority when the claims lease is lost before a write.
func (r *Reconciler) ReconcileOnce(ctx context.Context) (ReconcileReport, error) {
	var report ReconcileReport
	open, err := r.Store.ListOpenClaims(ctx)
	if err != nil {
		return report, err
	}
	pass := &reconcilePass{Reconciler: r, unresponsive: make(map[string]bool), stillUnowned: make(map[string]time.Time)}
	defer func() { r.unownedSince = pass.stillUnowned }()
	for _, c := range open {
		state, outcome := pass.decide(ctx, c)
		if !r.HoldsLease() {
			return report, ErrNoAuthority
		}
		if err := r.storeDecision(ctx, c, state, outcome, &report); err != nil {
			return report, err
		}
	}
	return report, nil
}

// reconcilePass is one pass over the open claims.
type reconcilePass struct {
	*Reconciler
	// unresponsive holds gateways that failed a query in this pass. They are not queried again, so each costs one time-out.
	unresponsive map[string]bool
	// stillUnowned holds the entries of unownedSince for the next pass.
	stillUnowned map[string]time.Time
}

// decide returns the state that a claim should have, and the outcome when that state is done.
func (p *reconcilePass) decide(ctx context.Context, c apitypes.Claim) (apitypes.ClaimState, Outcome) {
	// The gateway is queried before the endpoint: the endpoint's "unknown" is conclusive only when the gateway was gone before,
	// because a running gateway could still dispatch the request.
	gone, owns, responded := p.queryGateway(ctx, c)
	if responded && owns {
		return c.State, Outcome{}
	}
	unownedFor := p.unownedFor(c)
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.CallTimeout, DefaultCallTimeout))
	defer cancel()
	status, err := p.Endpoints.QueryRequest(ctx, c)
	switch {
	case err == nil && status.State == RequestDone:
		// The outcome is final, whether or not the gateway still runs.
		return apitypes.ClaimDone, status.Outcome
	case !responded && unownedFor < cmp.Or(p.UnresolvedAfter, DefaultUnresolvedAfter):
		return c.State, Outcome{}
	case gone && unownedFor < cmp.Or(p.DispatchGrace, DefaultDispatchGrace):
		return c.State, Outcome{}
	case err == nil && status.State == RequestUnknown && gone && c.Instance != "" && status.Instance == c.Instance:
		return apitypes.ClaimNotRun, Outcome{}
	}
	return apitypes.ClaimUnresolved, Outcome{}
}

// unownedFor returns for how long no gateway has been known to work on a claim, by this process's clock since the first pass that
// found it so.
func (p *reconcilePass) unownedFor(c apitypes.Claim) time.Duration {
	since, known := p.unownedSince[c.Attempt]
	if !known {
		since = time.Now()
	}
	p.stillUnowned[c.Attempt] = since
	return time.Since(since)
}

// queryGateway reports whether the gateway of a claim is gone and whether it still works on the claim. responded is false when a
// query failed; the gateway then counts as the owner.
func (p *reconcilePass) queryGateway(ctx context.Context, c apitypes.Claim) (gone, owns, responded bool) {
	if p.unresponsive[c.Gateway] {
		return false, true, false
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.CallTimeout, DefaultCallTimeout))
	defer cancel()
	gone, err := p.Incarnations.IsGone(ctx, c.Gateway)
	if err == nil && !gone && c.State == apitypes.ClaimClaimed {
		owns, err = p.Incarnations.OwnsAttempt(ctx, c.Gateway, c.Attempt)
	}
	if err != nil {
		p.unresponsive[c.Gateway] = true
		return false, true, false
	}
	return gone, owns, true
}

// storeDecision stores the state of a claim and counts it in report. A claim that changed in the meantime is left as it is.
func (r *Reconciler) storeDecision(ctx context.Context, c apitypes.Claim, state apitypes.ClaimState, outcome Outcome, report *ReconcileReport) error {
	var err error
	switch state {
	case apitypes.ClaimDone:
		report.Done++
		err = r.Store.MarkDone(ctx, c, outcome)
	case apitypes.ClaimNotRun:
		report.NotRun++
		err = r.Store.MarkNotRun(ctx, c)
	case apitypes.ClaimUnresolved:
		report.Unresolved++
		if c.State != apitypes.ClaimUnresolved {
			err = r.Store.MarkUnresolved(ctx, c)
		}
	default:
		report.InProgress++
	}
	if errors.Is(err, ErrSuperseded) {
		return nil // The claim's gateway or an operator changed it first.
	}
	return err
}
