package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/autoscale"
)

func init() { sections = append(sections, section{6, "fleet", measureFleet}) }

const (
	fleetStep        = time.Minute
	fleetColdStart   = 10 * time.Minute
	onDemandPrice    = 1.0
	reclaimablePrice = 0.35
)

// fleetModel is a deployment's pool with its demand.
type fleetModel struct {
	deployment
	// scale is the demand in multiples of that of 12 engines.
	scale float64
}

func newFleetModel(d deployment) fleetModel { return fleetModel{d, float64(d.engines) / 12} }

// base is the demand, in endpoints, that must be served with a failure domain lost.
func (m fleetModel) base() float64 { return 5 * m.scale }

// fleetRule is how orders are made.
type fleetRule struct {
	name     string
	onDemand bool // order no reclaimable endpoints
	noSpread bool // order all reclaimable endpoints in one failure domain
}

type fleetFigures struct {
	cost, served, worst float64 // against the least that serves; share of the work; least share in an hour
}

// demand is the demand in endpoints: a day's course with noise.
func (m fleetModel) demand(at time.Duration, noise float64) float64 {
	return m.scale * max(2, 7.5-4*math.Cos(2*math.Pi*(at.Hours()-3)/24)+noise)
}

// run is three days: each day at noon one failure domain's reclaimable endpoints are reclaimed, and on the second day none
// are to be had for six hours.
func (m fleetModel) run(t *testing.T, seed uint64, rule fleetRule) fleetFigures {
	var out fleetFigures
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 6))
		planner := autoscale.NewPlanner()
		pool := autoscale.Pool{Name: "p", Domains: m.domains, Base: m.base(), MaxEndpoints: 24}
		ready := map[string]time.Time{}
		cost, least, served, asked, noise, slope, average := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
		hourServed, hourAsked, worst := 0.0, 0.0, 1.0
		for at := time.Duration(0); at < 72*time.Hour; at += fleetStep {
			noise = 0.95*noise + 0.06*rng.NormFloat64()
			demand := m.demand(at, noise)
			none := at > 36*time.Hour && at < 42*time.Hour
			if at%(24*time.Hour) == 12*time.Hour {
				reclaim(&pool, m.domains[int(seed+uint64(at/(24*time.Hour)))%3], rule.noSpread)
			}
			capacity := 0.0
			for i, e := range pool.Endpoints {
				pool.Endpoints[i].Starting = time.Now().Before(ready[e.Name])
				if !pool.Endpoints[i].Starting {
					capacity++
				}
				if e.Class == apitypes.Reclaimable {
					cost += reclaimablePrice
				} else {
					cost += onDemandPrice
				}
			}
			// The first half day fills the pool and does not count.
			if at < 12*time.Hour {
				cost = 0
			} else {
				least += m.leastCost(demand)
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
func reclaim(pool *autoscale.Pool, domain string, noSpread bool) {
	if noSpread {
		domain = pool.Domains[0]
	}
	var rest []autoscale.Endpoint
	for _, e := range pool.Endpoints {
		if e.Class != apitypes.Reclaimable || e.FailureDomain != domain {
			rest = append(rest, e)
		}
	}
	pool.Endpoints = rest
}

// order carries out the planner's proposals of one step.
func order(planner *autoscale.Planner, pool *autoscale.Pool, rule fleetRule, ready map[string]time.Time, none bool) {
	for range 6 {
		c := planner.Plan(*pool)
		switch {
		case c == nil:
			return
		case c.Kind == autoscale.Remove:
			for i, e := range pool.Endpoints {
				if e.Name == c.Endpoint {
					pool.Endpoints = append(pool.Endpoints[:i:i], pool.Endpoints[i+1:]...)
					break
				}
			}
		case c.Class == apitypes.Reclaimable && (none || rule.onDemand):
			planner.MarkUnavailable(pool.Name, c.FailureDomain, c.Class)
		default:
			domain := c.FailureDomain
			if rule.noSpread && c.Class == apitypes.Reclaimable {
				domain = pool.Domains[0]
			}
			name := fmt.Sprint("e", len(ready))
			ready[name] = time.Now().Add(fleetColdStart)
			pool.Endpoints = append(pool.Endpoints, autoscale.Endpoint{Name: name, FailureDomain: domain, Class: c.Class, Starting: true})
		}
	}
}

// leastCost is the price of the cheapest fleet that serves the demand of this moment and, on demand, the base with a
// failure domain lost, if reclaimable endpoints could always be had.
func (m fleetModel) leastCost(demand float64) float64 {
	base := math.Ceil(m.base() * 1.5)
	return base*onDemandPrice + math.Ceil(max(0, demand-base))*reclaimablePrice
}

// fleetRules are the rules that are compared; the first is ours.
var fleetRules = []fleetRule{{name: "spread reclaimable above the base (ours)"}, {name: "all on-demand", onDemand: true}, {name: "no spread", noSpread: true}}

func measureFleet(t *testing.T, r *report) {
	r.printf("## Fleet (design 6.9)\n\nThree days of a daily course of demand between 3.5 and 11.5 endpoints in lk-west and five sixths of it in riga-gulf; cold\n")
	r.printf("start 10 minutes; a reclaimable endpoint costs %.2f of an on-demand one. Each noon the reclaimable endpoints of one\n", reclaimablePrice)
	r.printf("failure domain are reclaimed (the one that has them all, without spread), and for the six hours after the second noon\n")
	r.printf("none are to be had. Target: cost within 15%% of the least that serves at each moment, if orders had no delay and\n")
	r.printf("reclaimable endpoints could always be had. The base (8 endpoints in lk-west, to serve 5 with a failure domain lost; 7 in\n")
	r.printf("riga-gulf) is most of these fleets, so the target is easy to meet here.\n\n")
	for _, d := range []deployment{rigaGulf(), lkWest()} {
		newFleetModel(d).measure(t, r)
	}
}

// measure compares the rules for one deployment.
func (m fleetModel) measure(t *testing.T, r *report) {
	var rows [][]string
	var costs []series
	for _, rule := range fleetRules {
		list := eachSeed(t, func(t *testing.T, seed uint64) fleetFigures { return m.run(t, seed, rule) })
		served := column(list, func(f fleetFigures) float64 { return f.served })
		costs = append(costs, column(list, func(f fleetFigures) float64 { return f.cost }))
		rows = append(rows, []string{rule.name, costs[len(rows)].String(), served.scaled(100).format("%.2f%%"), column(list, func(f fleetFigures) float64 { return f.worst }).percent()})
		if !rule.onDemand && !rule.noSpread && served.mean() < 0.95 {
			t.Errorf("%s: only %s of the work served", m.name, served.percent())
		}
	}
	r.printf("%s:\n\n", m.name)
	r.table([]string{"rule", "cost against the least", "work served", "worst hour"}, rows)
	r.printf("Target %s: %.2f times the least.\n\n", verdict(costs[0].mean() <= 1.15), costs[0].mean())
	t.Logf("%s %v", m.name, rows)
}
