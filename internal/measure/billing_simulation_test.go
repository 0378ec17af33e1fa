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

// billingRule is a way to report usage.
type billingRule string

const (
	sealedReports billingRule = "copies, one sealer (ours)"
	ownReports    billingRule = "each gateway reports its own"
)

const (
	// deadAfter is the time after which a killed gateway is no longer taken as a peer, as in internal/peer.
	deadAfter = 3 * time.Second
	// plainRetryEvery is the wait of the baseline between two tries.
	plainRetryEvery = 5 * time.Second
	billingSealers  = 2
)

var errKilled = errors.New("connection refused")

// billingGateway is one run of a gateway.
type billingGateway struct {
	vm          apitypes.VM
	incarnation string
	ledger      *usage.Ledger
	plain       *plainCounter // in place of the ledger for the baseline
	ctx         context.Context
	kill        context.CancelFunc
	diedAt      time.Time // zero while it runs
}

// outage is a time without the platform.
type outage struct{ from, to time.Time }

// billingBed runs gateways and controllers against the platform in memory. It implements usage.Collector.
type billingBed struct {
	ctx  context.Context
	mem  *memplatform.Platform
	rule billingRule
	work sync.WaitGroup

	mu       sync.Mutex
	gateways []*billingGateway // the last run on each VM
	starts   int
	whole    map[string]float64 // answers whose end the caller saw, by team
	open     map[string]float64 // answers that a kill may have cut, by team
	outages  []outage
	kills    map[int64]int // by start of the window
	sealers  context.CancelFunc
	first    map[string]apitypes.UsageWindow // by id
	arrived  map[string]time.Time            // accepted, by id
	twice    map[string]bool
}

func newBillingBed(ctx context.Context, d deployment, rule billingRule) *billingBed {
	b := &billingBed{ctx: ctx, mem: memplatform.New(), rule: rule, gateways: make([]*billingGateway, gateways), whole: make(map[string]float64),
		open: make(map[string]float64), kills: make(map[int64]int), first: make(map[string]apitypes.UsageWindow), arrived: make(map[string]time.Time), twice: make(map[string]bool)}
	var vms []apitypes.VM
	for i := range gateways {
		vm := apitypes.VM{Name: fmt.Sprintf("vm-%d", i+1), FailureDomain: d.domains[i%len(d.domains)], State: apitypes.VMLive}
		vms = append(vms, vm)
		b.gateways[i] = &billingGateway{vm: vm}
	}
	b.mem.SetVMs(vms)
	b.mem.OnReport(b.noteReport)
	for i := range gateways {
		b.start(i)
	}
	if rule == sealedReports {
		b.startSealers()
	}
	return b
}

// noteReport records the arrival of a report. The platform accepts it unless it differs from the first.
func (b *billingBed) noteReport(w apitypes.UsageWindow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, ok := b.first[w.ID]
	if !ok {
		b.first[w.ID], b.arrived[w.ID] = w, time.Now()
	} else if !reflect.DeepEqual(first.Teams, w.Teams) {
		b.twice[w.ID] = true
	}
}

// start starts a new run on the i-th VM.
func (b *billingBed) start(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	g := &billingGateway{vm: b.gateways[i].vm}
	g.incarnation = fmt.Sprintf("%s@%d", g.vm.Name, b.starts)
	g.ctx, g.kill = context.WithCancel(b.ctx)
	b.gateways[i] = g
	if b.rule == ownReports {
		g.plain = &plainCounter{incarnation: g.incarnation, windows: make(map[int64]map[string]apitypes.Usage)}
		b.work.Go(func() { g.plain.run(g.ctx, b.mem) })
		return
	}
	g.ledger = usage.NewLedger(usage.Options{Incarnation: g.incarnation, Copier: &billingCopier{b, g}, Peers: func() []string { return b.peers(g) },
		ReadSealedWindow: usage.NewSealedWindowReader(b.mem)})
	b.work.Go(func() { _ = g.ledger.Run(g.ctx) })
}

