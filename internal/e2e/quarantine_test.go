package e2e

import (
	"fmt"
	"testing"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/standin"
)

// Guards against a request that crashes every engine that runs it, because its caller repeats it at one gateway after the other:
// it must be quarantined after it has crashed two engines, and other requests must still be served.
func TestCrashingRequestStopsAfterTwoEngines(t *testing.T) {
	t.Parallel()
	const marker = "crash-marker"
	c := newCluster(t, options{engines: 6, engine: standin.EngineConfig{Faults: standin.EngineFaults{CrashMarker: marker, CrashAfter: -1}}})
	before := make(map[string]string)
	for name, e := range c.engines {
		before[name] = e.Instance()
	}
	var last reply
	for i := range 8 {
		last = c.chat(i%vmCount, "skippers", marker, 8, true)
	}
	crashed := 0
	for name, e := range c.engines {
		if e.Instance() != before[name] {
			crashed++
		}
	}
	if crashed != 2 {
		t.Errorf("%d engines crashed, want 2", crashed)
	}
	if last.err.Kind != apierror.Quarantined {
		t.Errorf("the last repeat: status %d: %s", last.status, last.body)
	}
	for i := range vmCount {
		prompt := fmt.Sprintf("harmless %d", i)
		if r := c.chat(i, "clerks", prompt, 8, true); !r.complete || r.text != expected(prompt, 8) {
			t.Errorf("another request at gateway %d: status %d: %s", i, r.status, r.body)
		}
	}
	c.await("all gateways to quarantine the request", func() bool { return c.scrapeAll(true, "quarantine_added_total", "") == vmCount })
	if fromPeer := c.scrapeAll(true, "quarantine_added_total", `source="peer"`); fromPeer != vmCount-1 {
		t.Errorf("%v gateways quarantined the request on a report of a neighbour, want %d", fromPeer, vmCount-1)
	}
	c.checkGuarantees()
}
