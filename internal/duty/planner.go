// Package duty runs the tasks of a controller that need a lease: orders of each pool, sealing of usage windows and
// reconciliation of claims. Any controller may hold any of them.
package duty

import (
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// EndpointView is what a planner sees of an endpoint.
type EndpointView struct {
	apitypes.Endpoint
	Load apitypes.Load
	// ReportedAt is the local time for which Load holds; zero when there is no report.
	ReportedAt time.Time
	// DrainReason is the reason for which the system drains the endpoint; empty when it does not.
	DrainReason string
	// OperatorDrained is true when an operator drains the endpoint.
	OperatorDrained bool
	// Abandoned is true when the endpoint gets no further order.
	Abandoned bool
	// LastCleanedAt is the time of the last cleaning; zero when unknown.
	LastCleanedAt time.Time
}

// IsIdleSince tells whether a report taken after since shows no work at the endpoint.
func (e EndpointView) IsIdleSince(since time.Time) bool {
	return e.ReportedAt.After(since) && e.Load.Running == 0 && e.Load.Waiting == 0
}

// PoolView is what a planner sees of a pool.
type PoolView struct {
	Pool      apitypes.Pool
	Endpoints []EndpointView
	// EndpointUnderAction names the endpoint that an action has taken out of service; empty when there is none.
	EndpointUnderAction string
	Now                 time.Time
}

// Proposal is one order that a planner proposes, with its reason.
type Proposal struct {
	Kind     apitypes.OrderKind
	Endpoint string
	// Value is the new role, model, version or adapter.
	Value string
	// FailureDomain and Class belong to apitypes.OrderAdd.
	FailureDomain string
	Class         apitypes.EndpointClass
	Reason        string
}

// Planner proposes at most one order for a pool. It is called once in each planning period by the pool's holder and keeps its own
// averages; a new holder starts with new planners.
type Planner interface {
	Plan(v PoolView) (Proposal, bool)
}

// Fleet tells what is known of pools and their endpoints.
type Fleet interface {
	// Pool returns a pool's configuration, or false when there is none with this name.
	Pool(name string) (apitypes.Pool, bool)
	// Endpoints returns the endpoints of a pool with their last reports.
	Endpoints(pool string) []EndpointView
}
