package controller

import (
	"math"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// loadBatch is the shortest time between two messages to a subscriber.
	loadBatch = 100 * time.Millisecond
	// loadHeartbeat is the longest time between two messages to a subscriber that asks for no longer one.
	loadHeartbeat = time.Second
	// loadSilence is how long a controller may send nothing before its subscriber gives it up, where the heartbeat is
	// loadHeartbeat.
	loadSilence = 3 * time.Second
	// Figures that moved by less are not sent before the next refresh: a sixteenth of the slots, a thirty-second of the KV
	// pieces, and prefill work of 20 ms, which is little against a first-token target of 340 ms.
	slotStep, kvStep, prefillStep = 1.0 / 16, 1.0 / 32, 0.02
	// rateStep is the relative change of a measured rate from which the endpoint is described anew.
	rateStep = 0.05
	// cacheBurst is the number of seconds of a subscriber's cache budget that may be sent at once.
	cacheBurst = 10
)

// LoadServer implements peerpb.LoadServer for a controller.
type LoadServer struct {
	peerpb.UnimplementedLoadServer
	Collector *Collector
	Directory *Directory
}

// Subscribe implements peerpb.LoadServer.
func (s *LoadServer) Subscribe(r *peerpb.LoadRequest, stream grpc.ServerStreamingServer[peerpb.LoadUpdate]) error {
	c := s.Collector
	c.cover(r.Without, 1)
	defer c.cover(r.Without, -1)
	out := newLoadStream(r)
	heartbeat := max(loadHeartbeat, out.period)
	last := time.Time{}
	for {
		u, changed := c.next(out)
		if len(u.Endpoints)+len(u.Gone) > 0 || time.Since(last) >= heartbeat {
			if err := stream.Send(u); err != nil {
				return err
			}
			last = time.Now()
		}
		ctxtime.Sleep(stream.Context(), out.batch())
		wait := time.NewTimer(ctxtime.PositiveDuration(out.untilDue(last.Add(heartbeat))))
		select {
		case <-stream.Context().Done():
		case <-changed:
		case <-wait.C:
		}
		wait.Stop()
		if err := stream.Context().Err(); err != nil {
			return err
		}
	}
}

// Endpoints implements peerpb.LoadServer.
func (s *LoadServer) Endpoints(r *peerpb.EndpointsRequest, stream grpc.ServerStreamingServer[peerpb.EndpointList]) error {
	return s.Directory.serve(r, stream)
}

// cover adds to the number of subscribers that can't reach some VMs' controllers.
func (c *Collector) cover(vms []string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range vms {
		c.without[vm] += n
		if c.without[vm] <= 0 {
			delete(c.without, vm)
		}
	}
}

// loadStream is what one subscriber asked for and was sent.
type loadStream struct {
	pools       []string
	wanted      map[string]bool
	period      time.Duration
	cacheBlocks float64
	sent        map[string]*sentReport
	lastRef     uint32
	// seq is the last change that was looked at.
	seq uint64
}

func newLoadStream(r *peerpb.LoadRequest) *loadStream {
	out := &loadStream{pools: r.Pools, period: time.Duration(r.PeriodMs) * time.Millisecond, cacheBlocks: r.CacheBlocks,
		sent: make(map[string]*sentReport)}
	if len(r.Endpoints) > 0 {
		out.wanted = make(map[string]bool, len(r.Endpoints))
		for _, name := range r.Endpoints {
			out.wanted[name] = true
		}
	}
	return out
}

func (s *loadStream) batch() time.Duration { return max(loadBatch, s.period/8) }

// untilDue returns the time until a report is due that was held back, or until the heartbeat.
func (s *loadStream) untilDue(heartbeat time.Time) time.Duration {
	due := heartbeat
	for _, e := range s.sent {
		if e.held && e.at.Add(s.period).Before(due) {
			due = e.at.Add(s.period)
		}
	}
	return max(0, time.Until(due))
}

func (s *loadStream) wants(r *report) bool {
	return (s.wanted == nil || s.wanted[r.endpoint.Name]) && (len(s.pools) == 0 || slices.Contains(s.pools, r.endpoint.Pool))
}

// sentReport is what a subscriber knows of one endpoint.
type sentReport struct {
	ref  uint32
	load *peerpb.EndpointLoad
	at   time.Time
	// seq and cacheSeq are the last change of the report and of the cache that the subscriber knows.
	seq, cacheSeq uint64
	// held is true while a change waits for the end of the period.
	held bool
	// blocks are the prefix blocks that the subscriber was told of; budget is how many more it may be told.
	blocks   map[uint64]bool
	budget   float64
	budgetAt time.Time
}

// next returns what a subscriber is to be told now, and a channel that is closed at the next change.
func (c *Collector) next(s *loadStream) (*peerpb.LoadUpdate, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := &peerpb.LoadUpdate{}
	for _, r := range c.reports {
		if !s.wants(r) {
			continue
		}
		if m := s.message(r); m != nil {
			u.Endpoints = append(u.Endpoints, m)
		}
	}
	for name, at := range c.gone {
		if at > s.seq && (s.wanted == nil || s.wanted[name]) {
			u.Gone = append(u.Gone, name)
		}
	}
	for name := range s.sent {
		if c.reports[name] == nil {
			delete(s.sent, name)
		}
	}
	s.seq = c.seq
	return u, c.changed
}

