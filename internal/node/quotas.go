package node

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/quota"
	"crocusglade.example/crocusglade/internal/telemetry"
)

// quotaObserver records the decisions about quotas in metrics and in the log.
type quotaObserver struct {
	metrics *telemetry.RequestMetrics
	log     zerolog.Logger
}

// Counted implements quota.Observer.
func (o quotaObserver) Counted(outcome quota.Outcome, cost int64) {
	o.metrics.QuotaCost(string(outcome), cost)
}

// Limited implements quota.Observer.
func (o quotaObserver) Limited(team string, limited bool) {
	if limited {
		o.log.Warn().Str("team", team).Msg("team is over its quota")
		return
	}
	o.log.Info().Str("team", team).Msg("team is no longer over its quota")
}

func newQuotaLimiter(o quotaObserver) *quota.Limiter {
	return quota.New(quota.Config{Now: func() time.Duration { return time.Duration(bootclock.Now()) }, Random: rand.Float64, Observe: o})
}

// quotaLimits returns the limits of the teams that have a quota.
func quotaLimits(c *catalog.Catalog) map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	for _, team := range c.TeamsByKey {
		if q := team.Quota; q.RatePerSecond > 0 {
			limits[team.Name] = quota.Limit{RatePerSecond: q.RatePerSecond, Burst: q.Burst}
		}
	}
	return limits
}

// updateKnownVMs passes the number of VMs to the quotas. It is unknown until the store has listed the VMs or another one was heard.
func (n *Node) updateKnownVMs() {
	if known := n.link.KnownVMs(); known > 1 || n.vmsListed.Load() {
		n.quotas.SetKnownVMs(known)
	}
}
