// Package usage counts what teams use, keeps copies at peers, and seals and reports windows once.
package usage

import (
	"context"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Recorder counts usage at a gateway.
type Recorder interface {
	// Record adds to the current window and returns once the counters are copied to peers, so that the caller may be
	// sent the end of its answer. It returns an error only when no copy could be made; the usage is counted locally then.
	Record(ctx context.Context, team string, u apitypes.Usage) error
}
