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
	cleanStep  = 5 * time.Minute
	cleanTakes = 30 * time.Minute
	cleanEvery = 168 * time.Hour
)

type cleanFigures struct {
	lost     float64 // share of the work that cleaning cost
	overdue  float64 // longest time past the period, in hours
	cleaned  float64
	together float64 // steps with an endpoint in cleaning that the demand needed while a failure domain was out
}

// runCleaning is two weeks of 12 endpoints with a failure domain out for a day in each.
func runCleaning(t *testing.T, seed uint64, plan func(cleaning.Pool) *cleaning.Proposal) cleanFigures {
	var out cleanFigures
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 8))
		pool := cleaning.Pool{Name: "p", CleaningPeriod: cleanEvery}
		for i := range 12 {
			pool.Endpoints = append(pool.Endpoints, cleaning.Endpoint{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%3), Capacity: 1,
				LastCleaned: time.Now().Add(-time.Duration(rng.Float64() * float64(cleanEvery)))})
		}
		lostDomain := fmt.Sprint("d", seed%3)
		busy, until := "", time.Time{}
		asked, lost, average := 0.0, 0.0, 0.0
		for at := time.Duration(0); at < 2*cleanEvery; at += cleanStep {
			demand := 6.5 - 2.5*math.Cos(2*math.Pi*(at.Hours()-3)/24) + 0.3*rng.NormFloat64()
			if average == 0 {
				average = demand
			}
			average += (demand - average) * cleanStep.Hours() / 24
			outage := at%cleanEvery > 72*time.Hour && at%cleanEvery < 96*time.Hour
			capacity, cleaningOne := 0.0, 0.0
			for i := range pool.Endpoints {
				e := &pool.Endpoints[i]
				e.OutOfService = outage && e.FailureDomain == lostDomain
				if e.Name == busy && !time.Now().Before(until) {
					e.LastCleaned, busy = time.Now(), ""
					out.cleaned++
				}
				if e.OutOfService {
					continue
				}
				capacity++
				if e.Name == busy {
					cleaningOne = 1
				}
				out.overdue = max(out.overdue, (time.Since(e.LastCleaned) - cleanEvery).Hours())
			}
			asked += demand
			harm := min(demand, capacity) - min(demand, capacity-cleaningOne)
			lost += harm
			if harm > 0 && outage {
				out.together++
			}
			pool.DemandShort, pool.DemandLong, pool.DisruptionPlanned = demand, average, busy != ""
			if c := plan(pool); c != nil && busy == "" {
				busy, until = c.Endpoint, time.Now().Add(cleanTakes)
			}
			time.Sleep(cleanStep)
		}
		out.lost = lost / asked
	})
	return out
}

// whenDue cleans an endpoint when its period ends, whatever the demand.
func whenDue(pool cleaning.Pool) *cleaning.Proposal {
	for _, e := range pool.Endpoints {
		if !pool.DisruptionPlanned && !e.OutOfService && time.Since(e.LastCleaned) >= cleanEvery {
			return &cleaning.Proposal{Endpoint: e.Name}
		}
	}
	return nil
}

func measureCleaning(t *testing.T, r *report) {
	r.printf("## Cleaning (design 6.9)\n\nTwo weeks of 12 endpoints with a daily course of demand between 4 and 9 endpoints. In each week one failure domain of four\n")
	r.printf("endpoints is out for a day. A cleaning takes 30 minutes.\n\n")
	var rows [][]string
	for _, rule := range []struct {
		name string
		plan func(cleaning.Pool) *cleaning.Proposal
	}{{"at low demand (ours)", cleaning.Plan}, {"when due", whenDue}} {
		list := eachSeed(t, func(t *testing.T, seed uint64) cleanFigures { return runCleaning(t, seed, rule.plan) })
		overdue := column(list, func(f cleanFigures) float64 { return f.overdue })
		lost := column(list, func(f cleanFigures) float64 { return f.lost })
		rows = append(rows, []string{rule.name, lost.scaled(100).format("%.3f%%"), overdue.format("%.1f h"),
			column(list, func(f cleanFigures) float64 { return f.cleaned }).format("%.0f"),
			column(list, func(f cleanFigures) float64 { return f.together }).format("%.0f")})
		if rule.name == "at low demand (ours)" && lost.mean() > 0.001 {
			t.Errorf("cleaning cost %s of the work", lost.percent())
		}
	}
	r.table([]string{"rule", "work lost", "longest overdue", "cleanings", "harmful steps of 5 min in an outage"}, rows)
	t.Logf("%v", rows)
}
