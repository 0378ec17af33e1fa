package daemon

import (
	"context"
	"math"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/gateway"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/peer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// demandMeter counts the demand of callers for each pool at this gateway. Requests refused for overload or an unreachable deadline are
// counted with the average tokens of the answered ones, so that demand above capacity is included.
type demandMeter struct {
	mu    sync.Mutex
	pools map[string]*poolCounters
}

// poolCounters holds the counters of a pool since the start of the process.
type poolCounters struct {
	total                peerpb.PoolDemand
	answeredRequests     uint64
	answeredPromptTokens uint64
	answeredOutputTokens uint64
}

func newDemandMeter() *demandMeter { return &demandMeter{pools: make(map[string]*poolCounters)} }

// observe counts a finished request.
func (m *demandMeter) observe(o gateway.RequestObservation) {
	if o.Pool == "" || o.Kind != "" && o.Kind != apierror.Overloaded && o.Kind != apierror.DeadlineUnreachable {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[o.Pool]
	if p == nil {
		p = &poolCounters{}
		m.pools[o.Pool] = p
	}
	prompt, output := o.Usage.PromptTokens, o.Usage.OutputTokens
	if o.Kind == "" {
		p.answeredRequests++
		p.answeredPromptTokens += prompt
		p.answeredOutputTokens += output
	} else if p.answeredRequests > 0 {
		prompt, output = p.answeredPromptTokens/p.answeredRequests, p.answeredOutputTokens/p.answeredRequests
	}
	p.total.Requests++
	p.total.PromptTokens += prompt
	p.total.OutputTokens += output
}

// messages returns the counters of all pools.
func (m *demandMeter) messages() []*peerpb.PoolDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*peerpb.PoolDemand
	for pool, p := range m.pools {
		out = append(out, &peerpb.PoolDemand{Pool: pool, PromptTokens: p.total.PromptTokens, OutputTokens: p.total.OutputTokens,
			Requests: p.total.Requests})
	}
	return out
}

const (
	// demandPollInterval is the minimum time between two polls of the counters of all gateways. demandPollIntervalPerVM multiplied by
	// the number of VMs is the interval of larger fleets, which keeps the polls within their share of control traffic.
	demandPollInterval      = 2 * time.Second
	demandPollIntervalPerVM = 50 * time.Millisecond
	// Time constants of the exponential moving averages of demand.
	shortTimeConstant = 30 * time.Second
	longTimeConstant  = 10 * time.Minute
	dailyTimeConstant = 24 * time.Hour
)

// tokenRates is an average demand for a pool, or the capacity of an endpoint, in tokens a second.
type tokenRates struct{ prefill, decode float64 }

// poolRates is the demand for a pool, averaged with the three time constants.
type poolRates struct {
	short, long, daily tokenRates
	firstSampleAt      time.Time
	covered            time.Duration // time that the samples cover
}

// demandAggregator polls the demand counters of all gateways and computes the demand for each pool. It polls only while it has
// subscribers, which are the orders duties of this controller that hold their lease.
type demandAggregator struct {
	members *membership.Members
	clients *peer.Clients

	mu           sync.Mutex
	subscribers  int
	lastCounters map[string]map[string]*peerpb.PoolDemand // by incarnation and pool
	ratesByPool  map[string]*poolRates
}

func newDemandAggregator(m *membership.Members, c *peer.Clients) *demandAggregator {
	return &demandAggregator{members: m, clients: c, lastCounters: make(map[string]map[string]*peerpb.PoolDemand), ratesByPool: make(map[string]*poolRates)}
}

// rates returns the demand for a pool; zero when unknown.
func (a *demandAggregator) rates(pool string) poolRates {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.ratesByPool[pool]; p != nil {
		return *p
	}
	return poolRates{}
}

// subscribe starts polling if there is no other subscriber. The returned function unsubscribes; the last one to do so stops polling and
// deletes the rates.
func (a *demandAggregator) subscribe() func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.subscribers--; a.subscribers == 0 {
			clear(a.lastCounters)
			clear(a.ratesByPool)
		}
	}
}

