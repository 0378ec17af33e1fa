// Package controller runs the duties of a controller: it collects the load of endpoints, passes on the provider's lists, and, while
// it holds a lease, gives orders.
package controller

import (
	"context"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// CacheEvent is one message of an engine's cache event stream.
type CacheEvent struct {
	// Seq grows by one with each event; a gap means that events were lost.
	Seq             uint64
	Stored, Removed []uint64
}

// EndpointClient is what the collector needs of a client for endpoints.
type EndpointClient interface {
	// Load reads GET /v1/load.
	Load(ctx context.Context, e apitypes.Endpoint) (apitypes.Load, error)
	// CacheEvents calls handle for each event of GET /v1/cache/events until ctx ends or the stream fails.
	CacheEvents(ctx context.Context, e apitypes.Endpoint, handle func(CacheEvent)) error
}
