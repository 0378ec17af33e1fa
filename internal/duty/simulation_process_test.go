package duty

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/order"
)

// proc is a controller that competes for the pool's orders.
type proc struct {
	bed    *bed
	name   string
	orders *OrdersDuty
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
	p.orders = &OrdersDuty{Pool: "p", Holder: name, Store: procStore{p}, Fleet: b, NewPlanners: func() ([]Planner, func()) { return planners(), func() {} }, Log: zerolog.Nop(),
		EngineClient: procControl{p}, NewProvider: func(a *lease.Authority) objectstore.Provider {
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
		return objectstore.ErrUnavailable
	}
	time.Sleep(5 * time.Millisecond)
	return nil
}

// procStore is the platform as a process sees it.
type procStore struct{ p *proc }

func (s procStore) Get(ctx context.Context, kind, name string) (apitypes.Object, error) {
	if err := s.p.reach(ctx); err != nil {
		return apitypes.Object{}, err
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
	if kind == apitypes.KindLease {
		// Every process announces the same lifetime, whatever its clocks do.
		var l apitypes.Lease
		if err := json.Unmarshal(data, &l); err != nil {
			return 0, err
		}
		l.TTLMS = lease.DefaultTTL.Milliseconds()
		data, _ = json.Marshal(l)
	}
	return s.p.bed.mem.Put(context.WithoutCancel(ctx), kind, name, data, expected)
}

func (s procStore) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, error) {
	return s.p.bed.mem.List(ctx, kind)
}

func (s procStore) Delete(ctx context.Context, kind, name string, expected uint64) error {
	return s.p.bed.mem.Delete(ctx, kind, name, expected)
}

func (s procStore) Watch(ctx context.Context, kinds []string, from uint64, handle func(apitypes.Event) error) error {
	return s.p.bed.mem.Watch(ctx, kinds, from, handle)
}

// procProvider is the provider over connections bound to an authority: the authority is checked, and the bytes may then be
// late.
type procProvider struct {
	p *proc
	a *lease.Authority
}

func (s procProvider) Endpoints(ctx context.Context, pool string) (objectstore.ProviderView, error) {
	if err := s.p.reach(ctx); err != nil {
		return objectstore.ProviderView{}, err
	}
	defer s.p.gate()
	s.p.bed.mu.Lock()
	down := s.p.bed.providerDown
	s.p.bed.mu.Unlock()
	if down {
		return objectstore.ProviderView{}, objectstore.ErrUnavailable
	}
	return s.p.bed.mem.Endpoints(ctx, pool)
}

func (s procProvider) PlaceOrder(ctx context.Context, _ string, o apitypes.Order, expected uint64) (objectstore.ProviderView, error) {
	if !s.a.Valid() {
		return objectstore.ProviderView{}, lease.ErrNoAuthority
	}
	s.p.beforeSend("")
	if err := s.p.reach(ctx); err != nil {
		return objectstore.ProviderView{}, err
	}
	defer s.p.gate()
	return s.p.bed.provide(context.WithoutCancel(ctx), s.p, s.a, o, expected)
}

// procControl is the control protocol over connections bound to the process's authority.
type procControl struct{ p *proc }

func (s procControl) SendOrder(ctx context.Context, e apitypes.Endpoint, o apitypes.Order) error {
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
