package measure

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/retry"
)

const (
	gateways = 4
	// oneWay is the time between two failure domains.
	oneWay = 1500 * time.Microsecond
	// Gateways exchange sends and demand so often.
	exchangeEvery = 200 * time.Millisecond
	// capacityEvery is the time between two updates of the capacity that admission uses.
	capacityEvery = 50 * time.Millisecond
	// Load reports are taken so often and arrive after reportLag.
	reportEvery = 250 * time.Millisecond
	reportLag   = 300 * time.Millisecond
	// firstReports is the time before the work begins, in which the first reports arrive.
	firstReports = 2 * time.Second
	// Cache events are collected so often, arrive after eventLag and are lost with eventLoss.
	eventEvery = 500 * time.Millisecond
	eventLag   = time.Second
	eventLoss  = 0.05
)

// rules says which rule decides in a run.
type rules struct {
	choice rule
	// lag is the age of load reports; zero means reportLag.
	lag time.Duration
	// reportTime is the time between two load reports of an endpoint; zero means reportEvery.
	reportTime time.Duration
	// exchange is the time between two exchanges; zero means exchangeEvery.
	exchangeTime time.Duration
	fifo         bool
	// plainRetries retries twice without a budget and without quarantine.
	plainRetries bool
	// silent leaves out the exchange of deaths between gateways.
	silent bool
	// tellFirst tells the neighbours of a death before the caller is answered or the request is tried again.
	tellFirst bool
	// continues retries requests after their first token too, as a gateway continues streams.
	continues bool
	// resetOnGap forgets an engine's prefixes when events of its cache are lost; without it they become unsure.
	resetOnGap bool
	// together leaves suspects where the choice puts them.
	together bool
	teams    map[string]admission.TeamConfig
	// prepare changes the fleet before the run. path replaces the path of requests of the engine pool.
	prepare func(*cluster)
	path    func(ctx context.Context, c *cluster, g *gateway, w *request) result
	// disturb runs beside the work and changes the fleet.
	disturb func(ctx context.Context, c *cluster)
	// finished looks at the cluster after the last request.
	finished func(c *cluster)
}

// result is what became of one request.
type result struct {
	*request
	first   time.Duration // time to the first token; 0 when there was none
	refused bool
	kind    apierror.Kind
	tries   int
}

func (r *result) inTime() bool { return r.first > 0 && r.first <= r.target }

// gateway is one gateway: the real decisions and the path of a request between them.
type gateway struct {
	name       string
	choice     chooser
	queue      admitter
	budget     *retry.Budget
	quarantine *retry.Quarantine
}

// cluster is a deployment in virtual time.
type cluster struct {
	deployment
	rules
	gateways []*gateway
	engines  map[string]*engine
	names    []string // engines in order
	// crashes counts crashes of engines, suspects requests that were on one.
	crashes, suspects atomic.Int64
	begin             time.Time
}

// run replays the work and returns one result for each request.
func run(t *testing.T, d deployment, work []*request, seed uint64, r rules) []result {
	t.Helper()
	results := make([]result, len(work))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(d, seed, r)
		if r.prepare != nil {
			r.prepare(c)
		}
		var background, callers sync.WaitGroup
		for _, name := range c.names {
			background.Go(func() { c.report(ctx, c.engines[name]) })
			background.Go(func() { c.cacheEvents(ctx, c.engines[name], seed) })
		}
		background.Go(func() { c.exchange(ctx) })
		background.Go(func() {
			for c.setCapacities(); pause(ctx, nil, capacityEvery) == nil; c.setCapacities() {
			}
		})
		if r.disturb != nil {
			background.Go(func() { r.disturb(ctx, c) })
		}
		// The first reports arrive before the work begins.
		time.Sleep(firstReports)
		c.begin = time.Now()
		for i, w := range work {
			time.Sleep(time.Until(c.begin.Add(w.at)))
			callers.Go(func() { results[i] = c.handle(ctx, c.gateways[w.gateway], w) })
		}
		// A request that never ends would let virtual time run on for ever.
		stuck := time.AfterFunc(10*time.Minute, func() {
			t.Error("requests are still open 10 minutes after the last one was sent")
			cancel()
		})
		callers.Wait()
		if r.finished != nil {
			r.finished(c)
		}
		stuck.Stop()
		cancel()
		background.Wait()
	})
	return results
}

