package placement

import (
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/continuation"
)

// Filter limits the endpoints that may be selected for a request.
type Filter struct {
	// Excluded holds the IDs of endpoints that must not be selected.
	Excluded map[string]bool
	// Origin is what began the request's stream, which can go on only at endpoints that it allows.
	Origin continuation.Origin
}

// allows reports whether the endpoint may be selected.
func (f Filter) allows(e *endpoint) bool {
	return !f.Excluded[e.ID] && f.Origin.Allows(e.Service, e.SoftwareVersion)
}

// MayGoOn reports whether an endpoint is listed at which a stream may go on, and that doesn't leave.
func (f *Fleet) MayGoOn(o continuation.Origin) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.ordered {
		if !e.Draining && e.Role != catalog.Prefill && o.Allows(e.Service, e.SoftwareVersion) {
			return true
		}
	}
	return false
}
