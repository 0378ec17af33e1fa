package e2e

import (
	"fmt"
	"testing"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/standin"
)

// Guards against a request that crashes every engine that runs it while its caller repeats it at one gateway after the other: it
// must stop after two engines, and other requests must go on.
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
	died := 0
	for name, e := range c.engines {
		if e.Instance() != before[name] {
			died++
		}
	}
	if died != 2 {
		t.Errorf("%d engines died, want 2", died)
	}
	if last.err.Kind != apierror.Quarantined {
		t.Errorf("the last repetition got %d %s", last.status, last.body)
	}
	for i := range vmCount {
		prompt := fmt.Sprintf("harmless %d", i)
		if r := c.chat(i, "clerks", prompt, 8, true); !r.whole || r.text != expected(prompt, 8) {
			t.Errorf("another request at gateway %d: %d %s", i, r.status, r.body)
		}
	}
	c.await("quarantine at all gateways", func() bool { return c.scrapeAll(true, "quarantine_added_total", "") == vmCount })
	if told := c.scrapeAll(true, "quarantine_added_total", `source="peer"`); told != vmCount-1 {
		t.Errorf("%v gateways quarantined the request because a neighbour told, want %d", told, vmCount-1)
	}
	c.check()
}
