package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/fault"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/standin"
)

// seedsVariable is the environment variable with the seeds that TestGeneratedFaults runs instead of its own, as "first-last".
const seedsVariable = "CROCUSGLADE_E2E_SEEDS"

// plannedFault is one fault of a schedule. startAfter counts from the start of the schedule. vm is the index of the affected VM;
// faults of engines, services and the whole platform derive a parameter from it or ignore it.
type plannedFault struct {
	kind                 string
	vm                   int
	startAfter, duration time.Duration
}

// faultKinds lists the kinds of faults that a schedule is drawn from. A seed selects by index, so the order must not change.
var faultKinds = []string{"gateway killed", "controller killed", "gateway frozen", "controller frozen", "cut off", "platform down",
	"answers lost", "answers held back", "engine crash", "engine cuts", "service cut after executing", "service slow", "events dropped", "old reads"}

const (
	// faultStartWindow is the period in which all faults of a schedule start.
	faultStartWindow = 4 * time.Second
	// maxFaultDuration is longer than the time after which a gateway that is partitioned from all VMs and the platform refuses
	// requests with keys. The longest fault is 200 ms longer.
	maxFaultDuration = 7 * time.Second
)

// planFaults generates two to four faults, which may overlap and affect the same VM.
func planFaults(rng *rand.Rand) []plannedFault {
	var out []plannedFault
	for range 2 + rng.IntN(3) {
		out = append(out, plannedFault{kind: faultKinds[rng.IntN(len(faultKinds))], vm: rng.IntN(vmCount),
			startAfter: time.Duration(rng.Int64N(int64(faultStartWindow))), duration: 200*time.Millisecond + time.Duration(rng.Int64N(int64(maxFaultDuration)))})
	}
	return out
}

// scheduleRun is one run of a generated fault schedule under traffic.
type scheduleRun struct {
	*cluster
	declarations *declarations
	seed         uint64
	// processMu guards the processes of all VMs, which kill faults replace.
	processMu sync.Mutex

	mu sync.Mutex
	// withdrawals holds the accepted withdrawals of keys.
	withdrawals []withdrawal
	// lastVersion is the highest accepted version of the probe.
	lastVersion uint64
}

// withdrawal is an accepted withdrawal of a key.
type withdrawal struct {
	key                 string
	at                  time.Time
	confirmed, gateways int
}

// inject waits for the start of a fault, injects it and ends it. Faults that are limited by a count end by themselves.
func (r *scheduleRun) inject(f plannedFault) {
	time.Sleep(f.startAfter)
	v := r.vms[f.vm]
	set := func(change func(*platformFaults)) { r.platform.UpdateFaults(change) }
	freeze := func(pick func() *fault.Process) {
		r.processMu.Lock()
		p := pick()
		r.processMu.Unlock()
		p.Suspend()
		time.Sleep(f.duration)
		p.Resume()
	}
	kill := func(pick func() *fault.Process, start func()) {
		r.processMu.Lock()
		defer r.processMu.Unlock()
		pick().Kill()
		time.Sleep(f.duration / 4)
		start()
	}
	switch f.kind {
	case "gateway killed":
		kill(func() *fault.Process { return v.gateway }, func() { r.startGateway(v) })
	case "controller killed":
		kill(func() *fault.Process { return v.controller }, func() { r.startController(v) })
	case "gateway frozen":
		freeze(func() *fault.Process { return v.gateway })
	case "controller frozen":
		freeze(func() *fault.Process { return v.controller })
	case "cut off":
		r.partition(v, true)
		time.Sleep(f.duration)
		r.heal(v)
	case "platform down":
		set(func(m *platformFaults) { m.Down = true })
		time.Sleep(f.duration)
		set(func(m *platformFaults) { m.Down = false })
	case "answers lost":
		set(func(m *platformFaults) { m.LoseAnswers += 8 })
	case "answers held back":
		v.platformLink.SetMode(fault.BlockResponses)
		time.Sleep(f.duration)
		v.platformLink.SetMode(fault.ForwardAll)
	case "engine crash":
		r.engines[fmt.Sprintf("logreader-%d", 1+f.vm%len(r.engines))].Crash(f.duration / 4)
	case "engine cuts":
		r.setEngineFaults(standin.EngineFaults{DisconnectAfter: 3, MaxStreams: 6, RefuseResume: f.vm%2 == 0})
	case "service cut after executing":
		r.setServiceFaults(standin.ServiceFaults{DisconnectAfterExecuting: true, MaxCalls: 4})
	case "service slow":
		r.setServiceFaults(standin.ServiceFaults{ExecutionDelay: f.duration / 4, MaxCalls: 10})
	case "events dropped":
		set(func(m *platformFaults) { m.DropEvents += 6 })
	case "old reads":
		set(func(m *platformFaults) { m.OldLists = 5 })
		time.Sleep(f.duration)
		set(func(m *platformFaults) { m.OldLists = 0 })
	}
}

