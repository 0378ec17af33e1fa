package duty

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/order"
)

// initialCleaningSteps is the number of different due times over which the first cleanings of a pool are spread.
const initialCleaningSteps = 100

// recordInitialCleaningTimes records a last cleaning time for each endpoint that has none, so that the endpoints of a new pool don't
// all become due for cleaning at once. A hash of the endpoint's name spreads the times over the past half cleaning period. The times
// are stored on the platform, because a restart of the holder must not delay cleanings, and in one write, because each write is sent
// to all gateways. It returns true when it wrote.
func recordInitialCleaningTimes(ctx context.Context, d *order.Dispatcher, v PoolView) bool {
	period := apitypes.DefaultCleanEvery
	if v.Pool.CleanEveryHours > 0 {
		period = time.Duration(v.Pool.CleanEveryHours) * time.Hour
	}
	initial := make(map[string]time.Time)
	for _, e := range v.Endpoints {
		if !e.LastCleanedAt.IsZero() || e.State == apitypes.EndpointStarting {
			continue
		}
		step := time.Duration(xxhash.Sum64String(e.Name) % initialCleaningSteps)
		initial[e.Name] = v.Now.Add(-period / 2 * step / initialCleaningSteps)
	}
	return len(initial) > 0 && d.SetAllCleaned(ctx, initial) == nil
}
