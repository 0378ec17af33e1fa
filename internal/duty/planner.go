// Package duty runs the tasks of a controller that need a lease: the orders of each pool, the sealing of usage windows and the
// reconciliation of claims. Any controller may hold the lease of any of them.
package duty

import (
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// EndpointView is the state of an endpoint that a planner gets.
type EndpointView struct {
	apitypes.Endpoint
	Load apitypes.Load
	// ReportedAt is the local time at which Load was current; zero when there is no report.
	ReportedAt time.Time
	// DrainReason is the reason why the system drains the endpoint; empty when the system does not drain it.
	DrainReason string
	// OperatorDrained is true when an operator has drained the endpoint.
	OperatorDrained bool
	// Abandoned is true when the endpoint gets no further order except its removal.
	Abandoned bool
	// LastCleanedAt is the time of the last cleaning; zero when unknown.
	LastCleanedAt time.Time
}

// IsIdleSince reports whether the last report is later than since and shows no running or waiting requests.
func (e EndpointView) IsIdleSince(since time.Time) bool {
	return e.ReportedAt.After(since) && e.Load.Running == 0 && e.Load.Waiting == 0
}

// PoolView is the state of a pool that a planner gets.
type PoolView struct {
	Pool      apitypes.Pool
	Endpoints []EndpointView
	// EndpointUnderAction names the endpoint of the running action; empty when no action runs.
	EndpointUnderAction string
	Now                 time.Time
}

// Proposal is an order that a planner proposes, with the reason for it.
type Proposal struct {
	Kind     apitypes.OrderKind
	Endpoint string
	// Value is the new role, model, version or adapter.
	Value string
	// FailureDomain and Class are set for apitypes.OrderAdd.
	FailureDomain string
	Class         apitypes.EndpointClass
	Reason        string
}

// Planner proposes at most one order for a pool. The pool's lease holder calls it at most once per planning interval. It may keep
// state such as averages between calls; a new holder starts with new planners.
type Planner interface {
	Plan(v PoolView) (Proposal, bool)
}

// Fleet provides the configuration of pools and the last reports of their endpoints.
type Fleet interface {
	// Pool returns a pool's configuration, or false when there is none with this name.
	Pool(name string) (apitypes.Pool, bool)
	// Endpoints returns the endpoints of a pool with their last reports.
	Endpoints(pool string) []EndpointView
}
