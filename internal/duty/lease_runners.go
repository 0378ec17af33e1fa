package duty

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/claim"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
)

// reconcileEvery is the period of passes over open claims. A pass reads all claim shards.
const reconcileEvery = 10 * time.Second

// Rank returns this process's place among those that may hold a lease, 0 first.
type Rank func(leaseName string) int

// of returns the rank for one lease, as the elector wants it.
func (r Rank) of(leaseName string) func() int {
	if r == nil {
		return nil
	}
	return func() int { return r(leaseName) }
}

// RunUsageDuty competes for the lease "usage" and runs the sealer in each term until ctx ends.
func RunUsageDuty(ctx context.Context, store objectstore.Store, holder string, rank Rank, seal func(*lease.Authority)) error {
	k := lease.NewElector(lease.Options{Store: store, Name: string(apitypes.DutyUsage), Holder: holder, Rank: rank.of(string(apitypes.DutyUsage))})
	return k.Run(ctx, seal)
}

// RunClaimsDuty competes for the lease "claims" and reconciles open claims in each term until ctx ends. observe gets the report of
// each pass.
func RunClaimsDuty(ctx context.Context, store objectstore.Store, holder string, rank Rank, r claim.Reconciler, log zerolog.Logger,
	observe func(claim.ReconcileReport)) error {
	k := lease.NewElector(lease.Options{Store: store, Name: string(apitypes.DutyClaims), Holder: holder, Rank: rank.of(string(apitypes.DutyClaims))})
	return k.Run(ctx, func(a *lease.Authority) {
		r.HoldsLease = a.Valid
		for a.Valid() {
			report, err := r.ReconcileOnce(a.Context())
			if err == nil {
				observe(report)
			}
			if err == nil && report.Done+report.NotRun > 0 {
				log.Info().Int("done", report.Done).Int("not_run", report.NotRun).Int("unresolved", report.Unresolved).
					Msg("claims reconciled")
			}
			ctxtime.Sleep(a.Context(), reconcileEvery)
		}
	})
}
