package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

func init() { sections = append(sections, section{9, "usage reports", measureBilling}) }

const (
	// billingWindows is the number of windows with faults in the long form.
	billingWindows = 12
	// billingRate is the fraction of a deployment's request rate that is replayed. Reports do not depend on the rate.
	billingRate = 0.1
	// reportGrace is the time after a window's end within which its usage must be reported: 30 s in which the sealer waits for a
	// gateway that does not respond (design 6.8), and one round of collection, which takes up to 2 s with 1 s between rounds.
	reportGrace = 30*time.Second + 3*time.Second
)

// billingFault names the fault of a window.
type billingFault string

const (
	noFault               billingFault = "none"
	killOne               billingFault = "one gateway killed"
	killTwo               billingFault = "two gateways killed"
	killAtEnd             billingFault = "one gateway killed at the end"
	killTwoAtEnd          billingFault = "two gateways killed at the end, back after two minutes"
	platformDown          billingFault = "platform out for four minutes"
	platformDownOneKilled billingFault = "platform out, one gateway killed"
	responsesLost         billingFault = "responses of the platform lost"
	sealerKilled          billingFault = "holder of the usage duty killed at the end"
)

var billingFaults = []billingFault{noFault, killOne, killTwo, killAtEnd, killTwoAtEnd, platformDown, platformDownOneKilled, responsesLost, sealerKilled}

// sleepUntil sleeps until the given offset from the start of a window.
func sleepUntil(window time.Time, offset time.Duration) { time.Sleep(time.Until(window.Add(offset))) }

// injectFault applies one fault in the window. The fault is over before the middle of the next window.
func (b *billingSimulation) injectFault(window time.Time, f billingFault, rng *rand.Rand) {
	end := apitypes.DefaultWindowSeconds * time.Second
	i, j := rng.IntN(gatewayCount), 1+rng.IntN(gatewayCount-1)
	midWindow := time.Duration(30+rng.IntN(200)) * time.Second
	nearEnd := end + time.Duration(rng.IntN(4000)-2000)*time.Millisecond
	switch f {
	case killOne:
		sleepUntil(window, midWindow)
		b.restartGateways(5*time.Second, i)
	case killTwo:
		sleepUntil(window, midWindow)
		b.restartGateways(20*time.Second, i, (i+j)%gatewayCount)
	case killAtEnd:
		sleepUntil(window, nearEnd)
		b.restartGateways(45*time.Second, i)
	case killTwoAtEnd:
		sleepUntil(window, nearEnd)
		b.restartGateways(2*time.Minute, i, (i+j)%gatewayCount)
	case platformDown:
		sleepUntil(window, end-2*time.Minute)
		b.takePlatformDown(4 * time.Minute)
	case platformDownOneKilled:
		sleepUntil(window, end-2*time.Minute)
		b.background.Go(func() { time.Sleep(time.Duration(rng.IntN(200)) * time.Second); b.restartGateways(5*time.Second, i) })
		b.takePlatformDown(4 * time.Minute)
	case responsesLost:
		sleepUntil(window, end-time.Second)
		b.mem.SetFaults(memplatform.Faults{LoseAnswers: 1 + rng.IntN(8)})
	case sealerKilled:
		sleepUntil(window, nearEnd)
		b.restartSealers(5 * time.Second)
	}
}

// billingFigures holds the figures of one run.
type billingFigures struct {
	windows, late, lateAfterOutage, conflicting float64
	longestDelay                                float64 // seconds from a window's end to its last report
	responses, missing, excess                  float64
	lossPossible                                float64 // 1 when three gateways were killed in one window
}

// runBilling runs windows with faults and then three windows without, by whose end all usage must be reported.
func runBilling(t *testing.T, d deployment, seed uint64, rule billingRule) billingFigures {
	var out billingFigures
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		length := apitypes.DefaultWindowSeconds * time.Second
		// Usage windows start at multiples of their length.
		time.Sleep(time.Until(time.Now().Truncate(length).Add(length)))
		begin, n := time.Now(), faultWindowCount()
		b := newBillingSimulation(ctx, d, rule)
		rng := rand.New(rand.NewPCG(seed, 11))
		for _, w := range generateRequests(seed, time.Duration(n)*length, gatewayCount, d.scaled(billingRate).streams) {
			b.background.Go(func() { sleepUntil(begin, w.arrival); b.recordResponse(w) })
		}
		kinds := rng.Perm(len(billingFaults))
		for i := range n {
			window := begin.Add(time.Duration(i) * length)
			sleepUntil(window, 0)
			b.injectFault(window, billingFaults[kinds[i%len(kinds)]], rng)
		}
		sleepUntil(begin, time.Duration(n+3)*length)
		cancel()
		b.background.Wait()
		out = b.figures(begin, n)
	})
	return out
}

