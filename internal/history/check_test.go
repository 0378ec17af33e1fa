package history

import (
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// Guards against a CheckGuarantees that accepts everything: each case is a history that violates one guarantee.
func TestCheckRejectsBadHistories(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return t0.Add(time.Duration(seconds) * time.Second) }
	cases := []struct {
		name, guarantee string
		h               *History
	}{
		{"one order id with two contents", "G1", &History{Orders: []Order{
			{Target: "e1", ID: "a", FencingToken: 1, Kind: "set_role", Value: "prefill", At: at(0)},
			{Target: "e1", ID: "a", FencingToken: 1, Kind: "set_role", Value: "decode", At: at(1)}}}},
		{"stale order applied", "G3", &History{Orders: []Order{
			{Target: "e1", ID: "b", FencingToken: 2, At: at(0), Applied: true},
			{Target: "e1", ID: "a", FencingToken: 1, At: at(1), Applied: true}}}},
		{"other team", "G4", &History{
			Requests:   []Request{{ID: "r", Team: "a"}},
			Executions: []Execution{{RequestID: "r", Team: "b"}}}},
		{"key exposed", "G4", &History{Executions: []Execution{{RequestID: "r", KeyExposed: true}}}},
		{"withdrawn key", "G4", &History{
			Requests:    []Request{{ID: "r", Team: "a", KeyID: "k"}},
			Executions:  []Execution{{RequestID: "r", Team: "a", At: at(6)}},
			Withdrawals: []Withdrawal{{KeyID: "k", At: at(0)}}}},
		{"two usage figures for one window", "G6", &History{UsageReports: []UsageReport{{Window: "1", CanonicalUsage: "5", At: at(0)}, {Window: "1", CanonicalUsage: "6", At: at(1)}}}},
		{"stale sealer", "G6", &History{UsageReports: []UsageReport{{Window: "1", FencingToken: 2, At: at(0)}, {Window: "2", FencingToken: 1, At: at(1)}}}},
		{"answer to another request", "G7", &History{Requests: []Request{{ID: "r", Result: ResultComplete, Answer: "x", Expected: "y"}}}},
		{"false refusal", "G8", &History{
			Requests:   []Request{{ID: "r", Result: ResultRefused, RunState: "not_run"}},
			Executions: []Execution{{RequestID: "r"}}}},
		{"ran twice", "G9", &History{Executions: []Execution{
			{RequestID: "r1", Team: "a", IdempotencyKey: "k"}, {RequestID: "r2", Team: "a", IdempotencyKey: "k"}}}},
		{"work at a leaving endpoint", "G10", &History{
			Executions: []Execution{{RequestID: "r", Endpoint: "e", At: at(6)}}, LeavingEndpoints: []LeavingEndpoint{{Endpoint: "e", At: at(0)}}}},
		{"older configuration revision", "G12", &History{ConfigReads: []ConfigRead{{Process: "g", Revision: 5, At: at(0)}, {Process: "g", Revision: 4, At: at(1)}}}},
		{"configuration after the bound", "G12", &History{
			ConfigWrites: []ConfigWrite{{Revision: 7, At: at(0)}}, ConfigReads: []ConfigRead{{Process: "g", Revision: 6, At: at(12)}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := c.h.CheckGuarantees(DefaultBounds)
			if len(v) == 0 || !strings.HasPrefix(v[0].String(), c.guarantee) {
				t.Fatalf("got %v, want a violation of %s", v, c.guarantee)
			}
		})
	}
}

// Guards against a CheckAtMostOnce that accepts two outcomes, or another body, for one key.
func TestCheckClaims(t *testing.T) {
	t0 := time.Unix(1000, 0)
	submit := func(start, end int, status, outcome string) Submission {
		return Submission{Key: "k", Body: "b", Start: t0.Add(time.Duration(start)), End: t0.Add(time.Duration(end)), Status: status, Outcome: outcome}
	}
	good := []Submission{submit(0, 9, "done", "x"), submit(1, 2, "in_progress", ""), submit(10, 11, "done", "x")}
	if got := CheckAtMostOnce(good, time.Minute); got != porcupine.Ok {
		t.Fatalf("good history: %v", got)
	}
	twice := []Submission{submit(0, 1, "done", "x"), submit(2, 3, "done", "y")}
	if got := CheckAtMostOnce(twice, time.Minute); got != porcupine.Illegal {
		t.Fatalf("two outcomes: %v", got)
	}
	mismatch := append(good, Submission{Key: "k", Body: "other", Start: t0.Add(12), End: t0.Add(13), Status: "done", Outcome: "x"})
	if got := CheckAtMostOnce(mismatch, time.Minute); got != porcupine.Illegal {
		t.Fatalf("other body accepted: %v", got)
	}
}
