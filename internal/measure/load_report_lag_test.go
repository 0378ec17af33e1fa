package measure

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/balancer"
)

// runSingleEngine runs callers for 20 s. Each caller sends one request after another to a single engine with 16 slots, whose load
// reports are 2 s late. It returns the number of requests sent, and the number refused by kind of error.
func runSingleEngine(t *testing.T, seed uint64, callers int, interval time.Duration) (sent int, refused map[apierror.Kind]int) {
	refused = make(map[apierror.Kind]int)
	var mu sync.Mutex
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := rigaGulf()
		d.engineCount = 1
		c := newCluster(d, seed, runOptions{reportLag: 2 * time.Second, exchangeInterval: interval})
		var background, calls sync.WaitGroup
		for _, name := range c.engineNames {
			background.Go(func() { c.sendLoadReports(ctx, c.engines[name]) })
		}
		background.Go(func() { c.exchangeState(ctx) })
		background.Go(func() {
			for c.updateCapacities(); pause(ctx, nil, capacityInterval) == nil; c.updateCapacities() {
			}
		})
		time.Sleep(3 * time.Second)
		start := time.Now()
		for i := range callers {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			calls.Go(func() {
				for time.Since(start) < 20*time.Second {
					g := c.gateways[rng.IntN(gatewayCount)]
					w := &request{team: "clerks-riga", pool: d.pool, promptTokens: 20, outputTokens: 4 + rng.IntN(56), firstTokenTimeout: 30 * time.Second}
					kind := c.admitAndServe(ctx, g, w)
					mu.Lock()
					sent++
					if kind != "" {
						refused[kind]++
					}
					mu.Unlock()
					_ = pause(ctx, nil, 5*time.Millisecond)
				}
			})
		}
		calls.Wait()
		cancel()
		background.Wait()
	})
	return sent, refused
}

// admitAndServe runs a request through admission and one choice of an endpoint, without retries. It returns why the request
// failed, or "".
func (c *cluster) admitAndServe(ctx context.Context, g *gateway, w *request) apierror.Kind {
	release, err := g.queue.acquire(ctx, admission.Request{Team: w.team, Pool: w.pool, Tokens: w.tokens(), Deadline: time.Now().Add(w.firstTokenTimeout)})
	if err != nil {
		return "admission " + kindOf(err)
	}
	defer release(w.tokens())
	choiceRequest := balancer.Request{Pool: w.pool, PromptTokens: w.promptTokens, OutputTokens: w.outputTokens}
	chosen, err := g.chooser.(realBalancer).ChooseWithDeadline(ctx, choiceRequest, time.Now().Add(w.firstTokenTimeout))
	if err != nil {
		return kindOf(err)
	}
	p := placement{chosen.Endpoint.Name, chosen.RecordFirstToken, chosen.Done}
	_ = pause(ctx, nil, oneWayDelay)
	err = c.engines[p.endpoint].serve(ctx, w, p.recordFirstToken)
	p.done(balancer.Outcome{Failed: err != nil, OutputTokens: w.outputTokens})
	if err != nil {
		return "failed"
	}
	return ""
}

// Guards against refusals by a pool that has free capacity. Late load reports and late exchanges among gateways make an engine
// look full although admission counts on its free slots, so a request must wait for a slot there.
func TestLateReportsRefuseNothing(t *testing.T) {
	for _, c := range []struct {
		callers  int
		interval time.Duration
	}{{12, 3 * time.Second}, {16, exchangeInterval}, {24, exchangeInterval}} {
		for seed := range uint64(3) {
			sent, refused := runSingleEngine(t, seed, c.callers, c.interval)
			t.Logf("%d callers, exchange every %v: %d sent, refused %v", c.callers, c.interval, sent, refused)
			if len(refused) > 0 {
				t.Errorf("%d callers, exchange every %v, seed %d: of %d requests some were refused: %v", c.callers, c.interval, seed, sent, refused)
			}
		}
	}
}
