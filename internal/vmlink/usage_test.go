package vmlink

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/metering"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

// usageFleet simulates the exchange of usage counts of a deployment: real links, meters, ledgers and reporters, without sockets. Time is
// set by the test.
type usageFleet struct {
	t      rapid.TB
	random *rand.Rand
	now    time.Time
	loss   float64
	vms    []*usageVM
	store  *memplatform.Platform
	// truth holds the requests by window and team, reported the reported ones.
	truth, reported map[metering.Window]metering.Counts
	logs            bytes.Buffer
}

// usageVM is one VM. It takes part from startAt on; cut separates it from all other VMs.
type usageVM struct {
	*Link
	startAt time.Time
	stopped bool
	cut     bool
}

func (f *usageFleet) addVM(name string, startAt time.Time) {
	l := newTestLink(1)
	number := len(f.vms)
	l.VM, l.Incarnation, l.LinkAddress = name, "inc-"+name, fmt.Sprintf("127.%d.%d.2:1", number/250, number%250)
	l.Meter = metering.NewMeter(5*time.Second, func() time.Time { return f.now })
	f.vms = append(f.vms, &usageVM{Link: l, startAt: startAt})
}

func (f *usageFleet) running(vm *usageVM) bool { return !vm.stopped && !f.now.Before(vm.startAt) }

func (f *usageFleet) connected(a, b *usageVM) bool {
	return f.running(a) && f.running(b) && !a.cut && !b.cut
}

// sendStatus delivers the status message of a VM to all others.
func (f *usageFleet) sendStatus(from *usageVM) {
	msg, _, _ := from.buildMessage()
	data, _ := from.encodeMessage(msg)
	for _, to := range f.vms {
		if to != from && f.connected(from, to) {
			to.receive(context.Background(), data, testAddr{})
		}
	}
}

// sendUsage delivers the usage counts of a VM to their receivers, with losses.
func (f *usageFleet) sendUsage(from *usageVM) {
	targets := make(map[string]bool)
	for _, a := range from.usageTargets() {
		targets[a.String()] = true
	}
	datagrams := from.usageDatagrams()
	for _, to := range f.vms {
		if !targets[to.LinkAddress] || !f.connected(from, to) {
			continue
		}
		for _, data := range datagrams {
			if len(data) > 2*usagePartBytes {
				f.t.Fatalf("datagram of %d bytes", len(data))
			}
			if f.random.Float64() >= f.loss {
				to.receive(context.Background(), data, testAddr{})
			}
		}
	}
}

// missing returns the VMs whose final counts for a window a holder can't get, after fetching those that it can.
func (f *usageFleet) missing(holder *usageVM, w metering.Window) []string {
	var names []string
	for _, vm := range f.vms {
		if vm == holder || vm.startAt.After(f.now) || holder.Ledger.HasFinalCounts(vm.Incarnation, w) {
			continue
		}
		if f.connected(holder, vm) {
			holder.Ledger.Merge(vm.Ledger.Copy(vm.Incarnation, vm.Meter))
		} else if !vm.stopped {
			names = append(names, vm.VM)
		}
	}
	return names
}

func (f *usageFleet) newReporter(holder *usageVM) *metering.Reporter {
	for _, vm := range f.vms {
		if f.connected(holder, vm) && vm != holder {
			holder.Ledger.Merge(vm.Ledger.Copy(vm.Incarnation, vm.Meter))
		}
	}
	return &metering.Reporter{Meter: holder.Meter, Ledger: holder.Ledger, Store: f.store, Now: func() time.Time { return f.now }, Limit: 10 * time.Second,
		MissingVMs: func(_ context.Context, w metering.Window) []string { return f.missing(holder, w) }, Log: zerolog.New(&f.logs),
		Send: func(_ context.Context, w metering.Window, counts metering.Counts) error {
			f.reported[w] = counts
			return nil
		}}
}

// serve counts random requests at the running VMs.
func (f *usageFleet) serve(teams, requests int) {
	w := metering.Window(f.now.UnixNano() / int64(5*time.Second))
	if f.truth[w] == nil {
		f.truth[w] = make(metering.Counts)
	}
	for range requests {
		if vm := f.vms[f.random.IntN(len(f.vms))]; f.running(vm) {
			team := fmt.Sprintf("team-%d", f.random.IntN(teams))
			vm.Meter.CountRequest(team)
			f.truth[w][team]++
		}
	}
}

