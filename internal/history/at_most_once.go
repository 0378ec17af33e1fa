package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// Submission is one call with an idempotency key, as its caller saw it.
type Submission struct {
	Key   string
	Body  string
	Start time.Time
	// End is zero when the caller never got an answer; the call may take effect at any later time.
	End time.Time
	// Status is "done", "not_run", "in_progress", "unknown" or "mismatch".
	Status string
	// Outcome identifies the execution whose outcome the caller got, when Status is "done".
	Outcome string
}

// claimState is the state of one idempotency key: whether it ran, with which body and which outcome.
type claimState struct {
	ran     bool
	body    string
	outcome string
}

// claimModel is the sequential object that idempotency keys have to look like: the first call that runs fixes body and
// outcome; later calls get this outcome, "in progress" or "unknown", and a call with another body is refused.
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
	// No answer: the call may or may not have fixed the body.
	return true, s
}

// CheckAtMostOnce tells whether the submissions can be explained by one execution at most for each key (G9). The result is Illegal,
// Ok, or Unknown when the search took longer than limit.
func CheckAtMostOnce(submissions []Submission, limit time.Duration) porcupine.CheckResult {
	ops := make([]porcupine.Operation, 0, len(submissions))
	for i, s := range submissions {
		end := s.End.UnixNano()
		if s.End.IsZero() {
			// A call without an answer constrains nothing that came after it.
			continue
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: s, Output: s, Call: s.Start.UnixNano(), Return: end})
	}
	return porcupine.CheckOperationsTimeout(claimModel, ops, limit)
}
