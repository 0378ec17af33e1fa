package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// UsageStore stores and returns a gateway's usage counters.
type UsageStore interface {
	// CopyUsage stores counters of another gateway. answers holds the hashes of the answers that the counters include. It returns the
	// windows that are closed at this gateway, and those of the answers that this gateway had already counted.
	CopyUsage(counters []*peerpb.Usage, answers []uint64) (closed []int64, counted []uint64)
	// CollectWindow closes a window and returns this gateway's own counters and its copies of others.
	CollectWindow(ctx context.Context, window int64, holder string, fence uint64) ([]*peerpb.Usage, error)
}

// AnswerSource provides a gateway's stored and running answers.
type AnswerSource interface {
	// FetchAnswer sends a stored or running answer from an offset in bytes. For an unknown answer, or one of another team, it sends a
	// single chunk whose Found is false.
	FetchAnswer(ctx context.Context, requestID, team string, offset int64, send func(*peerpb.AnswerChunk) error) error
}

// StatusSource provides the status fields that only the gateway itself can determine: draining, readiness, requests in flight and
// attempts of claims.
type StatusSource interface {
	PeerStatus() *peerpb.StatusResponse
}

// TargetCountSource provides a gateway's counts of requests that met or missed their service-level target.
type TargetCountSource interface {
	PeerBurn() []*peerpb.BurnSeries
}

// LimitDivider divides the limits of teams among the gateways of a large fleet.
type LimitDivider interface {
	// DivideLimits stores a gateway's demand and returns its shares.
	DivideLimits(vm string, demand []*peerpb.TeamDemand) []*peerpb.TeamShare
}

// Server implements peerpb.GatewayServer for a gateway. Usage, Answers, Status, Burn and Limits may be nil: their calls then return
// Unimplemented, except for GetStatus, which leaves the fields of Status empty.
type Server struct {
	peerpb.UnimplementedGatewayServer
	VM, Incarnation string
	Config          *config.SnapshotStore
	Freshness       *config.Freshness
	Mesh            *Mesh
	Usage           UsageStore
	Answers         AnswerSource
	Status          StatusSource
	Burn            TargetCountSource
	Limits          LimitDivider
}

// Exchange implements peerpb.GatewayServer.
func (s *Server) Exchange(stream grpc.BidiStreamingServer[peerpb.PeerUpdate, peerpb.PeerUpdate]) error {
	return s.Mesh.acceptExchange(stream)
}

// ReportDeath implements peerpb.GatewayServer.
func (s *Server) ReportDeath(_ context.Context, d *peerpb.EndpointDeath) (*peerpb.ReportDeathResponse, error) {
	s.Mesh.handler.OnNeighbourDeath(d.Fingerprint, d.Endpoint)
	return &peerpb.ReportDeathResponse{}, nil
}

// TellMembers implements peerpb.GatewayServer.
func (s *Server) TellMembers(_ context.Context, l *peerpb.MemberList) (*peerpb.TellMembersResponse, error) {
	s.Mesh.handleMemberList(l)
	return &peerpb.TellMembersResponse{}, nil
}

// CopyUsage implements peerpb.GatewayServer.
func (s *Server) CopyUsage(_ context.Context, r *peerpb.CopyUsageRequest) (*peerpb.CopyUsageResponse, error) {
	if s.Usage == nil {
		return nil, errUnimplemented
	}
	closed, counted := s.Usage.CopyUsage(r.Counters, r.Answers)
	return &peerpb.CopyUsageResponse{Closed: closed, Counted: counted}, nil
}

// CollectWindow implements peerpb.GatewayServer.
func (s *Server) CollectWindow(ctx context.Context, r *peerpb.CollectWindowRequest) (*peerpb.CollectWindowResponse, error) {
	if s.Usage == nil {
		return nil, errUnimplemented
	}
	counters, err := s.Usage.CollectWindow(ctx, r.Window, r.Holder, r.Fence)
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerpb.CollectWindowResponse{Incarnation: s.Incarnation, Counters: counters}, nil
}

// FetchAnswer implements peerpb.GatewayServer.
func (s *Server) FetchAnswer(r *peerpb.FetchAnswerRequest, stream grpc.ServerStreamingServer[peerpb.AnswerChunk]) error {
	if s.Answers == nil {
		return errUnimplemented
	}
	return s.Answers.FetchAnswer(stream.Context(), r.RequestId, r.Team, r.Offset, stream.Send)
}

// Snapshot implements peerpb.GatewayServer.
func (s *Server) Snapshot(_ context.Context, r *peerpb.SnapshotRequest) (*peerpb.ConfigUpdate, error) {
	current := s.Config.Current()
	if r.Digest != 0 && r.Digest == current.Digest() {
		// Revisions can increase without a change of configuration, and a full snapshot of 3,500 teams takes more than 1 MB.
		return &peerpb.ConfigUpdate{Revision: current.Revision(), AgeMs: s.Freshness.AgeMS(), Digest: current.Digest()}, nil
	}
	return config.FullUpdate(current, s.Freshness.AgeMS()), nil
}

// GetStatus implements peerpb.GatewayServer.
func (s *Server) GetStatus(_ context.Context, r *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	out := &peerpb.StatusResponse{}
	if s.Status != nil {
		out = s.Status.PeerStatus()
	}
	current := s.Config.Current()
	out.Vm, out.Incarnation = s.VM, s.Incarnation
	out.LacksMembers = s.Mesh != nil && !s.Mesh.members.HasList()
	out.Revision, out.PlatformAgeMs = current.Revision(), s.Freshness.AgeMS()
	for name := range current.UnparsableObjects() {
		out.BadObjects = append(out.BadObjects, name)
	}
	if r.Kind != "" {
		out.ObjectVersion = current.ObjectVersion(r.Kind, r.Name)
	}
	return out, nil
}

// DivideLimits implements peerpb.GatewayServer.
func (s *Server) DivideLimits(_ context.Context, r *peerpb.DivideLimitsRequest) (*peerpb.DivideLimitsResponse, error) {
	if s.Limits == nil {
		return nil, errUnimplemented
	}
	return &peerpb.DivideLimitsResponse{Shares: s.Limits.DivideLimits(r.Vm, r.Demand)}, nil
}

// GetBurn implements peerpb.GatewayServer.
func (s *Server) GetBurn(context.Context, *peerpb.BurnRequest) (*peerpb.BurnResponse, error) {
	if s.Burn == nil {
		return nil, errUnimplemented
	}
	return &peerpb.BurnResponse{Series: s.Burn.PeerBurn()}, nil
}

// errUnimplemented is returned for calls whose source is nil.
var errUnimplemented = status.Error(codes.Unimplemented, "this process does not serve the call; call a gateway")