// startTraffic runs chats, idempotent service calls, declarations, configuration writes, and key issuance and withdrawal until the
// context ends. The returned group waits for the last calls.
func (r *scheduleRun) startTraffic(ctx context.Context) *sync.WaitGroup {
	var all sync.WaitGroup
	worker := func(n int, pause time.Duration, step func(rng *rand.Rand, i int)) {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(r.seed, uint64(n)))
			for i := 0; ctx.Err() == nil; i++ {
				step(rng, i)
				time.Sleep(pause)
			}
		})
	}
	for n := range 4 {
		worker(100+n, 10*time.Millisecond, func(rng *rand.Rand, i int) { r.runChat(rng, fmt.Sprintf("log %d of caller %d", i, n)) })
		worker(200+n, 10*time.Millisecond, func(rng *rand.Rand, i int) {
			key := fmt.Sprintf("declaration-%d", rng.IntN(80))
			r.declarations.submit(rng.IntN(vmCount), key, declarationBody(key))
		})
	}
	worker(300, 20*time.Millisecond, func(rng *rand.Rand, i int) {
		vm, path, start := rng.IntN(vmCount), fmt.Sprintf("/of/clerks/%d", i), time.Now()
		a := r.call(vm, "clerks", http.MethodGet, "/svc/lines"+path, "", nil)
		a.text = a.body
		r.record(vm, "clerks", "lines", start, a, fmt.Sprintf(`{"id":%q,"method":"GET","path":%q,"bytes":0}`, a.id, path))
	})
	for n := range 2 {
		worker(400+n, 150*time.Millisecond, func(rng *rand.Rand, i int) {
			version, status := r.tryPut(r.vms[rng.IntN(vmCount)], r.probeVersion(), 2*i+n)
			if status == http.StatusOK {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.lastVersion = max(r.lastVersion, version)
			}
		})
	}
	worker(500, 300*time.Millisecond, func(rng *rand.Rand, _ int) { r.withdrawKey(rng) })
	return &all
}

// runChat sends a chat and, when its stream is interrupted, fetches the answer from another gateway.
func (r *scheduleRun) runChat(rng *rand.Rand, prompt string) {
	vm, team, tokens, stream := rng.IntN(vmCount), []string{"skippers", "clerks"}[rng.IntN(2)], 5+rng.IntN(30), rng.IntN(4) != 0
	prompt += " for " + team
	start := time.Now()
	a := r.chat(vm, team, prompt, tokens, stream)
	r.record(vm, team, "chat", start, a, expected(prompt, tokens))
	if a.complete || a.id == "" || a.status != http.StatusOK || !stream {
		return
	}
	other := (vm + 1 + rng.IntN(vmCount-1)) % vmCount
	start = time.Now()
	fetched := r.fetch(other, team, a.id)
	if fetched.complete {
		r.record(other, team, "chat", start, fetched, expected(prompt, tokens))
	}
}

// withdrawKey issues a key, uses it, withdraws it and, when all gateways confirmed the withdrawal, checks that they refuse the key.
func (r *scheduleRun) withdrawKey(rng *rand.Rand) {
	status, body := r.admin(http.MethodPost, "/keys", map[string]string{"team": "clerks"}, nil)
	var issued struct{ ID, Key string }
	if status != http.StatusCreated || json.Unmarshal(body, &issued) != nil {
		return
	}
	r.cluster.mu.Lock()
	r.issuedKeys = append(r.issuedKeys, issued.Key)
	r.cluster.mu.Unlock()
	for range 4 {
		r.callWithKey(rng.IntN(vmCount), issued.Key, http.MethodGet, "/svc/lines/of/clerks/k", "", nil)
	}
	status, body = r.admin(http.MethodDelete, "/keys/"+issued.ID, nil, nil)
	var answer struct{ Confirmed, Gateways int }
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return
	}
	r.history.AddWithdrawal(history.Withdrawal{KeyID: issued.ID, At: time.Now()})
	r.mu.Lock()
	w := withdrawal{issued.Key, time.Now(), answer.Confirmed, answer.Gateways}
	r.withdrawals = append(r.withdrawals, w)
	r.mu.Unlock()
	if answer.Gateways == vmCount && answer.Confirmed == vmCount {
		r.checkRefused(w, "after all gateways confirmed")
	}
}

