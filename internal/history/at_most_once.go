package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// Submission is one call with an idempotency key as observed by its caller.
type Submission struct {
	Key   string
	Body  string
	Start time.Time
	// End is zero when the caller received no answer; the call may take effect at any later time.
	End time.Time
	// Status is "done", "not_run", "in_progress", "unknown" or "mismatch".
	Status string
	// Outcome identifies the execution whose outcome the caller received, when Status is "done".
	Outcome string
}

// claimState is the state of one idempotency key: whether it ran, with which body and which outcome.
type claimState struct {
	ran     bool
	body    string
	outcome string
}

// claimModel is the sequential specification of idempotency keys: the first call that runs sets the key's body and outcome; later
// calls get this outcome, "in_progress" or "unknown", and a call with another body is refused. Keys are checked independently.
var claimModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var order []string
		for _, op := range ops {
			k := op.Input.(Submission).Key
			if _, ok := byKey[k]; !ok {
				order = append(order, k)
			}
			byKey[k] = append(byKey[k], op)
		}
		parts := make([][]porcupine.Operation, 0, len(order))
		for _, k := range order {
			parts = append(parts, byKey[k])
		}
		return parts
	},
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(claimState), input.(Submission), output.(Submission)
		return s.step(in, out)
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		in, out := input.(Submission), output.(Submission)
		return fmt.Sprintf("submit(%s, %s) -> %s %s", in.Key, in.Body, out.Status, out.Outcome)
	},
}

func (s claimState) step(in, out Submission) (bool, any) {
	switch out.Status {
	case "not_run":
		return true, s
	case "mismatch":
		return s.body != "" && s.body != in.Body, s
	case "in_progress", "unknown":
		if s.body == "" {
			s.body = in.Body
		}
		return s.body == in.Body, s
	case "done":
		if s.ran {
			return s.body == in.Body && s.outcome == out.Outcome, s
		}
		return s.body == "" || s.body == in.Body, claimState{ran: true, body: in.Body, outcome: out.Outcome}
	}
	// Without an answer it is unknown whether the call has set the body.
	return true, s
}

// CheckAtMostOnce checks that the submissions are linearizable with at most one execution per key (guarantee G9). The result is
// Ok, Illegal, or Unknown when the search takes longer than limit.
func CheckAtMostOnce(submissions []Submission, limit time.Duration) porcupine.CheckResult {
	ops := make([]porcupine.Operation, 0, len(submissions))
	for i, s := range submissions {
		end := s.End.UnixNano()
		if s.End.IsZero() {
			// A call without an answer does not constrain later calls.
			continue
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: s, Output: s, Call: s.Start.UnixNano(), Return: end})
	}
	return porcupine.CheckOperationsTimeout(claimModel, ops, limit)
}
