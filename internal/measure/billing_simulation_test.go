package measure

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/usage"
)

// billingRule names a rule for reporting usage.
type billingRule string

const (
	sealedReports billingRule = "replicated counters, one sealer (crocusglade)"
	ownReports    billingRule = "each gateway reports its own usage"
)

const (
	// peerTimeout is the time for which the other gateways still count a killed gateway as a neighbour, as in internal/peer.
	peerTimeout = 3 * time.Second
	// baselineRetryInterval is the time after which the baseline repeats a failed report.
	baselineRetryInterval = 5 * time.Second
	// billingSealers is the number of controllers, which compete for the usage duty.
	billingSealers = 2
)

var errKilled = errors.New("connection refused")

// billingGateway is one gateway process.
type billingGateway struct {
	vm          apitypes.VM
	incarnation string
	ledger      *usage.Ledger
	baseline    *baselineReporter // replaces the ledger under ownReports
	ctx         context.Context
	kill        context.CancelFunc
	killedAt    time.Time // zero while it runs
}

// outage is a time span in which the platform is down.
type outage struct{ from, to time.Time }

// billingSimulation runs gateways and controllers against an in-memory platform. It implements usage.Collector.
type billingSimulation struct {
	ctx        context.Context
	mem        *memplatform.Platform
	rule       billingRule
	background sync.WaitGroup

	mu                       sync.Mutex
	gateways                 []*billingGateway  // the latest process on each VM
	starts                   int                // of gateways and of groups of sealers, for unique names
	completeResponses        map[string]float64 // responses that callers received whole, by team
	possiblyAbortedResponses map[string]float64 // responses that a killed gateway may have aborted, by team
	outages                  []outage
	killsByWindow            map[int64]int // gateways killed, by start of the window
	stopSealers              context.CancelFunc
	firstReport              map[string]apitypes.UsageWindow // by report id
	acceptedAt               map[string]time.Time            // by report id
	conflicting              map[string]bool                 // report ids reported with different figures
}

func newBillingSimulation(ctx context.Context, d deployment, rule billingRule) *billingSimulation {
	b := &billingSimulation{ctx: ctx, mem: memplatform.New(), rule: rule, gateways: make([]*billingGateway, gatewayCount), completeResponses: make(map[string]float64),
		possiblyAbortedResponses: make(map[string]float64), killsByWindow: make(map[int64]int), firstReport: make(map[string]apitypes.UsageWindow), acceptedAt: make(map[string]time.Time), conflicting: make(map[string]bool)}
	var vms []apitypes.VM
	for i := range gatewayCount {
		vm := apitypes.VM{Name: fmt.Sprintf("vm-%d", i+1), FailureDomain: d.domains[i%len(d.domains)], State: apitypes.VMLive}
		vms = append(vms, vm)
		b.gateways[i] = &billingGateway{vm: vm}
	}
	b.mem.SetVMs(vms)
	b.mem.OnReport(b.recordReport)
	for i := range gatewayCount {
		b.startGateway(i)
	}
	if rule == sealedReports {
		b.startSealers()
	}
	return b
}

// recordReport records a report that the platform received. The platform accepts only the first figures of a report id.
func (b *billingSimulation) recordReport(w apitypes.UsageWindow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, ok := b.firstReport[w.ID]
	if !ok {
		b.firstReport[w.ID], b.acceptedAt[w.ID] = w, time.Now()
	} else if !reflect.DeepEqual(first.Teams, w.Teams) {
		b.conflicting[w.ID] = true
	}
}

// startGateway starts a new gateway process on the i-th VM.
func (b *billingSimulation) startGateway(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	g := &billingGateway{vm: b.gateways[i].vm}
	g.incarnation = fmt.Sprintf("%s@%d", g.vm.Name, b.starts)
	g.ctx, g.kill = context.WithCancel(b.ctx)
	b.gateways[i] = g
	if b.rule == ownReports {
		g.baseline = &baselineReporter{incarnation: g.incarnation, windows: make(map[int64]map[string]apitypes.Usage)}
		b.background.Go(func() { g.baseline.run(g.ctx, b.mem) })
		return
	}
	g.ledger = usage.NewLedger(usage.Options{Incarnation: g.incarnation, Copier: &billingCopier{b, g}, Peers: func() []string { return b.peers(g) },
		ReadSealedWindow: usage.NewSealedWindowReader(b.mem)})
	b.background.Go(func() { _ = g.ledger.Run(g.ctx) })
}

