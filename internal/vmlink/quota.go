package vmlink

import "crocusglade.example/crocusglade/internal/quota"

// QuotaExchange is the part of quota.Limiter that a link uses.
type QuotaExchange interface {
	Report() []quota.TeamReport
	MergeReport(vm, incarnation string, reports []quota.TeamReport)
	Forget(vm string)
}

// TeamQuota is what a VM granted to a team with a quota; see quota.TeamReport.
type TeamQuota struct {
	Team     string `cbor:"1,keyasint"`
	Spent    int64  `cbor:"2,keyasint,omitempty"`
	Baseline int64  `cbor:"3,keyasint,omitempty"`
	Demand   int64  `cbor:"4,keyasint,omitempty"`
	Level    int64  `cbor:"5,keyasint,omitempty"`
}

func encodeQuotas(reports []quota.TeamReport) []TeamQuota {
	out := make([]TeamQuota, 0, len(reports))
	for _, r := range reports {
		out = append(out, TeamQuota{Team: r.Team, Spent: r.Spent, Baseline: r.Baseline, Demand: int64(r.Demand), Level: int64(r.Level)})
	}
	return out
}

func decodeQuotas(quotas []TeamQuota) []quota.TeamReport {
	out := make([]quota.TeamReport, 0, len(quotas))
	for _, q := range quotas {
		out = append(out, quota.TeamReport{Team: q.Team, Spent: q.Spent, Baseline: q.Baseline, Demand: float64(max(q.Demand, 0)), Level: float64(q.Level)})
	}
	return out
}
