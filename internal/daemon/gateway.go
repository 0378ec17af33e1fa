package daemon

import (
	"context"
	"encoding/binary"
	"hash/maphash"
	"strconv"
	"time"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/burn"
	"crocusglade.example/crocusglade/internal/claim"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/controller"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/gateway"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/peer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/internal/telemetry"
	"crocusglade.example/crocusglade/internal/usage"
)

const (
	// retryRatio is the number of retries allowed for each first try.
	retryRatio = 0.1
	// quarantineFor is how long a request that crashed endpoints is refused.
	quarantineFor = 10 * time.Minute
	// capacityEvery is how often admission learns of the pools' capacity. The measurements of admission use the same period.
	capacityEvery = 50 * time.Millisecond
	// readyEvery is how often readiness is looked at.
	readyEvery = 100 * time.Millisecond
	// forgetUsageAfter is how long counters of closed windows are kept.
	forgetUsageAfter = time.Hour
)

// gatewayNode is a gateway with its connections to the rest of the system.
type gatewayNode struct {
	*node
	gateway     *gateway.Gateway
	admission   *admission.Queue
	balancer    *balancer.Balancer
	quarantine  *retry.Quarantine
	ledger      *usage.Ledger
	answers     *usage.CountedAnswers
	burn        *burn.Recorder
	subscriber  *config.Subscriber
	mesh        *peer.Mesh
	readiness   *peer.Readiness
	neighbours  *neighbours
	entry       *membership.GatewayDirectory
	demand      *demandMeter
	limitShares *limitShares
}

// GatewayComponents constructs the parts of a gateway.
func GatewayComponents(s *settings.Gateway, t *telemetry.Telemetry) ([]Component, error) {
	base, err := newNode(s.Common, t, apitypes.VM{GatewayAddr: s.Advertise, GatewayPeerAddr: s.PeerAdvertise})
	if err != nil {
		return nil, err
	}
	if err := checkPlain("callers", s.Listen, s.CallerTLS); err != nil {
		return nil, err
	}
	callerTLS, err := loadTLS(s.CallerTLS)
	if err != nil {
		return nil, err
	}
	g := newGatewayNode(base, s)
	loads := controller.NewLoadSubscriber(s.VMName, g.holder, g.members, g.clients.DialController, g.balancer)
	loads.SetEndpointFilter(g.balancer.Subset)
	parts := append(g.parts(),
		Component{Name: "configuration", Run: g.subscriber.Run},
		Component{Name: "neighbours", Run: g.mesh.Run},
		Component{Name: "readiness", Run: g.readiness.Run},
		Component{Name: "load", Run: loads.Run},
		Component{Name: "usage", Run: g.ledger.Run},
		Component{Name: "capacity", Run: g.keepCapacity},
		Component{Name: "limits", Run: g.limitShares.run},
		Component{Name: "moves", Run: g.gateway.RunStreamMigration},
		Component{Name: "health check", Run: g.watchReadiness},
		g.peerServer(func(r *grpc.Server) { peerpb.RegisterGatewayServer(r, g.peerService()) }),
	)
	if callerTLS != nil {
		parts = append(parts, Component{Name: "caller TLS", Run: callerTLS.Run})
	}
	return append(parts, g.callers(s, callerTLS)), nil
}

