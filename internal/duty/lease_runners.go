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

// reconcileEvery is the interval between passes over open claims. A pass reads all claim shards.
const reconcileEvery = 10 * time.Second

// Rank returns this process's rank among the candidates for a lease. Rank 0 tries first.
type Rank func(leaseName string) int

// forLease returns the rank function of one lease for lease.Options, or nil for a nil Rank.
func (r Rank) forLease(leaseName string) func() int {
	if r == nil {
		return nil
	}
	return func() int { return r(leaseName) }
}

// RunUsageDuty competes for the lease "usage" until ctx ends and calls seal, which runs the sealer, in each term.
func RunUsageDuty(ctx context.Context, store objectstore.Store, holder string, rank Rank, seal func(*lease.Authority)) error {
	elector := lease.NewElector(lease.Options{Store: store, Name: string(apitypes.DutyUsage), Holder: holder, Rank: rank.forLease(string(apitypes.DutyUsage))})
	return elector.Run(ctx, seal)
}

// RunClaimsDuty competes for the lease "claims" until ctx ends and reconciles open claims in each term. It calls observe with the
// report of each successful pass.
func RunClaimsDuty(ctx context.Context, store objectstore.Store, holder string, rank Rank, r claim.Reconciler, log zerolog.Logger,
	observe func(claim.ReconcileReport)) error {
	elector := lease.NewElector(lease.Options{Store: store, Name: string(apitypes.DutyClaims), Holder: holder, Rank: rank.forLease(string(apitypes.DutyClaims))})
	return elector.Run(ctx, func(a *lease.Authority) {
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
