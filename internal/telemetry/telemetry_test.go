package telemetry

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
)

func get(t *testing.T, tel *Telemetry, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	tel.Handler().ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w.Code, w.Body.String()
}

func newTelemetry(t *testing.T) (*Telemetry, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	tel, err := New(&log, "info", Identity{Role: "gateway", VMName: "vm-1", FailureDomain: "roja"})
	if err != nil {
		t.Fatal(err)
	}
	return tel, &log
}

// Guards against a metric that is recorded but not exposed, or exposed under a name other than the documented one.
func TestMetricsAreExposed(t *testing.T) {
	tel, _ := newTelemetry(t)
	ctx := t.Context()
	m := tel.Metrics
	m.Admission.Admitted(ctx, "skippers", "urgent", 0.1)
	m.Drain.Ended(ctx, "process", 2, 0)
	m.Config.SetAge(ctx, 1.5)
	m.Claim.SetUnresolved(ctx, 3)
	m.Lease.Acquired(ctx, "usage")
	m.Lease.Lost(ctx, "usage")
	m.Admission.ObserveWaiting(func() map[string]int { return map[string]int{"0": 2, "1": 0} })
	m.Balancer.ObserveInFlight(func() map[string]int { return map[string]int{"logreader": 4} })
	m.Relay.ObserveSubscribers(func() map[string]int { return map[string]int{"gateway": 5} })
	m.Lease.Order(ctx, "set_role", "ambiguous")
	m.Quarantine.Added(ctx, "peer")
	m.Claim.BatchWritten(ctx, 3)
	_, body := get(t, tel, "/metrics")
	for _, want := range []string{`crocusglade_admission_admitted_total{class="urgent",team="skippers"} 1`,
		`crocusglade_drain_cut_total{what="process"} 0`, "crocusglade_config_age_seconds 1.5",
		`crocusglade_admission_waiting{class="0"} 2`, `crocusglade_admission_waiting{class="1"} 0`, `crocusglade_in_flight{pool="logreader"} 4`,
		`crocusglade_relay_subscribers{role="gateway"} 5`, `crocusglade_order_total{kind="set_role",result="ambiguous"} 1`,
		`crocusglade_quarantine_added_total{source="peer"} 1`, `crocusglade_claim_group_bucket{le="4"} 1`,
		"crocusglade_claim_unresolved 3", `crocusglade_lease_held{duty="usage"} 0`,
		`crocusglade_admission_wait_seconds_bucket{class="urgent",le="0.1"} 1`} {
		if !strings.Contains(body, want) {
			t.Errorf("missing %s in\n%s", want, body)
		}
	}
}

// Guards against a process that reports ready while a condition is pending.
func TestReadiness(t *testing.T) {
	tel, _ := newTelemetry(t)
	tel.Health.SetPending("snapshot", "no configuration yet")
	if code, body := get(t, tel, "/readyz"); code != 503 || !strings.Contains(body, "snapshot: no configuration yet") {
		t.Errorf("%d %s", code, body)
	}
	if code, _ := get(t, tel, "/livez"); code != 200 {
		t.Errorf("livez %d", code)
	}
	tel.Health.SetReady("snapshot")
	if code, body := get(t, tel, "/readyz"); code != 200 || body != "{\"ready\":true}\n" {
		t.Errorf("%d %s", code, body)
	}
}

// Guards against keys and credentials in log lines.
func TestRedact(t *testing.T) {
	for in, want := range map[string]string{
		"key cg_skippers_AbC-_9 refused":      "key [redacted] refused",
		"Authorization: Bearer s3cret!x next": "Authorization: [redacted] next",
		"basic dXNlcjpwYXNz":                  "[redacted]",
		"cg_a.b_x9":                           "[redacted]",
		"pool logreader has no endpoint":      "pool logreader has no endpoint",
	} {
		if got := Redact(in); got != want {
			t.Errorf("Redact(%q) = %q, want %q", in, got, want)
		}
	}
}

// Guards against log lines without the process's identity and against a log level that has no effect.
func TestLog(t *testing.T) {
	tel, log := newTelemetry(t)
	tel.Log.Debug().Msg("hidden")
	tel.Log.Info().Msg("ready")
	if got := log.String(); strings.Contains(got, "hidden") || !strings.Contains(got, `"vm":"vm-1"`) {
		t.Error(got)
	}
	if _, err := New(log, "loud", Identity{}); err == nil {
		t.Error("an unknown level was accepted")
	}
}