func newCluster(d deployment, seed uint64, r rules) *cluster {
	if r.choice == "" {
		r.choice = predicted
	}
	c := &cluster{deployment: d, rules: r, engines: make(map[string]*engine)}
	for i := range d.engines {
		c.addEngine(fmt.Sprintf("%s-%d", d.pool, i), d.pool, d.domains[i%len(d.domains)], d.kind, seed+uint64(i))
	}
	for i := range 3 {
		kind := engineKind{service: 30 * time.Millisecond, slots: 8}
		c.addEngine(fmt.Sprintf("%s-%d", d.service, i), d.service, d.domains[i], kind, seed+uint64(i))
	}
	teams := r.teams
	if teams == nil {
		teams = make(map[string]admission.TeamConfig)
		for _, s := range d.streams {
			teams[s.team] = admission.TeamConfig{Weight: 1}
		}
	}
	gatewayNames := make([]string, gateways)
	for i := range gateways {
		gatewayNames[i] = fmt.Sprint("vm", i)
	}
	for i := range gateways {
		g := &gateway{name: gatewayNames[i], choice: newChooser(r.choice, seed*10+uint64(i)), budget: retry.NewBudget(0.1),
			quarantine: retry.NewQuarantine(10 * time.Minute)}
		if b, real := g.choice.(ours); real {
			b.SetSuspectOwnership(func(e string) bool { return membership.Rendezvous(e, gatewayNames, 1)[0] == g.name })
		}
		if r.fifo {
			g.queue = newFIFO()
		} else {
			q := admission.New()
			q.SetSelf(g.name)
			q.SetTeams(teams)
			g.queue = fairQueue{q}
		}
		c.gateways = append(c.gateways, g)
	}
	return c
}

func (c *cluster) addEngine(name, pool, domain string, kind engineKind, seed uint64) {
	e := newEngine(apitypes.Endpoint{Name: name, Pool: pool, FailureDomain: domain, Class: apitypes.OnDemand, State: apitypes.EndpointReady}, kind, seed)
	e.onCrash = func() { c.crashes.Add(1) }
	c.engines[name] = e
	c.names = append(c.names, name)
}

// report delivers an engine's load reports late to all gateways.
func (c *cluster) report(ctx context.Context, e *engine) {
	for {
		endpoint, load, at := e.state(), e.report(), time.Now()
		if endpoint.State == apitypes.EndpointGone {
			return
		}
		if pause(ctx, nil, cmp.Or(c.lag, reportLag)) != nil {
			return
		}
		for _, g := range c.gateways {
			g.choice.update(e.Pool, balancer.Endpoint{Endpoint: endpoint, Load: load, ReportedAt: at})
		}
		if pause(ctx, nil, cmp.Or(c.reportTime, reportEvery)) != nil {
			return
		}
	}
}

// cacheEvents delivers an engine's cache events late and with gaps.
func (c *cluster) cacheEvents(ctx context.Context, e *engine, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(len(e.Name))+uint64(e.Name[len(e.Name)-1])<<8))
	for {
		e.mu.Lock()
		stored, removed := e.cache.takeEvents()
		e.mu.Unlock()
		if pause(ctx, nil, eventLag) != nil {
			return
		}
		lost := rng.Float64() < eventLoss
		for _, g := range c.gateways {
			b, real := g.choice.(ours)
			switch {
			case !real:
			case lost && c.resetOnGap:
				b.ApplyCacheEvent(e.Name, nil, nil, true)
			case lost:
				b.RecordCacheGap(e.Name)
			default:
				b.ApplyCacheEvent(e.Name, stored, removed, false)
			}
		}
		if pause(ctx, nil, eventEvery) != nil {
			return
		}
	}
}

// exchange tells each gateway of the others' sends and demand.
func (c *cluster) exchange(ctx context.Context) {
	for {
		type news struct {
			sends  map[string]balancer.LoadDelta
			demand map[string]admission.Demand
		}
		all := make([]news, len(c.gateways))
		for i, g := range c.gateways {
			if b, real := g.choice.(ours); real {
				all[i].sends = b.CollectLoadDeltas()
			}
			if q, real := g.queue.(fairQueue); real {
				all[i].demand = q.DemandByTeam()
			}
		}
		if pause(ctx, nil, oneWay) != nil {
			return
		}
		for i, from := range c.gateways {
			for j, to := range c.gateways {
				if i == j {
					continue
				}
				if b, real := to.choice.(ours); real {
					for name, s := range all[i].sends {
						b.AddPeerLoad(from.name, name, s.PromptTokens, s.Requests)
					}
				}
				if q, real := to.queue.(fairQueue); real {
					q.SetPeerDemand(from.name, all[i].demand)
				}
			}
		}
		if pause(ctx, nil, cmp.Or(c.exchangeTime, exchangeEvery)-oneWay) != nil {
			return
		}
	}
}

