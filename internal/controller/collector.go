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
	// loadPollPeriod is the delay between two polls of an endpoint's load.
	loadPollPeriod = 500 * time.Millisecond
	// loadPollTimeout bounds one poll.
	loadPollTimeout = 2 * time.Second
	// reconcilePeriod is the time between two checks of which endpoints this controller collects.
	reconcilePeriod = time.Second
	// maxBufferedCacheEvents bounds the cache events that are buffered for slow subscribers, per endpoint.
	maxBufferedCacheEvents = 256
)

// Collector polls the load of the endpoints that are assigned to this controller, follows their cache events and stores the last
// report of each for subscribers.
type Collector struct {
	self      string
	snapshots *config.SnapshotStore
	members   *membership.Members
	directory *Directory
	client    EndpointClient

	mu sync.Mutex
	// seq numbers the changes of all reports, so that one number describes the position of a subscriber.
	seq     uint64
	reports map[string]*report
	// goneSeqs holds, by endpoint name, the number of the change that removed the endpoint.
	goneSeqs map[string]uint64
	// unreachableCounts holds, by VM name, the number of subscribers that can't reach the VM's controller.
	unreachableCounts map[string]int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// report is the state of one collected endpoint.
type report struct {
	endpoint apitypes.Endpoint
	// polled is the endpoint's own load. load is the message for subscribers: polled together with the endpoint's description and
	// the provider's state.
	polled, load *peerpb.EndpointLoad
	// seqSetAt is the time at which seq was set.
	seqSetAt time.Time
	// measuredAt is the time at which the endpoint measured its load; zero before the first successful poll.
	measuredAt time.Time
	// seq is the number of the last change of load.
	seq uint64
	// cancel ends the goroutines that collect the endpoint.
	cancel context.CancelFunc
	// cacheChanges holds the last cache events. Events before change cacheLostSeq were lost or dropped.
	cacheChanges []cacheChange
	cacheLostSeq uint64
	// nextEventSeq is the expected Seq of the next cache event.
	nextEventSeq uint64
}

// cacheChange is a cache event with its change number.
type cacheChange struct {
	seq             uint64
	stored, removed []uint64
}

// NewCollector returns a collector for the controller on VM self. It takes the endpoints from d and polls them through client.
func NewCollector(self string, snapshots *config.SnapshotStore, members *membership.Members, d *Directory,
	client EndpointClient) *Collector {
	return &Collector{self: self, snapshots: snapshots, members: members, directory: d, client: client, reports: make(map[string]*report),
		goneSeqs: make(map[string]uint64), unreachableCounts: make(map[string]int), changed: make(chan struct{})}
}

// Run collects until ctx ends and returns the context's error. It uses one goroutine for the load of each endpoint and one for
// the cache events of each engine.
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

// reconcile starts and stops the collection of endpoints. An endpoint that another controller now collects is dropped without a
// message to subscribers; one that no longer exists is reported as gone.
func (c *Collector) reconcile(ctx context.Context, wg *sync.WaitGroup) {
	endpoints := c.pollableEndpoints()
	c.mu.Lock()
	defer c.mu.Unlock()
	unreachable := c.unreachableVMs()
	c.stopUnassigned(endpoints, unreachable)
	for name, e := range endpoints {
		if !c.collects(name, unreachable) {
			continue
		}
		delete(c.goneSeqs, name)
		if r, ok := c.reports[name]; !ok {
			c.startCollecting(ctx, wg, e)
		} else if r.endpoint != e {
			r.endpoint = e
			c.updateReport(r, r.polled)
		}
	}
}

// pollableEndpoints returns the endpoints of all pools, by name, whose load can be polled: those that exist and have a valid
// address.
func (c *Collector) pollableEndpoints() map[string]apitypes.Endpoint {
	endpoints := make(map[string]apitypes.Endpoint)
	for pool := range c.snapshots.Current().Pools() {
		for name, e := range c.directory.Endpoints(pool) {
			if apitypes.CheckEndpointAddr(e.Addr) == nil && e.State != apitypes.EndpointGone {
				endpoints[name] = e
			}
		}
	}
	return endpoints
}

// unreachableVMs returns the names of the other VMs whose controllers some subscriber can't reach. The caller must hold c.mu.
func (c *Collector) unreachableVMs() []string {
	unreachable := make([]string, 0, len(c.unreachableCounts))
	for vm := range c.unreachableCounts {
		if vm != c.self {
			unreachable = append(unreachable, vm)
		}
	}
	return unreachable
}

// stopUnassigned ends the collection of endpoints that are gone, have a new address or are assigned to another controller. The
// caller must hold c.mu.
func (c *Collector) stopUnassigned(endpoints map[string]apitypes.Endpoint, unreachable []string) {
	for name, r := range c.reports {
		e, exists := endpoints[name]
		if exists && c.collects(name, unreachable) && e.Addr == r.endpoint.Addr {
			continue
		}
		r.cancel()
		delete(c.reports, name)
		if !exists {
			c.seq++
			c.goneSeqs[name] = c.seq
			c.notifySubscribers()
		}
	}
}

// startCollecting begins the collection of an endpoint. The caller must hold c.mu.
func (c *Collector) startCollecting(ctx context.Context, wg *sync.WaitGroup, e apitypes.Endpoint) {
	ctx, cancel := context.WithCancel(ctx)
	r := &report{endpoint: e, cancel: cancel}
	c.reports[e.Name] = r
	c.updateReport(r, nil)
	wg.Go(func() { c.pollLoad(ctx, r, e) })
	if c.hasCacheEvents(e) {
		wg.Go(func() { c.followCacheEvents(ctx, r, e) })
	}
}

// hasCacheEvents reports whether an endpoint has a cache event stream. The endpoints of a service pool have none: they would
// handle the request for the stream as a call to the service.
func (c *Collector) hasCacheEvents(e apitypes.Endpoint) bool {
	pool := c.snapshots.Current().Pool(e.Pool)
	return pool != nil && pool.Kind != apitypes.PoolService
}

// collects reports whether an endpoint is assigned to this controller, given the VMs whose controllers are unreachable.
func (c *Collector) collects(endpoint string, unreachable []string) bool {
	vm, ok := c.members.Collector(endpoint, unreachable...)
	return ok && vm.Name == c.self
}

// pollLoad polls an endpoint's load until ctx ends. A failed poll leaves the last report in place.
func (c *Collector) pollLoad(ctx context.Context, r *report, e apitypes.Endpoint) {
	ctxtime.Sleep(ctx, rand.N(loadPollPeriod))
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, loadPollTimeout)
		load, err := c.client.Load(callCtx, e)
		cancel()
		if err == nil && ctx.Err() == nil {
			c.mu.Lock()
			r.measuredAt = time.Now().Add(-time.Duration(load.AgeMS) * time.Millisecond)
			c.updateReport(r, loadMessage(load))
			c.mu.Unlock()
		}
		ctxtime.Sleep(ctx, loadPollPeriod)
	}
}

