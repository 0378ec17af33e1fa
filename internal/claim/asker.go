package claim

import (
	"context"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/world"
)

// EndpointAsker asks plain services over HTTP.
type EndpointAsker struct {
	Client *endpoint.Client
	// Addr returns the address of an endpoint, or false when there is none with this name.
	Addr func(endpointName string) (string, bool)
}

var _ Asker = EndpointAsker{}

// Ask implements Asker.
func (a EndpointAsker) Ask(ctx context.Context, c world.Claim) (Answer, error) {
	addr, ok := a.Addr(c.Endpoint)
	if !ok {
		return Answer{}, errors.Errorf("claim: endpoint %s is not listed any more; an operator has to decide", c.Endpoint)
	}
	l, err := a.Client.Lookup(ctx, addr, c.RequestID)
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{State: AnswerState(l.State), Instance: l.Instance}
	switch answer.State {
	case AnswerDone:
		answer.Outcome = Outcome{Status: l.Status, ContentType: l.ContentType(), Body: []byte(l.Body)}
	case AnswerRunning, AnswerUnknown:
	default:
		return Answer{}, errors.Errorf("claim: endpoint %s gave state %q, which is not known", c.Endpoint, l.State)
	}
	return answer, nil
}
