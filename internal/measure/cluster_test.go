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
	gatewayCount = 4
	// oneWayDelay is the network delay between two failure domains, one way.
	oneWayDelay = 1500 * time.Microsecond
	// exchangeInterval is the time between two exchanges of dispatched requests and demand among the gateways.
	exchangeInterval = 200 * time.Millisecond
	// capacityInterval is the time between two updates of the capacity that admission uses.
	capacityInterval = 50 * time.Millisecond
	// reportInterval is the time between the arrival of a load report and the next one. A report arrives after reportLag.
	reportInterval = 250 * time.Millisecond
	reportLag      = 300 * time.Millisecond
	// warmUp is the time before the first request, in which the first load reports arrive.
	warmUp = 2 * time.Second
	// eventInterval is the time between the delivery of a batch of cache events and the next batch. A batch arrives after eventLag
	// and is lost with the probability eventLossRate.
	eventInterval = 500 * time.Millisecond
	eventLag      = time.Second
	eventLossRate = 0.05
)

// runOptions selects the rules of a run and its deviations from the defaults.
type runOptions struct {
	choice choiceRule // empty means predictedFirstToken
	// reportLag is the age of load reports when they arrive. Zero means the constant reportLag.
	reportLag time.Duration
	// reportInterval is the time between the arrival of a load report and the next one. Zero means the constant reportInterval.
	reportInterval time.Duration
	// exchangeInterval is the time between two exchanges among gateways. Zero means the constant exchangeInterval.
	exchangeInterval time.Duration
	// fifo replaces the fair queue by first come, first served.
	fifo bool
	// plainRetries retries up to twice, without a retry budget and without quarantine.
	plainRetries bool
	// noCrashReports leaves out the reports of engine crashes among gateways.
	noCrashReports bool
	// reportCrashFirst reports a crash to the other gateways before the request is retried or its caller gets a response. Otherwise
	// the report goes out with the next exchange.
	reportCrashFirst bool
	// continueStreams also retries requests that have had their first token, as a gateway continues streams.
	continueStreams bool
	// resetOnGap drops the known prefixes of an engine when cache events of it are lost. Otherwise they are kept as uncertain.
	resetOnGap bool
	// noSuspectIsolation places suspects, which are requests with a crash on record, like all other requests. Otherwise the
	// balancer keeps suspects on separate engines.
	noSuspectIsolation bool
	teams              map[string]admission.TeamConfig // nil gives each team of the deployment the weight 1
	// prepare changes the fleet before the run.
	prepare func(*cluster)
	// handler replaces cluster.handle for requests of the engine pool.
	handler func(ctx context.Context, c *cluster, g *gateway, w *request) result
	// changeFleet runs concurrently with the requests and changes the fleet.
	changeFleet func(ctx context.Context, c *cluster)
	// onFinish is called after the last request has ended.
	onFinish func(c *cluster)
}

// result is the outcome of one request.
type result struct {
	*request
	firstToken time.Duration // time to the first token; 0 when there was none
	refused    bool
	errorKind  apierror.Kind // of the error that ended the request before an endpoint took it
	attempts   int
}

// inTime reports whether the first token came within its target.
func (r *result) inTime() bool { return r.firstToken > 0 && r.firstToken <= r.firstTokenTarget }

// gateway is a gateway with the real decision code and the rules of the run.
type gateway struct {
	name       string
	chooser    chooser
	queue      admitter
	budget     *retry.Budget
	quarantine *retry.Quarantine
}

// cluster is a deployment in virtual time.
type cluster struct {
	deployment
	runOptions
	gateways    []*gateway
	engines     map[string]*engine
	engineNames []string // in the order in which they were added
	// crashCount counts crashes of engines, suspectCount requests that were on an engine when it crashed.
	crashCount, suspectCount atomic.Int64
	start                    time.Time // of the first request
}

