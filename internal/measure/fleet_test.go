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
	fleetStep      = time.Minute      // of the simulation
	fleetColdStart = 10 * time.Minute // from the order of an endpoint until it serves
	// Prices are for one endpoint and step, in multiples of the on-demand price.
	onDemandPrice    = 1.0
	reclaimablePrice = 0.35
)

// fleetModel models the engine pool of a deployment and its demand.
type fleetModel struct {
	deployment
	// demandScale is the demand as a multiple of the demand on 12 engines.
	demandScale float64
}

func newFleetModel(d deployment) fleetModel { return fleetModel{d, float64(d.engineCount) / 12} }

// base returns the demand, in endpoints, that must still be served with one failure domain lost.
func (m fleetModel) base() float64 { return 5 * m.demandScale }

// fleetRule is a rule for ordering endpoints.
type fleetRule struct {
	name         string
	onDemandOnly bool // orders no reclaimable endpoints
	noSpread     bool // orders all reclaimable endpoints in one failure domain
}

// fleetFigures holds the figures of one run: the cost against the least cost that serves the demand, the fraction of the demand
// that was served, and that fraction in the worst hour.
type fleetFigures struct {
	cost, served, worstHour float64
}

// demand returns the demand in endpoints at a time: a daily curve with noise.
func (m fleetModel) demand(at time.Duration, noise float64) float64 {
	return m.demandScale * max(2, 7.5-4*math.Cos(2*math.Pi*(at.Hours()-3)/24)+noise)
}

// run simulates three days. Each day at noon the reclaimable endpoints of one failure domain are reclaimed. For the six hours
// after the second noon no reclaimable endpoints are available.
func (m fleetModel) run(t *testing.T, seed uint64, rule fleetRule) fleetFigures {
	var out fleetFigures
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 6))
		planner := autoscale.NewPlanner()
		pool := autoscale.Pool{Name: "p", Domains: m.domains, Base: m.base(), MaxEndpoints: 24}
		ready := map[string]time.Time{}
		cost, leastCost, served, totalDemand, noise, slope, average := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
		hourServed, hourDemand, worstHour := 0.0, 0.0, 1.0
		for elapsed := time.Duration(0); elapsed < 72*time.Hour; elapsed += fleetStep {
			noise = 0.95*noise + 0.06*rng.NormFloat64()
			demand := m.demand(elapsed, noise)
			noReclaimable := elapsed > 36*time.Hour && elapsed < 42*time.Hour
			if elapsed%(24*time.Hour) == 12*time.Hour {
				reclaimDomain(&pool, m.domains[int(seed+uint64(elapsed/(24*time.Hour)))%3], rule.noSpread)
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
			// The first 12 hours fill the pool and are not counted.
			if elapsed < 12*time.Hour {
				cost = 0
			} else {
				leastCost += m.leastCost(demand)
				served += min(demand, capacity)
				totalDemand += demand
				hourServed += min(demand, capacity)
				hourDemand += demand
				if elapsed%time.Hour == 0 {
					worstHour = min(worstHour, hourServed/hourDemand)
					hourServed, hourDemand = 0, 0
				}
			}
			if average == 0 {
				average = demand
			}
			previous := average
			average += (demand - average) / 15
			slope += (average - previous - slope) / 30
			pool.Demand = demand
			// The average lags 15 minutes behind the trend.
			pool.Forecast = average + slope*(15+fleetColdStart.Minutes()+15)
			applyProposals(planner, &pool, rule, ready, noReclaimable)
			time.Sleep(fleetStep)
		}
		out = fleetFigures{cost / leastCost, served / totalDemand, worstHour}
	})
	return out
}

// reclaimDomain removes the reclaimable endpoints of a failure domain. With noSpread all of them are in the first domain.
func reclaimDomain(pool *autoscale.Pool, domain string, noSpread bool) {
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

// applyProposals applies up to six proposals of the planner in one step. With noReclaimable the platform has no reclaimable
// endpoints.
func applyProposals(planner *autoscale.Planner, pool *autoscale.Pool, rule fleetRule, ready map[string]time.Time, noReclaimable bool) {
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
		case c.Class == apitypes.Reclaimable && (noReclaimable || rule.onDemandOnly):
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

// leastCost returns the price of one step of the cheapest fleet that serves the demand, as if reclaimable endpoints were always
// available. The fleet has enough on-demand endpoints to serve the base with one failure domain lost.
func (m fleetModel) leastCost(demand float64) float64 {
	base := math.Ceil(m.base() * 1.5)
	return base*onDemandPrice + math.Ceil(max(0, demand-base))*reclaimablePrice
}

// fleetRules are the compared rules. The first one is the real planner without restrictions.
var fleetRules = []fleetRule{{name: "spread reclaimable above the base (crocusglade)"}, {name: "all on-demand", onDemandOnly: true}, {name: "no spread", noSpread: true}}

func measureFleet(t *testing.T, r *report) {
	r.printf("## Fleet (design 6.9)\n\nThree days of demand with a daily cycle between 3.5 and 11.5 endpoints in lk-west and five sixths of it in riga-gulf; cold\n")
	r.printf("start 10 minutes; a reclaimable endpoint costs %.2f of an on-demand one. Each noon the reclaimable endpoints of one\n", reclaimablePrice)
	r.printf("failure domain are reclaimed (the one that has them all, without spread), and for the six hours after the second noon\n")
	r.printf("none are available. Target: cost within 15%% of the cheapest fleet that serves the demand at each moment, if orders had no delay and\n")
	r.printf("reclaimable endpoints were always available. The base (8 endpoints in lk-west, to serve 5 with a failure domain lost; 7 in\n")
	r.printf("riga-gulf) is most of these fleets, so the target is easy to meet here.\n\n")
	for _, d := range []deployment{rigaGulf(), lkWest()} {
		newFleetModel(d).measure(t, r)
	}
}

// measure compares the rules on one deployment.
func (m fleetModel) measure(t *testing.T, r *report) {
	var rows [][]string
	var costs []series
	for _, rule := range fleetRules {
		list := eachSeed(t, func(t *testing.T, seed uint64) fleetFigures { return m.run(t, seed, rule) })
		served := collect(list, func(f fleetFigures) float64 { return f.served })
		costs = append(costs, collect(list, func(f fleetFigures) float64 { return f.cost }))
		rows = append(rows, []string{rule.name, costs[len(rows)].String(), served.scaled(100).format("%.2f%%"), collect(list, func(f fleetFigures) float64 { return f.worstHour }).percent()})
		if !rule.onDemandOnly && !rule.noSpread && served.mean() < 0.95 {
			t.Errorf("%s: %s of the demand served, want at least 95%%", m.name, served.percent())
		}
	}
	r.printf("%s:\n\n", m.name)
	r.table([]string{"rule", "cost relative to the minimum", "demand served", "worst hour"}, rows)
	r.printf("Target %s: %.2f times the minimum.\n\n", verdict(costs[0].mean() <= 1.15), costs[0].mean())
	t.Logf("%s %v", m.name, rows)
}