// message returns what a subscriber is to be told of one endpoint now, or nil.
func (s *loadStream) message(r *report) *peerpb.EndpointLoad {
	e := s.sent[r.endpoint.Name]
	if e == nil {
		s.lastRef++
		e = &sentReport{ref: s.lastRef, blocks: make(map[uint64]bool), budget: s.cacheBlocks * cacheBurst, budgetAt: time.Now()}
		s.sent[r.endpoint.Name] = e
	}
	described := e.load == nil || !sameDescription(e.load, r.load)
	due := time.Since(e.at) >= s.period
	changed := e.load != nil && r.seq > e.seq && (moved(e.load, r.load) || time.Since(e.at) >= refreshPeriod)
	cached := len(r.cache) > 0 && r.cache[len(r.cache)-1].seq > e.cacheSeq && s.cacheBlocks > 0
	e.held = (changed || cached) && !due
	if !described && (!due || !changed && !cached) {
		return nil
	}
	m := figures(r.load)
	if described {
		m = proto.Clone(r.load).(*peerpb.EndpointLoad)
	}
	m.Ref, m.AgeMs = e.ref, noReportAge.Milliseconds()
	if !r.at.IsZero() {
		m.AgeMs = time.Since(r.at).Milliseconds()
	}
	if s.cacheBlocks > 0 {
		e.addCache(m, r, s.cacheBlocks)
	}
	e.load, e.seq, e.at = r.load, r.seq, time.Now()
	return m
}

// addCache adds the net effect of the cache events that the subscriber lacks: removals of the blocks that it knows, and new blocks
// within the budget. A block that is left out costs a hit that is not foreseen, never a wrong one.
func (e *sentReport) addCache(m *peerpb.EndpointLoad, r *report, perSecond float64) {
	now := time.Now()
	e.budget = math.Min(perSecond*cacheBurst, e.budget+perSecond*now.Sub(e.budgetAt).Seconds())
	e.budgetAt = now
	// A new subscription does not know which blocks an earlier one told, so it could not tell their removal. Removals that are lost
	// in gaps would let the told blocks grow without bound.
	lost := r.lost > e.cacheSeq
	m.CacheReset = lost && (e.cacheSeq == 0 || len(e.blocks) > maxTold(r.load))
	m.CacheGap = lost && !m.CacheReset
	if m.CacheReset {
		clear(e.blocks)
	}
	stored, removed := r.cacheSince(e.cacheSeq)
	for _, block := range removed {
		if e.blocks[block] {
			m.CacheRemoved = append(m.CacheRemoved, block)
			delete(e.blocks, block)
		}
	}
	for _, block := range stored {
		if e.budget < 1 {
			break
		}
		e.budget--
		m.CacheStored = append(m.CacheStored, block)
		e.blocks[block] = true
	}
	if n := len(r.cache); n > 0 {
		e.cacheSeq = max(r.cache[n-1].seq, r.lost)
	}
}

// maxTold is the number of blocks that a subscriber may have been told of at a gap: a quarter more than the endpoint can hold, as much as
// the balancer keeps.
func maxTold(l *peerpb.EndpointLoad) int { return int(l.KvTotal + l.KvTotal/4) }

// figures returns the part of a report that changes all the time.
func figures(l *peerpb.EndpointLoad) *peerpb.EndpointLoad {
	return &peerpb.EndpointLoad{Running: l.Running, Waiting: l.Waiting, QueuedPrefillTokens: l.QueuedPrefillTokens, KvFree: l.KvFree}
}

// describe joins the figures of m with the description that an earlier message gave.
func describe(m, description *peerpb.EndpointLoad) *peerpb.EndpointLoad {
	out := proto.Clone(description).(*peerpb.EndpointLoad)
	out.Running, out.Waiting, out.QueuedPrefillTokens, out.KvFree = m.Running, m.Waiting, m.QueuedPrefillTokens, m.KvFree
	out.AgeMs, out.Ref = m.AgeMs, m.Ref
	out.CacheStored, out.CacheRemoved, out.CacheReset, out.CacheGap = m.CacheStored, m.CacheRemoved, m.CacheReset, m.CacheGap
	return out
}

// sameDescription tells whether two reports differ in their figures at most.
func sameDescription(a, b *peerpb.EndpointLoad) bool {
	return a.Name == b.Name && a.Pool == b.Pool && a.Addr == b.Addr && a.FailureDomain == b.FailureDomain && a.Class == b.Class &&
		a.State == b.State && a.NoNewWork == b.NoNewWork && a.ReclaimAt == b.ReclaimAt && a.Role == b.Role && a.Model == b.Model &&
		a.Version == b.Version && a.KvTotal == b.KvTotal && a.Slots == b.Slots && a.Instance == b.Instance &&
		slices.Equal(a.Adapters, b.Adapters) && sameRate(a.PrefillRate, b.PrefillRate) && sameRate(a.DecodeRate, b.DecodeRate)
}

func sameRate(a, b float64) bool { return math.Abs(a-b) <= rateStep*math.Max(math.Abs(a), math.Abs(b)) }

// moved tells whether the figures differ by more than their steps.
func moved(from, to *peerpb.EndpointLoad) bool {
	beyond := func(a, b, step float64) bool { return math.Abs(a-b) >= math.Max(1, step) }
	return beyond(float64(from.Running+from.Waiting), float64(to.Running+to.Waiting), slotStep*float64(to.Slots)) ||
		beyond(float64(from.QueuedPrefillTokens), float64(to.QueuedPrefillTokens), prefillStep*to.PrefillRate) ||
		beyond(float64(from.KvFree), float64(to.KvFree), kvStep*float64(to.KvTotal))
}
