package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/fleet"
	"crocusglade.example/crocusglade/internal/world"
)

func init() { sections = append(sections, section{6, "fleet", measureFleet}) }

const (
	fleetStep        = time.Minute
	fleetColdStart   = 10 * time.Minute
	onDemandPrice    = 1.0
	reclaimablePrice = 0.35
	// fleetBase is the demand, in endpoints, that must be served with a failure domain lost.
	fleetBase = 5.0
)

var fleetDomains = []string{"lk-west-a", "lk-west-b", "lk-west-c"}

// fleetRule is how orders are made.
type fleetRule struct {
	name     string
	onDemand bool // order no reclaimable endpoints
	noSpread bool // order all reclaimable endpoints in one failure domain
}

type fleetFigures struct {
	cost, served, worst float64 // against the least that serves; share of the work; least share in an hour
}

// fleetDemand is the demand in endpoints: a day's course with noise.
func fleetDemand(at time.Duration, noise float64) float64 {
	return max(2, 7.5-4*math.Cos(2*math.Pi*(at.Hours()-3)/24)+noise)
}

// runFleet is three days: each day at noon one failure domain's reclaimable endpoints are reclaimed, and on the second day none
// are to be had for six hours.
func runFleet(t *testing.T, seed uint64, rule fleetRule) fleetFigures {
	var out fleetFigures
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 6))
		planner := fleet.NewPlanner()
		pool := fleet.Pool{Name: "p", Domains: fleetDomains, Base: fleetBase, MaxEndpoints: 24}
		ready := map[string]time.Time{}
		cost, least, served, asked, noise, slope, average := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
		hourServed, hourAsked, worst := 0.0, 0.0, 1.0
		for at := time.Duration(0); at < 72*time.Hour; at += fleetStep {
			noise = 0.95*noise + 0.06*rng.NormFloat64()
			demand := fleetDemand(at, noise)
			none := at > 36*time.Hour && at < 42*time.Hour
			if at%(24*time.Hour) == 12*time.Hour {
				reclaim(&pool, fleetDomains[int(seed+uint64(at/(24*time.Hour)))%3], rule.noSpread)
			}
			capacity := 0.0
			for i, e := range pool.Endpoints {
				pool.Endpoints[i].Starting = time.Now().Before(ready[e.Name])
				if !pool.Endpoints[i].Starting {
					capacity++
				}
				if e.Class == world.Reclaimable {
					cost += reclaimablePrice
				} else {
					cost += onDemandPrice
				}
			}
			// The first half day fills the pool and does not count.
			if at < 12*time.Hour {
				cost = 0
			} else {
				least += leastCost(demand)
				served += min(demand, capacity)
				asked += demand
				hourServed += min(demand, capacity)
				hourAsked += demand
				if at%time.Hour == 0 {
					worst = min(worst, hourServed/hourAsked)
					hourServed, hourAsked = 0, 0
				}
			}
			if average == 0 {
				average = demand
			}
			before := average
			average += (demand - average) / 15
			slope += (average - before - slope) / 30
			pool.Demand = demand
			// The average lags by 15 minutes behind the trend.
			pool.Forecast = average + slope*(15+fleetColdStart.Minutes()+15)
			order(planner, &pool, rule, ready, none)
			time.Sleep(fleetStep)
		}
		out = fleetFigures{cost / least, served / asked, worst}
	})
	return out
}

// reclaim takes the reclaimable endpoints of a failure domain.
func reclaim(pool *fleet.Pool, domain string, noSpread bool) {
	if noSpread {
		domain = fleetDomains[0]
	}
	var rest []fleet.Endpoint
	for _, e := range pool.Endpoints {
		if e.Class != world.Reclaimable || e.FailureDomain != domain {
			rest = append(rest, e)
		}
	}
	pool.Endpoints = rest
}

// order carries out the planner's proposals of one step.
func order(planner *fleet.Planner, pool *fleet.Pool, rule fleetRule, ready map[string]time.Time, none bool) {
	for range 6 {
		c := planner.Plan(*pool)
		switch {
		case c == nil:
			return
		case c.Kind == fleet.Remove:
			for i, e := range pool.Endpoints {
				if e.Name == c.Endpoint {
					pool.Endpoints = append(pool.Endpoints[:i:i], pool.Endpoints[i+1:]...)
					break
				}
			}
		case c.Class == world.Reclaimable && (none || rule.onDemand):
			planner.Unavailable(pool.Name, c.FailureDomain, c.Class)
		default:
			domain := c.FailureDomain
			if rule.noSpread && c.Class == world.Reclaimable {
				domain = fleetDomains[0]
			}
			name := fmt.Sprint("e", len(ready))
			ready[name] = time.Now().Add(fleetColdStart)
			pool.Endpoints = append(pool.Endpoints, fleet.Endpoint{Name: name, FailureDomain: domain, Class: c.Class, Starting: true})
		}
	}
}

// leastCost is the price of the cheapest fleet that serves the demand of this moment and, on demand, the base with a
// failure domain lost, if reclaimable endpoints could always be had.
func leastCost(demand float64) float64 {
	base := math.Ceil(fleetBase * 1.5)
	return base*onDemandPrice + math.Ceil(max(0, demand-base))*reclaimablePrice
}

func measureFleet(t *testing.T, r *report) {
	r.printf("## Fleet (design 6.9)\n\nThree days of a daily course between 3.5 and 11.5 endpoints of demand; cold start 10 minutes; a reclaimable endpoint costs\n")
	r.printf("%.2f of an on-demand one. Each noon the reclaimable endpoints of one failure domain are reclaimed (the one that has them\n", reclaimablePrice)
	r.printf("all, without spread), and for the six hours after the second noon none are to be had. Target: cost within 15%% of the\n")
	r.printf("least that serves at each moment, if orders had no delay and reclaimable endpoints could always be had. The base (8\n")
	r.printf("endpoints, to serve 5 with a failure domain lost) is most of this fleet, so the target is easy to meet here.\n\n")
	var rows [][]string
	for _, rule := range []fleetRule{{name: "spread reclaimable above the base (ours)"}, {name: "all on-demand", onDemand: true}, {name: "no spread", noSpread: true}} {
		list := eachSeed(t, func(t *testing.T, seed uint64) fleetFigures { return runFleet(t, seed, rule) })
		cost := column(list, func(f fleetFigures) float64 { return f.cost })
		served := column(list, func(f fleetFigures) float64 { return f.served })
		rows = append(rows, []string{rule.name, cost.String(), served.scaled(100).format("%.2f%%"), column(list, func(f fleetFigures) float64 { return f.worst }).percent()})
		if rule.name == "spread reclaimable above the base (ours)" {
			defer func() { r.printf("Target %s: %.2f times the least.\n\n", verdict(cost.mean() <= 1.15), cost.mean()) }()
			if served.mean() < 0.95 {
				t.Errorf("only %s of the work served", served.percent())
			}
		}
	}
	r.table([]string{"rule", "cost against the least", "work served", "worst hour"}, rows)
	t.Logf("%v", rows)
}
