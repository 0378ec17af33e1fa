package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/cleaning"
)

func init() { sections = append(sections, section{7, "cleaning", measureCleaning}) }

const (
	cleaningStep     = 5 * time.Minute // of the simulation
	cleaningDuration = 30 * time.Minute
	cleaningPeriod   = 168 * time.Hour // within which each endpoint must be cleaned
)

// cleaningFigures holds the figures of one run.
type cleaningFigures struct {
	lostShare      float64 // fraction of the demand that was not served because of cleaning
	longestOverdue float64 // longest time past the end of the cleaning period, in hours
	cleaned        float64 // cleanings done
	harmfulSteps   float64 // steps in which a cleaning left demand unserved while a failure domain was out
}

// runCleaning simulates 12 endpoints for two weeks. In each week one failure domain is out for a day.
func runCleaning(t *testing.T, seed uint64, plan func(cleaning.Pool) *cleaning.Proposal) cleaningFigures {
	var out cleaningFigures
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 8))
		pool := cleaning.Pool{Name: "p", CleaningPeriod: cleaningPeriod}
		for i := range 12 {
			pool.Endpoints = append(pool.Endpoints, cleaning.Endpoint{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%3), Capacity: 1,
				LastCleaned: time.Now().Add(-time.Duration(rng.Float64() * float64(cleaningPeriod)))})
		}
		lostDomain := fmt.Sprint("d", seed%3)
		inCleaning, cleaningEnd := "", time.Time{}
		totalDemand, totalUnserved, average := 0.0, 0.0, 0.0
		for elapsed := time.Duration(0); elapsed < 2*cleaningPeriod; elapsed += cleaningStep {
			demand := 6.5 - 2.5*math.Cos(2*math.Pi*(elapsed.Hours()-3)/24) + 0.3*rng.NormFloat64()
			if average == 0 {
				average = demand
			}
			average += (demand - average) * cleaningStep.Hours() / 24
			outage := elapsed%cleaningPeriod > 72*time.Hour && elapsed%cleaningPeriod < 96*time.Hour
			capacity, unavailable := 0.0, 0.0
			for i := range pool.Endpoints {
				e := &pool.Endpoints[i]
				e.OutOfService = outage && e.FailureDomain == lostDomain
				if e.Name == inCleaning && !time.Now().Before(cleaningEnd) {
					e.LastCleaned, inCleaning = time.Now(), ""
					out.cleaned++
				}
				if e.OutOfService {
					continue
				}
				capacity++
				if e.Name == inCleaning {
					unavailable = 1
				}
				out.longestOverdue = max(out.longestOverdue, (time.Since(e.LastCleaned) - cleaningPeriod).Hours())
			}
			totalDemand += demand
			unserved := min(demand, capacity) - min(demand, capacity-unavailable)
			totalUnserved += unserved
			if unserved > 0 && outage {
				out.harmfulSteps++
			}
			pool.DemandShort, pool.DemandLong, pool.DisruptionInProgress = demand, average, inCleaning != ""
			if c := plan(pool); c != nil && inCleaning == "" {
				inCleaning, cleaningEnd = c.Endpoint, time.Now().Add(cleaningDuration)
			}
			time.Sleep(cleaningStep)
		}
		out.lostShare = totalUnserved / totalDemand
	})
	return out
}

// whenDue is the baseline: it cleans an endpoint as soon as its period ends, regardless of the demand.
func whenDue(pool cleaning.Pool) *cleaning.Proposal {
	for _, e := range pool.Endpoints {
		if !pool.DisruptionInProgress && !e.OutOfService && time.Since(e.LastCleaned) >= cleaningPeriod {
			return &cleaning.Proposal{Endpoint: e.Name}
		}
	}
	return nil
}

func measureCleaning(t *testing.T, r *report) {
	r.printf("## Cleaning (design 6.9)\n\nTwo weeks of 12 endpoints with a daily cycle of demand between 4 and 9 endpoints. In each week one failure domain of four\n")
	r.printf("endpoints is out for a day. A cleaning takes 30 minutes.\n\n")
	var rows [][]string
	for _, rule := range []struct {
		name string
		plan func(cleaning.Pool) *cleaning.Proposal
	}{{"at low demand (crocusglade)", cleaning.Plan}, {"when due", whenDue}} {
		list := eachSeed(t, func(t *testing.T, seed uint64) cleaningFigures { return runCleaning(t, seed, rule.plan) })
		overdue := collect(list, func(f cleaningFigures) float64 { return f.longestOverdue })
		lost := collect(list, func(f cleaningFigures) float64 { return f.lostShare })
		rows = append(rows, []string{rule.name, lost.scaled(100).format("%.3f%%"), overdue.format("%.1f h"),
			collect(list, func(f cleaningFigures) float64 { return f.cleaned }).format("%.0f"),
			collect(list, func(f cleaningFigures) float64 { return f.harmfulSteps }).format("%.0f")})
		if rule.name == "at low demand (crocusglade)" && lost.mean() > 0.001 {
			t.Errorf("cleaning left %s of the demand unserved, want at most 0.1%%", lost.percent())
		}
	}
	r.table([]string{"rule", "demand unserved", "longest overdue", "cleanings", "steps of 5 min with demand unserved in an outage"}, rows)
	t.Logf("%v", rows)
}
