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

// selectedEngines returns the IDs of the decode engines that are selected for a number of prompts.
func selectedEngines(f *Fleet, prompts int) map[string]bool {
	ids := make(map[string]bool)
	for range prompts {
		plan := f.PlacePrompt("llm", promptWithPrefix("", 0, 100), Filter{})
		ids[plan.Decode.Endpoint.ID] = true
		plan.Decode.Done(Abandoned)
	}
	return ids
}

// Guards against each VM losing a request of its own to an engine that stopped accepting connections: reports of two VMs must make all
// VMs avoid the engine until the reports expire. A report of one VM must not.
func TestEngineUnreachableFromSeveralVMsIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet(0, 2)
		f.SetPeerUnreachable("vm2", map[string]time.Duration{"d0": 100 * time.Millisecond})
		if !selectedEngines(f, 20)["d0"] {
			t.Error("the engine is avoided after a report of only one VM")
		}
		f.SetPeerUnreachable("vm3", map[string]time.Duration{"d0": 50 * time.Millisecond})
		if selectedEngines(f, 20)["d0"] {
			t.Error("the engine gets work although two VMs can't reach it")
		}
		f.SetPeerUnreachable("vm3", map[string]time.Duration{"d1": 0})
		f.SetPeerUnreachable("vm2", map[string]time.Duration{"d1": 0})
		if len(selectedEngines(f, 1)) == 0 {
			t.Error("no engine is selected when all are reported unreachable")
		}
		time.Sleep(reportTTL)
		if !selectedEngines(f, 20)["d0"] {
			t.Error("the engine gets no work after the reports have expired")
		}
	})
}

// Guards against avoiding an engine that this VM can reach because some other VMs have lost their network path to it.
func TestOwnContactOverridesPeerReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet(0, 1)
		running := f.PlacePrompt("llm", promptWithPrefix("", 0, 100), Filter{})
		f.SetPeerUnreachable("vm2", map[string]time.Duration{"d0": 100 * time.Millisecond})
		f.SetPeerUnreachable("vm3", map[string]time.Duration{"d0": 100 * time.Millisecond})
		running.Decode.RecordActivity()
		if e := f.endpoints["d0"]; e.ejected(time.Now()) {
			t.Error("an engine is avoided although this VM has just received data from it")
		}
	})
}

// Guards against sharing expired reports with other VMs, and against passing on reports that came from other VMs.
func TestOwnUnreachableReportsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet(0, 2)
		f.SetPeerUnreachable("vm2", map[string]time.Duration{"d1": 0})
		f.PlacePrompt("llm", promptWithPrefix("", 0, 100), Filter{Excluded: map[string]bool{"d1": true}}).Decode.Done(Unreachable)
		time.Sleep(10 * time.Millisecond)
		if found := f.UnreachableEndpoints(); len(found) != 1 || found["d0"] != 10*time.Millisecond {
			t.Errorf("reported %v, want d0 with an age of 10 ms", found)
		}
		time.Sleep(reportTTL)
		if found := f.UnreachableEndpoints(); len(found) != 0 {
			t.Errorf("reported %v after the report has expired", found)
		}
	})
}

// Guards against a log that hides the cause of a failure: each loss and each return of an endpoint must be exactly one line, regardless of
// the number of requests.
func TestLossAndReturnAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		f := testFleet(0, 1)
		f.Log = zerolog.New(&lines)
		end := func(o Outcome, requests int) {
			for range requests {
				f.PlacePrompt("llm", promptWithPrefix("", 0, 100), Filter{}).Decode.Done(o)
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