// peers names the peers as a gateway sees them: a killed one counts for a while.
func (b *billingBed) peers(g *billingGateway) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	incarnations := make(map[string]string)
	var alive []apitypes.VM
	for _, other := range b.gateways {
		if other.vm.Name != g.vm.Name && (other.diedAt.IsZero() || time.Since(other.diedAt) < deadAfter) {
			alive = append(alive, other.vm)
			incarnations[other.vm.Name] = other.incarnation
		}
	}
	var out []string
	for _, vm := range usage.ChoosePeers(g.vm, alive) {
		out = append(out, incarnations[vm.Name])
	}
	return out
}

// running returns a gateway that runs, by what is asked for, or nil.
func (b *billingBed) running(is func(*billingGateway) bool) *billingGateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range b.gateways {
		if g.diedAt.IsZero() && is(g) {
			return g
		}
	}
	return nil
}

// billingCopier carries one gateway's copies.
type billingCopier struct {
	b    *billingBed
	from *billingGateway
}

// CopyUsage implements usage.Copier.
func (c *billingCopier) CopyUsage(ctx context.Context, peer string, counters []usage.Counter) ([]int64, error) {
	if !ctxtime.Sleep(ctx, oneWay) {
		return nil, ctx.Err()
	}
	to := c.b.running(func(g *billingGateway) bool { return g.incarnation == peer })
	if to == nil || c.from.ctx.Err() != nil {
		return nil, errKilled
	}
	closed := to.ledger.AcceptCounters(counters)
	if !ctxtime.Sleep(ctx, oneWay) {
		return nil, ctx.Err()
	}
	return closed, nil
}

// CollectWindow implements usage.Collector.
func (b *billingBed) CollectWindow(ctx context.Context, vm apitypes.VM, window int64, _ string, _ uint64) (usage.WindowCounters, error) {
	if !ctxtime.Sleep(ctx, 2*oneWay) {
		return usage.WindowCounters{}, ctx.Err()
	}
	g := b.running(func(g *billingGateway) bool { return g.vm.Name == vm.Name })
	if g == nil {
		return usage.WindowCounters{}, errKilled
	}
	return usage.WindowCounters{Incarnation: g.incarnation, Counters: g.ledger.CloseWindow(window)}, nil
}

// startSealers starts the controllers, which compete for the lease.
func (b *billingBed) startSealers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	ctx, cancel := context.WithCancel(b.ctx)
	b.sealers = cancel
	b.starts++
	for i := range billingSealers {
		holder := fmt.Sprintf("c%d@%d", i, b.starts)
		elector := lease.NewElector(lease.Options{Store: b.mem, Name: string(apitypes.DutyUsage), Holder: holder})
		b.work.Go(func() {
			_ = elector.Run(ctx, func(a *lease.Authority) {
				(&usage.Sealer{Store: b.mem, VMs: b.mem, Sink: b.mem, Collector: b, Holder: holder}).Run(a)
			})
		})
	}
}

// restartSealers kills all controllers and starts new ones; the lease of the killed holder has to lapse first.
func (b *billingBed) restartSealers(down time.Duration) {
	if b.rule == ownReports {
		return
	}
	b.sealers()
	time.Sleep(down)
	b.startSealers()
}

// settleAfterRestart leaves time for copies to new runs before the next fault: usage is lost with a gateway and both its peers.
const settleAfterRestart = 20 * time.Second

// restart kills gateways and starts them again after a time.
func (b *billingBed) restart(down time.Duration, vms ...int) {
	b.mu.Lock()
	for _, i := range vms {
		b.gateways[i].diedAt = time.Now()
		b.gateways[i].kill()
		b.kills[currentWindow()]++
	}
	b.mu.Unlock()
	time.Sleep(down)
	for _, i := range vms {
		b.start(i)
	}
	time.Sleep(settleAfterRestart)
}

