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
func (r *demandAggregator) rates(pool string) poolRates {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.ratesByPool[pool]; p != nil {
		return *p
	}
	return poolRates{}
}

// subscribe starts polling if there is no other subscriber. The returned function unsubscribes; the last one to do so stops polling and
// deletes the rates.
func (r *demandAggregator) subscribe() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.subscribers--; r.subscribers == 0 {
			clear(r.lastCounters)
			clear(r.ratesByPool)
		}
	}
}

// Run polls the counters of all gateways until ctx ends, while there are subscribers.
func (r *demandAggregator) Run(ctx context.Context) error {
	previous := time.Now()
	for {
		period := max(demandPollInterval, time.Duration(len(r.members.Live()))*demandPollIntervalPerVM)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(period):
		}
		now := time.Now()
		if r.active() {
			r.poll(ctx, now, now.Sub(previous))
		}
		previous = now
	}
}

// active reports whether there are subscribers.
func (r *demandAggregator) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.subscribers > 0
}

// poll reads the counters of all gateways and updates the rates of all pools. elapsed is the time since the previous poll.
func (r *demandAggregator) poll(ctx context.Context, now time.Time, elapsed time.Duration) {
	vms := r.members.Live()
	statuses := make([]*peerpb.StatusResponse, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { statuses[i] = r.status(ctx, vm) })
	}
	wg.Wait()
	demandByPool := make(map[string]tokenRates)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, status := range statuses {
		if status != nil {
			r.addIncrease(status, demandByPool, elapsed.Seconds())
		}
	}
	for pool, demand := range demandByPool {
		if r.ratesByPool[pool] == nil {
			r.ratesByPool[pool] = &poolRates{short: demand, long: demand, daily: demand}
		}
	}
	for pool, p := range r.ratesByPool {
		p.addSample(demandByPool[pool], elapsed)
		if p.firstSampleAt.IsZero() {
			p.firstSampleAt = now
		}
	}
}

// status returns the status of the gateway on a VM, or nil when it can't be read.
func (r *demandAggregator) status(ctx context.Context, vm apitypes.VM) *peerpb.StatusResponse {
	client, err := r.clients.GatewayClient(vm)
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
func (r *demandAggregator) addIncrease(status *peerpb.StatusResponse, demandByPool map[string]tokenRates, seconds float64) {
	id := status.Vm + "." + status.Incarnation
	last, known := r.lastCounters[id]
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
	r.lastCounters[id] = next
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
