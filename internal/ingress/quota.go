package ingress

import (
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/catalog"
)

// QuotaLimiter keeps the teams' requests inside their quotas.
type QuotaLimiter interface {
	// Take asks for the admission of a request. If it is refused, retryAfter is the time after which the team has room for it.
	Take(team string, cost int64) (retryAfter time.Duration, ok bool)
	// Charge takes a cost without an admission check. GiveBack returns a cost.
	Charge(team string, cost int64)
	GiveBack(team string, cost int64)
}

// quotaAccount counts what a request took from its team's quota. It stays zero for teams without one.
type quotaAccount struct {
	quota   catalog.Quota
	limited bool
	cost    int64
	// paidRuns is the number of runs whose cost was taken, possibleQuotaRuns the number of exchanges that may have run the request.
	paidRuns, possibleQuotaRuns int
	// prefillMayHaveRun is set once an engine may have prefilled the prompt.
	prefillMayHaveRun bool
}

// takeQuota takes the cost of the request from its team's quota, or returns the error of a request over the quota.
func (c *call) takeQuota() (*apierror.Error, time.Duration) {
	q := &c.quota
	if q.RatePerSecond <= 0 {
		return nil, 0
	}
	c.cost = q.Cost(c.r.tokens())
	if retryAfter, ok := c.Quota.Take(c.team, c.cost); !ok {
		return apierror.New(apierror.RateLimited, "retry after the given time", "the team is over its quota"), retryAfter
	}
	c.limited, c.paidRuns = true, 1
	return nil, 0
}

// tokens returns the number of prompt and output tokens that the request states, and false if it states none.
func (r *Request) tokens() (int64, bool) {
	if r.Prompt == nil {
		return 0, false
	}
	return int64(r.Prompt.Tokens) + int64(max(r.Prompt.MaxOutput, 0)), true
}

// countPossibleRun counts an exchange that may run the request, and charges it if an earlier one may have run the request too.
func (c *call) countPossibleRun() {
	c.possibleQuotaRuns++
	if c.limited && c.possibleQuotaRuns > c.paidRuns {
		c.paidRuns++
		c.Quota.Charge(c.team, c.cost)
	}
}

// uncountPossibleRun is called when the endpoint of a counted exchange has not run the request and will not.
func (c *call) uncountPossibleRun() { c.possibleQuotaRuns-- }

// settleQuota returns the cost of runs that did not happen.
func (c *call) settleQuota() {
	runs := c.possibleQuotaRuns
	if c.prefillMayHaveRun {
		runs = max(runs, 1)
	}
	if c.limited && c.paidRuns > runs {
		c.Quota.GiveBack(c.team, c.cost*int64(c.paidRuns-runs))
	}
}
