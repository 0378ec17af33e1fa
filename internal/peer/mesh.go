package peer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// heartbeatPeriod is the longest time between two messages to a neighbour.
	heartbeatPeriod = time.Second
	// deltaPeriod is the shortest time between two messages to a neighbour.
	deltaPeriod = 250 * time.Millisecond
	// silentAfter is how long a neighbour may send nothing before it counts as unreachable.
	silentAfter = 3 * time.Second
	// redialPeriod is the wait before a lost exchange is set up again.
	redialPeriod = 500 * time.Millisecond
	// snapshotPatience is how long a neighbour's revision may be larger before its snapshot is fetched; a relay normally
	// deathTimeout bounds the report of a death, because a caller waits for it.
	deathTimeout = 250 * time.Millisecond
	// delivers within a second.
	snapshotPatience = 2 * time.Second
)

// EndpointDeath is one endpoint that died while it ran a request.
type EndpointDeath struct {
	Fingerprint uint64
	Endpoint    string
}

// LocalState is what a gateway tells its neighbours.
type LocalState interface {
	// PeerDemand returns the current demand of each team with any.
	PeerDemand() map[string]*peerpb.TeamDemand
	// CollectLoadDeltas returns and clears what was sent to endpoints since the last call.
	CollectLoadDeltas() map[string]balancer.LoadDelta
	// PeerQuarantine returns the quarantined fingerprints with their remaining time.
	PeerQuarantine() map[uint64]time.Duration
	// CollectEndpointDeaths returns and clears the deaths that this gateway saw since the last call.
	CollectEndpointDeaths() []EndpointDeath
	// Draining tells whether the gateway takes no new callers.
	Draining() bool
}

// NeighbourHandler takes what neighbours tell.
type NeighbourHandler interface {
	// OnNeighbourDemand replaces the demand of some teams at a neighbour; zero values mean that there is none any more.
	OnNeighbourDemand(vm string, demand []*peerpb.TeamDemand)
	OnNeighbourLoadDelta(vm, endpoint string, promptTokens int64, requests int)
	OnNeighbourQuarantine(fingerprint uint64, remaining time.Duration)
	OnNeighbourDeath(fingerprint uint64, endpoint string)
	// OnNeighbourLost is called when a neighbour falls silent: its demand no longer counts.
	OnNeighbourLost(vm string)
}

// stream is the common part of both ends of an exchange.
type stream interface {
	Send(*peerpb.PeerUpdate) error
	Recv() (*peerpb.PeerUpdate, error)
	Context() context.Context
}

// neighbour is what is known of one VM that has exchanged messages.
type neighbour struct {
	heard       time.Time
	revision    uint64
	digest      uint64
	aheadSince  time.Time
	draining    bool
	gone        bool
	outbox      *outbox
	incarnation string
	// lacksMembers is true while the neighbour has no list of VMs.
	lacksMembers bool
}

// Mesh exchanges updates with the neighbours of a gateway, with one conversation for each. The VM with the smaller name dials.
type Mesh struct {
	self, incarnation string
	members           *membership.Members
	clients           *Clients
	holder            *config.SnapshotStore
	freshness         *config.Freshness
	local             LocalState
	remote            NeighbourHandler

	mu         sync.Mutex
	neighbours map[string]*neighbour
	dialing    map[string]context.CancelFunc
	told       map[string]toldList
	wg         sync.WaitGroup
	// introducedAt is the last look for neighbours without a list of VMs.
	introducedAt time.Time
}

// NewMesh returns the exchange of the gateway on VM self.
func NewMesh(self, incarnation string, m *membership.Members, c *Clients, h *config.SnapshotStore, f *config.Freshness, l LocalState, r NeighbourHandler) *Mesh {
	return &Mesh{self: self, incarnation: incarnation, members: m, clients: c, holder: h, freshness: f, local: l, remote: r,
		neighbours: make(map[string]*neighbour), dialing: make(map[string]context.CancelFunc), told: make(map[string]toldList)}
}