// peers returns the incarnations of the peers that a gateway copies to. A killed gateway counts as alive for peerTimeout.
func (b *billingSimulation) peers(g *billingGateway) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	incarnations := make(map[string]string)
	var alive []apitypes.VM
	for _, other := range b.gateways {
		if other.vm.Name != g.vm.Name && (other.killedAt.IsZero() || time.Since(other.killedAt) < peerTimeout) {
			alive = append(alive, other.vm)
			incarnations[other.vm.Name] = other.incarnation
		}
	}
	var out []string
	for _, vm := range usage.ChooseCopyPeers(g.vm, alive) {
		out = append(out, incarnations[vm.Name])
	}
	return out
}

// findRunning returns the first running gateway for which match is true, or nil.
func (b *billingSimulation) findRunning(match func(*billingGateway) bool) *billingGateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range b.gateways {
		if g.killedAt.IsZero() && match(g) {
			return g
		}
	}
	return nil
}

// billingCopier copies the counters of one gateway to its peers.
type billingCopier struct {
	simulation *billingSimulation
	from       *billingGateway
}

// CopyUsage implements usage.Copier.
func (c *billingCopier) CopyUsage(ctx context.Context, peer string, counters []usage.Counter) ([]int64, error) {
	if !ctxtime.Sleep(ctx, oneWayDelay) {
		return nil, ctx.Err()
	}
	to := c.simulation.findRunning(func(g *billingGateway) bool { return g.incarnation == peer })
	if to == nil || c.from.ctx.Err() != nil {
		return nil, errKilled
	}
	closed := to.ledger.AcceptCounters(counters)
	if !ctxtime.Sleep(ctx, oneWayDelay) {
		return nil, ctx.Err()
	}
	return closed, nil
}

// CollectWindow implements usage.Collector.
func (b *billingSimulation) CollectWindow(ctx context.Context, vm apitypes.VM, window int64, _ string, _ uint64) (usage.WindowCounters, error) {
	if !ctxtime.Sleep(ctx, 2*oneWayDelay) {
		return usage.WindowCounters{}, ctx.Err()
	}
	g := b.findRunning(func(g *billingGateway) bool { return g.vm.Name == vm.Name })
	if g == nil {
		return usage.WindowCounters{}, errKilled
	}
	return usage.WindowCounters{Incarnation: g.incarnation, Counters: g.ledger.CloseWindow(window)}, nil
}

// startSealers starts the controllers, which compete for the lease of the usage duty.
func (b *billingSimulation) startSealers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	ctx, cancel := context.WithCancel(b.ctx)
	b.stopSealers = cancel
	b.starts++
	for i := range billingSealers {
		holder := fmt.Sprintf("c%d@%d", i, b.starts)
		elector := lease.NewElector(lease.Options{Store: b.mem, Name: string(apitypes.DutyUsage), Holder: holder})
		b.background.Go(func() {
			_ = elector.Run(ctx, func(a *lease.Authority) {
				(&usage.Sealer{Store: b.mem, VMs: b.mem, Sink: b.mem, Collector: b, Holder: holder}).Run(a)
			})
		})
	}
}

// restartSealers kills all controllers and starts new ones after a delay. The new ones wait until the lease of the killed holder
// expires.
func (b *billingSimulation) restartSealers(delay time.Duration) {
	if b.rule == ownReports {
		return
	}
	b.stopSealers()
	time.Sleep(delay)
	b.startSealers()
}

// copySettleTime leaves time to copy counters to the restarted gateways before the next fault. Without it the next kill could hit
// the only copies left, because usage is lost with a gateway and both its peers.
const copySettleTime = 20 * time.Second

// restartGateways kills gateways and starts new ones on their VMs after a delay.
func (b *billingSimulation) restartGateways(delay time.Duration, vms ...int) {
	b.mu.Lock()
	for _, i := range vms {
		b.gateways[i].killedAt = time.Now()
		b.gateways[i].kill()
		b.killsByWindow[currentWindow()]++
	}
	b.mu.Unlock()
	time.Sleep(delay)
	for _, i := range vms {
		b.startGateway(i)
	}
	time.Sleep(copySettleTime)
}

// takePlatformDown makes the platform fail all calls for the given time.
func (b *billingSimulation) takePlatformDown(length time.Duration) {
	b.mu.Lock()
	b.outages = append(b.outages, outage{time.Now(), time.Now().Add(length)})
	b.mu.Unlock()
	b.mem.SetFaults(memplatform.Faults{Down: true})
	time.Sleep(length)
	b.mem.SetFaults(memplatform.Faults{})
}

