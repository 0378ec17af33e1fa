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

// lastEngine runs callers for 20 s that send one stream after another to one engine of 16 slots whose reports are 2 s late. It returns
// the requests sent and the refused ones by kind.
func lastEngine(t *testing.T, seed uint64, callers int, exchange time.Duration) (sent int, refused map[apierror.Kind]int) {
	refused = make(map[apierror.Kind]int)
	var mu sync.Mutex
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := rigaGulf()
		d.engines = 1
		c := newCluster(d, seed, rules{lag: 2 * time.Second, exchangeTime: exchange})
		var background, calls sync.WaitGroup
		for _, name := range c.names {
			background.Go(func() { c.report(ctx, c.engines[name]) })
		}
		background.Go(func() { c.exchange(ctx) })
		background.Go(func() {
			for c.setCapacities(); pause(ctx, nil, capacityEvery) == nil; c.setCapacities() {
			}
		})
		time.Sleep(3 * time.Second)
		begin := time.Now()
		for i := range callers {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			calls.Go(func() {
				for time.Since(begin) < 20*time.Second {
					g := c.gateways[rng.IntN(gateways)]
					w := &request{team: "clerks-riga", pool: d.pool, prompt: 20, output: 4 + rng.IntN(56), patience: 30 * time.Second}
					kind := c.once(ctx, g, w)
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

// once is the path of a request at the gateway: admission, then one choice.
func (c *cluster) once(ctx context.Context, g *gateway, w *request) apierror.Kind {
	release, err := g.queue.acquire(ctx, admission.Request{Team: w.team, Pool: w.pool, Tokens: w.tokens(), Deadline: time.Now().Add(w.patience)})
	if err != nil {
		return "admission " + kindOf(err)
	}
	defer release(w.tokens())
	place := balancer.Request{Pool: w.pool, PromptTokens: w.prompt, OutputTokens: w.output}
	chosen, err := g.choice.(ours).ChooseWithDeadline(ctx, place, time.Now().Add(w.patience))
	if err != nil {
		return kindOf(err)
	}
	p := placement{chosen.Endpoint.Name, chosen.RecordFirstToken, chosen.Done}
	_ = pause(ctx, nil, oneWay)
	err = c.engines[p.endpoint].serve(ctx, w, p.firstToken)
	p.done(balancer.Outcome{Failed: err != nil, OutputTokens: w.output})
	if err != nil {
		return "failed"
	}
	return ""
}

// Guards against refusals by a pool that is far from full: late reports and late news of neighbours' sends make an engine look full
// that admission counts on, so a request has to wait for a place there.
func TestLateReportsRefuseNothing(t *testing.T) {
	for _, c := range []struct {
		callers  int
		exchange time.Duration
	}{{12, 3 * time.Second}, {16, exchangeEvery}, {24, exchangeEvery}} {
		for seed := range uint64(3) {
			sent, refused := lastEngine(t, seed, c.callers, c.exchange)
			t.Logf("%d callers, exchange every %v: %d sent, refused %v", c.callers, c.exchange, sent, refused)
			if len(refused) > 0 {
				t.Errorf("%d callers, exchange every %v, seed %d: of %d requests refused %v", c.callers, c.exchange, seed, sent, refused)
			}
		}
	}
}