// replay runs a recorded workload on a deployment and returns one result for each request, in the order of the workload.
func replay(t *testing.T, d deployment, work []*request, seed uint64, r runOptions) []result {
	t.Helper()
	results := make([]result, len(work))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(d, seed, r)
		if r.prepare != nil {
			r.prepare(c)
		}
		var background, callers sync.WaitGroup
		for _, name := range c.engineNames {
			background.Go(func() { c.sendLoadReports(ctx, c.engines[name]) })
			background.Go(func() { c.sendCacheEvents(ctx, c.engines[name], seed) })
		}
		background.Go(func() { c.exchangeState(ctx) })
		background.Go(func() {
			for c.updateCapacities(); pause(ctx, nil, capacityInterval) == nil; c.updateCapacities() {
			}
		})
		if r.changeFleet != nil {
			background.Go(func() { r.changeFleet(ctx, c) })
		}
		// The first load reports arrive before the first request.
		time.Sleep(warmUp)
		c.start = time.Now()
		for i, w := range work {
			time.Sleep(time.Until(c.start.Add(w.arrival)))
			callers.Go(func() { results[i] = c.handle(ctx, c.gateways[w.gateway], w) })
		}
		// A request that never ends would keep virtual time running forever.
		stuck := time.AfterFunc(10*time.Minute, func() {
			t.Error("requests are still in progress 10 minutes after the last one was sent")
			cancel()
		})
		callers.Wait()
		if r.onFinish != nil {
			r.onFinish(c)
		}
		stuck.Stop()
		cancel()
		background.Wait()
	})
	return results
}

// newCluster returns a cluster with the engines of the deployment, three instances of its plain service and the gateways.
func newCluster(d deployment, seed uint64, r runOptions) *cluster {
	if r.choice == "" {
		r.choice = predictedFirstToken
	}
	c := &cluster{deployment: d, runOptions: r, engines: make(map[string]*engine)}
	for i := range d.engineCount {
		c.addEngine(fmt.Sprintf("%s-%d", d.pool, i), d.pool, d.domains[i%len(d.domains)], d.kind, seed+uint64(i))
	}
	for i := range 3 {
		kind := engineKind{serviceTime: 30 * time.Millisecond, slots: 8}
		c.addEngine(fmt.Sprintf("%s-%d", d.servicePool, i), d.servicePool, d.domains[i], kind, seed+uint64(i))
	}
	teams := r.teams
	if teams == nil {
		teams = make(map[string]admission.TeamConfig)
		for _, s := range d.streams {
			teams[s.team] = admission.TeamConfig{Weight: 1}
		}
	}
	gatewayNames := make([]string, gatewayCount)
	for i := range gatewayCount {
		gatewayNames[i] = fmt.Sprint("vm", i)
	}
	for i := range gatewayCount {
		g := &gateway{name: gatewayNames[i], chooser: newChooser(r.choice, seed*10+uint64(i)), budget: retry.NewBudget(0.1),
			quarantine: retry.NewQuarantine(10 * time.Minute)}
		if b, ok := g.chooser.(realBalancer); ok {
			b.SetSuspectOwnership(func(e string) bool { return membership.Rendezvous(e, gatewayNames, 1)[0] == g.name })
		}
		if r.fifo {
			g.queue = newFIFO()
		} else {
			q := admission.New()
			q.SetVMName(g.name)
			q.SetTeams(teams)
			g.queue = fairQueue{q}
		}
		c.gateways = append(c.gateways, g)
	}
	return c
}

func (c *cluster) addEngine(name, pool, domain string, kind engineKind, seed uint64) {
	e := newEngine(apitypes.Endpoint{Name: name, Pool: pool, FailureDomain: domain, Class: apitypes.OnDemand, State: apitypes.EndpointReady}, kind, seed)
	e.onCrash = func() { c.crashCount.Add(1) }
	c.engines[name] = e
	c.engineNames = append(c.engineNames, name)
}

