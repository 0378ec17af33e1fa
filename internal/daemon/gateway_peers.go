package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/gateway"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/peer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/usage"
)

// neighbours exchanges demand, load, quarantine entries and endpoint deaths between this gateway and its neighbours. It implements
// peer.LocalState and peer.NeighbourHandler.
type neighbours struct {
	admission  *admission.Queue
	balancer   *balancer.Balancer
	quarantine *retry.Quarantine
	draining   func() bool
	sendDeath  func(context.Context, peer.EndpointDeath)
	// isLargeFleet is node.isLargeFleet.
	isLargeFleet func() bool

	mu     sync.Mutex
	deaths []peer.EndpointDeath                   // not yet collected
	demand map[string]map[string]admission.Demand // by VM and team
}

func newNeighbours(queue *admission.Queue, balancer *balancer.Balancer, quarantine *retry.Quarantine) *neighbours {
	return &neighbours{admission: queue, balancer: balancer, quarantine: quarantine, demand: make(map[string]map[string]admission.Demand)}
}

// PeerDemand implements peer.LocalState. In a large fleet it returns nil, because limitShares divides the limits there.
func (n *neighbours) PeerDemand() map[string]*peerpb.TeamDemand {
	if n.isLargeFleet() {
		return nil
	}
	out := make(map[string]*peerpb.TeamDemand)
	for _, d := range demandMessages(n.admission.DemandByTeam()) {
		out[d.Team] = d
	}
	return out
}

// CollectLoadDeltas implements peer.LocalState.
func (n *neighbours) CollectLoadDeltas() map[string]balancer.LoadDelta {
	return n.balancer.CollectLoadDeltas()
}

// PeerQuarantine implements peer.LocalState.
func (n *neighbours) PeerQuarantine() map[uint64]time.Duration { return n.quarantine.Entries() }

// CollectEndpointDeaths implements peer.LocalState.
func (n *neighbours) CollectEndpointDeaths() []peer.EndpointDeath {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.deaths
	n.deaths = nil
	return out
}

// Draining implements peer.LocalState.
func (n *neighbours) Draining() bool { return n.draining() }

// reportEndpointDeath reports to the neighbours that an endpoint died during a request. It returns after they have been informed, because
// the caller may immediately send the request again to one of them.
func (n *neighbours) reportEndpointDeath(fingerprint uint64, endpoint string) {
	death := peer.EndpointDeath{Fingerprint: fingerprint, Endpoint: endpoint}
	n.mu.Lock()
	n.deaths = append(n.deaths, death)
	n.mu.Unlock()
	n.sendDeath(context.Background(), death)
}

// OnNeighbourDemand implements peer.NeighbourHandler. changed contains only the teams whose demand has changed.
func (n *neighbours) OnNeighbourDemand(vm string, changed []*peerpb.TeamDemand) {
	n.mu.Lock()
	defer n.mu.Unlock()
	demandByTeam := n.demand[vm]
	if demandByTeam == nil {
		demandByTeam = make(map[string]admission.Demand)
		n.demand[vm] = demandByTeam
	}
	for _, d := range changed {
		demandByTeam[d.Team] = demandFromMessage(d)
		if demandByTeam[d.Team] == (admission.Demand{}) {
			delete(demandByTeam, d.Team)
		}
	}
	n.admission.SetPeerDemand(vm, demandByTeam)
}

// OnNeighbourLoadDelta implements peer.NeighbourHandler.
func (n *neighbours) OnNeighbourLoadDelta(vm, endpoint string, promptTokens int64, requests int) {
	n.balancer.AddPeerLoad(vm, endpoint, promptTokens, requests)
}

// OnNeighbourQuarantine implements peer.NeighbourHandler.
func (n *neighbours) OnNeighbourQuarantine(fingerprint uint64, remaining time.Duration) {
	n.quarantine.Add(fingerprint, remaining)
}

// OnNeighbourDeath implements peer.NeighbourHandler.
func (n *neighbours) OnNeighbourDeath(fingerprint uint64, endpoint string) {
	n.quarantine.RecordPeerCrash(fingerprint, endpoint)
}

// OnNeighbourLost implements peer.NeighbourHandler.
func (n *neighbours) OnNeighbourLost(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.demand, vm)
	n.admission.SetPeerDemand(vm, nil)
}

// usageCopier copies usage counters to neighbours. They are named "<vm>@<incarnation>", so that a restarted neighbour is a different one.
type usageCopier struct {
	node    *node
	mesh    *peer.Mesh
	answers *usage.CountedAnswers
}

