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

// seedsVariable names further seeds of TestGeneratedFaults, as "first-last".
const seedsVariable = "CROCUSGLADE_E2E_SEEDS"

// plannedFault is one fault of a schedule.
type plannedFault struct {
	kind      string
	vm        int
	at, lasts time.Duration
}

// faultKinds lists the faults that a schedule draws from.
var faultKinds = []string{"gateway killed", "controller killed", "gateway frozen", "controller frozen", "cut off", "platform down",
	"answers lost", "answers held back", "engine crash", "engine cuts", "service cut after executing", "service slow", "events dropped", "old reads"}

const (
	// faultSpan is the time in which the faults of a schedule begin.
	faultSpan = 4 * time.Second
	// longestFault is longer than the time after which a gateway that is cut off stops keyed work.
	longestFault = 7 * time.Second
)

// planFaults generates two to four faults, which may overlap and meet the same VM.
func planFaults(rng *rand.Rand) []plannedFault {
	var out []plannedFault
	for range 2 + rng.IntN(3) {
		out = append(out, plannedFault{kind: faultKinds[rng.IntN(len(faultKinds))], vm: rng.IntN(vmCount),
			at: time.Duration(rng.Int64N(int64(faultSpan))), lasts: 200*time.Millisecond + time.Duration(rng.Int64N(int64(longestFault)))})
	}
	return out
}

// scheduleRun is one run of a generated schedule with its traffic.
type scheduleRun struct {
	*cluster
	d    *declarations
	seed uint64
	// procs guards the processes of all VMs against two faults at once.
	procs sync.Mutex

	mu sync.Mutex
	// withdrawn holds keys whose withdrawal was accepted.
	withdrawn []withdrawal
	version   uint64
}

// withdrawal is an accepted withdrawal of a key.
type withdrawal struct {
	key                 string
	at                  time.Time
	confirmed, gateways int
}

// provoke carries out one fault and ends it.
func (r *scheduleRun) provoke(f plannedFault) {
	time.Sleep(f.at)
	v := r.vms[f.vm]
	set := func(change func(*memFaults)) { r.mem.UpdateFaults(change) }
	freeze := func(pick func() *fault.Process) {
		r.procs.Lock()
		p := pick()
		r.procs.Unlock()
		p.Suspend()
		time.Sleep(f.lasts)
		p.Resume()
	}
	kill := func(pick func() *fault.Process, start func()) {
		r.procs.Lock()
		defer r.procs.Unlock()
		pick().Kill()
		time.Sleep(f.lasts / 4)
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
		r.isolate(v, true)
		time.Sleep(f.lasts)
		r.heal(v)
	case "platform down":
		set(func(m *memFaults) { m.Down = true })
		time.Sleep(f.lasts)
		set(func(m *memFaults) { m.Down = false })
	case "answers lost":
		set(func(m *memFaults) { m.LoseAnswers += 8 })
	case "answers held back":
		v.platform.SetMode(fault.BlockResponses)
		time.Sleep(f.lasts)
		v.platform.SetMode(fault.ForwardAll)
	case "engine crash":
		r.engines[fmt.Sprintf("logreader-%d", 1+f.vm%len(r.engines))].Crash(f.lasts / 4)
	case "engine cuts":
		r.engineFaults(standin.EngineFaults{DisconnectAfter: 3, MaxStreams: 6, RefuseResume: f.vm%2 == 0})
	case "service cut after executing":
		r.serviceFaults(standin.ServiceFaults{DisconnectAfterExecuting: true, MaxCalls: 4})
	case "service slow":
		r.serviceFaults(standin.ServiceFaults{ExecutionDelay: f.lasts / 4, MaxCalls: 10})
	case "events dropped":
		set(func(m *memFaults) { m.DropEvents += 6 })
	case "old reads":
		set(func(m *memFaults) { m.OldLists = 5 })
		time.Sleep(f.lasts)
		set(func(m *memFaults) { m.OldLists = 0 })
	}
}

// callers starts the traffic: chats, lookups, declarations, changes of configuration, and keys that are issued and withdrawn.
func (r *scheduleRun) callers(ctx context.Context) *sync.WaitGroup {
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
		worker(100+n, 10*time.Millisecond, func(rng *rand.Rand, i int) { r.chatOnce(rng, fmt.Sprintf("log %d of caller %d", i, n)) })
		worker(200+n, 10*time.Millisecond, func(rng *rand.Rand, i int) {
			key := fmt.Sprintf("declaration-%d", rng.IntN(80))
			r.d.submit(rng.IntN(vmCount), key, declaredBody(key))
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
				r.version = max(r.version, version)
			}
		})
	}
	worker(500, 300*time.Millisecond, func(rng *rand.Rand, _ int) { r.withdrawOnce(rng) })
	return &all
}