// Run exchanges updates until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer m.wg.Wait()
	defer cancel()
	ticker := time.NewTicker(deltaPeriod)
	defer ticker.Stop()
	for {
		m.redial(ctx)
		m.collect()
		m.dropSilent()
		m.catchUp(ctx)
		m.introduce(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// redial starts a conversation with each new neighbour that this VM dials, and ends those with VMs that are none any more.
func (m *Mesh) redial(ctx context.Context) {
	wanted := make(map[string]bool)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range m.members.Neighbours() {
		if vm.Name < m.self {
			continue
		}
		wanted[vm.Name] = true
		if m.dialing[vm.Name] == nil {
			dialCtx, cancel := context.WithCancel(ctx)
			m.dialing[vm.Name] = cancel
			m.wg.Go(func() { m.dial(dialCtx, vm.Name) })
		}
	}
	for name, cancel := range m.dialing {
		if !wanted[name] {
			cancel()
			delete(m.dialing, name)
		}
	}
}

// dial keeps one conversation going until ctx ends.
func (m *Mesh) dial(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if vm, ok := m.members.VM(name); ok {
			_ = m.exchange(ctx, vm)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPeriod):
		}
	}
}

func (m *Mesh) exchange(ctx context.Context, vm apitypes.VM) error {
	client, err := m.clients.GatewayClient(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := client.Exchange(ctx)
	if err != nil {
		return err
	}
	return m.converse(s, vm.Name, cancel)
}

// accept serves a conversation that a neighbour began. Its first message names it.
func (m *Mesh) accept(s stream) error {
	u, err := s.Recv()
	if err != nil {
		return err
	}
	if u.Vm == "" || u.Vm == m.self {
		return errors.Errorf("peer: exchange from VM %q; set a unique VM name", u.Vm)
	}
	m.take(u)
	return m.converse(s, u.Vm, func() {})
}

// converse sends and receives until either fails or the neighbour is silent. When the server's side returns, gRPC ends the stream
// and with it the receiving goroutine.
func (m *Mesh) converse(s stream, vm string, cancel func()) error {
	out := m.open(vm)
	defer m.close(vm, out)
	received := make(chan error, 1)
	heard := make(chan struct{}, 1)
	go func() { received <- m.receive(s, vm, heard) }()
	silence := time.NewTimer(silentAfter)
	defer silence.Stop()
	ticker := time.NewTicker(deltaPeriod)
	defer ticker.Stop()
	defer cancel()
	last := time.Time{}
	for {
		if u := out.next(); u != nil || time.Since(last) >= heartbeatPeriod {
			if err := s.Send(m.stamp(u)); err != nil {
				return err
			}
			last = time.Now()
		}
		select {
		case err := <-received:
			return err
		case <-heard:
			silence.Reset(silentAfter)
		case <-silence.C:
			return errors.Errorf("peer: neighbour %s is silent", vm)
		case <-s.Context().Done():
			return s.Context().Err()
		case <-ticker.C:
		}
	}
}

func (m *Mesh) receive(s stream, vm string, heard chan<- struct{}) error {
	for {
		u, err := s.Recv()
		if err != nil {
			return err
		}
		if u.Vm != vm {
			return errors.Errorf("peer: exchange of %s names %q", vm, u.Vm)
		}
		m.take(u)
		select {
		case heard <- struct{}{}:
		default:
		}
	}
}

// stamp adds what every message carries.
func (m *Mesh) stamp(u *peerpb.PeerUpdate) *peerpb.PeerUpdate {
	if u == nil {
		u = &peerpb.PeerUpdate{}
	}
	u.Vm, u.Incarnation = m.self, m.incarnation
	now := m.holder.Current()
	u.Revision, u.ConfigDigest, u.PlatformAgeMs = now.Revision(), now.OperatorsDigest(), m.freshness.AgeMS()
	u.Draining, u.LacksMembers = m.local.Draining(), !m.members.HasList()
	return u
}

// take passes a neighbour's message on. An age confirms this gateway's configuration only when both have the same revision.
func (m *Mesh) take(u *peerpb.PeerUpdate) {
	own := m.holder.Current().Revision()
	if u.Revision == own && own > 0 {
		m.freshness.Confirm(u.PlatformAgeMs)
	}
	m.mu.Lock()
	n := m.neighbour(u.Vm)
	n.heard, n.revision, n.draining, n.gone = time.Now(), u.Revision, u.Draining, false
	n.incarnation, n.digest, n.lacksMembers = u.Incarnation, u.ConfigDigest, u.LacksMembers
	if u.Revision <= own {
		n.aheadSince = time.Time{}
	} else if n.aheadSince.IsZero() {
		n.aheadSince = n.heard
	}
	m.mu.Unlock()
	if len(u.Demand) > 0 {
		m.remote.OnNeighbourDemand(u.Vm, u.Demand)
	}
	for _, e := range u.Sends {
		m.remote.OnNeighbourLoadDelta(u.Vm, e.Endpoint, e.PromptTokens, int(e.Requests))
	}
	for _, q := range u.Quarantined {
		m.remote.OnNeighbourQuarantine(q.Fingerprint, time.Duration(q.Seconds)*time.Second)
	}
	for _, d := range u.Deaths {
		m.remote.OnNeighbourDeath(d.Fingerprint, d.Endpoint)
	}
}

// neighbour returns the record of a VM. The caller holds the lock.
func (m *Mesh) neighbour(vm string) *neighbour {
	n, ok := m.neighbours[vm]
	if !ok {
		n = &neighbour{}
		m.neighbours[vm] = n
	}
	return n
}

func (m *Mesh) open(vm string) *outbox {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := newOutbox(m.entryRate())
	m.neighbour(vm).outbox = out
	return out
}

// entryRate is the number of demands, and of sends, that one neighbour may be told a second.
func (m *Mesh) entryRate() float64 {
	neighbours := max(1, len(m.members.Neighbours()))
	if len(m.members.Live()) > membership.MaxNeighbours+1 {
		return largeFleetEntries / float64(neighbours)
	}
	return smallFleetEntries / float64(neighbours)
}

func (m *Mesh) close(vm string, out *outbox) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.neighbours[vm]; n != nil && n.outbox == out {
		n.outbox = nil
	}
}

