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
	// neighbourTimeout is how long a neighbour may send no message before it counts as unreachable.
	neighbourTimeout = 3 * time.Second
	// redialDelay is the delay before a lost exchange is opened again.
	redialDelay = 500 * time.Millisecond
	// deathReportTimeout bounds the report of an endpoint's death to the neighbours, because a caller waits for it.
	deathReportTimeout = 250 * time.Millisecond
	// snapshotFetchDelay is how long a neighbour's revision may be larger before its snapshot is fetched. A relay normally delivers
	// changes within a second.
	snapshotFetchDelay = 2 * time.Second
)

// EndpointDeath is one endpoint that died while it ran a request.
type EndpointDeath struct {
	Fingerprint uint64
	Endpoint    string
}

// LocalState provides the state that a gateway sends to its neighbours.
type LocalState interface {
	// PeerDemand returns the current demand of each team that has any.
	PeerDemand() map[string]*peerpb.TeamDemand
	// CollectLoadDeltas returns and clears the work that was sent to each endpoint since the last call.
	CollectLoadDeltas() map[string]balancer.LoadDelta
	// PeerQuarantine returns the remaining time of each quarantined request fingerprint.
	PeerQuarantine() map[uint64]time.Duration
	// CollectEndpointDeaths returns and clears the deaths that this gateway observed since the last call.
	CollectEndpointDeaths() []EndpointDeath
	// Draining reports whether the gateway accepts no new callers.
	Draining() bool
}

// NeighbourHandler handles the updates of neighbours.
type NeighbourHandler interface {
	// OnNeighbourDemand replaces the demand of the given teams at a neighbour. Zero values mean that the team no longer has any.
	OnNeighbourDemand(vm string, demand []*peerpb.TeamDemand)
	OnNeighbourLoadDelta(vm, endpoint string, promptTokens int64, requests int)
	OnNeighbourQuarantine(fingerprint uint64, remaining time.Duration)
	OnNeighbourDeath(fingerprint uint64, endpoint string)
	// OnNeighbourLost is called when no message has arrived from a neighbour for 3 s. Its demand no longer counts.
	OnNeighbourLost(vm string)
}

// stream is the common interface of the client and server side of an exchange.
type stream interface {
	Send(*peerpb.PeerUpdate) error
	Recv() (*peerpb.PeerUpdate, error)
	Context() context.Context
}

// neighbourState is the state from the last message of a VM, and the outbox of the open exchange with it.
type neighbourState struct {
	lastMessageAt time.Time
	revision      uint64
	digest        uint64
	// aheadSince is when the neighbour's revision became larger than this gateway's, or when its snapshot was last requested.
	aheadSince  time.Time
	draining    bool
	lost        bool
	outbox      *outbox
	incarnation string
	// lacksMembers is true while the neighbour has no VM list.
	lacksMembers bool
}

// Mesh exchanges updates with the neighbours of a gateway over one stream for each. The VM with the smaller name dials.
type Mesh struct {
	self, incarnation string
	members           *membership.Members
	clients           *Clients
	snapshots         *config.SnapshotStore
	freshness         *config.Freshness
	local             LocalState
	handler           NeighbourHandler

	mu         sync.Mutex
	neighbours map[string]*neighbourState
	dialing    map[string]context.CancelFunc
	// neighbourLists holds the last VM list from each neighbour.
	neighbourLists map[string]neighbourList
	wg             sync.WaitGroup
	// membersCheckedAt is when the neighbours were last checked for a missing VM list.
	membersCheckedAt time.Time
}

// NewMesh returns the mesh of the gateway on VM self.
func NewMesh(self, incarnation string, members *membership.Members, clients *Clients, snapshots *config.SnapshotStore, freshness *config.Freshness,
	local LocalState, handler NeighbourHandler) *Mesh {
	return &Mesh{self: self, incarnation: incarnation, members: members, clients: clients, snapshots: snapshots, freshness: freshness, local: local, handler: handler,
		neighbours: make(map[string]*neighbourState), dialing: make(map[string]context.CancelFunc),
		neighbourLists: make(map[string]neighbourList)}
}

// Run exchanges updates until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer m.wg.Wait()
	defer cancel()
	ticker := time.NewTicker(deltaPeriod)
	defer ticker.Stop()
	for {
		m.updateDialing(ctx)
		m.collectChanges()
		m.expireNeighbours()
		m.fetchNewerSnapshot(ctx)
		m.sendMemberLists(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// updateDialing starts an exchange with each new neighbour that this VM dials, and stops those with VMs that are no longer neighbours.
func (m *Mesh) updateDialing(ctx context.Context) {
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
			m.wg.Go(func() { m.keepDialing(dialCtx, vm.Name) })
		}
	}
	for name, cancel := range m.dialing {
		if !wanted[name] {
			cancel()
			delete(m.dialing, name)
		}
	}
}

