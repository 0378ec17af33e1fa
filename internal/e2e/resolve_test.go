package e2e

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctl"
	"crocusglade.example/crocusglade/internal/standin"
)

// ctl runs crocusgladectl against a VM's controller and returns the exit code, and stdout and stderr together.
func (c *cluster) ctl(vm int, args ...string) (int, string) {
	c.t.Helper()
	secret := filepath.Join(c.t.TempDir(), "credential")
	if err := os.WriteFile(secret, []byte(credential), 0o600); err != nil {
		c.t.Fatal(err)
	}
	var out bytes.Buffer
	args = append([]string{"--server=" + c.url(c.vms[vm].ControllerAddr), "--credential-file=" + secret}, args...)
	code := ctl.Run(c.t.Context(), args, &out, &out)
	return code, out.String()
}

// createUnresolvedClaim submits a declaration under a service fault that leaves its outcome unknown; the service offers no lookup
// of outcomes. It returns the key of the claim, as crocusgladectl lists it.
func (c *cluster) createUnresolvedClaim(key string, f standin.ServiceFaults) string {
	c.t.Helper()
	f.MaxCalls = 1
	c.setServiceFaults(f)
	if r := c.declare(0, key); r.err.Kind != apierror.OutcomeUnknown || r.err.Execution != apierror.ExecutionUnknown {
		c.t.Fatalf("the call under the fault: status %d: %s", r.status, r.body)
	}
	for _, cl := range c.claims() {
		if cl.State != apitypes.ClaimUnresolved {
			continue
		}
		if code, out := c.ctl(1, "requests", "unresolved"); code != ctl.ExitOK || !strings.Contains(out, cl.Key) || !strings.Contains(out, cl.RequestID) {
			c.t.Fatalf("requests unresolved: exit code %d, claim %s is not listed in:\n%s", code, cl.Key, out)
		}
		return cl.Key
	}
	c.t.Fatal("no claim is unresolved")
	return ""
}

// declare submits a declaration without recording it.
func (c *cluster) declare(vm int, key string) reply {
	return c.call(vm, "skippers", http.MethodPost, "/svc/declarations/of/skippers/"+key, declarationBody(key), map[string]string{"Idempotency-Key": key})
}

// Guards against an operator's resolution of a request that callers don't observe, that lets a request run twice, or that
// produces a response that callers can't read.
func TestOperatorResolvesRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{service: standin.ServiceConfig{NoLookup: true}})
	ran := c.createUnresolvedClaim("ran", standin.ServiceFaults{DisconnectAfterExecuting: true})
	if r := c.declare(1, "ran"); r.err.Kind != apierror.OutcomeUnknown {
		t.Errorf("another gateway before the resolution: status %d: %s", r.status, r.body)
	}
	if code, out := c.ctl(2, "requests", "resolve", ran, "done"); code != ctl.ExitOK {
		t.Errorf("resolve as done: exit code %d:\n%s", code, out)
	}
	for _, vm := range []int{0, 3} {
		if r := c.declare(vm, "ran"); r.status != http.StatusOK || !strings.Contains(r.body, "body was not kept") {
			t.Errorf("gateway %d after the resolution as done: status %d: %s", vm, r.status, r.body)
		}
	}
	lost := c.createUnresolvedClaim("lost", standin.ServiceFaults{DisconnectBeforeExecuting: true})
	if code, out := c.ctl(3, "requests", "resolve", lost, "not_run"); code != ctl.ExitOK {
		t.Errorf("resolve as not run: exit code %d:\n%s", code, out)
	}
	first, second := c.declare(1, "lost"), c.declare(2, "lost")
	if !first.complete || !second.complete || first.body != second.body || first.executionID() == "" {
		t.Errorf("after the resolution as not run: one gateway: status %d: %s; another: status %d: %s", first.status, first.body, second.status, second.body)
	}
	if code, out := c.ctl(0, "requests", "resolve", lost, "not_run"); code != ctl.ExitConflict && code != ctl.ExitFailed {
		t.Errorf("resolve a request that has an outcome: exit code %d:\n%s", code, out)
	}
	if code, out := c.ctl(0, "requests", "unresolved"); code != ctl.ExitOK || strings.Contains(out, ran) || strings.Contains(out, lost) {
		t.Errorf("requests unresolved after the resolutions: exit code %d:\n%s", code, out)
	}
	executionsByKey := make(map[string]int)
	for _, call := range c.executions() {
		executionsByKey[call.Header.Get("Idempotency-Key")]++
	}
	if executionsByKey["ran"] != 1 || executionsByKey["lost"] != 1 {
		t.Errorf("G9: executions by key: %v, want one of each", executionsByKey)
	}
	if got := c.scrapeAll(true, "claim_group_count", ""); got < 4 {
		t.Errorf("claim_group counted %v writes, want at least 4", got)
	}
	c.checkGuarantees()
}
