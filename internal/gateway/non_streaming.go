package gateway

import (
	"context"
	"net/http"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/endpoint"
)

// runWhole runs a request whose answer is one JSON object. A failed attempt is repeated on another engine, since a part of
// such an answer is of no use.
func (g *Gateway) runWhole(ctx context.Context, m *modelCall, a *answer) {
	run := apierror.NotExecuted
	var last error
	for try := 0; try < g.opts.MaxAttempts; try++ {
		if try > 0 && !g.mayRetry(m.call, last) {
			break
		}
		choice, err := g.choose(ctx, m.call, &m.place)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		whole, err := g.attemptWhole(ctx, m, choice)
		if err == nil {
			g.opts.Quarantine.Clear(m.fingerprint)
			g.recordUsage(ctx, m.call, whole.Usage)
			a.settle(http.StatusOK, http.Header{"Content-Type": {jsonType}}, whole.Body)
			return
		}
		last = err
		e := endpoint.AsError(err)
		if e == nil || e.MaybeSent {
			run = apierror.ExecutionUnknown
		}
		if ctx.Err() != nil || e == nil || e.Reason == endpoint.Refused && !retryableStatus(e.Status) {
			break
		}
		m.place.Exclude = append(m.place.Exclude, choice.Endpoint.Name)
	}
	if ctx.Err() != nil {
		a.fail(cancelledError(ctx, run))
		return
	}
	a.fail(g.failure(m.call, last, run, false))
}

func (g *Gateway) attemptWhole(ctx context.Context, m *modelCall, choice *balancer.Choice) (*endpoint.Answer, error) {
	whole, err := g.opts.Endpoints.RunUnary(ctx, choice.Endpoint.Addr, m.request(0, ""))
	if err != nil {
		g.afterFailure(ctx, m.call, choice, err)
		choice.Done(balancer.Outcome{Failed: ctx.Err() == nil && endpointFailed(err)})
		return nil, err
	}
	m.firstAt = time.Now()
	choice.RecordFirstToken()
	choice.Done(balancer.Outcome{OutputTokens: whole.Usage.CompletionTokens})
	return whole, nil
}