// collect takes what changed here once and puts it into each neighbour's outbox.
func (m *Mesh) collect() {
	demand, quarantine := m.local.PeerDemand(), m.local.PeerQuarantine()
	sends, deaths := m.local.CollectLoadDeltas(), m.local.CollectEndpointDeaths()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.neighbours {
		if n.outbox != nil {
			n.outbox.add(demand, sends, quarantine, deaths)
		}
	}
}

// ReportEndpointDeath tells all live neighbours of a death and returns once they have recorded it, or after 250 ms. A neighbour that did not
// answer learns of it by the exchange.
func (m *Mesh) ReportEndpointDeath(ctx context.Context, d EndpointDeath) {
	ctx, cancel := context.WithTimeout(ctx, deathTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, vm := range m.members.Neighbours() {
		if !m.IsNeighbourAlive(vm.Name) {
			continue
		}
		client, err := m.clients.GatewayClient(vm)
		if err != nil {
			continue
		}
		calls.Go(func() {
			_, _ = client.ReportDeath(ctx, &peerpb.EndpointDeath{Fingerprint: d.Fingerprint, Endpoint: d.Endpoint})
		})
	}
	calls.Wait()
}

// dropSilent reports neighbours that fell silent, and forgets them.
func (m *Mesh) dropSilent() {
	m.mu.Lock()
	var silent []string
	for vm, n := range m.neighbours {
		if time.Since(n.heard) > silentAfter && !n.gone {
			n.gone = true
			silent = append(silent, vm)
		}
		if n.gone && n.outbox == nil {
			if _, known := m.members.VM(vm); !known {
				delete(m.neighbours, vm)
			}
		}
	}
	m.mu.Unlock()
	for _, vm := range silent {
		m.remote.OnNeighbourLost(vm)
	}
}

// IsNeighbourAlive tells whether a neighbour was heard in the last 3 s.
func (m *Mesh) IsNeighbourAlive(vm string) bool { return m.heardWithin(vm, silentAfter) }

// IsNeighbourServing tells whether a neighbour is alive and takes new callers; others leave the answer of GET /v1/entry.
func (m *Mesh) IsNeighbourServing(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.neighbours[vm]
	return ok && time.Since(n.heard) <= silentAfter && !n.draining
}

func (m *Mesh) heardWithin(vm string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.neighbours[vm]
	return ok && time.Since(n.heard) <= d
}

// NeighbourIncarnation returns the incarnation of a neighbour that was heard in the last 3 s, or "".
func (m *Mesh) NeighbourIncarnation(vm string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.neighbours[vm]
	if !ok || time.Since(n.heard) > silentAfter {
		return ""
	}
	return n.incarnation
}
