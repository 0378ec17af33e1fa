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

// demandMeter counts what callers ask of each pool at this gateway. Refused requests count with the average of answered ones, so
// that demand above capacity is seen.
type demandMeter struct {
	mu    sync.Mutex
	pools map[string]*poolMeter
}

type poolMeter struct {
	total    peerpb.PoolDemand
	answered uint64
	prompt   uint64
	output   uint64
}

func newDemandMeter() *demandMeter { return &demandMeter{pools: make(map[string]*poolMeter)} }

func (m *demandMeter) observe(o gateway.RequestObservation) {
	if o.Pool == "" || o.Kind != "" && o.Kind != apierror.Overloaded && o.Kind != apierror.DeadlineUnreachable {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[o.Pool]
	if p == nil {
		p = &poolMeter{}
		m.pools[o.Pool] = p
	}
	prompt, output := o.Usage.PromptTokens, o.Usage.OutputTokens
	if o.Kind == "" {
		p.answered++
		p.prompt += prompt
		p.output += output
	} else if p.answered > 0 {
		prompt, output = p.prompt/p.answered, p.output/p.answered
	}
	p.total.Requests++
	p.total.PromptTokens += prompt
	p.total.OutputTokens += output
}

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
	// demandPollEvery is the shortest time between two reads of all gateways' counters; demandPollPerVM makes it longer for many
	// VMs, which keeps the reader within its share of control traffic.
	demandPollEvery = 2 * time.Second
	demandPollPerVM = 50 * time.Millisecond
	// Averaging times of demand.
	demandShort = 30 * time.Second
	demandLong  = 10 * time.Minute
	demandSlow  = 24 * time.Hour
)

// rates is one average of a pool's demand in tokens a second.
type rates struct{ prefill, decode float64 }

// poolRates is a pool's demand over three averaging times.
type poolRates struct {
	short, long, slow rates
	since             time.Time
	read              time.Duration // time that the averages cover
}

// demandReader sums the gateways' counters into rates. Only controllers that hold orders of a pool run it.
type demandReader struct {
	members *membership.Members
	clients *peer.Clients

	mu       sync.Mutex
	watchers int
	last     map[string]map[string]*peerpb.PoolDemand // by incarnation and pool
	pools    map[string]*poolRates
}

func newDemandReader(m *membership.Members, c *peer.Clients) *demandReader {
	return &demandReader{members: m, clients: c, last: make(map[string]map[string]*peerpb.PoolDemand), pools: make(map[string]*poolRates)}
}

// rates returns a pool's demand and the time since which it has been read; zero when unknown.
func (r *demandReader) rates(pool string) poolRates {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[pool]; p != nil {
		return *p
	}
	return poolRates{}
}

// hold makes the reader read while any pool's orders are held; the returned function ends it.
func (r *demandReader) hold() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.watchers--; r.watchers == 0 {
			clear(r.last)
			clear(r.pools)
		}
	}
}

// Run reads the counters until ctx ends.
func (r *demandReader) Run(ctx context.Context) error {
	previous := time.Now()
	for {
		period := max(demandPollEvery, time.Duration(len(r.members.Live()))*demandPollPerVM)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(period):
		}
		now := time.Now()
		if r.held() {
			r.read(ctx, now, now.Sub(previous))
		}
		previous = now
	}
}

func (r *demandReader) held() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watchers > 0
}

func (r *demandReader) read(ctx context.Context, now time.Time, elapsed time.Duration) {
	vms := r.members.Live()
	answers := make([]*peerpb.StatusResponse, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { answers[i] = r.status(ctx, vm) })
	}
	wg.Wait()
	sum := make(map[string]rates)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range answers {
		if a != nil {
			r.add(a, sum, elapsed.Seconds())
		}
	}
	for pool, now := range sum {
		if r.pools[pool] == nil {
			r.pools[pool] = &poolRates{short: now, long: now, slow: now}
		}
	}
	for pool, p := range r.pools {
		p.average(sum[pool], elapsed)
		if p.since.IsZero() {
			p.since = now
		}
	}
}

func (r *demandReader) status(ctx context.Context, vm apitypes.VM) *peerpb.StatusResponse {
	client, err := r.clients.GatewayClient(vm)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, demandPollEvery)
	defer cancel()
	s, err := client.GetStatus(ctx, &peerpb.StatusRequest{})
	if err != nil {
		return nil
	}
	return s
}

// add adds an incarnation's growth since its last answer. The first answer of an incarnation only sets the start.
func (r *demandReader) add(a *peerpb.StatusResponse, sum map[string]rates, seconds float64) {
	id := a.Vm + "." + a.Incarnation
	last, known := r.last[id]
	next := make(map[string]*peerpb.PoolDemand, len(a.Demand))
	for _, d := range a.Demand {
		next[d.Pool] = d
		if !known {
			continue
		}
		s := sum[d.Pool]
		s.prefill += float64(d.PromptTokens-last[d.Pool].GetPromptTokens()) / seconds
		s.decode += float64(d.OutputTokens-last[d.Pool].GetOutputTokens()) / seconds
		sum[d.Pool] = s
	}
	r.last[id] = next
}

// average takes a sample in. Until the demand has been read for an averaging time, the average is over what was read: the first
// sample covers 2 s and would otherwise weigh in for the whole time.
func (p *poolRates) average(now rates, elapsed time.Duration) {
	p.read += elapsed
	p.short.follow(now, elapsed, min(demandShort, p.read))
	p.long.follow(now, elapsed, min(demandLong, p.read))
	p.slow.follow(now, elapsed, min(demandSlow, p.read))
}

func (r *rates) follow(now rates, elapsed, over time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/over.Seconds())
	r.prefill += weight * (now.prefill - r.prefill)
	r.decode += weight * (now.decode - r.decode)
}
