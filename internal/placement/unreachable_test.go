package placement

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// chosen tells which engines get the prompts of new subjects.
func chosen(f *Fleet, prompts int) map[string]bool {
	ids := make(map[string]bool)
	for range prompts {
		plan := f.PlacePrompt("llm", promptOn("", 0, 100), nil)
		ids[plan.Runner.Endpoint.ID] = true
		plan.Runner.Done(Abandoned)
	}
	return ids
}

// Guards against each VM finding out by itself, by a request that waits or fails, that an engine has gone dark: what two VMs have
// found keeps the work of all away, until one of them tries again.
func TestEngineLostForSeveralVMsGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet(0, 2)
		f.SetPeerUnreachable("vm2", map[string]time.Duration{"d0": 100 * time.Millisecond})
		if !chosen(f, 20)["d0"] {
			t.Error("one VM's report keeps the work of all away")
		}
		f.SetPeerUnreachable("vm3", map[string]time.Duration{"d0": 50 * time.Millisecond})
		if chosen(f, 20)["d0"] {
			t.Error("an engine that two VMs can't reach gets work")
		}
		f.SetPeerUnreachable("vm3", map[string]time.Duration{"d1": 0})
		f.SetPeerUnreachable("vm2", map[string]time.Duration{"d1": 0})
		if len(chosen(f, 1)) == 0 {
			t.Error("nothing is chosen when all engines are reported")
		}
		time.Sleep(reportTime)
		if !chosen(f, 20)["d0"] {
			t.Error("the engine gets no work after the reports have lapsed")
		}
	})
}

// Guards against a part of the VMs that lost their own path to an engine taking it away from those that reach it.
func TestOwnNewsOfAnEngineCountsMoreThanReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet(0, 1)
		running := f.PlacePrompt("llm", promptOn("", 0, 100), nil)
		f.SetPeerUnreachable("vm2", map[string]time.Duration{"d0": 100 * time.Millisecond})
		f.SetPeerUnreachable("vm3", map[string]time.Duration{"d0": 100 * time.Millisecond})
		running.Runner.RecordActivity()
		if e := f.endpoints["d0"]; e.ejected(time.Now()) {
			t.Error("an engine that this VM has just heard of is avoided")
		}
	})
}

// Guards the news that other VMs get: what this VM found itself, as long as it counts, and not what others told it.
func TestOwnFindingsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet(0, 2)
		f.SetPeerUnreachable("vm2", map[string]time.Duration{"d1": 0})
		f.PlacePrompt("llm", promptOn("", 0, 100), map[string]bool{"d1": true}).Runner.Done(Unreachable)
		time.Sleep(10 * time.Millisecond)
		if found := f.UnreachableEndpoints(); len(found) != 1 || found["d0"] != 10*time.Millisecond {
			t.Errorf("told %v", found)
		}
		time.Sleep(reportTime)
		if found := f.UnreachableEndpoints(); len(found) != 0 {
			t.Errorf("told %v after the finding has lapsed", found)
		}
	})
}

// Guards the explanation of failures afterwards: each loss and return of an endpoint is one line, whatever the number of requests.
func TestLossAndReturnAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		f := testFleet(0, 1)
		f.Log = zerolog.New(&lines)
		end := func(o Outcome, requests int) {
			for range requests {
				f.PlacePrompt("llm", promptOn("", 0, 100), nil).Runner.Done(o)
			}
		}
		end(Unreachable, 5)
		f.SetPeerUnreachable("vm2", map[string]time.Duration{"d0": 0})
		f.SetPeerUnreachable("vm3", map[string]time.Duration{"d0": 0})
		end(Served, 5)
		end(Failed, failuresToEject)
		end(Served, 5)
		var messages []string
		for _, line := range strings.Split(strings.TrimSpace(lines.String()), "\n") {
			var l struct{ Endpoint, Message string }
			if err := json.Unmarshal([]byte(line), &l); err != nil || l.Endpoint != "d0" {
				t.Errorf("line %s: %v", line, err)
			}
			messages = append(messages, l.Message)
		}
		want := "endpoint accepts no connection; dependency regained; endpoint ejected; dependency regained"
		if got := strings.Join(messages, "; "); got != want {
			t.Errorf("logged %q, want %q", got, want)
		}
	})
}