// Run polls the counters of all gateways until ctx ends, while there are subscribers.
func (a *demandAggregator) Run(ctx context.Context) error {
	previous := time.Now()
	for {
		period := max(demandPollInterval, time.Duration(len(a.members.Live()))*demandPollIntervalPerVM)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(period):
		}
		now := time.Now()
		if a.active() {
			a.poll(ctx, now, now.Sub(previous))
		}
		previous = now
	}
}

// active reports whether there are subscribers.
func (a *demandAggregator) active() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.subscribers > 0
}

// poll reads the counters of all gateways and updates the rates of all pools. elapsed is the time since the previous poll.
func (a *demandAggregator) poll(ctx context.Context, now time.Time, elapsed time.Duration) {
	vms := a.members.Live()
	statuses := make([]*peerpb.StatusResponse, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { statuses[i] = a.status(ctx, vm) })
	}
	wg.Wait()
	demandByPool := make(map[string]tokenRates)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, status := range statuses {
		if status != nil {
			a.addIncrease(status, demandByPool, elapsed.Seconds())
		}
	}
	for pool, demand := range demandByPool {
		if a.ratesByPool[pool] == nil {
			a.ratesByPool[pool] = &poolRates{short: demand, long: demand, daily: demand}
		}
	}
	for pool, p := range a.ratesByPool {
		p.addSample(demandByPool[pool], elapsed)
		if p.firstSampleAt.IsZero() {
			p.firstSampleAt = now
		}
	}
}

// status returns the status of the gateway on a VM, or nil when it can't be read.
func (a *demandAggregator) status(ctx context.Context, vm apitypes.VM) *peerpb.StatusResponse {
	client, err := a.clients.GatewayClient(vm)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, demandPollInterval)
	defer cancel()
	s, err := client.GetStatus(ctx, &peerpb.StatusRequest{})
	if err != nil {
		return nil
	}
	return s
}

// addIncrease adds the increase of an incarnation's counters since its previous status to demandByPool, as a rate over the given seconds.
// The first status of an incarnation adds nothing.
func (a *demandAggregator) addIncrease(status *peerpb.StatusResponse, demandByPool map[string]tokenRates, seconds float64) {
	id := status.Vm + "." + status.Incarnation
	last, known := a.lastCounters[id]
	next := make(map[string]*peerpb.PoolDemand, len(status.Demand))
	for _, d := range status.Demand {
		next[d.Pool] = d
		if !known {
			continue
		}
		demand := demandByPool[d.Pool]
		demand.prefill += float64(d.PromptTokens-last[d.Pool].GetPromptTokens()) / seconds
		demand.decode += float64(d.OutputTokens-last[d.Pool].GetOutputTokens()) / seconds
		demandByPool[d.Pool] = demand
	}
	a.lastCounters[id] = next
}

// addSample updates the averages with a sample of the demand over the time elapsed. While the samples cover less than a time constant,
// the covered time is used in its place: otherwise the first sample, which covers 2 s, would dominate the average for the whole time
// constant.
func (p *poolRates) addSample(sample tokenRates, elapsed time.Duration) {
	p.covered += elapsed
	p.short.updateAverage(sample, elapsed, min(shortTimeConstant, p.covered))
	p.long.updateAverage(sample, elapsed, min(longTimeConstant, p.covered))
	p.daily.updateAverage(sample, elapsed, min(dailyTimeConstant, p.covered))
}

// updateAverage updates an exponential moving average with a sample over the time elapsed.
func (r *tokenRates) updateAverage(sample tokenRates, elapsed, timeConstant time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
	r.prefill += weight * (sample.prefill - r.prefill)
	r.decode += weight * (sample.decode - r.decode)
}