// chatOnce runs a chat and, when its answer was cut, fetches it from another gateway.
func (r *scheduleRun) chatOnce(rng *rand.Rand, prompt string) {
	vm, team, tokens, stream := rng.IntN(vmCount), []string{"skippers", "clerks"}[rng.IntN(2)], 5+rng.IntN(30), rng.IntN(4) != 0
	prompt += " for " + team
	start := time.Now()
	a := r.chat(vm, team, prompt, tokens, stream)
	r.record(vm, team, "chat", start, a, expected(prompt, tokens))
	if a.whole || a.id == "" || a.status != http.StatusOK || !stream {
		return
	}
	other := (vm + 1 + rng.IntN(vmCount-1)) % vmCount
	start = time.Now()
	again := r.fetch(other, team, a.id)
	if again.whole {
		r.record(other, team, "chat", start, again, expected(prompt, tokens))
	}
}

// withdrawOnce issues a key, uses it, withdraws it and checks that gateways which confirmed the withdrawal refuse it.
func (r *scheduleRun) withdrawOnce(rng *rand.Rand) {
	status, body := r.admin(http.MethodPost, "/keys", map[string]string{"team": "clerks"}, nil)
	var issued struct{ ID, Key string }
	if status != http.StatusCreated || json.Unmarshal(body, &issued) != nil {
		return
	}
	r.cluster.mu.Lock()
	r.issued = append(r.issued, issued.Key)
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
	r.withdrawn = append(r.withdrawn, w)
	r.mu.Unlock()
	if answer.Gateways == vmCount && answer.Confirmed == vmCount {
		r.refusedEverywhere(w, "after all gateways confirmed")
	}
}

// refusedEverywhere checks that no gateway accepts a key.
func (r *scheduleRun) refusedEverywhere(w withdrawal, when string) {
	for vm := range vmCount {
		if a := r.callWithKey(vm, w.key, http.MethodGet, "/svc/lines/of/clerks/withdrawn", "", nil); a.whole {
			r.t.Errorf("G4: %s accepted a key %s, %v after its withdrawal, which %d of %d gateways had confirmed", r.vms[vm].Name, when,
				time.Since(w.at).Round(time.Millisecond), w.confirmed, w.gateways)
		}
	}
}

// awaitRefusal waits until each gateway refuses a key. A gateway that has not confirmed the withdrawal has 2 s for it, or 5 s when it
// was cut off; the bound is judged in timed runs only. Seed 14 showed an acceptance 404 ms after a withdrawal that 3 of 4 gateways
// had confirmed.
func (r *scheduleRun) awaitRefusal(w withdrawal) {
	for vm := range vmCount {
		r.await("the refusal of a withdrawn key at "+r.vms[vm].Name, func() bool {
			asked := time.Since(w.at)
			accepted := r.callWithKey(vm, w.key, http.MethodGet, "/svc/lines/of/clerks/withdrawn", "", nil).whole
			if accepted && timed && asked > history.DefaultBounds.Withdrawal {
				r.t.Errorf("G4: %s accepted a key %v after its withdrawal", r.vms[vm].Name, asked)
				return true
			}
			return !accepted
		})
	}
}

// runSchedule runs a seed: traffic, two to four faults, recovery, and all checks.
func runSchedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	plan := planFaults(rng)
	for _, f := range plan {
		t.Logf("%s, VM %d, at %v for %v", f.kind, f.vm+1, f.at.Round(time.Millisecond), f.lasts.Round(time.Millisecond))
	}
	c := newCluster(t, options{engines: 3, services: 2, engine: standin.EngineConfig{DecodeRate: 200}, checksFence: true})
	r := &scheduleRun{cluster: c, d: &declarations{c: c}, seed: seed}
	if r.version, _ = c.tryPut(c.vms[0], 0, 0); r.version == 0 {
		t.Fatal("the first change of configuration failed")
	}
	reads := c.startReads()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	traffic := r.callers(ctx)
	var faults sync.WaitGroup
	for _, f := range plan {
		faults.Go(func() { r.provoke(f) })
	}
	faults.Wait()
	time.Sleep(500 * time.Millisecond)
	stop()
	c.mem.SetFaults(memFaults{})
	c.engineFaults(standin.EngineFaults{})
	c.serviceFaults(standin.ServiceFaults{})
	traffic.Wait()
	for _, v := range c.vms {
		c.awaitReady(v)
	}
	reads.awaitEverywhere(r.version)
	r.d.settle()
	for _, key := range r.d.keys() {
		r.d.submit(rng.IntN(vmCount), key, declaredBody(key))
	}
	r.d.settle()
	for _, w := range r.withdrawn {
		r.awaitRefusal(w)
		r.refusedEverywhere(w, "after the recovery")
	}
	reads.end()
	r.d.check()
	unresolved := 0
	for _, cl := range c.claims() {
		if cl.State == apitypes.ClaimUnresolved {
			unresolved++
		}
	}
	t.Logf("%d keys withdrawn, %d claims unresolved", len(r.withdrawn), unresolved)
	c.check()
}

// Guards against any violation of G4, G7, G8, G9 and G12 under two to four faults at once over the whole path. The variable
// CROCUSGLADE_E2E_SEEDS="first-last" runs further seeds instead.
func TestGeneratedFaults(t *testing.T) {
	seeds := []uint64{1, 2}
	if v := os.Getenv(seedsVariable); v != "" {
		var first, last uint64
		if _, err := fmt.Sscanf(strings.ReplaceAll(v, "-", " "), "%d %d", &first, &last); err != nil {
			t.Fatalf("%s=%q: use first-last, as in 1-200", seedsVariable, v)
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
