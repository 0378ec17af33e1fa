package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/order"
	"crocusglade.example/crocusglade/internal/platform"
	"crocusglade.example/crocusglade/internal/platform/memplatform"
	"crocusglade.example/crocusglade/internal/world"
)

const (
	// viewEvery is the period with which gateways and controllers renew their view; they act on the view before.
	viewEvery = 700 * time.Millisecond
	// listEvery is the period with which the provider's list is read.
	listEvery = 2 * time.Second
	// callTimeout is that of the platform's client.
	callTimeout  = 1500 * time.Millisecond
	changeTime   = 3 * time.Second
	cleaningTime = 20 * time.Second
	startTime    = 10 * time.Second
)

// fakeEngine is one endpoint. It recognises a repetition of its last order only, so that a late copy of an older one shows.
type fakeEngine struct {
	checks   bool
	fence    uint64
	last     string
	role     string
	changing string
	draining bool
	running  int
	// epoch changes with a crash, which ends all streams and changes.
	epoch int
	down  bool
	hang  bool
	// loseAnswers makes this many orders take effect without an answer.
	loseAnswers int
}

// view is what gateways and controllers know, late.
type view struct {
	endpoints []world.Endpoint
	loads     map[string]world.Load
	orders    world.PoolOrders
	at        time.Time
}

// bed is a pool "p" with engines, the provider, gateways that send streams and controllers that hold the lease in turn.
type bed struct {
	t       *testing.T
	mem     *memplatform.Platform
	history *history.History

	mu      sync.Mutex
	rng     *rand.Rand
	pool    world.Pool
	engines map[string]*fakeEngine
	// seen holds the provider's order ids that took effect.
	seen       map[string]bool
	now, old   view
	listedAt   time.Time
	procs      []*proc
	violations []string
	streams    int
	// providerDown refuses provider calls; dropped counts provider answers to lose.
	providerDown        bool
	loseProviderAnswers int
	quiet               bool
	done                chan struct{}
	wg                  sync.WaitGroup
}

func newBed(t *testing.T, seed int64, checks ...bool) *bed {
	b := &bed{t: t, mem: memplatform.New(), history: &history.History{}, rng: rand.New(rand.NewSource(seed)),
		pool: world.Pool{Name: "p", Kind: world.PoolEngine}, engines: make(map[string]*fakeEngine), seen: make(map[string]bool),
		done: make(chan struct{})}
	var endpoints []world.Endpoint
	for i, c := range checks {
		name := fmt.Sprintf("e%d", i+1)
		endpoints = append(endpoints, world.Endpoint{Name: name, FailureDomain: "roja", Class: world.OnDemand,
			State: world.EndpointReady, ChecksFence: c, LastCleaned: time.Now().UnixMilli()})
		b.engines[name] = &fakeEngine{checks: c}
	}
	b.mem.SetEndpoints("p", endpoints)
	b.refresh()
	b.refresh()
	b.wg.Go(b.keepViews)
	return b
}

// stop ends the background work of the bed and its processes.
func (b *bed) stop() {
	for _, p := range b.procs {
		p.stop()
	}
	close(b.done)
	b.wg.Wait()
}

func (b *bed) keepViews() {
	for b.sleep(viewEvery) {
		b.refresh()
	}
}

func (b *bed) sleep(d time.Duration) bool {
	select {
	case <-b.done:
		return false
	case <-time.After(d):
		return true
	}
}

// refresh takes a new view. During an outage of the platform the lists stay as they are.
func (b *bed) refresh() {
	providerView, err := b.mem.Endpoints(context.Background(), "p")
	object, getErr := b.mem.Get(context.Background(), world.KindOrders, "p")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.old = b.now
	next := view{endpoints: b.now.endpoints, orders: b.now.orders, loads: make(map[string]world.Load), at: time.Now()}
	if err == nil && !b.providerDown && time.Since(b.listedAt) >= listEvery {
		b.listedAt = time.Now()
		next.endpoints = providerView.Endpoints
	}
	if getErr == nil {
		var s world.PoolOrders
		if json.Unmarshal(object.Data, &s) == nil {
			next.orders = s
		}
	}
	for name, e := range b.engines {
		if !e.down {
			next.loads[name] = world.Load{Running: e.running, Changing: e.changing != "", Draining: e.draining, Role: world.Role(e.role)}
		}
	}
	b.now = next
}

