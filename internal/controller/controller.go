// Package controller collects the load of endpoints, reads the provider's lists of endpoints, and streams both to subscribers. A
// controller process runs a Collector and a Directory behind a LoadServer; a LoadSubscriber feeds the balancer of a gateway.
package controller

import (
	"context"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// CacheEvent is one message of an engine's cache event stream: the hashes of prefix blocks that were stored and removed.
type CacheEvent struct {
	// Seq increases by one with each event; a gap means that events were lost.
	Seq             uint64
	Stored, Removed []uint64
}

// EndpointClient reads the load and the cache events of endpoints.
type EndpointClient interface {
	// Load reads GET /v1/load.
	Load(ctx context.Context, e apitypes.Endpoint) (apitypes.Load, error)
	// CacheEvents calls handle for each event of GET /v1/cache/events until ctx ends or the stream fails.
	CacheEvents(ctx context.Context, e apitypes.Endpoint, handle func(CacheEvent)) error
}
