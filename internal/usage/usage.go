// Package usage counts the requests and tokens of each team in fixed time windows and copies the counters to peers. Once a window
// has ended, a sealer collects the counters of all gateways, seals the window, that is, stores its final totals on the platform,
// and reports these totals for billing.
package usage

import (
	"context"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Recorder counts usage at a gateway.
type Recorder interface {
	// Record adds u to the team's counter in the current window and returns once a peer holds a copy, so that the gateway can
	// send the end of the response. It returns an error when no peer accepted a copy or ctx ended; the usage is counted
	// locally in both cases.
	Record(ctx context.Context, team string, u apitypes.Usage) error
}
