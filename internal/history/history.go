// Package history records the events that callers, endpoints, gateways and the platform observe during a test run, and checks the
// record against the guarantees G1 to G12 of docs/design.md. It is used by tests only.
//
// All times come from one clock, that of the test process, so they can be compared.
package history

import (
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Result is how a caller's request ended.
type Result string

const (
	// ResultComplete means that the caller received the complete answer with its end marker.
	ResultComplete Result = "whole"
	// ResultRefused means that the caller received a typed error instead of an answer.
	ResultRefused Result = "refused"
	// ResultIncomplete means that the answer started and then ended with a typed error event.
	ResultIncomplete Result = "incomplete"
	// ResultDisconnected means that the connection ended with none of these.
	ResultDisconnected Result = "broken"
)

// Request is one request as observed by its caller.
type Request struct {
	ID             string
	Team           string
	KeyID          string
	Route          string
	IdempotencyKey string
	Gateway        string
	Start, End     time.Time
	Result         Result
	// ErrorKind is the error kind of a refusal. RunState says whether the refused request has run.
	ErrorKind string
	RunState  string
	// Answer is the answer that the caller received, Expected the correct answer to its request.
	Answer, Expected string
	// Tokens is the number of prompt and output tokens of a complete answer, from the usage in the answer.
	Tokens uint64
}

// Execution is one run of a request as observed by its endpoint.
type Execution struct {
	RequestID      string
	Endpoint       string
	Team           string
	IdempotencyKey string
	At             time.Time
	// KeyExposed is true when any part of the request contained the caller's key.
	KeyExposed bool
}

// Order is one order that arrived at an engine or at the provider.
type Order struct {
	Target       string
	ID           string
	FencingToken uint64
	Kind         string
	Value        string
	At           time.Time
	// Applied is false when the target refused the order.
	Applied bool
}

// UsageReport is one usage report that arrived at the platform.
type UsageReport struct {
	Window       string
	Sealer       string
	FencingToken uint64
	// CanonicalUsage is the reported usage of all teams as text. Equal usage gives equal text.
	CanonicalUsage string
	// Teams holds the reported usage by team, for CheckBilling.
	Teams map[string]apitypes.Usage
	At    time.Time
}

// ConfigWrite is one accepted configuration change.
type ConfigWrite struct {
	Revision uint64
	At       time.Time
}

// ConfigRead is the configuration revision in force at a process at one time.
type ConfigRead struct {
	Process string
	// Incarnation distinguishes restarts of the process.
	Incarnation string
	Revision    uint64
	At          time.Time
}

// Withdrawal is the accepted withdrawal of one key.
type Withdrawal struct {
	KeyID string
	At    time.Time
}

// LeavingEndpoint is the time since which an endpoint is known to be leaving.
type LeavingEndpoint struct {
	Endpoint string
	At       time.Time
}

// History is the record of one test run.
type History struct {
	mu               sync.Mutex
	Requests         []Request
	Executions       []Execution
	Orders           []Order
	UsageReports     []UsageReport
	ConfigWrites     []ConfigWrite
	ConfigReads      []ConfigRead
	Withdrawals      []Withdrawal
	LeavingEndpoints []LeavingEndpoint
}

// AddRequest records a request. It may be called concurrently, as may all Add methods.
func (h *History) AddRequest(r Request) { add(h, &h.Requests, r) }

// CountCompleteAnswers returns the number of complete answers recorded for a gateway so far.
func (h *History) CountCompleteAnswers(gateway string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, r := range h.Requests {
		if r.Gateway == gateway && r.Result == ResultComplete {
			n++
		}
	}
	return n
}

// AddExecution records an execution.
func (h *History) AddExecution(e Execution) { add(h, &h.Executions, e) }

// AddOrder records the arrival of an order.
func (h *History) AddOrder(o Order) { add(h, &h.Orders, o) }

// AddUsageReport records the arrival of a usage report.
func (h *History) AddUsageReport(r UsageReport) { add(h, &h.UsageReports, r) }

// AddConfigWrite records an accepted configuration change.
func (h *History) AddConfigWrite(w ConfigWrite) { add(h, &h.ConfigWrites, w) }

// AddConfigRead records the configuration revision in force at a process.
func (h *History) AddConfigRead(r ConfigRead) { add(h, &h.ConfigReads, r) }

// AddWithdrawal records an accepted withdrawal.
func (h *History) AddWithdrawal(w Withdrawal) { add(h, &h.Withdrawals, w) }

// AddLeavingEndpoint records that an endpoint is leaving.
func (h *History) AddLeavingEndpoint(l LeavingEndpoint) { add(h, &h.LeavingEndpoints, l) }

func add[T any](h *History, records *[]T, v T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*records = append(*records, v)
}
