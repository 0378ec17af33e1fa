package claim

import (
	"cmp"
	"context"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Incarnations tells what became of gateway incarnations.
type Incarnations interface {
	// IsGone tells whether an incarnation is known to have ended: its VM has left the list, or another incarnation runs there.
	IsGone(ctx context.Context, gateway string) (bool, error)
	// OwnsAttempt tells whether a running incarnation still works on an attempt. An incarnation that does not answer owns it.
	OwnsAttempt(ctx context.Context, gateway, attempt string) (bool, error)
}

// RequestState is what an endpoint knows of a request.
type RequestState string

const (
	RequestDone    RequestState = "done"
	RequestRunning RequestState = "running"
	RequestUnknown RequestState = "unknown"
)

// RequestStatus is an endpoint's answer to a question about a request.
type RequestStatus struct {
	State   RequestState
	Outcome Outcome
	// Instance is the endpoint's instance that answered.
	Instance string
}

// EndpointQuerier asks the endpoint that a claim names for the claim's request. It returns an error when the endpoint can't be asked.
type EndpointQuerier interface {
	QueryRequest(ctx context.Context, c apitypes.Claim) (RequestStatus, error)
}

// Reconciler finds the outcome of claims that their gateways left open. Only the holder of the claims lease runs it.
type Reconciler struct {
	Store        *Store
	Incarnations Incarnations
	Endpoints    EndpointQuerier
	// HoldsLease tells whether the lease is held; it is checked before each write.
	HoldsLease func() bool
	// CallTimeout bounds each question to a gateway or an endpoint; optional. A frozen gateway never answers, and without a
	// bound its claims would hold up all others.
	CallTimeout time.Duration
	// UnresolvedAfter is how long a gateway may be silent before its claims are listed as unresolved; optional. It is longer than
	// the time in which a gateway may still dispatch a claimed call.
	UnresolvedAfter time.Duration

	// DispatchGrace is how long a claim has to be watched before it can become not_run; optional. It is longer than the time
	// in which a gateway may still dispatch a claimed call, because a gateway of a new VM that the lagging list does not name
	// yet looks like one that is gone.
	DispatchGrace time.Duration

	// firstSeen holds, for each attempt that no gateway is known to work on, when that was first noticed.
	firstSeen map[string]time.Time
}

// Defaults of Reconciler.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultUnresolvedAfter = 30 * time.Second
	DefaultDispatchGrace   = 8 * time.Second
)

// ReconcileReport counts what a pass did.
type ReconcileReport struct {
	Done, NotRun, Unresolved int
	// InProgress counts claims whose gateway still works on them.
	InProgress int
}

// ErrNoAuthority ends a pass whose process has lost the lease.
var ErrNoAuthority = errors.New("claim: the lease on reconciliation is lost; its new holder goes on")

// ReconcileOnce goes over all open claims once. Claims that can't be decided stay unresolved.
func (r *Reconciler) ReconcileOnce(ctx context.Context) (ReconcileReport, error) {
	var report ReconcileReport
	open, err := r.Store.ListOpenClaims(ctx)
	if err != nil {
		return report, err
	}
	p := &pass{Reconciler: r, silent: make(map[string]bool), seen: make(map[string]time.Time)}
	defer func() { r.firstSeen = p.seen }()
	for _, c := range open {
		state, outcome := p.decide(ctx, c)
		if !r.HoldsLease() {
			return report, ErrNoAuthority
		}
		if err := r.record(ctx, c, state, outcome, &report); err != nil {
			return report, err
		}
	}
	return report, nil
}

// pass is one pass over the open claims.
type pass struct {
	*Reconciler
	// silent holds gateways that did not answer in this pass. They are not asked again, so each costs one time-out.
	silent map[string]bool
	seen   map[string]time.Time
}

// decide returns the state that a claim should have.
func (p *pass) decide(ctx context.Context, c apitypes.Claim) (apitypes.ClaimState, Outcome) {
	// The order matters: an endpoint's "unknown" counts only when the gateway was gone before the question.
	gone, owns, answered := p.askGateway(ctx, c)
	if answered && owns {
		return c.State, Outcome{}
	}
	watched := p.watched(c)
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.CallTimeout, DefaultCallTimeout))
	defer cancel()
	answer, err := p.Endpoints.QueryRequest(ctx, c)
	switch {
	case err == nil && answer.State == RequestDone:
		// The outcome is final, whatever became of the gateway.
		return apitypes.ClaimDone, answer.Outcome
	case !answered && watched < cmp.Or(p.UnresolvedAfter, DefaultUnresolvedAfter):
		return c.State, Outcome{}
	case gone && watched < cmp.Or(p.DispatchGrace, DefaultDispatchGrace):
		return c.State, Outcome{}
	case err == nil && answer.State == RequestUnknown && gone && c.Instance != "" && answer.Instance == c.Instance:
		return apitypes.ClaimNotRun, Outcome{}
	}
	return apitypes.ClaimUnresolved, Outcome{}
}

// watched returns how long ago a claim that no gateway is known to work on was first seen, on this process's clock.
func (p *pass) watched(c apitypes.Claim) time.Duration {
	first, known := p.firstSeen[c.Attempt]
	if !known {
		first = time.Now()
	}
	p.seen[c.Attempt] = first
	return time.Since(first)
}

// askGateway tells what became of the gateway of a claim, and whether it still works on it.
func (p *pass) askGateway(ctx context.Context, c apitypes.Claim) (gone, owns, answered bool) {
	if p.silent[c.Gateway] {
		return false, true, false
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.CallTimeout, DefaultCallTimeout))
	defer cancel()
	gone, err := p.Incarnations.IsGone(ctx, c.Gateway)
	if err == nil && !gone && c.State == apitypes.ClaimClaimed {
		owns, err = p.Incarnations.OwnsAttempt(ctx, c.Gateway, c.Attempt)
	}
	if err != nil {
		p.silent[c.Gateway] = true
		return false, true, false
	}
	return gone, owns, true
}

func (r *Reconciler) record(ctx context.Context, c apitypes.Claim, state apitypes.ClaimState, outcome Outcome, report *ReconcileReport) error {
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
		return nil // its gateway or an operator was faster
	}
	return err
}
