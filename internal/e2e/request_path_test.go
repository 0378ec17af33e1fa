package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/history"
)

// Guards against a path that works in one process only: requests of two teams through all gateways, with answers checked for
// their callers, and non-idempotent calls that run once although each is sent to two gateways at once.
func TestWholePath(t *testing.T) {
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
	if ran := c.executions(); len(ran) != 10 {
		t.Errorf("%d declarations ran, want 10", len(ran))
	}
	c.check()
}
