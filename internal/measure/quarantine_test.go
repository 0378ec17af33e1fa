package measure

import (
	"context"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
)

const (
	// downtime is the time from an engine's crash until it serves again.
	downtime = 2 * time.Second
	// killers is the number of requests that crash each engine that runs them, one every killerEvery.
	killers     = 5
	killerEvery = 15 * time.Second
)

// blame is what one run of crashes did.
type blame struct {
	killed    float64 // engines that one killing request crashed
	innocents float64 // requests that crash nothing and were quarantined
	suspected float64 // requests that were on an engine when it crashed
}

// blamed runs a share of the usual work while some requests crash the engines that run them, or while engines crash by themselves.
func blamed(t *testing.T, seed uint64, load float64, spontaneous bool, r rules) blame {
	d := rigaGulf().scaled(load)
	d.streams = d.streams[:8]
	work := record(seed, (killers+1)*killerEvery, gateways, d.streams)
	guilty := make(map[uint64]bool)
	var out blame
	r.tellFirst, r.continues = true, true
	r.disturb = func(ctx context.Context, c *cluster) {
		for _, e := range c.engines {
			e.kills, e.downtime = true, downtime
		}
		for i := range killers {
			if pause(ctx, nil, killerEvery) != nil {
				return
			}
			if spontaneous {
				c.crashPair(ctx, int(seed)+i)
				continue
			}
			k := *work[(i+1)*len(work)/(killers+2)]
			k.pool, k.crashes, k.at = d.pool, true, -time.Duration(i+1)
			guilty[k.fingerprint()] = true
			c.sendKiller(ctx, &k, int(seed)+i)
		}
		out.killed = float64(c.crashes.Load()) / killers
	}
	r.finished = func(c *cluster) {
		seen := make(map[uint64]bool)
		for _, g := range c.gateways {
			for fingerprint := range g.quarantine.Entries() {
				if !guilty[fingerprint] && !seen[fingerprint] {
					seen[fingerprint] = true
					out.innocents++
				}
			}
		}
		out.suspected = float64(c.suspects.Load())
	}
	run(t, d, work, seed, r)
	return out
}

// sendKiller sends a request that crashes engines to one gateway after another until it is quarantined, as a caller that repeats it.
func (c *cluster) sendKiller(ctx context.Context, k *request, first int) {
	for i := range 8 {
		if c.handle(ctx, c.gateways[(first+i)%gateways], k).kind == apierror.Quarantined {
			return
		}
	}
}

// crashPair crashes two engines, one a second after the other.
func (c *cluster) crashPair(ctx context.Context, first int) {
	for i := range 2 {
		c.engines[c.names[(first+3*i)%c.deployment.engines]].crash()
		_ = pause(ctx, nil, time.Second)
	}
}

// measureBlame writes how many requests are quarantined for crashes of others.
func measureBlame(t *testing.T, r *report) {
	r.printf("Requests that crash nothing and were quarantined, in %d crashes of two engines each on riga-gulf: by a request that crashes each\n", killers)
	r.printf("engine that runs it and is sent again, or by themselves, one a second after the other. Kept apart, a suspect waits up to 1 s for\n")
	r.printf("an engine without other suspects, and each gateway uses its own engines for them first. No killing request may crash more than two.\n\n")
	loads := []float64{0.5, 0.75, 1}
	if short() {
		loads = loads[1:2]
	}
	var rows [][]string
	for _, load := range loads {
		for _, spontaneous := range []bool{false, true} {
			for _, together := range []bool{true, false} {
				if short() && (spontaneous || together) {
					continue
				}
				rows = append(rows, blameRow(t, load, spontaneous, together))
			}
		}
	}
	r.table([]string{"share of the usual work", "cause", "suspects", "engines killed by one request", "deaths counted", "innocent requests quarantined"}, rows)
	t.Logf("%v", rows)
}

func blameRow(t *testing.T, load float64, spontaneous, together bool) []string {
	list := eachSeed(t, func(t *testing.T, seed uint64) blame {
		return blamed(t, seed, load, spontaneous, rules{together: together})
	})
	cause, suspects := "one request", "kept apart (ours)"
	if spontaneous {
		cause = "none"
	}
	if together {
		suspects = "placed as others"
	}
	killed := column(list, func(b blame) float64 { return b.killed })
	for _, n := range killed {
		if n > 2 {
			t.Errorf("one request killed %.1f engines", n)
		}
	}
	return []string{column(list, func(blame) float64 { return load }).percent(), cause, suspects, killed.format("%.1f"),
		column(list, func(b blame) float64 { return b.suspected }).format("%.0f"),
		column(list, func(b blame) float64 { return b.innocents }).format("%.1f")}
}
