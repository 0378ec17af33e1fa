package gateway

import (
	"context"
	"net/http"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/endpoint"
)

// runNonStreaming runs a request whose answer is one JSON object. A failed attempt is retried from the start on another engine, because
// a partial JSON answer is useless.
func (g *Gateway) runNonStreaming(ctx context.Context, m *modelCall, a *answer) {
	execution := apierror.NotExecuted
	var last error
	for try := 0; try < g.opts.MaxAttempts; try++ {
		if try > 0 && !g.mayRetry(m.call, last) {
			break
		}
		choice, err := g.chooseEndpoint(ctx, m.call, &m.placement)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		result, err := g.attemptNonStreaming(ctx, m, choice)
		if err == nil {
			g.opts.Quarantine.Clear(m.fingerprint)
			g.opts.Parts.RecordAnswer(m.sharedParts)
			g.recordUsage(ctx, m.call, result.Usage)
			a.completeResponse(http.StatusOK, http.Header{"Content-Type": {jsonType}}, result.Body)
			return
		}
		last = err
		e := endpoint.AsError(err)
		if e == nil || e.MaybeSent {
			execution = apierror.ExecutionUnknown
		}
		if ctx.Err() != nil || e == nil || e.Reason == endpoint.Refused && !retryableStatus(e.Status) {
			break
		}
		m.placement.Exclude = append(m.placement.Exclude, choice.Endpoint.Name)
	}
	if ctx.Err() != nil {
		a.fail(cancelledError(ctx, execution))
		return
	}
	a.fail(g.requestError(m.call, last, execution, false))
}

// attemptNonStreaming runs the request on one engine and reports the result to the balancer.
func (g *Gateway) attemptNonStreaming(ctx context.Context, m *modelCall, choice *balancer.Choice) (*endpoint.Answer, error) {
	result, err := g.opts.Endpoints.RunUnary(ctx, choice.Endpoint.Addr, m.engineRequest(0, ""))
	if err != nil {
		g.handleEngineFailure(ctx, m.call, choice, 0, err)
		choice.Done(balancer.Outcome{Failed: ctx.Err() == nil && endpointFailed(err), Pause: endpoint.PauseOf(nil, err)})
		return nil, err
	}
	m.firstByteAt = time.Now()
	choice.RecordFirstToken()
	choice.Done(balancer.Outcome{OutputTokens: result.Usage.CompletionTokens})
	return result, nil
}