// recordResponse records the usage of one response at the gateway of the request, or at another one while that gateway is down.
func (b *billingSimulation) recordResponse(w *request) {
	first := fmt.Sprintf("vm-%d", w.gateway+1)
	g := b.findRunning(func(g *billingGateway) bool { return g.vm.Name == first })
	if g == nil {
		g = b.findRunning(func(*billingGateway) bool { return true })
	}
	used := apitypes.Usage{Requests: 1, PromptTokens: uint64(w.promptTokens), OutputTokens: uint64(w.outputTokens)}
	if g.baseline != nil {
		g.baseline.add(w.team, used)
	} else {
		_ = g.ledger.Record(g.ctx, w.team, used) // a gateway responds to the caller also when the copy to its peers fails.
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.ctx.Err() != nil {
		b.possiblyAbortedResponses[w.team]++
		return
	}
	b.completeResponses[w.team]++
}

// currentWindow returns the start of the current usage window in Unix seconds.
func currentWindow() int64 {
	return time.Now().Unix() / apitypes.DefaultWindowSeconds * apitypes.DefaultWindowSeconds
}

// baselineReporter is the baseline: a gateway counts usage and reports it itself, without copies.
type baselineReporter struct {
	incarnation string

	mu      sync.Mutex
	windows map[int64]map[string]apitypes.Usage
}

func (p *baselineReporter) add(team string, u apitypes.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	window := currentWindow()
	if p.windows[window] == nil {
		p.windows[window] = make(map[string]apitypes.Usage)
	}
	sum := p.windows[window][team]
	p.windows[window][team] = apitypes.Usage{Requests: sum.Requests + u.Requests, PromptTokens: sum.PromptTokens + u.PromptTokens, OutputTokens: sum.OutputTokens + u.OutputTokens}
}

// run reports each window at its end until ctx ends.
func (p *baselineReporter) run(ctx context.Context, sink *memplatform.Platform) {
	var reports sync.WaitGroup
	defer reports.Wait()
	for {
		window := currentWindow()
		if !ctxtime.Sleep(ctx, time.Until(time.Unix(window+apitypes.DefaultWindowSeconds, 0))) {
			return
		}
		reports.Go(func() { p.report(ctx, sink, window) })
	}
}

// report sends the figures of a window until the platform accepts them or ctx ends.
func (p *baselineReporter) report(ctx context.Context, sink *memplatform.Platform, window int64) {
	p.mu.Lock()
	w := apitypes.UsageWindow{ID: fmt.Sprintf("%d/%s", window, p.incarnation), Teams: maps.Clone(p.windows[window])}
	p.mu.Unlock()
	for sink.ReportWindow(ctx, w) != nil && ctxtime.Sleep(ctx, baselineRetryInterval) {
	}
}

// figures compares the reported usage with the responses that callers received. A window is late when any of its reports arrives
// after reportGrace or none arrives.
func (b *billingSimulation) figures(begin time.Time, windows int) billingFigures {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := billingFigures{windows: float64(windows), conflicting: float64(len(b.conflicting))}
	for i := range windows {
		end := begin.Add(time.Duration(i+1) * apitypes.DefaultWindowSeconds * time.Second)
		reported := b.reportedAt(end)
		out.longestDelay = max(out.longestDelay, reported.Sub(end).Seconds())
		if reported.Sub(end) > reportGrace {
			out.late++
		}
		if reported.Sub(b.outageEnd(end)) > reportGrace {
			out.lateAfterOutage++
		}
	}
	for _, kills := range b.killsByWindow {
		// Usage may be lost only when a gateway and both its peers are killed in one window (design 6.8).
		if kills > 2 {
			out.lossPossible = 1
		}
	}
	billed := make(map[string]float64)
	for _, w := range b.firstReport {
		for team, u := range w.Teams {
			billed[team] += float64(u.Requests)
		}
	}
	for team, complete := range b.completeResponses {
		out.responses += complete
		out.missing += max(0, complete-billed[team])
		out.excess += max(0, billed[team]-complete-b.possiblyAbortedResponses[team])
	}
	return out
}

// reportedAt returns when the last report of the window with the given end arrived, or the current time if there is none.
func (b *billingSimulation) reportedAt(end time.Time) time.Time {
	id := fmt.Sprint(end.Unix() - apitypes.DefaultWindowSeconds)
	last := time.Time{}
	for name, at := range b.acceptedAt {
		if window, _, _ := strings.Cut(name, "/"); window == id && at.After(last) {
			last = at
		}
	}
	if last.IsZero() {
		return time.Now()
	}
	return last
}

// outageEnd returns the end of the outage that covers the given time, or that time itself if there is none.
func (b *billingSimulation) outageEnd(at time.Time) time.Time {
	for _, o := range b.outages {
		if !at.Before(o.from) && at.Before(o.to) {
			return o.to
		}
	}
	return at
}
