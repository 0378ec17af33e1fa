// Package objectstore defines the interfaces to the platform: the versioned object store, the provider of endpoints, the
// usage sink and the list of VMs. Sub-packages implement them over HTTP and in memory.
package objectstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Errors that implementations return, possibly wrapped. Compare with errors.Is.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("object store: object not found; create it first")
	// ErrConflict: the object's version is not the expected one; nothing was written.
	ErrConflict = errors.New("object store: version conflict; read the object again and retry")
	// ErrCompacted: the watch or poll starts before the oldest retained revision; list again.
	ErrCompacted = errors.New("object store: revision compacted; list again")
	// ErrTooLarge: the value exceeds MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("object store: value exceeds 1 MiB; split it")
	// ErrUnavailable: the platform is unreachable or temporarily fails requests; a write may or may not have taken effect.
	ErrUnavailable = errors.New("object store: unavailable; retry with back-off")
	// ErrThrottled: a rate limit was exceeded; nothing was written.
	ErrThrottled = errors.New("object store: rate limited; retry later")
)

// MaxValueBytes is the largest value that the platform accepts, in bytes.
const MaxValueBytes = 1 << 20

// Store is the versioned object API.
//
// Versions are store-wide revisions. They start at 1: an empty store lists with revision 1, and 0 means that no revision is known.
// A write that returns ErrUnavailable or a context error may have taken effect: read the object again and look for the unique id of
// the write.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (apitypes.Object, error)
	// List returns all objects of a kind and the revision that the list reflects.
	List(ctx context.Context, kind string) (items []apitypes.Object, revision uint64, err error)
	// Put writes an object if its current version is expected (0: the object must not exist) and returns the new version.
	// It returns ErrConflict otherwise.
	Put(ctx context.Context, kind, name string, data []byte, expected uint64) (version uint64, err error)
	// Delete removes an object if its current version is expected. It returns ErrConflict when the version differs and
	// ErrNotFound when the object does not exist.
	Delete(ctx context.Context, kind, name string, expected uint64) error
	// Watch calls handle for each event after revision from, in revision order, until ctx ends, handle returns an error or the
	// watch fails. It returns ErrCompacted when from is older than the oldest retained revision.
	Watch(ctx context.Context, kinds []string, from uint64, handle func(apitypes.Event) error) error
}

// ProviderView is the provider's list of endpoints of one pool.
type ProviderView struct {
	// Version increases with every accepted order of the pool.
	Version   uint64
	Endpoints []apitypes.Endpoint
}

// Provider lists the endpoints of a pool and accepts orders that add, remove or clean endpoints.
type Provider interface {
	Endpoints(ctx context.Context, pool string) (ProviderView, error)
	// PlaceOrder places an order if the pool's current version is expected; it returns ErrConflict otherwise. An order id is
	// applied once; repeating it returns the first result.
	PlaceOrder(ctx context.Context, pool string, order apitypes.Order, expected uint64) (ProviderView, error)
}

// UsageSink accepts usage reports. Reporting a window id again with different usage returns ErrConflict.
type UsageSink interface {
	ReportWindow(ctx context.Context, window apitypes.UsageWindow) error
}

// VMLister returns the platform's list of VMs, which is eventually consistent.
type VMLister interface {
	ListVMs(ctx context.Context) ([]apitypes.VM, error)
}

// Poller waits for changes of one kind of objects.
type Poller interface {
	// Poll returns the events after a revision as soon as there are any, or none once wait has passed, and the revision that
	// the result covers. It returns ErrCompacted when after is older than the oldest retained revision.
	Poll(ctx context.Context, kind string, after uint64, wait time.Duration) (events []apitypes.Event, revision uint64, err error)
}