// Pool implements Fleet.
func (b *bed) Pool(string) (world.Pool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool, true
}

// Endpoints implements Fleet.
func (b *bed) Endpoints(string) []EndpointView {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []EndpointView
	for _, e := range b.old.endpoints {
		v := EndpointView{Endpoint: e}
		if l, ok := b.old.loads[e.Name]; ok {
			v.Load, v.ReportedAt = l, b.old.at
		}
		out = append(out, v)
	}
	return out
}

// violate records a breach.
func (b *bed) violate(format string, args ...any) {
	b.violations = append(b.violations, fmt.Sprintf(format, args...))
}

// load runs gateways that send streams to what their old view allows.
func (b *bed) load(gateways int) { b.loadEvery(gateways, 300*time.Millisecond) }

func (b *bed) loadEvery(gateways int, period time.Duration) {
	for range gateways {
		b.wg.Go(func() {
			for b.sleep(period) {
				b.sendStream()
			}
		})
	}
}

func (b *bed) sendStream() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var open []string
	for _, e := range b.old.endpoints {
		l, reported := b.old.loads[e.Name]
		_, drained := b.old.orders.Drained[e.Name]
		if e.State == world.EndpointReady && e.ReclaimAt == 0 && reported && !l.Changing && !l.Draining && !drained &&
			!slices.Contains(b.old.orders.Abandoned, e.Name) && !slices.Contains(b.pool.Drained, e.Name) {
			open = append(open, e.Name)
		}
	}
	if len(open) == 0 || b.quiet {
		return
	}
	name := open[b.rng.Intn(len(open))]
	e, ok := b.engines[name]
	if !ok {
		b.violate("G10: new stream at %s, which is removed", name)
		return
	}
	if e.down {
		return
	}
	if e.changing != "" || e.draining || b.cleaning(name) {
		b.violate("G2: new stream at %s while changing %q, draining %v", name, e.changing, e.draining)
		return
	}
	e.running++
	b.streams++
	epoch := e.epoch
	time.AfterFunc(time.Duration(200+b.rng.Intn(6000))*time.Millisecond, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if e.epoch == epoch {
			e.running--
		}
	})
}

func (b *bed) cleaning(name string) bool {
	v, err := b.mem.Endpoints(context.Background(), "p")
	return err == nil && slices.ContainsFunc(v.Endpoints, func(e world.Endpoint) bool {
		return e.Name == name && e.State == world.EndpointCleaning
	})
}

// deliver gives an order to an engine.
func (b *bed) deliver(ctx context.Context, p *proc, a *lease.Authority, name string, epoch int, o world.Order) error {
	b.mu.Lock()
	e, ok := b.engines[name]
	if !ok || e.down {
		b.mu.Unlock()
		return errors.Wrap(order.ErrNotSent, "connection refused")
	}
	if e.epoch != epoch {
		b.mu.Unlock()
		return errors.New("connection reset")
	}
	if e.hang {
		b.mu.Unlock()
		if ctx.Done() != nil {
			<-ctx.Done()
		}
		return errors.New("no answer")
	}
	defer b.mu.Unlock()
	b.checkSender(p, a, "G3", o)
	refused := e.checks && o.Fence < e.fence
	fresh := e.last != o.ID
	b.history.AddOrder(history.Order{Target: name, ID: o.ID, Fence: o.Fence, Kind: string(o.Kind), Value: o.Value, At: time.Now(),
		Applied: fresh && !refused})
	if refused {
		return errors.Wrap(order.ErrRefused, "old fencing number")
	}
	e.fence = max(e.fence, o.Fence)
	if fresh {
		e.last = o.ID
		b.apply(name, e, o)
	}
	if e.loseAnswers > 0 {
		e.loseAnswers--
		return errors.New("connection reset")
	}
	return nil
}

