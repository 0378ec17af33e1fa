// Package apitypes holds the plain types of what crocusglade acts on: teams, templates, pools,
// routes, endpoints, VMs, leases, orders, claims and usage windows. It has no behaviour beyond validation
// and small derived values.
package apitypes

import (
	"cmp"
	"time"
)

// Object kinds on the platform. The first group is operators' configuration and is relayed in snapshots;
// the second group is the system's own and is not.
const (
	KindTemplate = "template"
	KindTeam     = "team"
	KindPool     = "pool"
	KindRoute    = "route"
	KindKeySet   = "keyset"
	KindAdmin    = "admin"

	KindLease  = "lease"
	KindOrders = "orders"
	KindClaims = "claims"
	KindWindow = "window"
	// KindUsageLog holds one object, UsageLogName.
	KindUsageLog = "usagelog"
)

// ConfigKinds are the kinds that snapshots carry. Orders are among them so that gateways see drained endpoints.
var ConfigKinds = []string{KindTemplate, KindTeam, KindPool, KindRoute, KindKeySet, KindAdmin, KindOrders}

const (
	// KeySetShards is the number of keyset objects; a key's shard is its first hash byte modulo this.
	KeySetShards = 16
	// ClaimShards is the number of claim objects.
	ClaimShards = 64
)

// Priority classes, from most to least urgent. Lower values run first.
type Priority int

const (
	PriorityUrgent Priority = 0
	PriorityNormal Priority = 1
	PriorityBatch  Priority = 2
	// PriorityClasses is the number of classes.
	PriorityClasses = 3
)

// RetireMode says how an endpoint is emptied for cleaning.
type RetireMode string

const (
	// RetireWait lets every stream finish, however long it takes.
	RetireWait RetireMode = "wait"
	// RetireMove resumes streams on other endpoints and waits for the rest.
	RetireMove RetireMode = "move"
)

// Template is a named set of defaults that teams are made from.
type Template struct {
	Name string `json:"name" yaml:"name"`
	// Models lists the models that the team may use; each may name allowed versions.
	Models []ModelGrant `json:"models" yaml:"models"`
	// Routes lists the routes that the team may call.
	Routes []string `json:"routes" yaml:"routes"`
	// OpenRoutes lists the routes that are open to all and need no key.
	OpenRoutes []string `json:"open_routes,omitempty" yaml:"open_routes"`
	// Priority is the class of requests that no rule below matches.
	Priority Priority `json:"priority" yaml:"priority"`
	// RoutePriority overrides Priority for a route.
	RoutePriority map[string]Priority `json:"route_priority,omitempty" yaml:"route_priority"`
	// Retire says how an endpoint is emptied for cleaning.
	Retire RetireMode `json:"retire" yaml:"retire"`
	Limits Limits     `json:"limits" yaml:"limits"`
}

// ModelGrant allows a model and, when Versions is not empty, only these versions of it.
type ModelGrant struct {
	Model    string   `json:"model" yaml:"model"`
	Versions []string `json:"versions,omitempty" yaml:"versions"`
}

// Limits bounds what a team uses, over all gateways together.
type Limits struct {
	// TokensPerSecond bounds prompt plus output tokens; 0 means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty" yaml:"tokens_per_second"`
	// RequestsPerSecond bounds requests; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second"`
	// Concurrent bounds requests in progress; 0 means no limit.
	Concurrent int `json:"concurrent,omitempty" yaml:"concurrent"`
	// MaxBodyBytes bounds a request body; 0 means the gateway's default.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" yaml:"max_body_bytes"`
}

// Team is one customer: a template with parameters.
type Team struct {
	Name     string `json:"name" yaml:"name"`
	Template string `json:"template" yaml:"template"`
	// Weight is the team's share in the fair queue; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight"`
	// Limits overrides the template's limits field by field where not zero.
	Limits Limits `json:"limits,omitempty" yaml:"limits"`
	// FirstTokenTarget is the service-level target for the first token, in milliseconds; 0 means 340.
	FirstTokenTargetMS int `json:"first_token_target_ms,omitempty" yaml:"first_token_target_ms"`
}

