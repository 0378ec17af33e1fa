package measure

import (
	"context"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
)

const (
	// engineDowntime is the time from an engine's crash until it serves again.
	engineDowntime = 2 * time.Second
	// crashingRequests is the number of requests that crash each engine that runs them. One is sent every crashInterval.
	crashingRequests = 5
	crashInterval    = 15 * time.Second
)

// quarantineFigures holds the figures of one run with crashes.
type quarantineFigures struct {
	enginesCrashed     float64 // engines crashed, per crashing request
	falselyQuarantined float64 // quarantined requests that crash nothing
	suspects           float64 // requests that were on an engine when it crashed
}

// runCrashes runs the given fraction of the usual work while some requests crash the engines that run them or, if spontaneous,
// while engines crash without a cause.
func runCrashes(t *testing.T, seed uint64, load float64, spontaneous bool, r runOptions) quarantineFigures {
	d := rigaGulf().scaled(load)
	d.streams = d.streams[:8]
	work := generateRequests(seed, (crashingRequests+1)*crashInterval, gatewayCount, d.streams)
	crashing := make(map[uint64]bool)
	var out quarantineFigures
	r.reportCrashFirst, r.continueStreams = true, true
	r.changeFleet = func(ctx context.Context, c *cluster) {
		for _, e := range c.engines {
			e.crashable, e.restartDelay = true, engineDowntime
		}
		for i := range crashingRequests {
			if pause(ctx, nil, crashInterval) != nil {
				return
			}
			if spontaneous {
				c.crashPair(ctx, int(seed)+i)
				continue
			}
			crasher := *work[(i+1)*len(work)/(crashingRequests+2)]
			crasher.pool, crasher.crashesEngine, crasher.arrival = d.pool, true, -time.Duration(i+1)
			crashing[crasher.fingerprint()] = true
			c.sendCrashingRequest(ctx, &crasher, int(seed)+i)
		}
		out.enginesCrashed = float64(c.crashCount.Load()) / crashingRequests
	}
	r.onFinish = func(c *cluster) {
		seen := make(map[uint64]bool)
		for _, g := range c.gateways {
			for fingerprint := range g.quarantine.Entries() {
				if !crashing[fingerprint] && !seen[fingerprint] {
					seen[fingerprint] = true
					out.falselyQuarantined++
				}
			}
		}
		out.suspects = float64(c.suspectCount.Load())
	}
	replay(t, d, work, seed, r)
	return out
}

// sendCrashingRequest sends a request that crashes engines to one gateway after another until it is quarantined, up to eight
// times, like a caller that repeats it.
func (c *cluster) sendCrashingRequest(ctx context.Context, crasher *request, first int) {
	for i := range 8 {
		if c.handle(ctx, c.gateways[(first+i)%gatewayCount], crasher).errorKind == apierror.Quarantined {
			return
		}
	}
}

// crashPair crashes two engines, the second one a second after the first.
func (c *cluster) crashPair(ctx context.Context, first int) {
	for i := range 2 {
		c.engines[c.engineNames[(first+3*i)%c.deployment.engineCount]].crash()
		_ = pause(ctx, nil, time.Second)
	}
}

// measureFalseQuarantine writes how many requests that crash nothing are quarantined.
func measureFalseQuarantine(t *testing.T, r *report) {
	r.printf("Harmless requests that were quarantined, in %d crashes of two engines each on riga-gulf: by a request that crashes each\n", crashingRequests)
	r.printf("engine that runs it and is sent again, or spontaneously, one a second after the other. When isolated, a suspect waits up to 1 s for\n")
	r.printf("an engine without other suspects, and each gateway first tries its own set of engines for suspects. No crashing request may crash more than two.\n\n")
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
				rows = append(rows, falseQuarantineRow(t, load, spontaneous, together))
			}
		}
	}
	r.table([]string{"fraction of the usual workload", "cause", "suspects", "engines crashed by one request", "requests on an engine when it crashed", "harmless requests quarantined"}, rows)
	t.Logf("%v", rows)
}

func falseQuarantineRow(t *testing.T, load float64, spontaneous, together bool) []string {
	list := eachSeed(t, func(t *testing.T, seed uint64) quarantineFigures {
		return runCrashes(t, seed, load, spontaneous, runOptions{noSuspectIsolation: together})
	})
	cause, suspects := "crashing request", "isolated (crocusglade)"
	if spontaneous {
		cause = "spontaneous"
	}
	if together {
		suspects = "not isolated"
	}
	killed := collect(list, func(b quarantineFigures) float64 { return b.enginesCrashed })
	for _, n := range killed {
		if n > 2 {
			t.Errorf("one request crashed %.1f engines, want at most 2", n)
		}
	}
	return []string{collect(list, func(quarantineFigures) float64 { return load }).percent(), cause, suspects, killed.format("%.1f"),
		collect(list, func(b quarantineFigures) float64 { return b.suspects }).format("%.0f"),
		collect(list, func(b quarantineFigures) float64 { return b.falselyQuarantined }).format("%.1f")}
}