// apply carries out an order and records orders that conflict (G1) or cut streams (G2).
func (b *bed) apply(name string, e *fakeEngine, o world.Order) {
	if e.running > 0 && o.Kind != world.OrderResume {
		b.violate("G2: order %s of %s cut %d streams at %s", o.Kind, o.ID, e.running, name)
	}
	if e.changing != "" {
		b.violate("G1: order %s %s at %s during the change of %s", o.Kind, o.ID, name, e.changing)
	}
	switch o.Kind {
	case world.OrderDrain:
		e.draining = true
	case world.OrderResume:
		if b.cleaning(name) {
			b.violate("G2: %s is resumed while the provider cleans it", name)
		}
		e.draining = false
	default:
		if e.draining {
			b.violate("G1: order %s %s at %s between its drain and resume", o.Kind, o.ID, name)
		}
		e.changing = o.ID
		epoch := e.epoch
		time.AfterFunc(changeTime, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if e.epoch == epoch {
				e.changing, e.role = "", o.Value
			}
		})
	}
}

// provide gives an order to the provider.
func (b *bed) provide(ctx context.Context, p *proc, a *lease.Authority, o world.Order, expected uint64) (platform.ProviderView, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.providerDown {
		return platform.ProviderView{}, platform.ErrUnavailable
	}
	b.checkSender(p, a, "G5", o)
	v, err := b.mem.Order(ctx, "p", o, expected)
	// The platform may lose the answer to an order that has taken effect; then its view is returned all the same.
	fresh := v.Version == expected+1 && !b.seen[o.ID]
	b.history.AddOrder(history.Order{Target: "provider", ID: o.ID, Fence: o.Fence, Kind: string(o.Kind), Value: o.Endpoint, At: time.Now(), Applied: fresh})
	if fresh {
		b.seen[o.ID] = true
		b.carryOut(o, v)
	}
	if err == nil && b.loseProviderAnswers > 0 {
		b.loseProviderAnswers--
		return platform.ProviderView{}, platform.ErrUnavailable
	}
	return v, err
}

// checkSender records an order from a process that believes it holds authority while another does too.
func (b *bed) checkSender(p *proc, a *lease.Authority, guarantee string, o world.Order) {
	for _, other := range b.procs {
		if other != p && other.authority != nil && other.authority.Valid() && a.Valid() {
			b.violate("%s: order %s %s from %s while %s has authority too", guarantee, o.Kind, o.ID, p.name, other.name)
		}
	}
}

// carryOut is the provider's work on an order.
func (b *bed) carryOut(o world.Order, v platform.ProviderView) {
	e := b.engines[o.Endpoint]
	if e != nil && e.running > 0 {
		b.violate("G2: provider order %s cut %d streams at %s", o.Kind, e.running, o.Endpoint)
	}
	switch o.Kind {
	case world.OrderAdd:
		added := v.Endpoints[len(v.Endpoints)-1].Name
		time.AfterFunc(startTime, func() {
			b.mu.Lock()
			b.engines[added] = &fakeEngine{}
			b.mu.Unlock()
			b.mem.SetEndpointState("p", added, world.EndpointReady, "")
		})
	case world.OrderRemove:
		delete(b.engines, o.Endpoint)
	case world.OrderClean:
		time.AfterFunc(cleaningTime, func() { b.mem.SetEndpointState("p", o.Endpoint, world.EndpointReady, "") })
	}
}

// proc is a controller that competes for the pool's orders.
type proc struct {
	bed    *bed
	name   string
	orders *Orders
	cancel context.CancelFunc
	ended  chan struct{}

	// Guarded by bed.mu.
	authority   *lease.Authority
	frozenUntil time.Time
	cut         bool
	// freezeAtSend freezes the process at its next order, between check and send; lateBy delays the order's bytes.
	freezeAtSend, lateBy time.Duration
	terms                int
}

