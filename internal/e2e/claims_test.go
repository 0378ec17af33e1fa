package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/history"
)

// claimCheckTimeout bounds the linearizability check of submissions; the test fails when the check does not end in time.
const claimCheckTimeout = 30 * time.Second

// declarations submits non-idempotent calls ("declarations") to pool "quayside" and records what their callers observed.
type declarations struct {
	c *cluster

	mu          sync.Mutex
	submissions []history.Submission
}

// declarationBody returns the body that is sent with an idempotency key, except where a test repeats the key with another body.
func declarationBody(key string) string { return `{"declaration":"` + key + `"}` }

// submit sends a declaration of team "skippers" to a VM's gateway, waits for the reply and records it.
func (d *declarations) submit(vm int, key, body string) reply {
	start := time.Now()
	r := d.c.call(vm, "skippers", http.MethodPost, "/svc/declarations/of/skippers/"+key, body, map[string]string{"Idempotency-Key": key})
	d.record(vm, key, body, start, r)
	return r
}

// record adds a submission to the submissions and to the history.
func (d *declarations) record(vm int, key, body string, start time.Time, r reply) {
	s := history.Submission{Key: key, Body: body, Start: start, End: time.Now()}
	switch {
	case r.complete:
		s.Status, s.Outcome = "done", r.executionID()
	case r.status < 400:
		s.End = time.Time{} // No response or an incomplete one: the outcome is unknown.
	case r.err.Kind == apierror.IdempotencyMismatch:
		s.Status = "mismatch"
	case r.err.Kind == apierror.InProgress:
		s.Status = "in_progress"
	case r.err.Execution == apierror.NotExecuted:
		s.Status = "not_run"
	default:
		s.Status = "unknown"
	}
	r.text = r.executionID()
	d.c.record(vm, "skippers", "declarations", start, r, r.text)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.submissions = append(d.submissions, s)
}

// executionID returns the id of the request whose execution produced a service's response, or "" when the body names none.
func (r *reply) executionID() string {
	var answer struct{ ID string }
	if json.Unmarshal([]byte(r.body), &answer) != nil {
		return ""
	}
	return answer.ID
}

// keys returns the idempotency keys in the order of their first submission.
func (d *declarations) keys() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	seen := make(map[string]bool)
	for _, s := range d.submissions {
		if !seen[s.Key] {
			seen[s.Key] = true
			out = append(out, s.Key)
		}
	}
	return out
}

// claims returns all claims stored on the platform, or nil when they can't be listed.
func (c *cluster) claims() []apitypes.Claim {
	items, _, err := c.platform.List(context.Background(), apitypes.KindClaims)
	if err != nil {
		return nil
	}
	var out []apitypes.Claim
	for _, item := range items {
		var shard apitypes.ClaimShard
		if err := json.Unmarshal(item.Data, &shard); err != nil {
			c.t.Error(err)
			continue
		}
		for _, cl := range shard.Claims {
			out = append(out, cl)
		}
	}
	return out
}

// countOpenClaims returns the number of claims in state "claimed", which have no outcome and are not yet marked unresolved.
func (c *cluster) countOpenClaims() int {
	n := 0
	for _, cl := range c.claims() {
		if cl.State == apitypes.ClaimClaimed {
			n++
		}
	}
	return n
}

// awaitSettledClaims waits until each claim is done, not run or unresolved, and checks that the administration API lists the
// unresolved ones.
func (d *declarations) awaitSettledClaims() {
	d.c.t.Helper()
	d.c.await("all claims to be done, not run or unresolved", func() bool { return d.c.countOpenClaims() == 0 })
	var listed struct{ Claims []apitypes.Claim }
	d.c.await("the list of unresolved claims", func() bool {
		status, body := d.c.admin(http.MethodGet, "/requests/unresolved", nil, nil)
		return status == http.StatusOK && json.Unmarshal(body, &listed) == nil
	})
	ids := make(map[string]bool)
	for _, cl := range listed.Claims {
		ids[cl.RequestID] = true
	}
	for _, cl := range d.c.claims() {
		if cl.State == apitypes.ClaimUnresolved && !ids[cl.RequestID] {
			d.c.t.Errorf("G9: claim of request %s is unresolved but not listed", cl.RequestID)
		}
	}
}

// checkClaims checks submissions, claims and executions against each other: at most one execution per idempotency key, the
// outcome of that execution in every complete reply, and a claim that is done or unresolved for every execution.
func (d *declarations) checkClaims() {
	d.c.t.Helper()
	claims := make(map[string]apitypes.Claim)
	for _, cl := range d.c.claims() {
		claims[cl.RequestID] = cl
	}
	executionByKey, executed := make(map[string]string), d.c.executions()
	for id, call := range executed {
		key := call.Header.Get("Idempotency-Key")
		if first, found := executionByKey[key]; found {
			d.c.t.Errorf("G9: key %s was executed as request %s and as request %s", key, first, id)
		}
		executionByKey[key] = id
		cl, known := claims[id]
		if !known || cl.State != apitypes.ClaimDone && cl.State != apitypes.ClaimUnresolved {
			d.c.t.Errorf("G9: request %s of key %s was executed, but its claim is in state %q", id, key, cl.State)
		}
	}
	for id, cl := range claims {
		// A service's error response is an outcome without an execution.
		if _, ran := executed[id]; cl.State == apitypes.ClaimDone && !ran && cl.Status < http.StatusBadRequest {
			d.c.t.Errorf("G9: the claim of request %s is done, but the request was not executed", id)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.submissions {
		if s.Status == "done" && s.Outcome != executionByKey[s.Key] {
			d.c.t.Errorf("G9: a caller of key %s got the outcome of request %q, but request %q was executed", s.Key, s.Outcome, executionByKey[s.Key])
		}
	}
	if result := history.CheckAtMostOnce(d.submissions, claimCheckTimeout); result != porcupine.Ok {
		d.c.t.Errorf("G9: %d submissions of %d keys are not consistent with one execution per key: %s", len(d.submissions), len(executionByKey), result)
	}
	d.c.t.Logf("%d submissions, %d executions, %d claims", len(d.submissions), len(executed), len(claims))
}

// awaitInstanceInClaims submits declarations until a claim of a VM's gateway names the endpoint's instance, which the gateway
// gets from a load report. Only claims with an instance can be reconciled to "not run".
func (d *declarations) awaitInstanceInClaims(v *vm) {
	d.c.t.Helper()
	submitted := 0
	d.c.await("a claim that names the endpoint's instance", func() bool {
		submitted++
		key := fmt.Sprintf("warm-%s-%d", v.Name, submitted)
		d.submit(v.index, key, declarationBody(key))
		return slices.ContainsFunc(d.c.claims(), func(cl apitypes.Claim) bool {
			return strings.HasPrefix(cl.Gateway, v.Name+".") && cl.Instance != ""
		})
	})
}

// awaitNewClaim polls until the platform stores more claims than before and returns the most recently updated one.
func (c *cluster) awaitNewClaim(before int) apitypes.Claim {
	c.t.Helper()
	var found apitypes.Claim
	deadline := time.Now().Add(waitTimeout)
	for found.Key == "" {
		if time.Now().After(deadline) {
			c.t.Fatal("timed out waiting for a new claim")
		}
		all := c.claims()
		if len(all) > before {
			for _, cl := range all {
				if cl.UpdatedAt > found.UpdatedAt {
					found = cl
				}
			}
			break
		}
		time.Sleep(time.Millisecond)
	}
	return found
}

// dispatchTimeout is the time after a claim in which its gateway may still dispatch the call.
const dispatchTimeout = 5 * time.Second
