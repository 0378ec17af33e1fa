// Package admission decides when a request may run: a weighted fair queue over teams within priority classes,
// with limits that are shared between gateways.
package admission

import (
	"context"
	"time"

	"crocusglade.example/crocusglade/internal/world"
)

// Request describes a request that asks for admission.
type Request struct {
	Team     string
	Pool     string
	Priority world.Priority
	// Tokens is the expected work in tokens: prompt plus expected output.
	Tokens int
	// Deadline is the latest useful time for the first token; zero when there is none.
	Deadline time.Time
}

// TeamConfig is what the queue needs to know of a team.
type TeamConfig struct {
	Weight float64
	Limits world.Limits
}

// Demand is a team's demand at one gateway.
type Demand struct {
	TokensPerSecond   float64
	RequestsPerSecond float64
	Concurrent        int
}

// Queue admits requests to the pools of one gateway. Its methods may be called concurrently.
type Queue struct{}

// New returns a queue with no teams and no pools.
func New() *Queue { return &Queue{} }

// SetTeams replaces the configuration of all teams.
func (q *Queue) SetTeams(teams map[string]TeamConfig) {}

// SetCapacity sets the number of requests that this gateway may have in progress at a pool, and the pool's service rate
// in tokens a second, which predicts waiting times.
func (q *Queue) SetCapacity(pool string, concurrent int, tokensPerSecond float64) {}

// SetPeerDemand replaces what a neighbour reports of its teams.
func (q *Queue) SetPeerDemand(vm string, demand map[string]Demand) {}

// Demand returns the demand of each team at this gateway.
func (q *Queue) Demand() map[string]Demand { return nil }

// Acquire waits until the request may run. It returns an *apierror.Error with run state "not_run" when the request is refused, or
// the context's error. The caller must call Release on the ticket once.
func (q *Queue) Acquire(ctx context.Context, r Request) (*Ticket, error) { return &Ticket{}, nil }

// Ticket is the right to run one request.
type Ticket struct{}

// Release ends the request. usedTokens is the work that was done, in tokens.
func (t *Ticket) Release(usedTokens int) {}
