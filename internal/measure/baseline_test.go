package measure

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/ctxtime"
)

// placement is the endpoint chosen for a request, with the callbacks for its first token and its end.
type placement struct {
	endpoint         string
	recordFirstToken func()
	done             func(balancer.Outcome)
}

// chooser chooses endpoints: the real balancer or a baseline.
type chooser interface {
	update(pool string, e balancer.Endpoint)
	choose(ctx context.Context, r balancer.Request, deadline time.Time) (placement, error)
}

// realBalancer adapts balancer.Balancer to chooser.
type realBalancer struct{ *balancer.Balancer }

func (o realBalancer) update(pool string, e balancer.Endpoint) { o.UpdateEndpoint(pool, e) }
func (o realBalancer) choose(ctx context.Context, r balancer.Request, deadline time.Time) (placement, error) {
	c, err := o.ChooseWithDeadline(ctx, r, deadline)
	if err != nil {
		return placement{}, err
	}
	return placement{c.Endpoint.Name, c.RecordFirstToken, c.Done}, nil
}

// choiceRule names a rule for the choice of an endpoint.
type choiceRule string

const (
	predictedFirstToken choiceRule = "predicted first token (crocusglade)"
	roundRobin          choiceRule = "round robin"
	leastOutstanding    choiceRule = "least outstanding"
	powerOfTwoChoices   choiceRule = "power of two choices"
)

// baselineChooser chooses endpoints by the list of endpoints and by the requests in progress of its own gateway alone.
type baselineChooser struct {
	mu          sync.Mutex
	rule        choiceRule
	rng         *rand.Rand
	endpoints   map[string][]balancer.Endpoint
	outstanding map[string]int
	next        int
}

func newChooser(r choiceRule, seed uint64) chooser {
	if r == predictedFirstToken {
		return realBalancer{balancer.New(seed)}
	}
	return &baselineChooser{rule: r, rng: rand.New(rand.NewPCG(seed, 3)), endpoints: make(map[string][]balancer.Endpoint), outstanding: make(map[string]int)}
}

func (b *baselineChooser) update(pool string, e balancer.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.endpoints[pool]
	for i := range list {
		if list[i].Name == e.Name {
			list[i] = e
			return
		}
	}
	b.endpoints[pool] = append(list, e)
}

func (b *baselineChooser) choose(_ context.Context, r balancer.Request, _ time.Time) (placement, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var available []string
	for _, e := range b.endpoints[r.Pool] {
		if !e.NoNewWork && !e.Load.Changing && !slices.Contains(r.Exclude, e.Name) {
			available = append(available, e.Name)
		}
	}
	if len(available) == 0 {
		return placement{}, apierror.New(apierror.Unavailable, "retry", "no endpoint")
	}
	name := b.pick(available)
	b.outstanding[name]++
	return placement{name, func() {}, func(balancer.Outcome) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.outstanding[name]--
	}}, nil
}

func (b *baselineChooser) pick(available []string) string {
	switch b.rule {
	case roundRobin:
		b.next++
		return available[b.next%len(available)]
	case powerOfTwoChoices:
		x, y := available[b.rng.IntN(len(available))], available[b.rng.IntN(len(available))]
		if b.outstanding[y] < b.outstanding[x] {
			return y
		}
		return x
	}
	best := available[0]
	for _, name := range available {
		if b.outstanding[name] < b.outstanding[best] {
			best = name
		}
	}
	return best
}

// admitter admits requests: the real fair queue or first come, first served.
type admitter interface {
	acquire(ctx context.Context, r admission.Request) (release func(used int), err error)
	setCapacity(pool string, concurrent, surplus, inFlight int, tokensPerSecond float64)
}

// fairQueue adapts admission.Queue to admitter.
type fairQueue struct{ *admission.Queue }

func (q fairQueue) acquire(ctx context.Context, r admission.Request) (func(int), error) {
	t, err := q.Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return t.Release, nil
}
func (q fairQueue) setCapacity(pool string, concurrent, surplus, inFlight int, rate float64) {
	q.SetSurplusCapacity(pool, surplus, inFlight)
	q.SetCapacity(pool, concurrent, rate)
}

// fifo admits requests first come, first served. A request that waits gives up at its deadline.
type fifo struct {
	mu       sync.Mutex
	capacity map[string]int
	running  map[string]int
	waiting  map[string][]chan struct{}
}

func newFIFO() *fifo {
	return &fifo{capacity: make(map[string]int), running: make(map[string]int), waiting: make(map[string][]chan struct{})}
}

func (f *fifo) setCapacity(pool string, concurrent, _, _ int, _ float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity[pool] = concurrent
	f.dispatch(pool)
}

func (f *fifo) dispatch(pool string) {
	for len(f.waiting[pool]) > 0 && f.running[pool] < f.capacity[pool] {
		f.running[pool]++
		close(f.waiting[pool][0])
		f.waiting[pool] = f.waiting[pool][1:]
	}
}

func (f *fifo) acquire(ctx context.Context, r admission.Request) (func(int), error) {
	ready := make(chan struct{})
	f.mu.Lock()
	f.waiting[r.Pool] = append(f.waiting[r.Pool], ready)
	f.dispatch(r.Pool)
	f.mu.Unlock()
	timer := time.NewTimer(ctxtime.PositiveDuration(time.Until(r.Deadline)))
	defer timer.Stop()
	var err error
	select {
	case <-ready:
		return func(int) { f.release(r.Pool) }, nil
	case <-timer.C:
		err = context.DeadlineExceeded
	case <-ctx.Done():
		err = ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.waiting[r.Pool], ready); i >= 0 {
		f.waiting[r.Pool] = slices.Delete(f.waiting[r.Pool], i, i+1)
	} else {
		f.running[r.Pool]--
		f.dispatch(r.Pool)
	}
	return nil, err
}

func (f *fifo) release(pool string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[pool]--
	f.dispatch(pool)
}
