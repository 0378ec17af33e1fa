// Package objectstore defines how crocusglade meets the platform: the versioned object store, the provider of
// endpoints, the usage sink and the list of VMs. Sub-packages implement it over HTTP and in memory.
package objectstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Errors that implementations return, possibly wrapped.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("object store: object not found; create it first")
	// ErrConflict: the object's version is not the expected one; nothing was written.
	ErrConflict = errors.New("object store: version conflict; read the object again and retry")
	// ErrCompacted: the watch starts before the oldest kept revision; list again.
	ErrCompacted = errors.New("object store: revision compacted; list again")
	// ErrTooLarge: the value is above MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("object store: value above 1 MiB; split it")
	// ErrUnavailable: the platform can't be reached or refuses for now; a write may or may not have taken effect.
	ErrUnavailable = errors.New("object store: unavailable; retry with back-off")
	// ErrThrottled: the platform's rate limit was hit; nothing was written.
	ErrThrottled = errors.New("object store: rate limited; retry later")
)

// MaxValueBytes is the largest value that the platform takes, in bytes.
const MaxValueBytes = 1 << 20

// Store is the versioned object API.
//
// Versions are store-wide revisions. They start at 1: an empty store lists with revision 1, and 0 stands for nothing known. A write
// whose error is ErrUnavailable or a context error may have taken effect: read the object again and look for the write's own unique
// id.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (apitypes.Object, error)
	// List returns all objects of a kind and the revision that the list reflects.
	List(ctx context.Context, kind string) (items []apitypes.Object, revision uint64, err error)
	// Put writes an object if its version is still expected (0: it must not exist) and returns the new version.
	Put(ctx context.Context, kind, name string, data []byte, expected uint64) (version uint64, err error)
	// Delete removes an object if its version is still expected.
	Delete(ctx context.Context, kind, name string, expected uint64) error
	// Watch calls handle for each event after revision from, in order, until ctx ends or an error occurs.
	// It returns ErrCompacted when from is too old.
	Watch(ctx context.Context, kinds []string, from uint64, handle func(apitypes.Event) error) error
}

// ProviderView is the provider's list of endpoints of one pool.
type ProviderView struct {
	// Version grows with every accepted order of the pool.
	Version   uint64
	Endpoints []apitypes.Endpoint
}

// Provider orders endpoints.
type Provider interface {
	Endpoints(ctx context.Context, pool string) (ProviderView, error)
	// PlaceOrder places an order if the pool's version is still expected. The same order id is applied once;
	// repeating it returns the first result.
	PlaceOrder(ctx context.Context, pool string, order apitypes.Order, expected uint64) (ProviderView, error)
}

// UsageSink accepts usage reports. The same id with other figures gives ErrConflict.
type UsageSink interface {
	ReportWindow(ctx context.Context, window apitypes.UsageWindow) error
}

// VMLister returns the platform's list of VMs, which lags.
type VMLister interface {
	ListVMs(ctx context.Context) ([]apitypes.VM, error)
}

// Poller waits for changes of one kind of objects.
type Poller interface {
	// Poll returns the changes after a revision as soon as there are some, or none after the wait, and the revision up to which
	// it looked. It returns ErrCompacted when the revision is too old.
	Poll(ctx context.Context, kind string, after uint64, wait time.Duration) (events []apitypes.Event, revision uint64, err error)
}