// PoolKind tells engines from plain services.
type PoolKind string

const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool is a set of endpoints that serve the same model or plain service.
type Pool struct {
	Name string   `json:"name" yaml:"name"`
	Kind PoolKind `json:"kind" yaml:"kind"`
	// Model and Version are served by the pool's engines; empty for services.
	Model   string `json:"model,omitempty" yaml:"model"`
	Version string `json:"version,omitempty" yaml:"version"`
	// Adapters are loaded on the pool's engines.
	Adapters []string `json:"adapters,omitempty" yaml:"adapters"`
	// Endpoints lists known endpoints by address. Endpoints ordered later come from the provider.
	Endpoints []Endpoint `json:"endpoints,omitempty" yaml:"endpoints"`
	// Drained names endpoints that operators drain: they get no new work.
	Drained []string `json:"drained,omitempty" yaml:"drained"`
	// MinOnDemand is the least number of on-demand endpoints.
	MinOnDemand int `json:"min_on_demand,omitempty" yaml:"min_on_demand"`
	// MaxEndpoints bounds the pool; 0 means no ordering by the system.
	MaxEndpoints int `json:"max_endpoints,omitempty" yaml:"max_endpoints"`
	// CleanEveryHours is the cleaning period in hours; 0 means 168 (weekly).
	CleanEveryHours int `json:"clean_every_hours,omitempty" yaml:"clean_every_hours"`
	// Paused stops all orders of the system to the pool.
	Paused bool `json:"paused,omitempty" yaml:"paused"`
}

// Route maps a caller-facing plain-service path to a pool.
type Route struct {
	Name string `json:"name" yaml:"name"`
	Pool string `json:"pool" yaml:"pool"`
	// IdempotentMethods lists methods that may be repeated; empty means GET, HEAD and OPTIONS.
	// Calls with other methods run at most once and need an Idempotency-Key header.
	IdempotentMethods []string `json:"idempotent_methods,omitempty" yaml:"idempotent_methods"`
	// TimeoutMS bounds one call in milliseconds; 0 means 30,000.
	TimeoutMS int `json:"timeout_ms,omitempty" yaml:"timeout_ms"`
}

// KeyRecord is one issued key. Only its keyed hash is kept.
type KeyRecord struct {
	// ID is public and names the key in lists and logs.
	ID   string `json:"id"`
	Hash string `json:"hash"`
	Team string `json:"team"`
	// IssuedAt and WithdrawnAt are Unix milliseconds; WithdrawnAt is 0 while the key is valid.
	IssuedAt    int64 `json:"issued_at"`
	WithdrawnAt int64 `json:"withdrawn_at,omitempty"`
}

// KeySet is one shard of key records. Withdrawn keys stay for 35 days, so that one
// version orders additions and withdrawals.
type KeySet struct {
	Keys []KeyRecord `json:"keys"`
}

// AdminCredential allows administration within a scope.
type AdminCredential struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
	// Scopes lists what the credential may do: "read", "config", "keys", "endpoints", "admin".
	Scopes []string `json:"scopes"`
	// Teams limits "keys" and "config" to these teams; empty means all.
	Teams       []string `json:"teams,omitempty"`
	WithdrawnAt int64    `json:"withdrawn_at,omitempty"`
}

// Default values for zero fields.
const (
	DefaultFirstTokenTarget = 340 * time.Millisecond
	DefaultCleanEvery       = 168 * time.Hour
	DefaultRouteTimeout     = 30 * time.Second
)

// WithDefaults returns the limits with zero fields taken from defaults.
func (l Limits) WithDefaults(defaults Limits) Limits {
	return Limits{
		TokensPerSecond:   cmp.Or(l.TokensPerSecond, defaults.TokensPerSecond),
		RequestsPerSecond: cmp.Or(l.RequestsPerSecond, defaults.RequestsPerSecond),
		Concurrent:        cmp.Or(l.Concurrent, defaults.Concurrent),
		MaxBodyBytes:      cmp.Or(l.MaxBodyBytes, defaults.MaxBodyBytes),
	}
}