// outage takes the platform out for a time.
func (b *billingBed) outage(length time.Duration) {
	b.mu.Lock()
	b.outages = append(b.outages, outage{time.Now(), time.Now().Add(length)})
	b.mu.Unlock()
	b.mem.SetFaults(memplatform.Faults{Down: true})
	time.Sleep(length)
	b.mem.SetFaults(memplatform.Faults{})
}

// serve ends one answer: at the recorded gateway, or at another while that one is gone.
func (b *billingBed) serve(w *request) {
	first := fmt.Sprintf("vm-%d", w.gateway+1)
	g := b.running(func(g *billingGateway) bool { return g.vm.Name == first })
	if g == nil {
		g = b.running(func(*billingGateway) bool { return true })
	}
	used := apitypes.Usage{Requests: 1, PromptTokens: uint64(w.prompt), OutputTokens: uint64(w.output)}
	if g.plain != nil {
		g.plain.add(w.team, used)
	} else {
		_ = g.ledger.Record(g.ctx, w.team, used) // Without a copy the gateway answers all the same.
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.ctx.Err() != nil {
		b.open[w.team]++
		return
	}
	b.whole[w.team]++
}

// currentWindow returns the start of the window in Unix seconds.
func currentWindow() int64 {
	return time.Now().Unix() / apitypes.DefaultWindowSeconds * apitypes.DefaultWindowSeconds
}

// plainCounter is the baseline: a gateway's counters, reported by itself.
type plainCounter struct {
	incarnation string

	mu      sync.Mutex
	windows map[int64]map[string]apitypes.Usage
}

func (p *plainCounter) add(team string, u apitypes.Usage) {
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
func (p *plainCounter) run(ctx context.Context, sink *memplatform.Platform) {
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

func (p *plainCounter) report(ctx context.Context, sink *memplatform.Platform, window int64) {
	p.mu.Lock()
	w := apitypes.UsageWindow{ID: fmt.Sprintf("%d/%s", window, p.incarnation), Teams: maps.Clone(p.windows[window])}
	p.mu.Unlock()
	for sink.ReportWindow(ctx, w) != nil && ctxtime.Sleep(ctx, plainRetryEvery) {
	}
}

// figures compares what was reported with what callers got. A window is late when a report of it comes late, or none does.
func (b *billingBed) figures(begin time.Time, windows int) billingFigures {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := billingFigures{windows: float64(windows), twice: float64(len(b.twice))}
	for i := range windows {
		end := begin.Add(time.Duration(i+1) * apitypes.DefaultWindowSeconds * time.Second)
		at := b.reportedAt(end)
		out.longest = max(out.longest, at.Sub(end).Seconds())
		if at.Sub(end) > reportGrace {
			out.late++
		}
		if at.Sub(b.platformBack(end)) > reportGrace {
			out.lateAfterOutage++
		}
	}
	for _, kills := range b.kills {
		// Usage is lost only with a gateway and both its peers in one window (design 6.8).
		if kills > 2 {
			out.mayLose = 1
		}
	}
	billed := make(map[string]float64)
	for _, w := range b.first {
		for team, u := range w.Teams {
			billed[team] += float64(u.Requests)
		}
	}
	for team, whole := range b.whole {
		out.answers += whole
		out.missing += max(0, whole-billed[team])
		out.excess += max(0, billed[team]-whole-b.open[team])
	}
	return out
}

// reportedAt returns when the last report of the window that ended at a time arrived; without one, now.
func (b *billingBed) reportedAt(end time.Time) time.Time {
	id := fmt.Sprint(end.Unix() - apitypes.DefaultWindowSeconds)
	last := time.Time{}
	for name, at := range b.arrived {
		if window, _, _ := strings.Cut(name, "/"); window == id && at.After(last) {
			last = at
		}
	}
	if last.IsZero() {
		return time.Now()
	}
	return last
}

// platformBack returns the end of the outage at a time, or the time itself when there is none.
func (b *billingBed) platformBack(at time.Time) time.Time {
	for _, o := range b.outages {
		if !at.Before(o.from) && at.Before(o.to) {
			return o.to
		}
	}
	return at
}