// loggedIncomplete reports whether the log says that a window was reported without the final counts of some VM.
func (f *usageFleet) loggedIncomplete(w metering.Window) bool {
	return strings.Contains(f.logs.String(), fmt.Sprintf(`"window":%d,"vms"`, w))
}

// Guards guarantee G6 (usage is reported in full) in deployments of 5 to 330 VMs, whichever VM starts first, holds the duties or is cut
// off, and when the holder stops: each window is reported in full, or the log says which VMs' counts it lacks.
func TestUsageIsReportedInFullOrLogged(t *testing.T) {
	t.Run("5 VMs", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			checkUsage(t, &usageSchedule{size: 5, seed: rapid.Uint64().Draw(t, "seed"),
				loss:       rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss"),
				startTime:  time.Duration(rapid.IntRange(0, 300).Draw(t, "start, ms")) * time.Millisecond,
				stopHolder: rapid.Bool().Draw(t, "stop the holder"), cutOne: rapid.Bool().Draw(t, "cut one VM off")})
		})
	})
	for _, c := range []struct {
		size  int
		seeds uint64
	}{{30, 8}, {78, 4}, {330, 1}} {
		for seed := range c.seeds {
			t.Run(fmt.Sprint(c.size, " VMs, seed ", seed), func(t *testing.T) {
				checkUsage(t, &usageSchedule{size: c.size, seed: seed, loss: 0.1 * float64(seed%3), startTime: 300 * time.Millisecond,
					stopHolder: seed%2 == 0, cutOne: seed%4 >= 2})
			})
		}
	}
}

// usageSchedule is one simulated run. Its VMs start within startTime. With stopHolder, the holder of the duties stops after 7 s; with
// cutOne, a VM is cut off from all others after 11 s.
type usageSchedule struct {
	size               int
	seed               uint64
	loss               float64
	startTime          time.Duration
	stopHolder, cutOne bool
}

// checkUsage simulates a schedule and checks the reports of all windows that were due.
func checkUsage(t rapid.TB, s *usageSchedule) {
	const (
		step           = 200 * time.Millisecond
		stopAt, cutAt  = 7 * time.Second, 11 * time.Second
		duration       = 25 * time.Second
		statusInterval = 8 * time.Second // status messages are only needed for names and the holder
		maxStatusVMs   = 100             // in larger deployments, the square of which they cost, they are sent once
	)
	start := time.Unix(1_000_000, 0)
	f := &usageFleet{t: t, random: rand.New(rand.NewPCG(s.seed, 1)), now: start, loss: s.loss, store: memplatform.New(),
		truth: make(map[metering.Window]metering.Counts), reported: make(map[metering.Window]metering.Counts)}
	for i, number := range f.random.Perm(s.size) {
		f.addVM(fmt.Sprintf("vm-%03d", number), start.Add(s.startTime*time.Duration(i)/time.Duration(s.size)))
	}
	holder := f.vms[0] // the first to start; its name is random
	holder.dutyToken = 1
	reporter := f.newReporter(holder)
	for n := 0; f.now.Sub(start) < duration; n++ {
		at := f.now.Sub(start)
		if at%statusInterval == 400*time.Millisecond && (at < statusInterval || s.size <= maxStatusVMs) {
			for _, vm := range f.vms {
				f.sendStatus(vm)
			}
		}
		if s.stopHolder && at == stopAt {
			holder.stopped = true
			holder = f.vms[1+f.random.IntN(s.size-1)]
			holder.dutyToken = 2
			f.sendStatus(holder)
			reporter = f.newReporter(holder)
		}
		if s.cutOne && at == cutAt {
			if vm := f.vms[f.random.IntN(s.size)]; vm != holder {
				vm.cut = true
			}
		}
		f.serve(140, s.size/3+2)
		for i, vm := range f.vms {
			if f.running(vm) && (n+i)%max(int(vm.usageInterval()/step), 1) == 0 {
				f.sendUsage(vm)
			}
		}
		if err := reporter.ReportEndedWindows(context.Background()); err != nil {
			t.Fatal(err)
		}
		f.now = f.now.Add(step)
	}
	f.checkReports(s, f.now.Add(-6*time.Second))
}

