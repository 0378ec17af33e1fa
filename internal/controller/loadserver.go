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
	// minLoadMessageGap is the shortest time between two messages to a subscriber; changes within it are sent together.
	minLoadMessageGap = 100 * time.Millisecond
	// loadHeartbeatPeriod is the longest time between two messages to a subscriber whose requested report period is not longer.
	loadHeartbeatPeriod = time.Second
	// loadSilenceTimeout is the time without a message after which a subscriber gives up a stream whose heartbeat period is
	// loadHeartbeatPeriod.
	loadSilenceTimeout = 3 * time.Second
	// Gauges that changed by less than a step are not sent before the next refresh. The steps are a sixteenth of the slots, a
	// thirty-second of the KV blocks, and 20 ms of prefill work, which is small compared with a first-token target of 340 ms.
	slotStep, kvStep, prefillStep = 1.0 / 16, 1.0 / 32, 0.02
	// rateStep is the relative change of a measured rate above which the endpoint's description is sent again.
	rateStep = 0.05
	// cacheBurstSeconds is the size of a subscriber's burst of cache blocks, in seconds of its block rate.
	cacheBurstSeconds = 10
)

// LoadServer implements peerpb.LoadServer for a controller. Both fields must be set.
type LoadServer struct {
	peerpb.UnimplementedLoadServer
	Collector *Collector
	Directory *Directory
}

