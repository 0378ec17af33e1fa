package telemetry

import (
	"strings"
	"testing"
)

// Guards against metrics of callers that are not exposed, or under names other than the documented ones.
func TestCallerMetricsAreExposed(t *testing.T) {
	tel, _ := newTelemetry(t)
	if err := tel.ObserveCallers(func() CallerLoad {
		return CallerLoad{Conns: 3, Bytes: map[string]int64{"header": 10, "body": 20}, Refusals: map[string]int64{"idle": 4}}
	}); err != nil {
		t.Fatal(err)
	}
	_, body := get(t, tel, "/metrics")
	for _, want := range []string{"crocusglade_caller_connections 3", `crocusglade_caller_memory_bytes{kind="header"} 10`,
		`crocusglade_caller_memory_bytes{kind="body"} 20`, `crocusglade_caller_refusals_total{cause="idle"} 4`} {
		if !strings.Contains(body, want) {
			t.Errorf("%s is missing", want)
		}
	}
}