// checkRefused checks that no gateway accepts a withdrawn key.
func (r *scheduleRun) checkRefused(w withdrawal, when string) {
	for vm := range vmCount {
		if a := r.callWithKey(vm, w.key, http.MethodGet, "/svc/lines/of/clerks/withdrawn", "", nil); a.complete {
			r.t.Errorf("G4: %s accepted a key %s, %v after its withdrawal, which %d of %d gateways had confirmed", r.vms[vm].Name, when,
				time.Since(w.at).Round(time.Millisecond), w.confirmed, w.gateways)
		}
	}
}

// awaitRefusal waits until each gateway refuses a withdrawn key. A gateway that has not confirmed the withdrawal must refuse the
// key within 2 s, or within 5 s when it was partitioned; only the 5 s are checked, and only with enforceBounds. An acceptance
// before that is allowed: with seed 14 a key was accepted 404 ms after a withdrawal that 3 of 4 gateways had confirmed.
func (r *scheduleRun) awaitRefusal(w withdrawal) {
	for vm := range vmCount {
		r.await("the withdrawn key to be refused at "+r.vms[vm].Name, func() bool {
			elapsed := time.Since(w.at)
			accepted := r.callWithKey(vm, w.key, http.MethodGet, "/svc/lines/of/clerks/withdrawn", "", nil).complete
			if accepted && enforceBounds && elapsed > history.DefaultBounds.Withdrawal {
				r.t.Errorf("G4: %s accepted a key %v after its withdrawal", r.vms[vm].Name, elapsed)
				return true
			}
			return !accepted
		})
	}
}

// runSchedule runs the schedule of a seed: it starts traffic, injects two to four faults, waits for recovery and runs all checks.
func runSchedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	plan := planFaults(rng)
	for _, f := range plan {
		t.Logf("%s, VM %d, after %v for %v", f.kind, f.vm+1, f.startAfter.Round(time.Millisecond), f.duration.Round(time.Millisecond))
	}
	c := newCluster(t, options{engines: 3, services: 2, engine: standin.EngineConfig{DecodeRate: 200}, checksFence: true})
	r := &scheduleRun{cluster: c, declarations: &declarations{c: c}, seed: seed}
	if r.lastVersion, _ = c.tryPut(c.vms[0], 0, 0); r.lastVersion == 0 {
		t.Fatal("first write of the probe failed")
	}
	reads := c.startConfigReader()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	traffic := r.startTraffic(ctx)
	var faults sync.WaitGroup
	for _, f := range plan {
		faults.Go(func() { r.inject(f) })
	}
	faults.Wait()
	time.Sleep(500 * time.Millisecond)
	stop()
	c.platform.SetFaults(platformFaults{})
	c.setEngineFaults(standin.EngineFaults{})
	c.setServiceFaults(standin.ServiceFaults{})
	traffic.Wait()
	for _, v := range c.vms {
		c.awaitReady(v)
	}
	reads.awaitVersion(r.lastVersion)
	r.declarations.awaitSettledClaims()
	for _, key := range r.declarations.keys() {
		r.declarations.submit(rng.IntN(vmCount), key, declarationBody(key))
	}
	r.declarations.awaitSettledClaims()
	for _, w := range r.withdrawals {
		r.awaitRefusal(w)
		r.checkRefused(w, "after the recovery")
	}
	reads.close()
	r.declarations.checkClaims()
	unresolved := 0
	for _, cl := range c.claims() {
		if cl.State == apitypes.ClaimUnresolved {
			unresolved++
		}
	}
	t.Logf("%d keys withdrawn, %d claims unresolved", len(r.withdrawals), unresolved)
	c.checkGuarantees()
}

// Guards against violations of guarantees G4, G7, G8, G9 and G12 under two to four generated faults, which may overlap, with
// traffic of all kinds. The environment variable CROCUSGLADE_E2E_SEEDS="first-last" runs those seeds instead of the default ones.
func TestGeneratedFaults(t *testing.T) {
	seeds := []uint64{1, 2}
	if v := os.Getenv(seedsVariable); v != "" {
		var first, last uint64
		if _, err := fmt.Sscanf(strings.ReplaceAll(v, "-", " "), "%d %d", &first, &last); err != nil {
			t.Fatalf("%s=%q is not a range of seeds: use first-last, as in 1-200", seedsVariable, v)
		}
		seeds = nil
		for s := first; s <= last; s++ {
			seeds = append(seeds, s)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, seed)
		})
	}
}
