package balancer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/ctxtime"
)

// maxIsolationWait bounds the wait of a suspect for an endpoint without other suspects. A request that crashes its endpoint mostly does so
// soon after it starts, so a suspect that joins it after this wait rarely fails with it.
const maxIsolationWait = time.Second

// chooseRetryInterval is the time between two attempts to choose an endpoint. It is polled because nothing signals that a finished request
// or a load report has freed capacity.
const chooseRetryInterval = 10 * time.Millisecond

// ChooseWithDeadline chooses an endpoint like Choose. While all endpoints are full it retries until the given time or the end of ctx, because
// admission relies on an estimate of the free capacity from delayed reports. A request that fits no endpoint is refused immediately.
func (b *Balancer) ChooseWithDeadline(ctx context.Context, r Request, until time.Time) (*Choice, error) {
	if choice := b.chooseIsolated(ctx, r, until); choice != nil {
		return choice, nil
	}
	for {
		choice, err := b.Choose(r)
		if err == nil || !isOverloaded(err) || !time.Now().Before(until) || !b.fitsAnyEndpoint(&r) {
			return choice, err
		}
		if !ctxtime.Sleep(ctx, min(chooseRetryInterval, time.Until(until))) {
			return nil, err
		}
	}
}

// chooseIsolated waits for an endpoint at which a suspect runs without other suspects, for at most maxIsolationWait. It returns nil when
// there was none in time, or when the request is not a suspect.
func (b *Balancer) chooseIsolated(ctx context.Context, r Request, until time.Time) *Choice {
	if r.SuspectFingerprint == 0 {
		return nil
	}
	if limit := time.Now().Add(maxIsolationWait); limit.Before(until) {
		until = limit
	}
	r.isolatedOnly = true
	for time.Now().Before(until) {
		if choice, err := b.Choose(r); err == nil {
			return choice
		}
		if !ctxtime.Sleep(ctx, min(chooseRetryInterval, time.Until(until))) {
			break
		}
	}
	return nil
}

func isOverloaded(err error) bool {
	var e *apierror.Error
	return errors.As(err, &e) && e.Kind == apierror.Overloaded
}

// fitsAnyEndpoint reports whether the request fits into the total KV memory of an endpoint of the pool.
func (b *Balancer) fitsAnyEndpoint(r *Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[r.Pool]
	if p == nil {
		return false
	}
	need := kvBlocks(r.PromptTokens) + kvBlocks(r.OutputTokens)
	for _, s := range p.members {
		if s.serves(r) && (s.Load.KVTotal == 0 || need <= s.Load.KVTotal) {
			return true
		}
	}
	return false
}
