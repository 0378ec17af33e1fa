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
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/buffer"
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
	// retryBudgetRatio is the number of retries allowed for each first attempt.
	retryBudgetRatio = 0.1
	// quarantineDuration is how long a request that has crashed endpoints is refused.
	quarantineDuration = 10 * time.Minute
	// capacityInterval is how often the capacity of pools is passed to admission. Package measure uses the same interval.
	capacityInterval = 50 * time.Millisecond
	// readinessInterval is how often readiness is checked.
	readinessInterval = 100 * time.Millisecond
	// usageRetention is how long the counters of closed usage windows are kept.
	usageRetention = time.Hour
)

// gatewayNode is a gateway with its connections to other processes and the platform.
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
	directory   *membership.GatewayDirectory
	demand      *demandMeter
	limitShares *limitShares
}

// GatewayComponents creates the components of a gateway. It opens no connections. It returns an error for TLS files that can't be loaded
// and for addresses that would need TLS files.
func GatewayComponents(s *settings.Gateway, t *telemetry.Telemetry) ([]Component, error) {
	base, err := newNode(s.Common, t, apitypes.VM{GatewayAddr: s.Advertise, GatewayPeerAddr: s.PeerAdvertise})
	if err != nil {
		return nil, err
	}
	if err := checkPlaintext("callers", s.Listen, s.CallerTLS); err != nil {
		return nil, err
	}
	callerTLS, err := loadTLS(s.CallerTLS)
	if err != nil {
		return nil, err
	}
	g := newGatewayNode(base, s)
	loads := controller.NewLoadSubscriber(s.VMName, g.configStore, g.members, g.clients.DialController, g.balancer)
	loads.SetEndpointFilter(g.balancer.Subset)
	components := append(g.components(),
		Component{Name: "configuration", Run: g.subscriber.Run},
		Component{Name: "neighbours", Run: g.mesh.Run},
		Component{Name: "readiness", Run: g.readiness.Run},
		Component{Name: "load", Run: loads.Run},
		Component{Name: "usage", Run: g.ledger.Run},
		Component{Name: "capacity", Run: g.updateCapacity},
		Component{Name: "limits", Run: g.limitShares.run},
		Component{Name: "moves", Run: g.gateway.RunStreamMigration},
		Component{Name: "health check", Run: g.watchReadiness},
		g.peerServer(func(r *grpc.Server) { peerpb.RegisterGatewayServer(r, g.peerService()) }),
	)
	if callerTLS != nil {
		components = append(components, Component{Name: "caller TLS", Run: callerTLS.Run})
	}
	return append(components, g.callerServer(s, callerTLS)), nil
}

// newPartQuarantine returns a quarantine of messages that logs what it blocks.
func (g *gatewayNode) newPartQuarantine() *retry.PartQuarantine {
	parts := retry.NewPartQuarantine(bootclock.NowAsTime)
	parts.OnChange(func(c retry.PartChange) {
		g.telemetry.Log.Warn().Str("pool", c.Part.Service).EmbedObject(c).Msg("message that crashes engines")
	})
	return parts
}

