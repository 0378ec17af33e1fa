package claim

import (
	"context"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/endpoint"
)

// HTTPEndpointQuerier asks plain services over HTTP.
type HTTPEndpointQuerier struct {
	Client *endpoint.Client
	// Addr returns the address of an endpoint, or false when there is none with this name.
	Addr func(endpointName string) (string, bool)
}

var _ EndpointQuerier = HTTPEndpointQuerier{}

// QueryRequest implements EndpointQuerier.
func (a HTTPEndpointQuerier) QueryRequest(ctx context.Context, c apitypes.Claim) (RequestStatus, error) {
	addr, ok := a.Addr(c.Endpoint)
	if !ok {
		return RequestStatus{}, errors.Errorf("claim: endpoint %s is not listed any more; an operator has to decide", c.Endpoint)
	}
	l, err := a.Client.Lookup(ctx, addr, c.RequestID)
	if err != nil {
		return RequestStatus{}, err
	}
	answer := RequestStatus{State: RequestState(l.State), Instance: l.Instance}
	switch answer.State {
	case RequestDone:
		answer.Outcome = Outcome{Status: l.Status, ContentType: l.ContentType(), Body: []byte(l.Body)}
	case RequestRunning, RequestUnknown:
	default:
		return RequestStatus{}, errors.Errorf("claim: endpoint %s gave state %q, which is not known", c.Endpoint, l.State)
	}
	return answer, nil
}