// keepDialing opens an exchange with a VM, again whenever it fails, until ctx ends.
func (m *Mesh) keepDialing(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if vm, ok := m.members.VM(name); ok {
			_ = m.dialExchange(ctx, vm)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// dialExchange opens an exchange with a VM and runs it until it fails.
func (m *Mesh) dialExchange(ctx context.Context, vm apitypes.VM) error {
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
	return m.runExchange(s, vm.Name, cancel)
}

// acceptExchange serves an exchange that a neighbour opened. Its first message contains the neighbour's VM name.
func (m *Mesh) acceptExchange(s stream) error {
	u, err := s.Recv()
	if err != nil {
		return err
	}
	if u.Vm == "" || u.Vm == m.self {
		return errors.Errorf("peer: exchange opened by VM %q, whose name is empty or equal to this VM's; set a unique VM name", u.Vm)
	}
	m.handleUpdate(u)
	return m.runExchange(s, u.Vm, func() {})
}

// runExchange sends and receives until either fails or no message arrives within neighbourTimeout. When the server side returns, gRPC
// closes the stream, which ends the receiving goroutine.
func (m *Mesh) runExchange(s stream, vm string, cancel func()) error {
	out := m.openOutbox(vm)
	defer m.closeOutbox(vm, out)
	receiveErr := make(chan error, 1)
	messageReceived := make(chan struct{}, 1)
	go func() { receiveErr <- m.receiveUpdates(s, vm, messageReceived) }()
	receiveTimer := time.NewTimer(neighbourTimeout)
	defer receiveTimer.Stop()
	ticker := time.NewTicker(deltaPeriod)
	defer ticker.Stop()
	defer cancel()
	lastSent := time.Time{}
	for {
		if u := out.nextUpdate(); u != nil || time.Since(lastSent) >= heartbeatPeriod {
			if err := s.Send(m.addCommonFields(u)); err != nil {
				return err
			}
			lastSent = time.Now()
		}
		select {
		case err := <-receiveErr:
			return err
		case <-messageReceived:
			receiveTimer.Reset(neighbourTimeout)
		case <-receiveTimer.C:
			return errors.Errorf("peer: no message from neighbour %s within the timeout", vm)
		case <-s.Context().Done():
			return s.Context().Err()
		case <-ticker.C:
		}
	}
}

// receiveUpdates handles messages from a VM until the stream fails, and signals each one.
func (m *Mesh) receiveUpdates(s stream, vm string, messageReceived chan<- struct{}) error {
	for {
		u, err := s.Recv()
		if err != nil {
			return err
		}
		if u.Vm != vm {
			return errors.Errorf("peer: message in the exchange with VM %s names VM %q", vm, u.Vm)
		}
		m.handleUpdate(u)
		select {
		case messageReceived <- struct{}{}:
		default:
		}
	}
}

// addCommonFields sets the fields that every message contains. It creates a message if u is nil.
func (m *Mesh) addCommonFields(u *peerpb.PeerUpdate) *peerpb.PeerUpdate {
	if u == nil {
		u = &peerpb.PeerUpdate{}
	}
	u.Vm, u.Incarnation = m.self, m.incarnation
	current := m.snapshots.Current()
	u.Revision, u.ConfigDigest, u.PlatformAgeMs = current.Revision(), current.OperatorDigest(), m.freshness.AgeMS()
	u.Draining, u.LacksMembers = m.local.Draining(), !m.members.HasList()
	return u
}

// handleUpdate records a neighbour's message and passes its content to the handler. The age in it confirms this gateway's configuration
// only if both have the same revision.
func (m *Mesh) handleUpdate(u *peerpb.PeerUpdate) {
	own := m.snapshots.Current().Revision()
	if u.Revision == own && own > 0 {
		m.freshness.Confirm(u.PlatformAgeMs)
	}
	m.mu.Lock()
	n := m.ensureNeighbour(u.Vm)
	n.lastMessageAt, n.revision, n.draining, n.lost = time.Now(), u.Revision, u.Draining, false
	n.incarnation, n.digest, n.lacksMembers = u.Incarnation, u.ConfigDigest, u.LacksMembers
	if u.Revision <= own {
		n.aheadSince = time.Time{}
	} else if n.aheadSince.IsZero() {
		n.aheadSince = n.lastMessageAt
	}
	m.mu.Unlock()
	if len(u.Demand) > 0 {
		m.handler.OnNeighbourDemand(u.Vm, u.Demand)
	}
	for _, e := range u.Sends {
		m.handler.OnNeighbourLoadDelta(u.Vm, e.Endpoint, e.PromptTokens, int(e.Requests))
	}
	for _, q := range u.Quarantined {
		m.handler.OnNeighbourQuarantine(q.Fingerprint, time.Duration(q.Seconds)*time.Second)
	}
	for _, d := range u.Deaths {
		m.handler.OnNeighbourDeath(d.Fingerprint, d.Endpoint)
	}
}

// ensureNeighbour returns the state of a VM and creates it if there is none. The caller holds the lock.
func (m *Mesh) ensureNeighbour(vm string) *neighbourState {
	n, ok := m.neighbours[vm]
	if !ok {
		n = &neighbourState{}
		m.neighbours[vm] = n
	}
	return n
}

// openOutbox replaces the outbox of a VM by a new one.
func (m *Mesh) openOutbox(vm string) *outbox {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := newOutbox(m.entryRate())
	m.ensureNeighbour(vm).outbox = out
	return out
}

// entryRate returns the number of demands, and of load deltas, that may be sent to one neighbour per second.
func (m *Mesh) entryRate() float64 {
	neighbours := max(1, len(m.members.Neighbours()))
	if len(m.members.Live()) > membership.MaxNeighbours+1 {
		return largeFleetEntriesPerSecond / float64(neighbours)
	}
	return smallFleetEntriesPerSecond / float64(neighbours)
}

// closeOutbox removes an outbox, unless a newer exchange has replaced it.
func (m *Mesh) closeOutbox(vm string, out *outbox) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.neighbours[vm]; n != nil && n.outbox == out {
		n.outbox = nil
	}
}

// collectChanges collects this gateway's changes once and adds them to each neighbour's outbox.
func (m *Mesh) collectChanges() {
	demand, quarantine := m.local.PeerDemand(), m.local.PeerQuarantine()
	loadDeltas, deaths := m.local.CollectLoadDeltas(), m.local.CollectEndpointDeaths()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.neighbours {
		if n.outbox != nil {
			n.outbox.add(demand, loadDeltas, quarantine, deaths)
		}
	}
}

// ReportEndpointDeath reports a death to all live neighbours and returns when they have recorded it, or after 250 ms. A neighbour that
// did not respond receives the death through the exchange.
func (m *Mesh) ReportEndpointDeath(ctx context.Context, d EndpointDeath) {
	ctx, cancel := context.WithTimeout(ctx, deathReportTimeout)
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

// expireNeighbours reports neighbours that sent no message within neighbourTimeout. It removes their state once they have no open exchange
// and are not in the VM list.
func (m *Mesh) expireNeighbours() {
	m.mu.Lock()
	var lost []string
	for vm, n := range m.neighbours {
		if time.Since(n.lastMessageAt) > neighbourTimeout && !n.lost {
			n.lost = true
			lost = append(lost, vm)
		}
		if n.lost && n.outbox == nil {
			if _, known := m.members.VM(vm); !known {
				delete(m.neighbours, vm)
			}
		}
	}
	m.mu.Unlock()
	for _, vm := range lost {
		m.handler.OnNeighbourLost(vm)
	}
}

// IsNeighbourAlive reports whether a message from a neighbour arrived in the last 3 s.
func (m *Mesh) IsNeighbourAlive(vm string) bool { return m.receivedWithin(vm, neighbourTimeout) }

// IsNeighbourServing reports whether a neighbour is alive and accepts new callers. GET /v1/entry returns only such neighbours.
func (m *Mesh) IsNeighbourServing(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.neighbours[vm]
	return ok && time.Since(n.lastMessageAt) <= neighbourTimeout && !n.draining
}

// receivedWithin reports whether a message from a VM arrived in the last d.
func (m *Mesh) receivedWithin(vm string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.neighbours[vm]
	return ok && time.Since(n.lastMessageAt) <= d
}

// NeighbourIncarnation returns the incarnation of a neighbour whose last message arrived in the last 3 s, or "".
func (m *Mesh) NeighbourIncarnation(vm string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.neighbours[vm]
	if !ok || time.Since(n.lastMessageAt) > neighbourTimeout {
		return ""
	}
	return n.incarnation
}