// peers returns the names of the live neighbours that receive copies.
func (c *usageCopier) peers() []string {
	var alive []apitypes.VM
	for _, vm := range c.node.members.Neighbours() {
		if c.mesh.IsNeighbourAlive(vm.Name) {
			alive = append(alive, vm)
		}
	}
	var out []string
	for _, vm := range usage.ChooseCopyPeers(c.node.self, alive) {
		out = append(out, vm.Name+"@"+c.mesh.NeighbourIncarnation(vm.Name))
	}
	return out
}

// CopyUsage implements usage.Copier.
func (c *usageCopier) CopyUsage(ctx context.Context, name string, counters []usage.Counter) ([]int64, error) {
	vmName, _, _ := strings.Cut(name, "@")
	vm, ok := c.node.members.VM(vmName)
	if !ok {
		return nil, errors.Errorf("copy usage: VM %s is no longer in the list of VMs", vmName)
	}
	client, err := c.node.clients.GatewayClient(vm)
	if err != nil {
		return nil, err
	}
	answers, confirm := c.answers.UnconfirmedByPeer(name)
	r, err := client.CopyUsage(ctx, &peerpb.CopyUsageRequest{Counters: usageMessages(counters), Answers: answers})
	if err == nil {
		confirm()
	}
	return r.GetClosed(), err
}

// markCountedTimeout limits one call of markCountedAt to another gateway.
const markCountedTimeout = 500 * time.Millisecond

// MarkAnswerCounted implements gateway.AnswerDeduplicator. An answer with an origin belongs to another gateway that is gone. It is marked
// at the neighbours of that gateway, which have the copies of its usage. All gateways call them in the same order, so that only the first
// of several gateways that resume an answer counts it.
func (c *usageCopier) MarkAnswerCounted(ctx context.Context, origin, requestID string) bool {
	hash := usage.HashAnswer(requestID)
	if origin == "" {
		c.answers.MarkCounted(hash)
		return true
	}
	vm, _ := c.node.members.VM(origin)
	vm.Name = origin
	for _, neighbour := range membership.Neighbours(vm, c.node.members.Live()) {
		if c.markCountedAt(ctx, neighbour, hash) {
			return false
		}
	}
	return true
}

// markCountedAt marks an answer as counted at the gateway on a VM and reports whether it was already marked there. It returns false when
// the gateway does not respond.
func (c *usageCopier) markCountedAt(ctx context.Context, vm apitypes.VM, hash uint64) bool {
	if vm.Name == c.node.self.Name {
		return len(c.answers.AcceptFromPeer([]uint64{hash})) > 0
	}
	client, err := c.node.clients.GatewayClient(vm)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, markCountedTimeout)
	defer cancel()
	r, err := client.CopyUsage(ctx, &peerpb.CopyUsageRequest{Answers: []uint64{hash}})
	return err == nil && len(r.Counted) > 0
}

// peerService returns the gRPC service of this gateway for other processes.
func (g *gatewayNode) peerService() *peer.Server {
	service := &gatewayService{g}
	return &peer.Server{VM: g.settings.VMName, Incarnation: g.incarnation, Config: g.configStore, Freshness: g.freshness, Mesh: g.mesh,
		Usage: service, Answers: service, Status: service, Burn: service, Limits: g.limitShares}
}

// gatewayService implements the interfaces that peer.Server needs.
type gatewayService struct{ *gatewayNode }

// CopyUsage implements peer.UsageStore.
func (s *gatewayService) CopyUsage(counters []*peerpb.Usage, answers []uint64) (closed []int64, counted []uint64) {
	return s.ledger.AcceptCounters(usageCounters(counters)), s.answers.AcceptFromPeer(answers)
}

// CollectWindow implements peer.UsageStore.
func (s *gatewayService) CollectWindow(_ context.Context, window int64, _ string, _ uint64) ([]*peerpb.Usage, error) {
	return usageMessages(s.ledger.CloseWindow(window)), nil
}

// FetchAnswer implements peer.AnswerSource.
func (s *gatewayService) FetchAnswer(ctx context.Context, requestID, team string, offset int64, send func(*peerpb.AnswerChunk) error) error {
	err := s.gateway.StreamAnswer(ctx, team, requestID, offset, func(p gateway.AnswerPart) error {
		return send(&peerpb.AnswerChunk{Data: p.Data, ContentType: p.ContentType, Status: int32(p.Status), Whole: p.Complete, Found: true})
	})
	if errors.Is(err, gateway.ErrAnswerUnknown) {
		return send(&peerpb.AnswerChunk{})
	}
	return err
}

