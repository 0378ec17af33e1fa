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

// process is a controller that competes for the lease of the pool's orders.
type process struct {
	sim    *simulation
	name   string
	orders *OrdersDuty
	cancel context.CancelFunc
	done   chan struct{}

	// The following fields are guarded by sim.mu.
	authority   *lease.Authority
	frozenUntil time.Time
	partitioned bool
	// freezeAtSend freezes the process for this time at its next order, between the check of the authority and the send; sendDelay
	// delays the bytes of its next order.
	freezeAtSend, sendDelay time.Duration
	terms                   int
}

// clocks describes a process's clocks: rate is the number of wall clock seconds per second of its monotonic clock, which stops while
// the VM is suspended.
type clocks struct{ rate int }

func (sim *simulation) startProcess(name string, planners func() []Planner, c clocks) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{sim: sim, name: name, cancel: cancel, done: make(chan struct{})}
	p.orders = &OrdersDuty{Pool: "p", Holder: name, Store: processStore{p}, Fleet: sim, NewPlanners: func() ([]Planner, func()) { return planners(), func() {} }, Log: zerolog.Nop(),
		EngineClient: processEngineClient{p}, NewProvider: func(a *lease.Authority) objectstore.Provider {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			p.authority = a
			p.terms++
			return processProvider{p, a}
		}}
	sim.mu.Lock()
	sim.processes = append(sim.processes, p)
	sim.mu.Unlock()
	started, rate := time.Now(), time.Duration(max(1, c.rate))
	elector := lease.NewElector(lease.Options{Store: processStore{p}, Name: "p.orders", Holder: name, TTL: lease.DefaultTTL * rate, Margin: lease.DefaultMargin * rate,
		WallClock: func() time.Time { return started.Add(time.Since(started) * rate) }})
	go func() {
		defer close(p.done)
		_ = elector.Run(ctx, p.orders.lead)
	}()
	return p
}

// stop ends the process as a graceful shutdown does.
func (p *process) stop() {
	p.cancel()
	<-p.done
}

// freeze delays all calls of the process, before they are sent and before they return.
func (p *process) freeze(d time.Duration) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	p.frozenUntil = time.Now().Add(d)
}

// waitWhileFrozen waits while the process is frozen, even when a call's context ends.
func (p *process) waitWhileFrozen() {
	for {
		p.sim.mu.Lock()
		d := time.Until(p.frozenUntil)
		p.sim.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// beforeSend is called between the check of the authority and the system call. It returns the epoch of the engine at the other end of
// the connection, and the delay of the bytes.
func (p *process) beforeSend(engine string) (epoch int, delay time.Duration) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	if p.freezeAtSend > 0 {
		p.frozenUntil, p.freezeAtSend = time.Now().Add(p.freezeAtSend), 0
	}
	delay, p.sendDelay = p.sendDelay, 0
	if e, ok := p.sim.engines[engine]; ok {
		epoch = e.epoch
	}
	return epoch, delay
}

// beginCall waits while the process is frozen and returns an error when the process is partitioned from the network.
func (p *process) beginCall(ctx context.Context) error {
	p.waitWhileFrozen()
	p.sim.mu.Lock()
	partitioned := p.partitioned
	p.sim.mu.Unlock()
	if partitioned {
		select {
		case <-ctx.Done():
		case <-time.After(callTimeout):
		}
		return objectstore.ErrUnavailable
	}
	time.Sleep(5 * time.Millisecond)
	return nil
}

// processStore is the platform's store as one process reaches it.
type processStore struct{ p *process }

func (s processStore) Get(ctx context.Context, kind, name string) (apitypes.Object, error) {
	if err := s.p.beginCall(ctx); err != nil {
		return apitypes.Object{}, err
	}
	defer s.p.waitWhileFrozen()
	return s.p.sim.mem.Get(ctx, kind, name)
}

// Put delivers the write even after the caller's context has ended, like a packet that has already been sent.
func (s processStore) Put(ctx context.Context, kind, name string, data []byte, expected uint64) (uint64, error) {
	if err := s.p.beginCall(ctx); err != nil {
		return 0, err
	}
	defer s.p.waitWhileFrozen()
	if kind == apitypes.KindLease {
		// Every process writes the same lifetime, whatever the rate of its clocks.
		var l apitypes.Lease
		if err := json.Unmarshal(data, &l); err != nil {
			return 0, err
		}
		l.TTLMS = lease.DefaultTTL.Milliseconds()
		data, _ = json.Marshal(l)
	}
	return s.p.sim.mem.Put(context.WithoutCancel(ctx), kind, name, data, expected)
}

func (s processStore) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, error) {
	return s.p.sim.mem.List(ctx, kind)
}

func (s processStore) Delete(ctx context.Context, kind, name string, expected uint64) error {
	return s.p.sim.mem.Delete(ctx, kind, name, expected)
}

func (s processStore) Watch(ctx context.Context, kinds []string, from uint64, handle func(apitypes.Event) error) error {
	return s.p.sim.mem.Watch(ctx, kinds, from, handle)
}

// processProvider is the provider over connections bound to an authority: the authority is checked first, and the bytes may be
// delayed afterwards.
type processProvider struct {
	p *process
	a *lease.Authority
}

func (s processProvider) Endpoints(ctx context.Context, pool string) (objectstore.ProviderView, error) {
	if err := s.p.beginCall(ctx); err != nil {
		return objectstore.ProviderView{}, err
	}
	defer s.p.waitWhileFrozen()
	s.p.sim.mu.Lock()
	down := s.p.sim.providerDown
	s.p.sim.mu.Unlock()
	if down {
		return objectstore.ProviderView{}, objectstore.ErrUnavailable
	}
	return s.p.sim.mem.Endpoints(ctx, pool)
}

func (s processProvider) PlaceOrder(ctx context.Context, _ string, o apitypes.Order, expected uint64) (objectstore.ProviderView, error) {
	if !s.a.Valid() {
		return objectstore.ProviderView{}, lease.ErrNoAuthority
	}
	s.p.beforeSend("")
	if err := s.p.beginCall(ctx); err != nil {
		return objectstore.ProviderView{}, err
	}
	defer s.p.waitWhileFrozen()
	return s.p.sim.deliverToProvider(context.WithoutCancel(ctx), s.p, s.a, o, expected)
}

// processEngineClient is the engines' control protocol over connections bound to the process's authority.
type processEngineClient struct{ p *process }

func (s processEngineClient) SendOrder(ctx context.Context, e apitypes.Endpoint, o apitypes.Order) error {
	s.p.sim.mu.Lock()
	a := s.p.authority
	s.p.sim.mu.Unlock()
	if !a.Valid() {
		return errors.Wrap(order.ErrNotSent, "no authority")
	}
	epoch, delay := s.p.beforeSend(e.Name)
	if err := s.p.beginCall(ctx); err != nil {
		return err
	}
	defer s.p.waitWhileFrozen()
	if delay > 0 {
		s.p.sim.wg.Go(func() {
			time.Sleep(delay)
			_ = s.p.sim.deliverToEngine(context.WithoutCancel(ctx), s.p, a, e.Name, epoch, o)
		})
		<-ctx.Done()
		return ctx.Err()
	}
	return s.p.sim.deliverToEngine(ctx, s.p, a, e.Name, epoch, o)
}
