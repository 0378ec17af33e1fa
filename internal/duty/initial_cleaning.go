package duty

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/order"
)

// firstCleanings is the number of steps over which the first cleanings of a pool are spread.
const firstCleanings = 100

// recordFirstSeen writes cleaning times for endpoints that have none, so that the endpoints of a new pool don't all come due at
// once. The times lie up to half a period back, by the endpoints' names. They are kept on the platform, because a restart of the
// holder must not put cleanings off, and written at once, because each write goes to all gateways. It returns true when it wrote.
func recordFirstSeen(ctx context.Context, d *order.Dispatcher, v PoolView) bool {
	period := apitypes.DefaultCleanEvery
	if v.Pool.CleanEveryHours > 0 {
		period = time.Duration(v.Pool.CleanEveryHours) * time.Hour
	}
	first := make(map[string]time.Time)
	for _, e := range v.Endpoints {
		if !e.LastCleanedAt.IsZero() || e.State == apitypes.EndpointStarting {
			continue
		}
		step := time.Duration(xxhash.Sum64String(e.Name) % firstCleanings)
		first[e.Name] = v.Now.Add(-period / 2 * step / firstCleanings)
	}
	return len(first) > 0 && d.SetAllCleaned(ctx, first) == nil
}