// sendLoadReports delivers the load reports of an engine to all gateways, each after the report lag.
func (c *cluster) sendLoadReports(ctx context.Context, e *engine) {
	for {
		endpoint, load, at := e.endpoint(), e.loadReport(), time.Now()
		if endpoint.State == apitypes.EndpointGone {
			return
		}
		if pause(ctx, nil, cmp.Or(c.reportLag, reportLag)) != nil {
			return
		}
		for _, g := range c.gateways {
			g.chooser.update(e.Pool, balancer.Endpoint{Endpoint: endpoint, Load: load, ReportedAt: at})
		}
		if pause(ctx, nil, cmp.Or(c.reportInterval, reportInterval)) != nil {
			return
		}
	}
}

// sendCacheEvents delivers the cache events of an engine to all gateways, each batch after eventLag. Some batches are lost.
func (c *cluster) sendCacheEvents(ctx context.Context, e *engine, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(len(e.Name))+uint64(e.Name[len(e.Name)-1])<<8))
	for {
		e.mu.Lock()
		stored, removed := e.cache.flushEvents()
		e.mu.Unlock()
		if pause(ctx, nil, eventLag) != nil {
			return
		}
		lost := rng.Float64() < eventLossRate
		for _, g := range c.gateways {
			b, ok := g.chooser.(realBalancer)
			switch {
			case !ok:
			case lost && c.resetOnGap:
				b.ApplyCacheEvent(e.Name, nil, nil, true)
			case lost:
				b.RecordCacheGap(e.Name)
			default:
				b.ApplyCacheEvent(e.Name, stored, removed, false)
			}
		}
		if pause(ctx, nil, eventInterval) != nil {
			return
		}
	}
}

// exchangeState sends the dispatched requests and the demand of each gateway to all others.
func (c *cluster) exchangeState(ctx context.Context) {
	for {
		type peerState struct {
			loadDeltas map[string]balancer.LoadDelta
			demand     map[string]admission.Demand
		}
		all := make([]peerState, len(c.gateways))
		for i, g := range c.gateways {
			if b, ok := g.chooser.(realBalancer); ok {
				all[i].loadDeltas = b.CollectLoadDeltas()
			}
			if q, ok := g.queue.(fairQueue); ok {
				all[i].demand = q.DemandByTeam()
			}
		}
		if pause(ctx, nil, oneWayDelay) != nil {
			return
		}
		for i, from := range c.gateways {
			for j, to := range c.gateways {
				if i == j {
					continue
				}
				if b, ok := to.chooser.(realBalancer); ok {
					for name, d := range all[i].loadDeltas {
						b.AddPeerLoad(from.name, name, d.PromptTokens, d.Requests)
					}
				}
				if q, ok := to.queue.(fairQueue); ok {
					q.SetPeerDemand(from.name, all[i].demand)
				}
			}
		}
		if pause(ctx, nil, cmp.Or(c.exchangeInterval, exchangeInterval)-oneWayDelay) != nil {
			return
		}
	}
}

// updateCapacities sets the capacities that the gateways admit requests for. The real balancer estimates them; a baseline gets an
// equal share of each pool.
func (c *cluster) updateCapacities() {
	for _, pool := range []string{c.pool, c.servicePool} {
		kind, n := c.kind, c.deployment.engineCount
		if pool == c.servicePool {
			kind, n = engineKind{slots: 8}, 3
		}
		for _, g := range c.gateways {
			concurrent, surplus, inFlight, rate := n*kind.slots/gatewayCount, n*kind.slots/gatewayCount, 0, float64(n)*kind.prefillRate/gatewayCount
			if b, ok := g.chooser.(realBalancer); ok {
				concurrent, rate = b.Capacity(pool, gatewayCount)
				surplus, inFlight = b.SurplusCapacity(pool, gatewayCount)
			}
			g.queue.setCapacity(pool, concurrent, surplus, inFlight, rate)
		}
	}
}

