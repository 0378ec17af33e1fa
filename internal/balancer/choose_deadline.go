package balancer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/ctxtime"
)

// suspectWait bounds the wait of a suspect for an endpoint without other suspects. A request that crashes endpoints does so mostly
// in its first moments, so others that come after that wait do not die with it.
const suspectWait = time.Second

// retryChoice is the time between two looks for a free place. Ends of other requests and reports free places without notice.
const retryChoice = 10 * time.Millisecond

// ChooseWithDeadline picks an endpoint like Choose. Where all are full it looks again until the given time or the end of ctx, because
// the places that admission counted on are an estimate from late reports. A request that fits no endpoint is refused at once.
func (b *Balancer) ChooseWithDeadline(ctx context.Context, r Request, until time.Time) (*Choice, error) {
	if choice := b.chooseApart(ctx, r, until); choice != nil {
		return choice, nil
	}
	for {
		choice, err := b.Choose(r)
		if err == nil || !overloaded(err) || !time.Now().Before(until) || !b.fits(&r) {
			return choice, err
		}
		if !ctxtime.Sleep(ctx, min(retryChoice, time.Until(until))) {
			return nil, err
		}
	}
}

// chooseApart waits for a place of a suspect apart from others. It returns nil when there was none in time.
func (b *Balancer) chooseApart(ctx context.Context, r Request, until time.Time) *Choice {
	if r.SuspectFingerprint == 0 {
		return nil
	}
	if latest := time.Now().Add(suspectWait); latest.Before(until) {
		until = latest
	}
	r.onlyApart = true
	for time.Now().Before(until) {
		if choice, err := b.Choose(r); err == nil {
			return choice
		}
		if !ctxtime.Sleep(ctx, min(retryChoice, time.Until(until))) {
			break
		}
	}
	return nil
}

func overloaded(err error) bool {
	var e *apierror.Error
	return errors.As(err, &e) && e.Kind == apierror.Overloaded
}

// fits tells whether an empty endpoint of the pool could hold the request.
func (b *Balancer) fits(r *Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[r.Pool]
	if p == nil {
		return false
	}
	need := pieces(r.PromptTokens) + pieces(r.OutputTokens)
	for _, s := range p.members {
		if s.serves(r) && (s.Load.KVTotal == 0 || need <= s.Load.KVTotal) {
			return true
		}
	}
	return false
}