// updateReport computes a report from the polled load, nil for none yet. It gives the report a new change number if anything but
// its age has changed or if the last number is older than reportRefreshPeriod. The caller must hold c.mu.
func (c *Collector) updateReport(r *report, polled *peerpb.EndpointLoad) {
	if polled == nil {
		polled = &peerpb.EndpointLoad{}
	}
	r.polled = polled
	e := r.endpoint
	l := proto.Clone(polled).(*peerpb.EndpointLoad)
	l.Name, l.Pool, l.Addr, l.FailureDomain, l.Class = e.Name, e.Pool, e.Addr, e.FailureDomain, string(e.Class)
	l.State, l.ReclaimAt = string(e.State), e.ReclaimAt
	l.NoNewWork = polled.NoNewWork || !acceptsNewWork(e)
	if r.load != nil && proto.Equal(l, r.load) && time.Since(r.seqSetAt) < reportRefreshPeriod {
		return
	}
	r.load, r.seqSetAt = l, time.Now()
	c.seq++
	r.seq = c.seq
	c.notifySubscribers()
}

// reportRefreshPeriod is the time after which an unchanged report is sent again, because the balancer uses the age of reports.
const reportRefreshPeriod = 2 * time.Second

// unreportedAge is the age sent for an endpoint that this collector has not polled successfully yet. It is far above the age
// of a report in use, so that subscribers keep using the report of the endpoint's previous collector.
const unreportedAge = time.Hour

// acceptsNewWork reports whether the provider's state allows new work and the address, where one is known, is valid.
func acceptsNewWork(e apitypes.Endpoint) bool {
	if e.Addr != "" && apitypes.CheckEndpointAddr(e.Addr) != nil {
		return false
	}
	return (e.State == apitypes.EndpointReady || e.State == "") && e.ReclaimAt == 0
}

// loadMessage converts a polled load.
func loadMessage(l apitypes.Load) *peerpb.EndpointLoad {
	return &peerpb.EndpointLoad{NoNewWork: l.Changing || l.Draining, Role: string(l.Role), Model: l.Model, Version: l.Version,
		Running: int32(l.Running), Waiting: int32(l.Waiting), QueuedPrefillTokens: int64(l.QueuedPrefillTokens), KvFree: int32(l.KVFree),
		KvTotal: int32(l.KVTotal), PrefillRate: l.PrefillRate, DecodeRate: l.DecodeRate, Slots: int32(l.Slots), Adapters: l.Adapters,
		Instance: l.Instance, SoftwareVersion: l.SoftwareVersion}
}

// followCacheEvents follows an endpoint's cache events until ctx ends. Each new stream is expected to start with event 0; one
// that starts with another event counts as a gap.
func (c *Collector) followCacheEvents(ctx context.Context, r *report, e apitypes.Endpoint) {
	for ctx.Err() == nil {
		c.mu.Lock()
		r.nextEventSeq = 0
		c.mu.Unlock()
		_ = c.client.CacheEvents(ctx, e, func(ev CacheEvent) { c.addCacheEvent(r, ev) })
		ctxtime.Sleep(ctx, streamRetryDelay)
	}
}

// addCacheEvent buffers a cache event for subscribers. After a gap, or when the buffer is full, it drops the earlier events and
// marks them as lost; subscribers then treat the blocks that they know as unconfirmed.
func (c *Collector) addCacheEvent(r *report, ev CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	if ev.Seq != r.nextEventSeq || len(r.cacheChanges) >= maxBufferedCacheEvents {
		r.cacheLostSeq, r.cacheChanges = c.seq, nil
	}
	r.nextEventSeq = ev.Seq + 1
	r.cacheChanges = append(r.cacheChanges, cacheChange{c.seq, ev.Stored, ev.Removed})
	c.notifySubscribers()
}

// notifySubscribers wakes the goroutines that wait for a change. The caller must hold c.mu.
func (c *Collector) notifySubscribers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// cacheChangesSince returns the net effect of the buffered cache events after change seq. The last event of a block decides.
func (r *report) cacheChangesSince(seq uint64) (stored, removed []uint64) {
	blocks := make(map[uint64]bool)
	for _, change := range r.cacheChanges {
		if change.seq <= seq {
			continue
		}
		for _, block := range change.stored {
			blocks[block] = true
		}
		for _, block := range change.removed {
			blocks[block] = false
		}
	}
	for block, isStored := range blocks {
		if isStored {
			stored = append(stored, block)
		} else {
			removed = append(removed, block)
		}
	}
	return stored, removed
}
