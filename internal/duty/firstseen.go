package duty

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusglade.example/crocusglade/internal/order"
	"crocusglade.example/crocusglade/internal/world"
)

// firstCleanings is the number of steps over which the first cleanings of a pool are spread.
const firstCleanings = 100

// recordFirstSeen writes a cleaning time for an endpoint that has none, so that the endpoints of a new pool don't all come due at
// once. The time lies up to half a period back, by the endpoint's name. It is kept on the platform, because a restart of the
// holder must not put cleanings off. It returns true when it wrote one.
func recordFirstSeen(ctx context.Context, d *order.Dispatcher, v PoolView) bool {
	period := world.DefaultCleanEvery
	if v.Pool.CleanEveryHours > 0 {
		period = time.Duration(v.Pool.CleanEveryHours) * time.Hour
	}
	for _, e := range v.Endpoints {
		if !e.Cleaned.IsZero() || e.State == world.EndpointStarting {
			continue
		}
		step := time.Duration(xxhash.Sum64String(e.Name) % firstCleanings)
		back := period / 2 * step / firstCleanings
		return d.SetCleaned(ctx, e.Name, v.Now.Add(-back)) == nil
	}
	return false
}
