package claim

import (
	"context"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/endpoint"
)

// HTTPRequestQuerier looks up requests at service endpoints over HTTP.
type HTTPRequestQuerier struct {
	Client *endpoint.Client
	// Addr returns the address of the endpoint with this name, or false when no such endpoint is listed.
	Addr func(endpointName string) (string, bool)
}

var _ RequestQuerier = HTTPRequestQuerier{}

// QueryRequest implements RequestQuerier.
func (q HTTPRequestQuerier) QueryRequest(ctx context.Context, c apitypes.Claim) (RequestStatus, error) {
	addr, ok := q.Addr(c.Endpoint)
	if !ok {
		return RequestStatus{}, errors.Errorf("claim: endpoint %s is no longer listed; an operator must resolve the claim", c.Endpoint)
	}
	lookup, err := q.Client.Lookup(ctx, addr, c.RequestID)
	if err != nil {
		return RequestStatus{}, err
	}
	status := RequestStatus{State: RequestState(lookup.State), Instance: lookup.Instance}
	switch status.State {
	case RequestDone:
		status.Outcome = Outcome{Status: lookup.Status, ContentType: lookup.ContentType(), Body: []byte(lookup.Body)}
	case RequestRunning, RequestUnknown:
	default:
		return RequestStatus{}, errors.Errorf("claim: endpoint %s returned unsupported request state %q", c.Endpoint, lookup.State)
	}
	return status, nil
}
