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

// claimSearchLimit ends a search of the claim checker that takes too long; the run fails then.
const claimSearchLimit = 30 * time.Second

// declarations records submissions of non-idempotent calls for the claim model.
type declarations struct {
	c *cluster

	mu  sync.Mutex
	all []history.Submission
}

// declaredBody is the body of every first use of an idempotency key.
func declaredBody(key string) string { return `{"declaration":"` + key + `"}` }

// submit files a declaration of team "skippers" at a VM's gateway and records what its caller saw.
func (d *declarations) submit(vm int, key, body string) reply {
	start := time.Now()
	r := d.c.call(vm, "skippers", http.MethodPost, "/svc/declarations/of/skippers/"+key, body, map[string]string{"Idempotency-Key": key})
	d.record(vm, key, body, start, r)
	return r
}

func (d *declarations) record(vm int, key, body string, start time.Time, r reply) {
	s := history.Submission{Key: key, Body: body, Start: start, End: time.Now()}
	switch {
	case r.whole:
		s.Status, s.Outcome = "done", r.executionID()
	case r.status < 400:
		s.End = time.Time{} // no answer, or a part of one
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
	d.all = append(d.all, s)
}

// executionID returns the id of the request whose execution gave a service's answer.
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
	for _, s := range d.all {
		if !seen[s.Key] {
			seen[s.Key] = true
			out = append(out, s.Key)
		}
	}
	return out
}

// claims returns all claims on the platform.
func (c *cluster) claims() []apitypes.Claim {
	items, _, err := c.mem.List(context.Background(), apitypes.KindClaims)
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

// openClaims returns how many claims have neither an outcome nor stand on the list of unresolved ones.
func (c *cluster) openClaims() int {
	n := 0
	for _, cl := range c.claims() {
		if cl.State == apitypes.ClaimClaimed {
			n++
		}
	}
	return n
}

// settle waits until each claim is done, not run or unresolved, and checks that the administration API lists the unresolved ones.
func (d *declarations) settle() {
	d.c.t.Helper()
	d.c.await("all claims to be settled", func() bool { return d.c.openClaims() == 0 })
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

// check checks submissions, claims and executions against each other: one execution at most for each key, the outcome of that
// execution for every caller, and a claim for every execution that tells of it.
func (d *declarations) check() {
	d.c.t.Helper()
	claims := make(map[string]apitypes.Claim)
	for _, cl := range d.c.claims() {
		claims[cl.RequestID] = cl
	}
	byKey, ran := make(map[string]string), d.c.executions()
	for id, call := range ran {
		key := call.Header.Get("Idempotency-Key")
		if first, twice := byKey[key]; twice {
			d.c.t.Errorf("G9: key %s ran as %s and as %s", key, first, id)
		}
		byKey[key] = id
		cl, known := claims[id]
		if !known || cl.State != apitypes.ClaimDone && cl.State != apitypes.ClaimUnresolved {
			d.c.t.Errorf("G9: request %s of key %s ran, its claim says %q", id, key, cl.State)
		}
	}
	for id, cl := range claims {
		// A service's error answer is an outcome too, without an execution.
		if _, executed := ran[id]; cl.State == apitypes.ClaimDone && !executed && cl.Status < http.StatusBadRequest {
			d.c.t.Errorf("G9: the claim of request %s is done, but it did not run", id)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.all {
		if s.Status == "done" && s.Outcome != byKey[s.Key] {
			d.c.t.Errorf("G9: a caller of key %s got the outcome of %q, but %q ran", s.Key, s.Outcome, byKey[s.Key])
		}
	}
	if result := history.CheckAtMostOnce(d.all, claimSearchLimit); result != porcupine.Ok {
		d.c.t.Errorf("G9: %d submissions of %d keys are not explained by one execution for each key: %s", len(d.all), len(byKey), result)
	}
	d.c.t.Logf("%d submissions, %d executions, %d claims", len(d.all), len(ran), len(claims))
}

// awaitInstance submits declarations until a gateway's claims name the endpoint's instance, which it learns from a load report.
// Only such claims can be reconciled to "not run".
func (d *declarations) awaitInstance(v *vm) {
	d.c.t.Helper()
	n := 0
	d.c.await("a claim that names the endpoint's instance", func() bool {
		n++
		key := fmt.Sprintf("warm-%s-%d", v.Name, n)
		d.submit(v.index, key, declaredBody(key))
		return slices.ContainsFunc(d.c.claims(), func(cl apitypes.Claim) bool {
			return strings.HasPrefix(cl.Gateway, v.Name+".") && cl.Instance != ""
		})
	})
}

// awaitNewClaim returns the claim that is written first after the known ones, as soon as it is on the platform.
func (c *cluster) awaitNewClaim(known int) apitypes.Claim {
	c.t.Helper()
	var found apitypes.Claim
	end := time.Now().Add(patience)
	for found.Key == "" {
		if time.Now().After(end) {
			c.t.Fatal("no claim was written")
		}
		all := c.claims()
		if len(all) > known {
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

// dispatchLimit is the time after a claim in which its gateway may still send the call.
const dispatchLimit = 5 * time.Second
