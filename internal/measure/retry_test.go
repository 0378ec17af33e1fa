package measure

import (
	"context"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
)

func init() { sections = append(sections, section{3, "retries and quarantine", measureRetries}) }

// The pool runs without failures for failureStart and then fails for failureDuration.
const (
	failureStart    = 10 * time.Second
	failureDuration = 50 * time.Second
)

// amplification returns the attempts that reached engines per request, and the fraction of requests served, while the given
// fraction of attempts fails. With plainRetries, requests are retried without a budget.
func amplification(t *testing.T, seed uint64, failureRate float64, plainRetries bool) (load, served float64) {
	d := rigaGulf()
	d.streams = d.streams[:8]
	work := generateRequests(seed, failureStart+failureDuration, gatewayCount, d.streams)
	results := replay(t, d, work, seed, runOptions{plainRetries: plainRetries, changeFleet: func(ctx context.Context, c *cluster) {
		// The first request comes 2 s after the start of the cluster.
		if pause(ctx, nil, 2*time.Second+failureStart) != nil {
			return
		}
		for _, e := range c.engines {
			e.mu.Lock()
			e.failureRate = failureRate
			e.mu.Unlock()
		}
	}})
	requests, attempts := 0, 0
	whileFailing := func(r *result) bool { return r.arrival >= failureStart }
	for i := range results {
		if whileFailing(&results[i]) && results[i].attempts > 0 {
			requests++
			attempts += results[i].attempts
		}
	}
	return float64(attempts) / float64(max(1, requests)), fraction(results, whileFailing, func(r *result) bool { return r.firstToken > 0 })
}

// enginesCrashedByOne returns how many engines crash on one request whose caller repeats it at the next gateway after each
// failure.
func enginesCrashedByOne(t *testing.T, seed uint64, r runOptions) float64 {
	d := rigaGulf().scaled(0.3)
	work := generateRequests(seed, 20*time.Second, gatewayCount, d.streams)
	crasher := *work[len(work)/4]
	crasher.pool, crasher.crashesEngine = d.pool, true
	crashed := 0
	r.changeFleet = func(ctx context.Context, c *cluster) {
		for _, e := range c.engines {
			e.crashable = e.Pool == d.pool
		}
		if pause(ctx, nil, 5*time.Second) != nil {
			return
		}
		// The caller repeats the same body, so the fingerprint stays the same.
		for i := range 8 {
			res := c.handle(ctx, c.gateways[(int(seed)+i)%gatewayCount], &crasher)
			if res.errorKind == apierror.Quarantined {
				break
			}
		}
		for _, e := range c.engines {
			e.mu.Lock()
			if e.down {
				crashed++
			}
			e.mu.Unlock()
		}
		c.restartCrashed()
	}
	replay(t, d, work, seed, r)
	return float64(crashed)
}

// restartCrashed restarts all crashed engines.
func (c *cluster) restartCrashed() {
	for _, e := range c.engines {
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down {
			e.restart()
		}
	}
}

func measureRetries(t *testing.T, r *report) {
	r.printf("## Retries and quarantine (design 6.6)\n\nTarget: a failing pool gets at most 1.1 times its load. Load is requests that reached an endpoint for each request that\n")
	r.printf("was sent at least once, over the %v in which the pool fails (riga-gulf).\n\n", failureDuration)
	type figure struct{ load, served float64 }
	var rows [][]string
	met := true
	for _, failureRate := range []float64{0.05, 0.5, 1} {
		for _, plain := range []bool{false, true} {
			list := eachSeed(t, func(t *testing.T, seed uint64) figure {
				load, served := amplification(t, seed, failureRate, plain)
				return figure{load, served}
			})
			load := collect(list, func(f figure) float64 { return f.load })
			name := "budget of 10% (crocusglade)"
			if plain {
				name = "up to two retries, no budget"
			}
			rows = append(rows, []string{collect(list, func(figure) float64 { return failureRate }).percent(), name, load.format("%.3f"),
				collect(list, func(f figure) float64 { return f.served }).percent()})
			for _, l := range load {
				if !plain && l > 1.1 {
					met = false
					t.Errorf("load is %.3f times the requests with %.0f%% of the attempts failing, want at most 1.1", l, 100*failureRate)
				}
			}
		}
	}
	r.table([]string{"requests that fail", "rule", "load", "served"}, rows)
	r.printf("Target %s in every run. The budget leaves more requests unserved where many but not all attempts fail.\n\n", verdict(met))
	t.Logf("%v", rows)

	r.printf("Engines crashed by one request that crashes each engine that runs it, while its caller repeats it at another gateway\nafter each failure, up to eight times. Target: two.\n\n")
	rows = nil
	for _, c := range []struct {
		name string
		runOptions
	}{
		{"quarantine, crash reported to neighbours before the response (crocusglade)", runOptions{reportCrashFirst: true}},
		{"quarantine, crash reported to neighbours with the next exchange", runOptions{}},
		{"quarantine, crash not reported to neighbours", runOptions{noCrashReports: true}},
		{"up to two retries, no budget", runOptions{plainRetries: true}},
	} {
		list := series(eachSeed(t, func(t *testing.T, seed uint64) float64 { return enginesCrashedByOne(t, seed, c.runOptions) }))
		rows = append(rows, []string{c.name, list.format("%.1f")})
		if c.reportCrashFirst {
			for _, n := range list {
				if n > 2 {
					t.Errorf("one request crashed %.0f engines, want at most 2", n)
				}
			}
		}
	}
	r.table([]string{"rule", "engines crashed"}, rows)
	t.Logf("%v", rows)
	measureFalseQuarantine(t, r)
}