// setCapacities divides the pools among the gateways: by what the balancer knows, or evenly for a baseline.
func (c *cluster) setCapacities() {
	for _, pool := range []string{c.pool, c.service} {
		kind, n := c.kind, c.deployment.engines
		if pool == c.service {
			kind, n = engineKind{slots: 8}, 3
		}
		for _, g := range c.gateways {
			concurrent, surplus, inFlight, rate := n*kind.slots/gateways, n*kind.slots/gateways, 0, float64(n)*kind.prefillRate/gateways
			if b, real := g.choice.(ours); real {
				concurrent, rate = b.Capacity(pool, gateways)
				surplus, inFlight = b.SurplusCapacity(pool, gateways)
			}
			g.queue.setCapacity(pool, concurrent, surplus, inFlight, rate)
		}
	}
}

// handle is the path of one request through a gateway.
func (c *cluster) handle(ctx context.Context, g *gateway, w *request) result {
	if c.path != nil && w.pool == c.pool {
		return c.path(ctx, c, g, w)
	}
	res := result{request: w}
	begin := time.Now()
	fingerprint := w.fingerprint()
	if !c.plainRetries && g.quarantine.Blocked(fingerprint) {
		res.refused, res.kind = true, apierror.Quarantined
		return res
	}
	release, err := g.queue.acquire(ctx, admission.Request{Team: w.team, Pool: w.pool, Priority: w.priority, Tokens: w.tokens(),
		Deadline: begin.Add(w.patience)})
	if err != nil {
		res.refused, res.kind = true, kindOf(err)
		return res
	}
	defer release(w.tokens())
	g.budget.RecordFirstTry(w.pool)
	record := retry.NewHistory(fingerprint, true, begin.Add(w.patience))
	for {
		endpoint, err := c.try(ctx, g, w, record, &res, begin)
		if err == nil {
			g.quarantine.Clear(fingerprint)
		}
		if err == nil || endpoint == "" {
			return res
		}
		died := errors.Is(err, errDied)
		record.RecordFailure(endpoint, died, g.quarantine)
		if died {
			c.suspects.Add(1)
			c.tellDeath(ctx, g, fingerprint, endpoint)
		}
		if c.plainRetries {
			if res.tries < 3 {
				continue
			}
			return res
		}
		if res.first > 0 && !c.continues || !record.MayRetry(w.pool, g.budget, g.quarantine) {
			return res
		}
	}
}

// try places the request once. It returns no endpoint when none could take it in time.
func (c *cluster) try(ctx context.Context, g *gateway, w *request, record *retry.History, res *result, begin time.Time) (string, error) {
	var p placement
	for {
		var err error
		place := balancer.Request{Pool: w.pool, PromptTokens: w.prompt, OutputTokens: w.output, Prefix: w.prefix, Exclude: record.TriedEndpoints()}
		if fingerprint := w.fingerprint(); !c.together && g.quarantine.HasCrashRecord(fingerprint) {
			place.SuspectFingerprint = fingerprint
		}
		p, err = g.choice.choose(ctx, place, begin.Add(w.patience))
		if err == nil {
			break
		}
		if kindOf(err) != apierror.Overloaded || time.Since(begin) > w.patience {
			res.refused, res.kind = res.tries == 0, kindOf(err)
			return "", err
		}
		// The memory or slot that admission counted on is not free yet.
		if err := pause(ctx, nil, 10*time.Millisecond); err != nil {
			return "", err
		}
	}
	res.tries++
	_ = pause(ctx, nil, oneWay)
	err := c.engines[p.endpoint].serve(ctx, w, func() {
		if res.first == 0 {
			res.first = time.Since(begin) + oneWay
		}
		p.firstToken()
	})
	p.done(balancer.Outcome{Failed: err != nil, TimeToFirstToken: res.first, OutputTokens: w.output})
	return p.endpoint, err
}

// tellDeath reports a death to the other gateways: with the next exchange, or at once and before anything else is done.
func (c *cluster) tellDeath(ctx context.Context, g *gateway, fingerprint uint64, endpoint string) {
	if c.silent || c.plainRetries {
		return
	}
	tell := func() {
		for _, other := range c.gateways {
			if other != g {
				other.quarantine.RecordCrash(fingerprint, endpoint)
			}
		}
	}
	if c.tellFirst {
		_ = pause(ctx, nil, 2*oneWay)
		tell()
		return
	}
	time.AfterFunc(exchangeEvery, tell)
}

func kindOf(err error) apierror.Kind {
	var e *apierror.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return apierror.DeadlineUnreachable
}