// newGatewayNode creates the parts of a gateway and connects them.
func newGatewayNode(base *node, s *settings.Gateway) *gatewayNode {
	g := &gatewayNode{node: base, admission: admission.New(), balancer: balancer.New(randomSeed(base.incarnation)),
		quarantine: retry.NewQuarantine(quarantineDuration), burn: burn.NewRecorder(burn.DefaultObjective),
		answers: usage.NewCountedAnswers(), demand: newDemandMeter()}
	g.admission.SetVMName(s.VMName)
	g.balancer.OnEject(func(pool string) { g.telemetry.Metrics.Retry.Ejected(context.Background(), pool) })
	g.registerMetrics()
	g.neighbours = newNeighbours(g.admission, g.balancer, g.quarantine)
	g.neighbours.isLargeFleet = base.isLargeFleet
	g.limitShares = newLimitShares(base, g.admission)
	g.configStore.OnChange(g.configureAdmission)
	g.mesh = peer.NewMesh(s.VMName, g.incarnation, g.members, g.clients, g.configStore, g.freshness, g.neighbours, g.neighbours)
	g.subscriber = config.NewSubscriber(s.VMName, "gateway", g.configStore, g.freshness, g.members.Parents, g.clients.DialController)
	g.subscriber.OnStreamLost(g.countLostStream)
	g.readiness = peer.NewReadiness(g.mesh, g.subscriber.Synced)
	g.directory = membership.NewGatewayDirectory(g.self, g.members, g.mesh.IsNeighbourServing)
	g.balancer.SetSuspectOwnership(g.directory.OwnsEndpoint)
	copier := &usageCopier{node: base, mesh: g.mesh, answers: g.answers}
	g.ledger = usage.NewLedger(usage.Options{Incarnation: s.VMName + "." + g.incarnation, WindowLength: int64(s.WindowLength / time.Second),
		Peers: copier.peers, Copier: copier, ReadSealedWindow: usage.NewSealedWindowReader(g.platform),
		OnCopy: func(accepted bool) { g.telemetry.Metrics.Usage.Copied(context.Background(), accepted) }})
	claims := claim.NewStore(claim.Options{Platform: g.platform, Log: g.telemetry.Log, OnShardWrite: g.recordClaimGroup})
	bodyRefusals := &refusals{name: "callers", telemetry: g.telemetry}
	g.gateway = gateway.New(gateway.Options{
		VM: s.VMName, Incarnation: g.incarnation, Config: g.configStore, Keyring: g.keyring, Admission: g.admission, Balancer: g.balancer,
		Budget: retry.NewBudget(retryBudgetRatio), Quarantine: g.quarantine, Parts: g.newPartQuarantine(), Claims: claims, Usage: g.ledger, Discovery: g.directory,
		Answers: &answerFetcher{node: base}, Deduplicator: copier, Endpoints: endpoint.New(g.endpointOptions()),
		IsPartitioned:   func() bool { return !g.readiness.Ready() || !g.mesh.HasPlatformOrMajority() },
		OnEndpointCrash: g.recordEndpointDeath, OnRequestFinished: g.recordRequest,
		OnClaim: func(team string, state apitypes.ClaimState) {
			g.telemetry.Metrics.Claim.Written(context.Background(), team, string(state))
		},
		OnRepeatedKey: func(answer gateway.RepeatedKeyAnswer) {
			g.telemetry.Metrics.Claim.Repeated(context.Background(), string(answer))
		},
		OnDrained: claims.Flush, Log: g.telemetry.Log, EntryLifetime: s.EntryLifetime, Bodies: buffer.NewMemory(int64(s.BodyMemoryMB) << 20),
		OnBodyRefused: func() { bodyRefusals.add("memory") },
	})
	g.neighbours.draining = g.gateway.Draining
	g.neighbours.sendDeath = g.mesh.ReportEndpointDeath
	return g
}

// registerMetrics registers the callbacks of the metrics for admission, load balancing and the quarantine.
func (g *gatewayNode) registerMetrics() {
	m := g.telemetry.Metrics
	m.Admission.ObserveWaiting(func() map[string]int {
		out := make(map[string]int, apitypes.PriorityClasses)
		for class, n := range g.admission.WaitingByClass() {
			out[strconv.Itoa(class)] = n
		}
		return out
	})
	m.Balancer.ObserveInFlight(g.balancer.InFlight)
	g.quarantine.OnAdd(func(fromPeer bool) {
		source := "own"
		if fromPeer {
			source = "peer"
		}
		m.Quarantine.Added(context.Background(), source)
	})
}

// recordClaimGroup records the number of claims in one group commit to a shard.
func (n *node) recordClaimGroup(operations int) {
	n.telemetry.Metrics.Claim.BatchWritten(context.Background(), operations)
}

// randomSeed returns a random seed for the choices of the balancer. It also depends on the incarnation, so that gateways make different
// choices.
func randomSeed(incarnation string) uint64 {
	h := maphash.String(maphash.MakeSeed(), incarnation)
	return h ^ binary.LittleEndian.Uint64([]byte(incarnation))
}

// callerServer returns the component that serves callers. It drains the gateway before it closes the listener, so that no request is
// interrupted.
func (g *gatewayNode) callerServer(s *settings.Gateway, t *auth.TLS) Component {
	component := newHTTPServerComponent("callers", s.Listen, serverTLS(t, s.CallerTLS), g.gateway, g.telemetry,
		connectionLimit(s.CallerConnections, callerDescriptorShare))
	component.InFlight = g.gateway.InFlight
	shutdown := component.Drain
	component.Drain = func(ctx context.Context) error {
		if err := g.gateway.Drain(ctx); err != nil {
			return err
		}
		return shutdown(ctx)
	}
	return component
}