func newGatewayNode(base *node, s *settings.Gateway) *gatewayNode {
	g := &gatewayNode{node: base, admission: admission.New(), balancer: balancer.New(seed(base.incarnation)),
		quarantine: retry.NewQuarantine(quarantineFor), burn: burn.NewRecorder(burn.DefaultObjective), answers: usage.NewCountedAnswers(), demand: newDemandMeter()}
	g.admission.SetSelf(s.VMName)
	g.balancer.OnEject(func(pool string) { g.telemetry.Metrics.Retry.Ejected(context.Background(), pool) })
	g.registerMetrics()
	g.neighbours = newNeighbours(g.admission, g.balancer, g.quarantine)
	g.neighbours.large = base.largeFleet
	g.limitShares = newLimitShares(base, g.admission)
	g.holder.OnChange(g.configureAdmission)
	g.mesh = peer.NewMesh(s.VMName, g.incarnation, g.members, g.clients, g.holder, g.freshness, g.neighbours, g.neighbours)
	g.subscriber = config.NewSubscriber(s.VMName, "gateway", g.holder, g.freshness, g.members.Parents, g.clients.DialController)
	g.subscriber.OnStreamLost(g.countLost)
	g.readiness = peer.NewReadiness(g.mesh, g.subscriber.Synced)
	g.entry = membership.NewGatewayDirectory(g.self, g.members, g.mesh.IsNeighbourServing)
	g.balancer.SetSuspectOwnership(g.entry.OwnsEndpoint)
	copier := &usageCopier{node: base, mesh: g.mesh, answers: g.answers}
	g.ledger = usage.NewLedger(usage.Options{Incarnation: s.VMName + "." + g.incarnation, WindowLength: int64(s.WindowLength / time.Second),
		Peers: copier.peers, Copier: copier, ReadSealedWindow: usage.NewSealedWindowReader(g.platform),
		OnCopy: func(accepted bool) { g.telemetry.Metrics.Usage.Copied(context.Background(), accepted) }})
	claims := claim.NewStore(claim.Options{Platform: g.platform, Log: g.telemetry.Log, OnShardWrite: g.countGroup})
	g.gateway = gateway.New(gateway.Options{
		VM: s.VMName, Incarnation: g.incarnation, Config: g.holder, Keyring: g.keyring, Admission: g.admission, Balancer: g.balancer,
		Budget: retry.NewBudget(retryRatio), Quarantine: g.quarantine, Claims: claims, Usage: g.ledger, Discovery: g.entry,
		Answers: &answerFetcher{node: base}, Deduplicator: copier, Endpoints: endpoint.New(g.endpointOptions()),
		IsPartitioned: func() bool { return !g.readiness.Ready() || !g.mesh.HasPlatformOrMajority() }, OnEndpointDeath: g.died, OnRequestFinished: g.observe,
		OnClaim: func(team string, state apitypes.ClaimState) {
			g.telemetry.Metrics.Claim.Written(context.Background(), team, string(state))
		},
		OnRepeatedKey: func(answer gateway.RepeatAnswer) {
			g.telemetry.Metrics.Claim.Repeated(context.Background(), string(answer))
		},
		OnDrained: claims.Flush, Log: g.telemetry.Log, EntryLifetime: s.EntryLifetime,
	})
	g.neighbours.draining = g.gateway.Draining
	g.neighbours.tellDeath = g.mesh.ReportEndpointDeath
	return g
}

// registerMetrics connects the instruments of what admission, choice and quarantine hold.
func (g *gatewayNode) registerMetrics() {
	m := g.telemetry.Metrics
	m.Admission.ObserveWaiting(func() map[string]int {
		out := make(map[string]int, apitypes.PriorityClasses)
		for class, n := range g.admission.WaitingByClass() {
			out[strconv.Itoa(class)] = n
		}
		return out
	})
	m.Choice.ObserveInFlight(g.balancer.InFlight)
	g.quarantine.OnAdd(func(told bool) {
		source := "own"
		if told {
			source = "peer"
		}
		m.Quarantine.Added(context.Background(), source)
	})
}

// countGroup records the size of one write of a shard of claims.
func (n *node) countGroup(operations int) {
	n.telemetry.Metrics.Claim.GroupWritten(context.Background(), operations)
}

// seed derives the seed of random choices from an incarnation, so that gateways differ.
func seed(incarnation string) uint64 {
	h := maphash.String(maphash.MakeSeed(), incarnation)
	return h ^ binary.LittleEndian.Uint64([]byte(incarnation))
}

// callers returns the part that serves callers. Its drain cuts no request.
func (g *gatewayNode) callers(s *settings.Gateway, t *auth.TLS) Component {
	part := HTTPServerComponent("callers", s.Listen, serverTLS(t, s.CallerTLS), g.gateway)
	part.InFlight = g.gateway.InFlight
	shutdown := part.Drain
	part.Drain = func(ctx context.Context) error {
		if err := g.gateway.Drain(ctx); err != nil {
			return err
		}
		return shutdown(ctx)
	}
	return part
}

// configureAdmission passes weights and limits on to admission.
func (g *gatewayNode) configureAdmission(s *config.Snapshot) {
	teams := make(map[string]admission.TeamConfig, len(s.Teams()))
	for name, t := range s.Teams() {
		limits := t.Limits
		if template := s.Template(t.Template); template != nil {
			limits = limits.WithDefaults(template.Limits)
		}
		teams[name] = admission.TeamConfig{Weight: t.Weight, Limits: limits}
	}
	g.admission.SetTeams(teams)
	g.limitShares.setTeams(teams)
}