// clocks describes a process's clocks: rate is how many seconds its wall clock runs in one second of its monotonic clock, which
// stands still while the VM is suspended.
type clocks struct{ rate int }

func (b *bed) start(name string, planners func() []Planner, c clocks) *proc {
	ctx, cancel := context.WithCancel(context.Background())
	p := &proc{bed: b, name: name, cancel: cancel, ended: make(chan struct{})}
	p.orders = &Orders{Pool: "p", Holder: name, Store: procStore{p}, Fleet: b, NewPlanners: func() ([]Planner, func()) { return planners(), func() {} }, Log: zerolog.Nop(),
		Control: procControl{p}, NewProvider: func(a *lease.Authority) platform.Provider {
			b.mu.Lock()
			defer b.mu.Unlock()
			p.authority = a
			p.terms++
			return procProvider{p, a}
		}}
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	started, rate := time.Now(), time.Duration(max(1, c.rate))
	k := lease.NewElector(lease.Options{Store: procStore{p}, Name: "p.orders", Holder: name, TTL: lease.DefaultTTL * rate, Margin: lease.DefaultMargin * rate,
		Wall: func() time.Time { return started.Add(time.Since(started) * rate) }})
	go func() {
		defer close(p.ended)
		_ = k.Run(ctx, p.orders.lead)
	}()
	return p
}

// stop ends the process as a graceful shutdown does.
func (p *proc) stop() {
	p.cancel()
	<-p.ended
}

// freeze holds back all calls of the process, on their way out and on their way back.
func (p *proc) freeze(d time.Duration) {
	p.bed.mu.Lock()
	defer p.bed.mu.Unlock()
	p.frozenUntil = time.Now().Add(d)
}