// Subscribe implements peerpb.LoadServer: it streams the reports of collected endpoints, with heartbeats.
func (s *LoadServer) Subscribe(r *peerpb.LoadRequest, stream grpc.ServerStreamingServer[peerpb.LoadUpdate]) error {
	c := s.Collector
	c.addUnreachable(r.Without, 1)
	defer c.addUnreachable(r.Without, -1)
	state := newLoadStream(r)
	heartbeat := max(loadHeartbeatPeriod, state.period)
	last := time.Time{}
	for {
		u, changed := c.nextUpdate(state)
		if len(u.Endpoints)+len(u.Gone) > 0 || time.Since(last) >= heartbeat {
			if err := stream.Send(u); err != nil {
				return err
			}
			last = time.Now()
		}
		ctxtime.Sleep(stream.Context(), state.messageGap())
		wait := time.NewTimer(ctxtime.PositiveDuration(state.untilDue(last.Add(heartbeat))))
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

// Endpoints implements peerpb.LoadServer: it streams the provider's lists of endpoints.
func (s *LoadServer) Endpoints(r *peerpb.EndpointsRequest, stream grpc.ServerStreamingServer[peerpb.EndpointList]) error {
	return s.Directory.serveLists(r, stream)
}

// addUnreachable adds n to the number of subscribers that can't reach the controllers of some VMs. This controller collects a
// share of the endpoints of such VMs while the number is above 0.
func (c *Collector) addUnreachable(vms []string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range vms {
		c.unreachableCounts[vm] += n
		if c.unreachableCounts[vm] <= 0 {
			delete(c.unreachableCounts, vm)
		}
	}
}

// loadStream holds the request of one subscriber and the state of its stream.
type loadStream struct {
	// pools and endpoints limit the stream by name; empty pools and nil endpoints stand for all.
	pools     []string
	endpoints map[string]bool
	// period is the shortest time between two reports of an endpoint whose description is unchanged.
	period time.Duration
	// cacheBlockRate bounds the prefix blocks per second that are sent for each endpoint; 0 means none.
	cacheBlockRate float64
	sent           map[string]*sentReport
	lastRef        uint32
	// seq is the number of the last change that nextUpdate has covered.
	seq uint64
}

func newLoadStream(r *peerpb.LoadRequest) *loadStream {
	s := &loadStream{pools: r.Pools, period: time.Duration(r.PeriodMs) * time.Millisecond, cacheBlockRate: r.CacheBlocks,
		sent: make(map[string]*sentReport)}
	if len(r.Endpoints) > 0 {
		s.endpoints = make(map[string]bool, len(r.Endpoints))
		for _, name := range r.Endpoints {
			s.endpoints[name] = true
		}
	}
	return s
}

// messageGap returns the shortest time between two messages on the stream.
func (s *loadStream) messageGap() time.Duration { return max(minLoadMessageGap, s.period/8) }

// untilDue returns the time until the first deferred report is due, at most the time until the heartbeat.
func (s *loadStream) untilDue(heartbeat time.Time) time.Duration {
	due := heartbeat
	for _, e := range s.sent {
		if e.deferred && e.sentAt.Add(s.period).Before(due) {
			due = e.sentAt.Add(s.period)
		}
	}
	return max(0, time.Until(due))
}

// matches reports whether the stream includes the endpoint of r.
func (s *loadStream) matches(r *report) bool {
	return (s.endpoints == nil || s.endpoints[r.endpoint.Name]) && (len(s.pools) == 0 || slices.Contains(s.pools, r.endpoint.Pool))
}

// sentReport is the state of one endpoint on a stream, as last sent to the subscriber.
type sentReport struct {
	// ref identifies the endpoint in messages without a description.
	ref    uint32
	load   *peerpb.EndpointLoad
	sentAt time.Time
	// seq and cacheSeq are the numbers of the last changes of the report and of the cache that were sent.
	seq, cacheSeq uint64
	// deferred is true while a change waits for the end of the stream's period.
	deferred bool
	// blocks holds the prefix blocks that were sent and not removed since. blockBudget is the number of further blocks that may be
	// sent now; it was computed at budgetUpdatedAt.
	blocks          map[uint64]bool
	blockBudget     float64
	budgetUpdatedAt time.Time
}

// nextUpdate returns the message that is due on a stream now, which may be empty, and a channel that is closed at the next
// change.
func (c *Collector) nextUpdate(s *loadStream) (*peerpb.LoadUpdate, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := &peerpb.LoadUpdate{}
	for _, r := range c.reports {
		if !s.matches(r) {
			continue
		}
		if m := s.endpointMessage(r); m != nil {
			u.Endpoints = append(u.Endpoints, m)
		}
	}
	for name, goneSeq := range c.goneSeqs {
		if goneSeq > s.seq && (s.endpoints == nil || s.endpoints[name]) {
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

// endpointMessage returns the message about one endpoint that is due on the stream now, or nil. A changed description is due at
// once. Changed gauges and cache events are due at the end of the period.
func (s *loadStream) endpointMessage(r *report) *peerpb.EndpointLoad {
	e := s.sent[r.endpoint.Name]
	if e == nil {
		s.lastRef++
		e = &sentReport{ref: s.lastRef, blocks: make(map[uint64]bool), blockBudget: s.cacheBlockRate * cacheBurstSeconds, budgetUpdatedAt: time.Now()}
		s.sent[r.endpoint.Name] = e
	}
	needsDescription := e.load == nil || !sameDescription(e.load, r.load)
	due := time.Since(e.sentAt) >= s.period
	changed := e.load != nil && r.seq > e.seq && (gaugesChanged(e.load, r.load) || time.Since(e.sentAt) >= reportRefreshPeriod)
	cacheChanged := len(r.cacheChanges) > 0 && r.cacheChanges[len(r.cacheChanges)-1].seq > e.cacheSeq && s.cacheBlockRate > 0
	e.deferred = (changed || cacheChanged) && !due
	if !needsDescription && (!due || !changed && !cacheChanged) {
		return nil
	}
	m := gaugeMessage(r.load)
	if needsDescription {
		m = proto.Clone(r.load).(*peerpb.EndpointLoad)
	}
	m.Ref, m.AgeMs = e.ref, unreportedAge.Milliseconds()
	if !r.measuredAt.IsZero() {
		m.AgeMs = time.Since(r.measuredAt).Milliseconds()
	}
	if s.cacheBlockRate > 0 {
		e.addCacheChanges(m, r, s.cacheBlockRate)
	}
	e.load, e.seq, e.sentAt = r.load, r.seq, time.Now()
	return m
}

// addCacheChanges adds to m the net effect of the cache events that were not sent yet: removals of the blocks that were sent, and
// new blocks within the budget, which grows by rate blocks per second. A block that is left out makes the balancer miss a cache
// hit; it never makes it expect one wrongly.
func (e *sentReport) addCacheChanges(m *peerpb.EndpointLoad, r *report, rate float64) {
	now := time.Now()
	e.blockBudget = math.Min(rate*cacheBurstSeconds, e.blockBudget+rate*now.Sub(e.budgetUpdatedAt).Seconds())
	e.budgetUpdatedAt = now
	// A new stream has no record of the blocks that an earlier stream sent, so it could not send their removal. When removals are
	// lost in gaps, the sent blocks would grow without bound. A reset avoids both.
	lost := r.cacheLostSeq > e.cacheSeq
	m.CacheReset = lost && (e.cacheSeq == 0 || len(e.blocks) > maxSentBlocks(r.load))
	m.CacheGap = lost && !m.CacheReset
	if m.CacheReset {
		clear(e.blocks)
	}
	stored, removed := r.cacheChangesSince(e.cacheSeq)
	for _, block := range removed {
		if e.blocks[block] {
			m.CacheRemoved = append(m.CacheRemoved, block)
			delete(e.blocks, block)
		}
	}
	for _, block := range stored {
		if e.blockBudget < 1 {
			break
		}
		e.blockBudget--
		m.CacheStored = append(m.CacheStored, block)
		e.blocks[block] = true
	}
	if n := len(r.cacheChanges); n > 0 {
		e.cacheSeq = max(r.cacheChanges[n-1].seq, r.cacheLostSeq)
	}
}

// maxSentBlocks is the number of sent blocks above which a gap leads to a reset: a quarter more than the endpoint can hold, which
// is the number that the balancer stores.
func maxSentBlocks(l *peerpb.EndpointLoad) int { return int(l.KvTotal + l.KvTotal/4) }

// gaugeMessage returns a message with the gauges of a report: the fields that change with every request.
func gaugeMessage(l *peerpb.EndpointLoad) *peerpb.EndpointLoad {
	return &peerpb.EndpointLoad{Running: l.Running, Waiting: l.Waiting, QueuedPrefillTokens: l.QueuedPrefillTokens, KvFree: l.KvFree}
}

// mergeDescription returns m, which holds gauges only, with the description from an earlier message.
func mergeDescription(m, description *peerpb.EndpointLoad) *peerpb.EndpointLoad {
	out := proto.Clone(description).(*peerpb.EndpointLoad)
	out.Running, out.Waiting, out.QueuedPrefillTokens, out.KvFree = m.Running, m.Waiting, m.QueuedPrefillTokens, m.KvFree
	out.AgeMs, out.Ref = m.AgeMs, m.Ref
	out.CacheStored, out.CacheRemoved, out.CacheReset, out.CacheGap = m.CacheStored, m.CacheRemoved, m.CacheReset, m.CacheGap
	return out
}

// sameDescription reports whether two reports differ at most in their gauges and, by up to rateStep, in their rates.
func sameDescription(a, b *peerpb.EndpointLoad) bool {
	return a.Name == b.Name && a.Pool == b.Pool && a.Addr == b.Addr && a.FailureDomain == b.FailureDomain && a.Class == b.Class &&
		a.State == b.State && a.NoNewWork == b.NoNewWork && a.ReclaimAt == b.ReclaimAt && a.Role == b.Role && a.Model == b.Model &&
		a.Version == b.Version && a.KvTotal == b.KvTotal && a.Slots == b.Slots && a.Instance == b.Instance && a.SoftwareVersion == b.SoftwareVersion &&
		slices.Equal(a.Adapters, b.Adapters) && sameRate(a.PrefillRate, b.PrefillRate) && sameRate(a.DecodeRate, b.DecodeRate)
}

func sameRate(a, b float64) bool { return math.Abs(a-b) <= rateStep*math.Max(math.Abs(a), math.Abs(b)) }

// gaugesChanged reports whether a gauge differs by its step or more, and by at least 1.
func gaugesChanged(from, to *peerpb.EndpointLoad) bool {
	exceeds := func(a, b, step float64) bool { return math.Abs(a-b) >= math.Max(1, step) }
	return exceeds(float64(from.Running+from.Waiting), float64(to.Running+to.Waiting), slotStep*float64(to.Slots)) ||
		exceeds(float64(from.QueuedPrefillTokens), float64(to.QueuedPrefillTokens), prefillStep*to.PrefillRate) ||
		exceeds(float64(from.KvFree), float64(to.KvFree), kvStep*float64(to.KvTotal))
}