// handle runs one request through a gateway: admission, choice of an endpoint, and retries.
func (c *cluster) handle(ctx context.Context, g *gateway, w *request) result {
	if c.handler != nil && w.pool == c.pool {
		return c.handler(ctx, c, g, w)
	}
	res := result{request: w}
	start := time.Now()
	fingerprint := w.fingerprint()
	if !c.plainRetries && g.quarantine.Blocked(fingerprint) {
		res.refused, res.errorKind = true, apierror.Quarantined
		return res
	}
	release, err := g.queue.acquire(ctx, admission.Request{Team: w.team, Pool: w.pool, Priority: w.priority, Tokens: w.tokens(),
		Deadline: start.Add(w.firstTokenTimeout)})
	if err != nil {
		res.refused, res.errorKind = true, kindOf(err)
		return res
	}
	defer release(w.tokens())
	g.budget.RecordFirstTry(w.pool)
	history := retry.NewHistory(fingerprint, true, start.Add(w.firstTokenTimeout))
	for {
		endpoint, err := c.attempt(ctx, g, w, history, &res, start)
		if err == nil {
			g.quarantine.Clear(fingerprint)
		}
		if err == nil || endpoint == "" {
			return res
		}
		crashed := errors.Is(err, errEngineCrashed)
		history.RecordFailure(endpoint, crashed, g.quarantine)
		if crashed {
			c.suspectCount.Add(1)
			c.reportCrash(ctx, g, fingerprint, endpoint)
		}
		if c.plainRetries {
			if res.attempts < 3 {
				continue
			}
			return res
		}
		if res.firstToken > 0 && !c.continueStreams || !history.MayRetry(w.pool, g.budget, g.quarantine) {
			return res
		}
	}
}

// attempt sends the request to one endpoint. The returned name is empty when no endpoint could take the request in time.
func (c *cluster) attempt(ctx context.Context, g *gateway, w *request, history *retry.History, res *result, start time.Time) (string, error) {
	var p placement
	for {
		var err error
		choiceRequest := balancer.Request{Pool: w.pool, PromptTokens: w.promptTokens, OutputTokens: w.outputTokens, Prefix: w.prefix, Exclude: history.TriedEndpoints()}
		if fingerprint := w.fingerprint(); !c.noSuspectIsolation && g.quarantine.HasCrashRecord(fingerprint) {
			choiceRequest.SuspectFingerprint = fingerprint
		}
		p, err = g.chooser.choose(ctx, choiceRequest, start.Add(w.firstTokenTimeout))
		if err == nil {
			break
		}
		if kindOf(err) != apierror.Overloaded || time.Since(start) > w.firstTokenTimeout {
			res.refused, res.errorKind = res.attempts == 0, kindOf(err)
			return "", err
		}
		// The memory or slot that admission expected to be free is still in use.
		if err := pause(ctx, nil, 10*time.Millisecond); err != nil {
			return "", err
		}
	}
	res.attempts++
	_ = pause(ctx, nil, oneWayDelay)
	err := c.engines[p.endpoint].serve(ctx, w, func() {
		if res.firstToken == 0 {
			res.firstToken = time.Since(start) + oneWayDelay
		}
		p.recordFirstToken()
	})
	p.done(balancer.Outcome{Failed: err != nil, TimeToFirstToken: res.firstToken, OutputTokens: w.outputTokens})
	return p.endpoint, err
}

// reportCrash reports the crash of an endpoint to the other gateways: after the exchange interval, or before it returns with
// reportCrashFirst.
func (c *cluster) reportCrash(ctx context.Context, g *gateway, fingerprint uint64, endpoint string) {
	if c.noCrashReports || c.plainRetries {
		return
	}
	report := func() {
		for _, other := range c.gateways {
			if other != g {
				other.quarantine.RecordCrash(fingerprint, endpoint)
			}
		}
	}
	if c.reportCrashFirst {
		_ = pause(ctx, nil, 2*oneWayDelay)
		report()
		return
	}
	time.AfterFunc(exchangeInterval, report)
}

// kindOf returns the kind of an API error. Any other error, such as an expired context, counts as DeadlineUnreachable.
func kindOf(err error) apierror.Kind {
	var e *apierror.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return apierror.DeadlineUnreachable
}
