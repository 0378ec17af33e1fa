package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// loadPeriod is the time between two reads of an endpoint's load.
	loadPeriod = 500 * time.Millisecond
	// loadTimeout bounds one read.
	loadTimeout = 2 * time.Second
	// reconcilePeriod is the time between two looks at which endpoints this controller collects.
	reconcilePeriod = time.Second
	// maxCacheBacklog bounds the cache events that wait for slow subscribers, per endpoint.
	maxCacheBacklog = 256
)

// Collector polls the load of the endpoints that this controller collects and keeps the last report of each.
type Collector struct {
	self      string
	holder    *config.SnapshotStore
	members   *membership.Members
	directory *Directory
	client    EndpointClient

	mu sync.Mutex
	// seq numbers the changes of all reports, so that a subscriber needs one number only.
	seq     uint64
	reports map[string]*report
	// gone holds the change at which an endpoint left.
	gone map[string]uint64
	// without counts the subscribers that can't reach a VM's controller.
	without map[string]int
	changed chan struct{}
}

// report is what is known of one collected endpoint.
type report struct {
	endpoint apitypes.Endpoint
	// own holds the endpoint's figures, load what is sent of them together with the provider's state.
	own, load *peerpb.EndpointLoad
	numbered  time.Time
	at        time.Time
	seq       uint64
	cancel    context.CancelFunc
	// cache holds the last cache events; lost is the change before which events were dropped.
	cache []cacheChange
	lost  uint64
	next  uint64
}

type cacheChange struct {
	seq             uint64
	stored, removed []uint64
}

// NewCollector returns a collector for the controller on VM self.
func NewCollector(self string, h *config.SnapshotStore, m *membership.Members, d *Directory, c EndpointClient) *Collector {
	return &Collector{self: self, holder: h, members: m, directory: d, client: c, reports: make(map[string]*report),
		gone: make(map[string]uint64), without: make(map[string]int), changed: make(chan struct{})}
}

// Run collects until ctx ends, with one goroutine for the load of each endpoint and one for the cache events of each engine.
func (c *Collector) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		c.reconcile(ctx, &wg)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// reconcile starts and stops the collection of endpoints. An endpoint that another controller collects is dropped silently; one
// that exists no more is reported as gone.
func (c *Collector) reconcile(ctx context.Context, wg *sync.WaitGroup) {
	all := c.reachable()
	c.mu.Lock()
	defer c.mu.Unlock()
	without := c.unreachableVMs()
	c.stopOthers(all, without)
	for name, e := range all {
		if !c.collects(name, without) {
			continue
		}
		delete(c.gone, name)
		if r, ok := c.reports[name]; !ok {
			c.start(ctx, wg, e)
		} else if r.endpoint != e {
			r.endpoint = e
			c.update(r, r.own)
		}
	}
}

// reachable returns the endpoints of all pools that may be asked for their load.
func (c *Collector) reachable() map[string]apitypes.Endpoint {
	all := make(map[string]apitypes.Endpoint)
	for pool := range c.holder.Current().Pools() {
		for name, e := range c.directory.Endpoints(pool) {
			if apitypes.CheckEndpointAddr(e.Addr) == nil && e.State != apitypes.EndpointGone {
				all[name] = e
			}
		}
	}
	return all
}

// unreachableVMs returns the other VMs whose controllers some subscriber can't reach. The caller holds the lock.
func (c *Collector) unreachableVMs() []string {
	without := make([]string, 0, len(c.without))
	for vm := range c.without {
		if vm != c.self {
			without = append(without, vm)
		}
	}
	return without
}

// stopOthers ends the collection of endpoints that are gone, have another address or belong to another controller. The caller holds the
// lock.
func (c *Collector) stopOthers(all map[string]apitypes.Endpoint, without []string) {
	for name, r := range c.reports {
		e, exists := all[name]
		if exists && c.collects(name, without) && e.Addr == r.endpoint.Addr {
			continue
		}
		r.cancel()
		delete(c.reports, name)
		if !exists {
			c.seq++
			c.gone[name] = c.seq
			c.wake()
		}
	}
}

// start begins the collection of an endpoint. The caller holds the lock.
func (c *Collector) start(ctx context.Context, wg *sync.WaitGroup, e apitypes.Endpoint) {
	ctx, cancel := context.WithCancel(ctx)
	r := &report{endpoint: e, cancel: cancel}
	c.reports[e.Name] = r
	c.update(r, nil)
	wg.Go(func() { c.pollLoad(ctx, r, e) })
	if c.cachesPrompts(e) {
		wg.Go(func() { c.readCache(ctx, r, e) })
	}
}