// faultWindowCount returns the number of windows with faults. The short form has each fault once.
func faultWindowCount() int {
	if short() {
		return len(billingFaults)
	}
	return billingWindows
}

func measureBilling(t *testing.T, r *report) {
	r.printf("## Usage reports (design 6.8)\n\nEach run has %d windows of %d s with the teams and a tenth of the requests of a deployment, on four gateways and two\n", billingWindows, apitypes.DefaultWindowSeconds)
	r.printf("controllers with the real ledger, sealer and lease on the platform in memory, and three windows without faults at the end. Each\n")
	r.printf("window has one fault: one or two gateways killed, at the end or before it, back after 5 s to two minutes; the platform\n")
	r.printf("out for four minutes around the end; responses of the platform lost; the holder of the usage duty killed; or none. Late is a\n")
	r.printf("window whose figures are not all reported %s after its end (30 s of grace and one round of collection). The second\n", reportGrace)
	r.printf("column counts from the end of the platform's outage when there is one. The baseline reports the counters of each\n")
	r.printf("gateway at the end of a window and tries again every 5 s until it is accepted. What a killed gateway never reports counts as missing, not as late.\n\n")
	for _, d := range []deployment{rigaGulf(), lkWest()} {
		var rows [][]string
		lossPossibleRuns := 0.0
		for _, rule := range []billingRule{sealedReports, ownReports} {
			list := eachSeed(t, func(t *testing.T, seed uint64) billingFigures { return runBilling(t, d, seed, rule) })
			rows = append(rows, billingRow(rule, list))
			if rule == sealedReports {
				checkBilling(t, d.name, list)
				for _, f := range list {
					lossPossibleRuns += f.lossPossible
				}
			}
		}
		r.printf("%s:\n\n", d.name)
		r.table([]string{"rule", "windows", "late", "late after an outage", "longest delay", "conflicting figures", "responses", "missing", "in excess"}, rows)
		if lossPossibleRuns > 0 {
			r.printf("In %.0f of %d runs three gateways are killed in one window. A gateway and both its peers may be among them, which the\n", lossPossibleRuns, len(runSeeds()))
			r.printf("design does not cover; responses are missing in no other run.\n\n")
		}
		t.Logf("%s %v", d.name, rows)
	}
}

func billingRow(rule billingRule, list []billingFigures) []string {
	row := []string{string(rule)}
	for _, figure := range []func(billingFigures) float64{
		func(f billingFigures) float64 { return f.windows }, func(f billingFigures) float64 { return f.late },
		func(f billingFigures) float64 { return f.lateAfterOutage }, func(f billingFigures) float64 { return f.longestDelay },
		func(f billingFigures) float64 { return f.conflicting }, func(f billingFigures) float64 { return f.responses },
		func(f billingFigures) float64 { return f.missing }, func(f billingFigures) float64 { return f.excess },
	} {
		row = append(row, collect(list, figure).format("%.1f"))
	}
	row[4] = collect(list, func(f billingFigures) float64 { return f.longestDelay }).format("%.0f s")
	return row
}

// checkBilling fails when a window is reported with different figures, or when whole responses are missing or billed twice
// (guarantee G6). Responses may be missing only in a run that can kill a gateway and both its peers in one window.
func checkBilling(t *testing.T, name string, list []billingFigures) {
	for i, f := range list {
		if f.conflicting+f.excess > 0 || f.missing > 0 && f.lossPossible == 0 {
			t.Errorf("%s, seed %d: %s", name, runSeeds()[i], fmt.Sprintf("%.0f windows reported with different figures, %.0f responses missing, %.0f reported in excess", f.conflicting, f.missing, f.excess))
		}
	}
}