// keepCapacity tells admission what this gateway may use of each pool.
func (g *gatewayNode) keepCapacity(ctx context.Context) error {
	ticker := time.NewTicker(capacityEvery)
	defer ticker.Stop()
	lastForget := time.Now()
	for {
		for pool := range g.holder.Current().Pools() {
			sharing := g.entry.GatewayCount()
			surplus, inFlight := g.balancer.SurplusCapacity(pool, sharing)
			g.admission.SetSurplusCapacity(pool, surplus, inFlight)
			concurrent, rate := g.balancer.Capacity(pool, sharing)
			g.admission.SetCapacity(pool, concurrent, rate)
		}
		if time.Since(lastForget) > forgetUsageAfter {
			lastForget = time.Now()
			g.ledger.DeleteCountersBefore(lastForget.Add(-forgetUsageAfter).Unix())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// watchReadiness keeps /readyz, the metrics of configuration age and the log of lost contact.
func (g *gatewayNode) watchReadiness(ctx context.Context) error {
	health := g.telemetry.Health
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	inContact := true
	for {
		if g.readiness.Ready() {
			health.SetReady("configuration")
		} else {
			health.SetPending("configuration", "no configuration from a controller with a live watch yet")
		}
		if now := g.mesh.HasPlatformOrMajority(); now != inContact && g.readiness.Ready() {
			inContact = now
			g.telemetry.Log.Warn().Bool("in_contact", now).Msg("contact with platform and majority changed")
		}
		g.telemetry.Metrics.Config.SetAge(ctx, float64(g.freshness.AgeMS())/1000)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// observe counts a finished request for metrics and service-level burn. A request is good when its answer was whole and its first byte
// came within the team's target.
func (g *gatewayNode) observe(o gateway.RequestObservation) {
	ctx := context.Background()
	g.demand.observe(o)
	target := apitypes.DefaultFirstTokenTarget
	if t := g.holder.Current().Team(o.Team); t != nil && t.FirstTokenTargetMS > 0 {
		target = time.Duration(t.FirstTokenTargetMS) * time.Millisecond
	}
	if o.Kind != "" {
		g.telemetry.Metrics.Admission.Refused(ctx, o.Team, string(o.Kind))
	}
	if o.Kind == apierror.Quarantined {
		g.telemetry.Metrics.Quarantine.Refused(ctx)
	}
	g.countDecisions(ctx, o)
	if o.Kind == "" {
		g.telemetry.Metrics.Usage.RequestFinished(ctx, o.Team, int64(o.Usage.PromptTokens), int64(o.Usage.OutputTokens))
	}
	if callersFault(o.Status) {
		return
	}
	g.burn.Record(o.Team, o.Route, o.Kind == "" && o.FirstByte <= target)
}

// died counts an endpoint's death under a request and tells the neighbours.
func (g *gatewayNode) died(fingerprint uint64, endpoint string) {
	e, _ := g.balancer.Endpoint(endpoint)
	g.telemetry.Metrics.Quarantine.EndpointDied(context.Background(), e.Pool)
	g.neighbours.died(fingerprint, endpoint)
}

// countDecisions counts what admission, choice and retries decided for a request.
func (g *gatewayNode) countDecisions(ctx context.Context, o gateway.RequestObservation) {
	m := g.telemetry.Metrics
	switch {
	case o.Attempts > 0:
		m.Admission.Admitted(ctx, o.Team, strconv.Itoa(int(o.Priority)), o.Queued.Seconds())
		m.Choice.Chosen(ctx, o.Pool, o.Affinity)
	case o.Kind == apierror.Overloaded || o.Kind == apierror.Unavailable:
		m.Choice.NoEndpoint(ctx, o.Pool)
	}
	if o.FirstByte > 0 && o.Kind == "" {
		m.Choice.FirstToken(ctx, o.Pool, (o.FirstByte - o.Queued).Seconds(), o.PredictedFirstToken.Seconds())
	}
	for range o.Attempts - 1 {
		m.Retry.Retried(ctx, o.Pool)
	}
	for range o.Resumed {
		m.Retry.Resumed(ctx, o.Pool)
	}
	if o.BudgetRefused {
		m.Retry.BudgetExhausted(ctx, o.Pool)
	}
}

// callersFault tells whether an answer's status blames the caller; such requests burn no budget.
func callersFault(status int) bool { return status >= 400 && status < 500 && status != 429 }