// cachesPrompts tells whether an endpoint has cache events. A plain service has none and would run the question as a call.
func (c *Collector) cachesPrompts(e apitypes.Endpoint) bool {
	pool := c.holder.Current().Pool(e.Pool)
	return pool != nil && pool.Kind != apitypes.PoolService
}

func (c *Collector) collects(endpoint string, without []string) bool {
	vm, ok := c.members.Collector(endpoint, without...)
	return ok && vm.Name == c.self
}

func (c *Collector) pollLoad(ctx context.Context, r *report, e apitypes.Endpoint) {
	ctxtime.Sleep(ctx, rand.N(loadPeriod))
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		l, err := c.client.Load(callCtx, e)
		cancel()
		if err == nil && ctx.Err() == nil {
			c.mu.Lock()
			r.at = time.Now().Add(-time.Duration(l.AgeMS) * time.Millisecond)
			c.update(r, loadMessage(l))
			c.mu.Unlock()
		}
		ctxtime.Sleep(ctx, loadPeriod)
	}
}

// update computes a report from the endpoint's own figures and numbers it if anything but its age has changed, or its last number
// is old. The caller holds the lock.
func (c *Collector) update(r *report, own *peerpb.EndpointLoad) {
	if own == nil {
		own = &peerpb.EndpointLoad{}
	}
	r.own = own
	e := r.endpoint
	l := proto.Clone(own).(*peerpb.EndpointLoad)
	l.Name, l.Pool, l.Addr, l.FailureDomain, l.Class = e.Name, e.Pool, e.Addr, e.FailureDomain, string(e.Class)
	l.State, l.ReclaimAt = string(e.State), e.ReclaimAt
	l.NoNewWork = own.NoNewWork || !takesWork(e)
	if r.load != nil && proto.Equal(l, r.load) && time.Since(r.numbered) < refreshPeriod {
		return
	}
	r.load, r.numbered = l, time.Now()
	c.seq++
	r.seq = c.seq
	c.wake()
}

// refreshPeriod is the time after which an unchanged report is sent again, because its age matters to the balancer.
const refreshPeriod = 2 * time.Second

// noReportAge is the age of an endpoint that has not reported to this collector yet, so that the report of its former collector
// stays in use meanwhile.
const noReportAge = time.Hour

// takesWork tells whether the provider's state allows new work, and the address, when it is known, allows calls.
func takesWork(e apitypes.Endpoint) bool {
	if e.Addr != "" && apitypes.CheckEndpointAddr(e.Addr) != nil {
		return false
	}
	return (e.State == apitypes.EndpointReady || e.State == "") && e.ReclaimAt == 0
}

func loadMessage(l apitypes.Load) *peerpb.EndpointLoad {
	return &peerpb.EndpointLoad{NoNewWork: l.Changing || l.Draining, Role: string(l.Role), Model: l.Model, Version: l.Version,
		Running: int32(l.Running), Waiting: int32(l.Waiting), QueuedPrefillTokens: int64(l.QueuedPrefillTokens), KvFree: int32(l.KVFree),
		KvTotal: int32(l.KVTotal), PrefillRate: l.PrefillRate, DecodeRate: l.DecodeRate, Slots: int32(l.Slots), Adapters: l.Adapters,
		Instance: l.Instance}
}

// readCache follows an endpoint's cache events. After a gap or a new stream subscribers keep what they know as unsure.
func (c *Collector) readCache(ctx context.Context, r *report, e apitypes.Endpoint) {
	for ctx.Err() == nil {
		c.mu.Lock()
		r.next = 0
		c.mu.Unlock()
		_ = c.client.CacheEvents(ctx, e, func(ev CacheEvent) { c.cacheEvent(r, ev) })
		ctxtime.Sleep(ctx, followRetry)
	}
}

func (c *Collector) cacheEvent(r *report, ev CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	if ev.Seq != r.next || len(r.cache) >= maxCacheBacklog {
		r.lost, r.cache = c.seq, nil
	}
	r.next = ev.Seq + 1
	r.cache = append(r.cache, cacheChange{c.seq, ev.Stored, ev.Removed})
	c.wake()
}

// wake tells subscribers of a change. The caller holds the lock.
func (c *Collector) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// cacheSince returns the net effect of the cache events after a number; the last event of a block counts.
func (r *report) cacheSince(seq uint64) (stored, removed []uint64) {
	last := make(map[uint64]bool)
	for _, change := range r.cache {
		if change.seq <= seq {
			continue
		}
		for _, block := range change.stored {
			last[block] = true
		}
		for _, block := range change.removed {
			last[block] = false
		}
	}
	for block, kept := range last {
		if kept {
			stored = append(stored, block)
		} else {
			removed = append(removed, block)
		}
	}
	return stored, removed
}
