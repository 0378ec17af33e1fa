package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/history"
)

// Guards against a request path that works only within one process: requests of two teams go through all gateways, with each answer
// checked against its request, and each non-idempotent call is sent to two gateways at the same time and must run once.
func TestRequestPath(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 3, services: 2})
	var calls sync.WaitGroup
	for i := range 40 {
		calls.Go(func() {
			team := []string{"skippers", "clerks"}[i%2]
			prompt, start := fmt.Sprintf("rope log %d of %s", i, team), time.Now()
			r := c.chat(i%vmCount, team, prompt, 12, i%3 != 0)
			c.record(i%vmCount, team, "chat", start, r, expected(prompt, 12))
		})
	}
	for i := range 10 {
		key := fmt.Sprintf("declaration-%d", i)
		for gateway := range 2 {
			calls.Go(func() {
				c.call((i+gateway)%vmCount, "skippers", http.MethodPost, "/svc/declarations/new", `{"tonnes":4}`, map[string]string{"Idempotency-Key": key})
			})
		}
	}
	calls.Wait()
	for _, r := range c.history.Requests {
		if r.Result != history.ResultComplete {
			t.Errorf("request %s of %s at %s: %s %s", r.ID, r.Team, r.Gateway, r.Result, r.ErrorKind)
		}
	}
	if executed := c.executions(); len(executed) != 10 {
		t.Errorf("%d declarations were executed, want 10", len(executed))
	}
	c.checkGuarantees()
}