// gate waits while the process is frozen, whatever its contexts say.
func (p *proc) gate() {
	for {
		p.bed.mu.Lock()
		d := time.Until(p.frozenUntil)
		p.bed.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// beforeSend is the moment between the check of the authority and the system call. It returns the epoch of the engine that the
// connection leads to, and the delay of the bytes.
func (p *proc) beforeSend(engine string) (epoch int, late time.Duration) {
	p.bed.mu.Lock()
	defer p.bed.mu.Unlock()
	if p.freezeAtSend > 0 {
		p.frozenUntil, p.freezeAtSend = time.Now().Add(p.freezeAtSend), 0
	}
	late, p.lateBy = p.lateBy, 0
	if e, ok := p.bed.engines[engine]; ok {
		epoch = e.epoch
	}
	return epoch, late
}

// reach waits while the process is frozen and fails when it is cut off.
func (p *proc) reach(ctx context.Context) error {
	p.gate()
	p.bed.mu.Lock()
	cut := p.cut
	p.bed.mu.Unlock()
	if cut {
		select {
		case <-ctx.Done():
		case <-time.After(callTimeout):
		}
		return platform.ErrUnavailable
	}
	time.Sleep(5 * time.Millisecond)
	return nil
}

// procStore is the platform as a process sees it.
type procStore struct{ p *proc }

func (s procStore) Get(ctx context.Context, kind, name string) (world.Object, error) {
	if err := s.p.reach(ctx); err != nil {
		return world.Object{}, err
	}
	defer s.p.gate()
	return s.p.bed.mem.Get(ctx, kind, name)
}

// Put delivers late whatever the caller's context says, as a packet on its way does.
func (s procStore) Put(ctx context.Context, kind, name string, data []byte, expected uint64) (uint64, error) {
	if err := s.p.reach(ctx); err != nil {
		return 0, err
	}
	defer s.p.gate()
	if kind == world.KindLease {
		// Every process announces the same lifetime, whatever its clocks do.
		var l world.Lease
		if err := json.Unmarshal(data, &l); err != nil {
			return 0, err
		}
		l.TTLMS = lease.DefaultTTL.Milliseconds()
		data, _ = json.Marshal(l)
	}
	return s.p.bed.mem.Put(context.WithoutCancel(ctx), kind, name, data, expected)
}

func (s procStore) List(ctx context.Context, kind string) ([]world.Object, uint64, error) {
	return s.p.bed.mem.List(ctx, kind)
}

func (s procStore) Delete(ctx context.Context, kind, name string, expected uint64) error {
	return s.p.bed.mem.Delete(ctx, kind, name, expected)
}

func (s procStore) Watch(ctx context.Context, kinds []string, from uint64, handle func(world.Event) error) error {
	return s.p.bed.mem.Watch(ctx, kinds, from, handle)
}

// procProvider is the provider over connections bound to an authority: the authority is checked, and the bytes may then be
// late.
type procProvider struct {
	p *proc
	a *lease.Authority
}

func (s procProvider) Endpoints(ctx context.Context, pool string) (platform.ProviderView, error) {
	if err := s.p.reach(ctx); err != nil {
		return platform.ProviderView{}, err
	}
	defer s.p.gate()
	s.p.bed.mu.Lock()
	down := s.p.bed.providerDown
	s.p.bed.mu.Unlock()
	if down {
		return platform.ProviderView{}, platform.ErrUnavailable
	}
	return s.p.bed.mem.Endpoints(ctx, pool)
}

func (s procProvider) Order(ctx context.Context, _ string, o world.Order, expected uint64) (platform.ProviderView, error) {
	if !s.a.Valid() {
		return platform.ProviderView{}, lease.ErrNoAuthority
	}
	s.p.beforeSend("")
	if err := s.p.reach(ctx); err != nil {
		return platform.ProviderView{}, err
	}
	defer s.p.gate()
	return s.p.bed.provide(context.WithoutCancel(ctx), s.p, s.a, o, expected)
}

// procControl is the control protocol over connections bound to the process's authority.
type procControl struct{ p *proc }

func (s procControl) Order(ctx context.Context, e world.Endpoint, o world.Order) error {
	s.p.bed.mu.Lock()
	a := s.p.authority
	s.p.bed.mu.Unlock()
	if !a.Valid() {
		return errors.Wrap(order.ErrNotSent, "no authority")
	}
	epoch, late := s.p.beforeSend(e.Name)
	if err := s.p.reach(ctx); err != nil {
		return err
	}
	defer s.p.gate()
	if late > 0 {
		s.p.bed.wg.Go(func() {
			time.Sleep(late)
			_ = s.p.bed.deliver(context.WithoutCancel(ctx), s.p, a, e.Name, epoch, o)
		})
		<-ctx.Done()
		return ctx.Err()
	}
	return s.p.bed.deliver(ctx, s.p, a, e.Name, epoch, o)
}

// check fails the test for each breach.
func (b *bed) check() {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range b.history.Check(history.DefaultBounds) {
		b.t.Error(v)
	}
	for _, v := range b.violations {
		b.t.Error(v)
	}
}

// state returns orders/p.
func (b *bed) state() world.PoolOrders {
	b.t.Helper()
	o, err := b.mem.Get(context.Background(), world.KindOrders, "p")
	var s world.PoolOrders
	if err == nil {
		err = json.Unmarshal(o.Data, &s)
	}
	if err != nil {
		b.t.Fatal(err)
	}
	return s
}

// await lets virtual time pass until ready; a state that is never reached fails the test.
func (b *bed) await(what string, ready func() bool) {
	b.t.Helper()
	for end := time.Now().Add(3 * time.Hour); !ready(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("waited in vain for %s; state %+v", what, b.state())
		}
	}
}

// orderKinds returns the kinds of the orders that a target applied.
func (b *bed) orderKinds(target string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, o := range b.history.Orders {
		if o.Target == target && o.Applied {
			out = append(out, o.Kind)
		}
	}
	return out
}
