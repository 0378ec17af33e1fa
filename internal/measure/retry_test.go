package measure

import (
	"context"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
)

func init() { sections = append(sections, section{3, "retries and quarantine", measureRetries}) }

// failingFor is the time for which a pool fails, after failingFrom without failures.
const (
	failingFrom = 10 * time.Second
	failingFor  = 50 * time.Second
)

// amplification returns the requests that reached engines for each first try, while the share of requests given fails.
func amplification(t *testing.T, seed uint64, failing float64, plain bool) (load, answered float64) {
	d := rigaGulf()
	d.streams = d.streams[:8]
	work := record(seed, failingFrom+failingFor, gateways, d.streams)
	results := run(t, d, work, seed, rules{plainRetries: plain, disturb: func(ctx context.Context, c *cluster) {
		// The work begins 2 s after the cluster.
		if pause(ctx, nil, 2*time.Second+failingFrom) != nil {
			return
		}
		for _, e := range c.engines {
			e.mu.Lock()
			e.failing = failing
			e.mu.Unlock()
		}
	}})
	first, tries := 0, 0
	during := func(r *result) bool { return r.at >= failingFrom }
	for i := range results {
		if during(&results[i]) && results[i].tries > 0 {
			first++
			tries += results[i].tries
		}
	}
	return float64(tries) / float64(max(1, first)), share(results, during, func(r *result) bool { return r.first > 0 })
}

// killed returns how many engines die of one request whose caller repeats it at the next gateway after each failure.
func killed(t *testing.T, seed uint64, r rules) float64 {
	d := rigaGulf().scaled(0.3)
	work := record(seed, 20*time.Second, gateways, d.streams)
	crasher := *work[len(work)/4]
	crasher.pool, crasher.crashes = d.pool, true
	deaths := 0
	r.disturb = func(ctx context.Context, c *cluster) {
		for _, e := range c.engines {
			e.kills = e.Pool == d.pool
		}
		if pause(ctx, nil, 5*time.Second) != nil {
			return
		}
		// The fingerprint stays the same, since the caller repeats the same body.
		for i := range 8 {
			res := c.handle(ctx, c.gateways[(int(seed)+i)%gateways], &crasher)
			if res.kind == apierror.Quarantined {
				break
			}
		}
		for _, e := range c.engines {
			e.mu.Lock()
			if e.dead {
				deaths++
			}
			e.mu.Unlock()
		}
		c.restartDead()
	}
	run(t, d, work, seed, r)
	return float64(deaths)
}

// restartDead starts crashed engines again.
func (c *cluster) restartDead() {
	for _, e := range c.engines {
		e.mu.Lock()
		dead := e.dead
		e.mu.Unlock()
		if dead {
			e.restart()
		}
	}
}

func measureRetries(t *testing.T, r *report) {
	r.printf("## Retries and quarantine (design 6.6)\n\nTarget: a failing pool gets at most 1.1 times its load. Load is requests that reached an endpoint for each request that\n")
	r.printf("was sent at least once, over the %v in which the pool fails (riga-gulf).\n\n", failingFor)
	type figure struct{ load, answered float64 }
	var rows [][]string
	met := true
	for _, failing := range []float64{0.05, 0.5, 1} {
		for _, plain := range []bool{false, true} {
			list := eachSeed(t, func(t *testing.T, seed uint64) figure {
				load, answered := amplification(t, seed, failing, plain)
				return figure{load, answered}
			})
			load := column(list, func(f figure) float64 { return f.load })
			name := "budget of 10% (ours)"
			if plain {
				name = "two plain retries"
			}
			rows = append(rows, []string{column(list, func(figure) float64 { return failing }).percent(), name, load.format("%.3f"),
				column(list, func(f figure) float64 { return f.answered }).percent()})
			for _, l := range load {
				if !plain && l > 1.1 {
					met = false
					t.Errorf("load of %.3f with %.0f%% failing", l, 100*failing)
				}
			}
		}
	}
	r.table([]string{"requests that fail", "rule", "load", "answered"}, rows)
	r.printf("Target %s in every run. The budget costs answers where many but not all requests fail.\n\n", verdict(met))
	t.Logf("%v", rows)

	r.printf("Endpoints killed by one request that crashes each engine that runs it, while its caller repeats it at another gateway\nafter each failure, up to eight times. Target: two.\n\n")
	rows = nil
	for _, c := range []struct {
		name string
		rules
	}{
		{"quarantine, neighbours told before the caller is answered (ours)", rules{tellFirst: true}},
		{"quarantine, neighbours told with the next exchange", rules{}},
		{"quarantine, neighbours not told", rules{silent: true}},
		{"two plain retries", rules{plainRetries: true}},
	} {
		list := series(eachSeed(t, func(t *testing.T, seed uint64) float64 { return killed(t, seed, c.rules) }))
		rows = append(rows, []string{c.name, list.format("%.1f")})
		if c.tellFirst {
			for _, n := range list {
				if n > 2 {
					t.Errorf("one request killed %.0f engines", n)
				}
			}
		}
	}
	r.table([]string{"rule", "engines killed"}, rows)
	t.Logf("%v", rows)
	measureBlame(t, r)
}