// PeerStatus implements peer.StatusSource.
func (s *gatewayService) PeerStatus() *peerpb.StatusResponse {
	return &peerpb.StatusResponse{Draining: s.gateway.Draining(), Ready: s.readiness.Ready(), InFlight: int32(s.gateway.InFlight()),
		Attempts: s.gateway.ActiveClaimAttempts(), Demand: s.demand.messages()}
}

// PeerBurn implements peer.TargetCountSource.
func (s *gatewayService) PeerBurn() []*peerpb.BurnSeries {
	var out []*peerpb.BurnSeries
	for _, series := range s.burn.Series() {
		m := &peerpb.BurnSeries{Team: series.Team, Route: series.Route, Objective: series.Objective}
		for _, p := range series.Points {
			m.Points = append(m.Points, &peerpb.BurnPoint{Start: p.Start, Good: p.Good, Total: p.Total})
		}
		out = append(out, m)
	}
	return out
}

// answerFetcher fetches answers from other gateways. It implements gateway.AnswerFetcher.
type answerFetcher struct{ *node }

// FetchAnswer implements gateway.AnswerFetcher.
func (f *answerFetcher) FetchAnswer(ctx context.Context, vmName, incarnation, team, requestID string, offset int64,
	handle func(gateway.AnswerPart) error) error {
	vm, ok := f.members.VM(vmName)
	if !ok {
		return gateway.ErrGatewayGone
	}
	client, err := f.clients.GatewayClient(vm)
	if err != nil {
		return err
	}
	stream, err := client.FetchAnswer(ctx, &peerpb.FetchAnswerRequest{RequestId: requestID, Team: team, Offset: offset})
	if err != nil {
		// The call fails here if the connection is known to be broken; otherwise Recv returns the error.
		return f.fetchError(ctx, client, incarnation, err)
	}
	for first := true; ; first = false {
		chunk, err := stream.Recv()
		if err != nil {
			return f.fetchError(ctx, client, incarnation, err)
		}
		if first && !chunk.Found {
			return f.missingAnswerError(ctx, client, incarnation)
		}
		if err := handle(gateway.AnswerPart{Data: chunk.Data, ContentType: chunk.ContentType, Status: int(chunk.Status), Complete: chunk.Whole}); err != nil {
			return err
		}
		if chunk.Whole {
			return nil
		}
	}
}

// fetchError returns the error for a failed fetch. It checks whether a gateway that is unavailable is gone.
func (f *answerFetcher) fetchError(ctx context.Context, client peerpb.GatewayClient, incarnation string, err error) error {
	if status.Code(err) != codes.Unavailable {
		return err
	}
	return f.missingAnswerError(ctx, client, incarnation)
}

// missingAnswerError returns the error for an answer that a gateway does not have: ErrGatewayGone when the gateway is unreachable or
// another incarnation, and ErrAnswerUnknown otherwise.
func (f *answerFetcher) missingAnswerError(ctx context.Context, client peerpb.GatewayClient, incarnation string) error {
	s, err := client.GetStatus(ctx, &peerpb.StatusRequest{})
	if status.Code(err) == codes.Unavailable || err == nil && s.Incarnation != incarnation {
		return gateway.ErrGatewayGone
	}
	return gateway.ErrAnswerUnknown
}

func usageMessages(counters []usage.Counter) []*peerpb.Usage {
	out := make([]*peerpb.Usage, 0, len(counters))
	for _, c := range counters {
		out = append(out, &peerpb.Usage{Incarnation: c.Incarnation, Window: c.Window, Team: c.Team, Requests: c.Usage.Requests,
			PromptTokens: c.Usage.PromptTokens, OutputTokens: c.Usage.OutputTokens})
	}
	return out
}

func usageCounters(messages []*peerpb.Usage) []usage.Counter {
	out := make([]usage.Counter, 0, len(messages))
	for _, m := range messages {
		out = append(out, usage.Counter{Incarnation: m.Incarnation, Window: m.Window, Team: m.Team,
			Usage: apitypes.Usage{Requests: m.Requests, PromptTokens: m.PromptTokens, OutputTokens: m.OutputTokens}})
	}
	return out
}
