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

// placement is a chosen endpoint.
type placement struct {
	endpoint   string
	firstToken func()
	done       func(balancer.Outcome)
}

// chooser is the choice of an endpoint, ours or a baseline.
type chooser interface {
	update(pool string, e balancer.Endpoint)
	choose(ctx context.Context, r balancer.Request, until time.Time) (placement, error)
}

// ours is the real balancer.
type ours struct{ *balancer.Balancer }

func (o ours) update(pool string, e balancer.Endpoint) { o.UpdateEndpoint(pool, e) }
func (o ours) choose(ctx context.Context, r balancer.Request, until time.Time) (placement, error) {
	c, err := o.ChooseWithDeadline(ctx, r, until)
	if err != nil {
		return placement{}, err
	}
	return placement{c.Endpoint.Name, c.RecordFirstToken, c.Done}, nil
}

// rule names a baseline for the choice of an endpoint.
type rule string

const (
	predicted        rule = "predicted first token (ours)"
	roundRobin       rule = "round robin"
	leastOutstanding rule = "least outstanding"
	randomOfTwo      rule = "random of two"
)

// baseline is a gateway that knows only which endpoints there are and its own requests in progress.
type baseline struct {
	mu          sync.Mutex
	rule        rule
	rng         *rand.Rand
	endpoints   map[string][]balancer.Endpoint
	outstanding map[string]int
	next        int
}

func newChooser(r rule, seed uint64) chooser {
	if r == predicted {
		return ours{balancer.New(seed)}
	}
	return &baseline{rule: r, rng: rand.New(rand.NewPCG(seed, 3)), endpoints: make(map[string][]balancer.Endpoint), outstanding: make(map[string]int)}
}

func (b *baseline) update(pool string, e balancer.Endpoint) {
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

func (b *baseline) choose(_ context.Context, r balancer.Request, _ time.Time) (placement, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var open []string
	for _, e := range b.endpoints[r.Pool] {
		if !e.NoNewWork && !e.Load.Changing && !slices.Contains(r.Exclude, e.Name) {
			open = append(open, e.Name)
		}
	}
	if len(open) == 0 {
		return placement{}, apierror.New(apierror.Unavailable, "retry", "no endpoint")
	}
	name := b.pick(open)
	b.outstanding[name]++
	return placement{name, func() {}, func(balancer.Outcome) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.outstanding[name]--
	}}, nil
}

func (b *baseline) pick(open []string) string {
	switch b.rule {
	case roundRobin:
		b.next++
		return open[b.next%len(open)]
	case randomOfTwo:
		x, y := open[b.rng.IntN(len(open))], open[b.rng.IntN(len(open))]
		if b.outstanding[y] < b.outstanding[x] {
			return y
		}
		return x
	}
	best := open[0]
	for _, name := range open {
		if b.outstanding[name] < b.outstanding[best] {
			best = name
		}
	}
	return best
}

// admitter is admission, ours or first come, first served.
type admitter interface {
	acquire(ctx context.Context, r admission.Request) (release func(used int), err error)
	setCapacity(pool string, concurrent, surplus, inFlight int, tokensPerSecond float64)
}

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

// fifo admits first come, first served; a request leaves at its deadline.
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
