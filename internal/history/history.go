// Package history records what callers, endpoints, gateways and the platform saw during a test run and checks the record
// against the guarantees G1 to G12 of docs/design.md. It is for tests only.
//
// Times are taken from one clock in the test process, so they can be compared.
package history

import (
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/world"
)

// Result is how a caller's request ended.
type Result string

const (
	// Whole means that the caller got the complete answer with its end marker.
	Whole Result = "whole"
	// Refused means that the caller got a typed error instead of an answer.
	Refused Result = "refused"
	// Incomplete means that the answer began and ended with a typed error event.
	Incomplete Result = "incomplete"
	// Broken means that the connection ended without any of these.
	Broken Result = "broken"
)

// Request is one request as its caller saw it.
type Request struct {
	ID             string
	Team           string
	KeyID          string
	Route          string
	IdempotencyKey string
	Gateway        string
	Start, End     time.Time
	Result         Result
	// Kind is the error kind and Run the run state of a refusal.
	Kind string
	Run  string
	// Answer is what the caller got, Expected what its own request should give.
	Answer, Expected string
	// Tokens is prompt plus output tokens of a whole answer, as its usage says.
	Tokens uint64
}

// Execution is one run of a request, as the endpoint saw it.
type Execution struct {
	RequestID      string
	Endpoint       string
	Team           string
	IdempotencyKey string
	At             time.Time
	// SawSecret is true when any part of the request held the caller's key.
	SawSecret bool
}

// Order is one order that arrived at an engine or at the provider.
type Order struct {
	Target string
	ID     string
	Fence  uint64
	Kind   string
	Value  string
	At     time.Time
	// Applied is false when the target refused it.
	Applied bool
}

// Report is one usage report that arrived at the platform.
type Report struct {
	Window string
	Sealer string
	Fence  uint64
	// Figures is a canonical form of the reported figures.
	Figures string
	// Teams holds the figures themselves, for CheckBilling.
	Teams map[string]world.Usage
	At    time.Time
}

// ConfigWrite is one accepted change of configuration.
type ConfigWrite struct {
	Revision uint64
	At       time.Time
}

// ConfigRead is the revision that a process had in force.
type ConfigRead struct {
	Process string
	// Incarnation distinguishes restarts of the process.
	Incarnation string
	Revision    uint64
	At          time.Time
}

// Withdrawal is the accepted withdrawal of a key.
type Withdrawal struct {
	KeyID string
	At    time.Time
}

// Leaving is the time from which an endpoint is known to leave.
type Leaving struct {
	Endpoint string
	At       time.Time
}

// History is the record of one run.
type History struct {
	mu          sync.Mutex
	Requests    []Request
	Executions  []Execution
	Orders      []Order
	Reports     []Report
	Writes      []ConfigWrite
	Reads       []ConfigRead
	Withdrawals []Withdrawal
	Leaves      []Leaving
}

// AddRequest records a request. It may be called concurrently, as may all Add methods.
func (h *History) AddRequest(r Request) { add(h, &h.Requests, r) }

// Answered returns the number of whole answers that a gateway gave so far.
func (h *History) Answered(gateway string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, r := range h.Requests {
		if r.Gateway == gateway && r.Result == Whole {
			n++
		}
	}
	return n
}

// AddExecution records an execution.
func (h *History) AddExecution(e Execution) { add(h, &h.Executions, e) }

// AddOrder records the arrival of an order.
func (h *History) AddOrder(o Order) { add(h, &h.Orders, o) }

// AddReport records the arrival of a usage report.
func (h *History) AddReport(r Report) { add(h, &h.Reports, r) }

// AddWrite records an accepted change of configuration.
func (h *History) AddWrite(w ConfigWrite) { add(h, &h.Writes, w) }

// AddRead records the revision in force at a process.
func (h *History) AddRead(r ConfigRead) { add(h, &h.Reads, r) }

// AddWithdrawal records an accepted withdrawal.
func (h *History) AddWithdrawal(w Withdrawal) { add(h, &h.Withdrawals, w) }

// AddLeaving records that an endpoint leaves.
func (h *History) AddLeaving(l Leaving) { add(h, &h.Leaves, l) }

func add[T any](h *History, to *[]T, v T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*to = append(*to, v)
}
