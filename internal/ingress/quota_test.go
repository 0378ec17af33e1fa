package ingress

import (
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/catalog"
)

// ledgerQuota sums what it is charged.
type ledgerQuota struct{ balance int64 }

func (q *ledgerQuota) Take(_ string, cost int64) (time.Duration, bool) {
	q.balance += cost
	return 0, true
}
func (q *ledgerQuota) Charge(_ string, cost int64)   { q.balance += cost }
func (q *ledgerQuota) GiveBack(_ string, cost int64) { q.balance -= cost }

// Guards against costs that stay taken for a request that ran nowhere, and against runs at further endpoints that are not charged.
func TestRequestIsChargedForEachPossibleRun(t *testing.T) {
	for name, test := range map[string]struct {
		steps func(c *call)
		want  int64
	}{
		"refused before the first exchange": {func(*call) {}, 0},
		"one run":                           {func(c *call) { c.countPossibleRun() }, 7},
		"refused by two endpoints": {func(c *call) {
			for range 2 {
				c.countPossibleRun()
				c.uncountPossibleRun()
			}
		}, 0},
		"run after a refusal": {func(c *call) { c.countPossibleRun(); c.uncountPossibleRun(); c.countPossibleRun() }, 7},
		"two runs":            {func(c *call) { c.countPossibleRun(); c.countPossibleRun() }, 14},
		"refusal after a run": {func(c *call) { c.countPossibleRun(); c.countPossibleRun(); c.uncountPossibleRun() }, 7},
		"prefill only":        {func(c *call) { c.prefillMayHaveRun = true }, 7},
	} {
		for _, limited := range []bool{true, false} {
			q, want := &ledgerQuota{}, test.want
			c := &call{Server: New(Config{Quota: q}), r: &Request{}, team: "t"}
			c.quota = catalog.Quota{InTokens: true, PlainTokens: 7, RatePerSecond: 1}
			if !limited {
				c.quota.RatePerSecond, want = 0, 0
			}
			if err, _ := c.takeQuota(); err != nil {
				t.Fatal(err)
			}
			test.steps(c)
			c.settleQuota()
			if q.balance != want {
				t.Errorf("%s, limited %v: charged %d, want %d", name, limited, q.balance, want)
			}
		}
	}
}