// checkReports checks the reports of the windows that ended before the given time.
func (f *usageFleet) checkReports(s *usageSchedule, endedBefore time.Time) {
	f.t.Helper()
	windows := 0
	for w, truth := range f.truth {
		if f.vms[0].Meter.WindowEnd(w).After(endedBefore) {
			continue
		}
		windows++
		want, got, tolerance := sum(truth), sum(f.reported[w]), uint64(0)
		if s.stopHolder {
			tolerance = want / 20 // what a VM counted right before it stopped is lost
		}
		if got > want || got+tolerance < want && !f.loggedIncomplete(w) {
			f.t.Errorf("window %d: reported %d of %d requests", w, got, want)
		}
		if !s.cutOne && f.loggedIncomplete(w) {
			f.t.Errorf("window %d was reported incomplete although no VM was cut off", w)
		}
	}
	if windows < 3 {
		f.t.Errorf("%d windows were due, want 3 or more", windows)
	}
}

func sum(counts metering.Counts) uint64 {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	return total
}

// Guards against counts that never arrive because they don't fit into one datagram: a VM that serves all of 3,500 teams.
func TestManyTeamsFitIntoDatagrams(t *testing.T) {
	sender, receiver := newTestLink(1), newTestLink(1)
	now := time.Unix(1_000_000, 0)
	sender.Meter = metering.NewMeter(5*time.Second, func() time.Time { return now })
	window := sender.Meter.Current()
	for i := range 3500 {
		sender.Meter.CountRequest(fmt.Sprintf("team-with-a-long-name-%d", i))
	}
	now = now.Add(6 * time.Second)
	datagrams := sender.usageDatagrams()
	for i, data := range datagrams {
		if len(data) > 1472 {
			t.Errorf("datagram %d has %d bytes, which is more than a packet", i, len(data))
		}
		if receiver.Ledger.HasFinalCounts(sender.Incarnation, window) {
			t.Fatalf("counts are final after %d of %d parts", i, len(datagrams))
		}
		receiver.receive(t.Context(), data, testAddr{})
	}
	if got := sum(receiver.Ledger.Sum(window)); got != 3500 || !receiver.Ledger.HasFinalCounts(sender.Incarnation, window) {
		t.Errorf("received %d counts in %d datagrams", got, len(datagrams))
	}
}

// Guards against a status message that is not sent at all, or loses prompt reads without a trace, when it is too large.
func TestOversizedStatusMessage(t *testing.T) {
	l := newTestLink(1)
	msg := &StatusMessage{VM: "vm1"}
	for range maxMessageReads {
		read := EndpointCachedPrefix{Endpoint: "e"}
		for range 16 {
			read.Parts = append(read.Parts, PromptPart{ID: strings.Repeat("x", 64), Tokens: 1})
		}
		msg.Reads = append(msg.Reads, read)
	}
	data, ok := l.encodeMessage(msg)
	if !ok || len(data) > maxDatagramBytes || l.OmittedReads() != maxMessageReads {
		t.Errorf("%d bytes, %d reads omitted, sent: %v", len(data), l.OmittedReads(), ok)
	}
}

// Guards against ledgers that grow without bound at VMs that receive counts and never report them.
func TestLedgerIsBounded(t *testing.T) {
	l := metering.NewLedger()
	for w := range metering.Window(200) {
		l.MergeReport(&metering.Report{Incarnation: fmt.Sprint("inc-", w/20), Sequence: uint64(w + 1), Parts: 1, Current: 1000 + w,
			Counts: map[metering.Window]metering.Counts{1000 + w: {"t": 1}}})
	}
	data, err := json.Marshal(l.Copy("own", metering.NewMeter(5*time.Second, func() time.Time { return time.Unix(6000, 0) })))
	if err != nil || strings.Count(string(data), `"t":1`) > 25 {
		t.Errorf("%d windows are retained, %v", strings.Count(string(data), `"t":1`), err)
	}
}

// Guards against counts that are sent only to the first VMs by name: the holder of the duties lease receives them wherever it is in that
// order, and VMs that are not live don't.
func TestUsageReceivers(t *testing.T) {
	l := newTestLink(1)
	l.VM = "vm-50"
	for n := range 100 {
		if n != 50 {
			l.peers[fmt.Sprint(n)] = &peer{addr: &net.UDPAddr{Port: n + 1}, receivedAt: bootclock.Now(), live: n != 2,
				status: PeerStatus{Name: fmt.Sprintf("vm-%02d", n), DutyToken: map[int]uint64{77: 3}[n]}}
		}
	}
	got := make(map[int]bool)
	for _, a := range l.usageTargets() {
		got[a.(*net.UDPAddr).Port-1] = true
	}
	if len(got) != 6 || !got[0] || !got[1] || got[2] || !got[5] || !got[77] {
		t.Errorf("receivers %v", got)
	}
}