// configureAdmission passes the teams' weights and limits from the configuration to admission.
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

// updateCapacity periodically passes the capacity of each pool that this gateway may use to admission, and deletes old usage counters,
// until ctx ends.
func (g *gatewayNode) updateCapacity(ctx context.Context) error {
	ticker := time.NewTicker(capacityInterval)
	defer ticker.Stop()
	lastCleanup := time.Now()
	for {
		for pool := range g.configStore.Current().Pools() {
			gateways := g.directory.GatewayCount()
			surplus, inFlight := g.balancer.SurplusCapacity(pool, gateways)
			g.admission.SetSurplusCapacity(pool, surplus, inFlight)
			concurrent, rate := g.balancer.Capacity(pool, gateways)
			g.admission.SetCapacity(pool, concurrent, rate)
		}
		if time.Since(lastCleanup) > usageRetention {
			lastCleanup = time.Now()
			g.ledger.DeleteCountersBefore(lastCleanup.Add(-usageRetention).Unix())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// watchReadiness updates the readiness of the process and the metric of the configuration's age, and logs when contact is lost or
// regained, until ctx ends.
func (g *gatewayNode) watchReadiness(ctx context.Context) error {
	health := g.telemetry.Health
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	inContact := true
	for {
		if g.readiness.Ready() {
			health.SetReady("configuration")
		} else {
			health.SetPending("configuration", "no configuration from a controller with a live watch yet")
		}
		if current := g.mesh.HasPlatformOrMajority(); current != inContact && g.readiness.Ready() {
			inContact = current
			g.telemetry.Log.Warn().Bool("in_contact", current).Msg("contact with the platform or a majority of the VMs changed")
		}
		g.telemetry.Metrics.Config.SetAge(ctx, float64(g.freshness.AgeMS())/1000)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// recordRequest records a finished request in the metrics, the demand counters and the error budget burn. A request is good when its
// answer was complete and the first byte arrived within the team's target.
func (g *gatewayNode) recordRequest(o gateway.RequestObservation) {
	ctx := context.Background()
	g.demand.observe(o)
	target := apitypes.DefaultFirstTokenTarget
	if t := g.configStore.Current().Team(o.Team); t != nil && t.FirstTokenTargetMS > 0 {
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
	if isCallerError(o.Status) {
		return
	}
	g.burn.Record(o.Team, o.Route, o.Kind == "" && o.FirstByte <= target)
}

// recordEndpointDeath counts the death of an endpoint during a request and reports it to the neighbours.
func (g *gatewayNode) recordEndpointDeath(fingerprint uint64, endpoint string) {
	e, _ := g.balancer.Endpoint(endpoint)
	g.telemetry.Metrics.Quarantine.EndpointDied(context.Background(), e.Pool)
	g.neighbours.reportEndpointDeath(fingerprint, endpoint)
}

// countDecisions records the decisions of admission, load balancing and retries for a request in the metrics.
func (g *gatewayNode) countDecisions(ctx context.Context, o gateway.RequestObservation) {
	m := g.telemetry.Metrics
	switch {
	case o.Attempts > 0:
		m.Admission.Admitted(ctx, o.Team, strconv.Itoa(int(o.Priority)), o.QueueTime.Seconds())
		m.Balancer.Dispatched(ctx, o.Pool, o.CacheAffinity)
	case o.Kind == apierror.Overloaded || o.Kind == apierror.Unavailable:
		m.Balancer.NoEndpoint(ctx, o.Pool)
	}
	if o.FirstByte > 0 && o.Kind == "" {
		m.Balancer.FirstToken(ctx, o.Pool, (o.FirstByte - o.QueueTime).Seconds(), o.PredictedFirstToken.Seconds())
	}
	for range o.Attempts - 1 {
		m.Retry.Retried(ctx, o.Pool)
	}
	for range o.Resumes {
		m.Retry.Resumed(ctx, o.Pool)
	}
	if o.BudgetRefused {
		m.Retry.BudgetExhausted(ctx, o.Pool)
	}
}

// isCallerError reports whether an HTTP status means an error of the caller. Such requests don't count against the error budget.
func isCallerError(status int) bool { return status >= 400 && status < 500 && status != 429 }
