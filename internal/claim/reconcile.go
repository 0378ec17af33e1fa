package claim

import (
	"context"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/world"
)

// Incarnations tells what became of gateway incarnations.
type Incarnations interface {
	// Gone tells whether an incarnation is known to have ended: its VM has left the list, or another incarnation runs there.
	Gone(ctx context.Context, gateway string) (bool, error)
	// Owns tells whether a running incarnation still works on an attempt. An incarnation that does not answer owns it.
	Owns(ctx context.Context, gateway, attempt string) (bool, error)
}

// AnswerState is what an endpoint knows of a request.
type AnswerState string

const (
	AnswerDone    AnswerState = "done"
	AnswerRunning AnswerState = "running"
	AnswerUnknown AnswerState = "unknown"
)

// Answer is an endpoint's answer to a question about a request.
type Answer struct {
	State   AnswerState
	Outcome Outcome
	// Instance is the endpoint's instance that answered.
	Instance string
}

// Asker asks the endpoint that a claim names for the claim's request. It returns an error when the endpoint can't be asked.
type Asker interface {
	Ask(ctx context.Context, c world.Claim) (Answer, error)
}

// Reconciler finds the outcome of claims that their gateways left open. Only the holder of the claims lease runs it.
type Reconciler struct {
	Store        *Store
	Incarnations Incarnations
	Endpoints    Asker
	// Authority tells whether the lease is held; it is checked before each write.
	Authority func() bool
}

// Report counts what a pass did.
type Report struct {
	Done, NotRun, Unresolved int
	// InProgress counts claims whose gateway still works on them.
	InProgress int
}

// ErrNoAuthority ends a pass whose process has lost the lease.
var ErrNoAuthority = errors.New("claim: the lease on reconciliation is lost; its new holder goes on")

// Pass goes over all open claims once. Claims that can't be decided stay unresolved.
func (r *Reconciler) Pass(ctx context.Context) (Report, error) {
	var report Report
	open, err := r.Store.Open(ctx)
	if err != nil {
		return report, err
	}
	for _, c := range open {
		state, outcome := r.decide(ctx, c)
		if !r.Authority() {
			return report, ErrNoAuthority
		}
		if err := r.record(ctx, c, state, outcome, &report); err != nil {
			return report, err
		}
	}
	return report, nil
}

// decide returns the state that a claim should have.
func (r *Reconciler) decide(ctx context.Context, c world.Claim) (world.ClaimState, Outcome) {
	// The order matters: an endpoint's "unknown" counts only when the gateway was gone before the question.
	gone, err := r.Incarnations.Gone(ctx, c.Gateway)
	if err != nil {
		return c.State, Outcome{}
	}
	if c.State == world.ClaimClaimed && !gone {
		if owns, err := r.Incarnations.Owns(ctx, c.Gateway, c.Attempt); err != nil || owns {
			return c.State, Outcome{}
		}
	}
	answer, err := r.Endpoints.Ask(ctx, c)
	switch {
	case err != nil:
		return world.ClaimUnresolved, Outcome{}
	case answer.State == AnswerDone:
		return world.ClaimDone, answer.Outcome
	case answer.State == AnswerUnknown && gone && c.Instance != "" && answer.Instance == c.Instance:
		return world.ClaimNotRun, Outcome{}
	}
	return world.ClaimUnresolved, Outcome{}
}

func (r *Reconciler) record(ctx context.Context, c world.Claim, state world.ClaimState, outcome Outcome, report *Report) error {
	var err error
	switch state {
	case world.ClaimDone:
		report.Done++
		err = r.Store.Finish(ctx, c, outcome)
	case world.ClaimNotRun:
		report.NotRun++
		err = r.Store.NotRun(ctx, c)
	case world.ClaimUnresolved:
		report.Unresolved++
		if c.State != world.ClaimUnresolved {
			err = r.Store.Unresolved(ctx, c)
		}
	default:
		report.InProgress++
	}
	if errors.Is(err, ErrSuperseded) {
		return nil // its gateway or an operator was faster
	}
	return err
}
