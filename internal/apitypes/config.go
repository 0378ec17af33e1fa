// Package apitypes defines the API types of crocusglade: teams, templates, pools, routes, endpoints, VMs, leases, orders, claims
// and usage windows. It contains no logic beyond validation and small derived values.
package apitypes

import (
	"cmp"
	"time"
)

// Object kinds on the platform. The first group is configuration that operators write; snapshots carry it. The second group is
// state that the system writes; of it, snapshots carry only orders.
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

// ConfigKinds are the kinds that snapshots carry. They include orders so that gateways see which endpoints are drained.
var ConfigKinds = []string{KindTemplate, KindTeam, KindPool, KindRoute, KindKeySet, KindAdmin, KindOrders}

const (
	// KeySetShards is the number of keyset objects. A key's shard is the first byte of its hash modulo KeySetShards.
	KeySetShards = 16
	// ClaimShards is the number of claim objects.
	ClaimShards = 64
)

// Priority is a priority class. Classes are numbered from most to least urgent; lower values run first.
type Priority int

const (
	PriorityUrgent Priority = 0
	PriorityNormal Priority = 1
	PriorityBatch  Priority = 2
	// PriorityClasses is the number of priority classes.
	PriorityClasses = 3
)

// RetireMode says how an endpoint's streams are drained before cleaning.
type RetireMode string

const (
	// RetireWait lets every stream finish, however long it takes.
	RetireWait RetireMode = "wait"
	// RetireMove resumes streams on other endpoints and waits for the rest.
	RetireMove RetireMode = "move"
)

// Template is a named set of permissions and defaults that teams refer to.
type Template struct {
	Name string `json:"name" yaml:"name"`
	// Models lists the models that the team may use; each may name allowed versions.
	Models []ModelGrant `json:"models" yaml:"models"`
	// Routes lists the routes that the team may call.
	Routes []string `json:"routes" yaml:"routes"`
	// OpenRoutes lists the routes that callers may use without a key.
	OpenRoutes []string `json:"open_routes,omitempty" yaml:"open_routes"`
	// Priority is the class of requests whose route has no entry in RoutePriority.
	Priority Priority `json:"priority" yaml:"priority"`
	// RoutePriority overrides Priority by route.
	RoutePriority map[string]Priority `json:"route_priority,omitempty" yaml:"route_priority"`
	// Retire says how an endpoint's streams are drained before cleaning.
	Retire RetireMode `json:"retire" yaml:"retire"`
	Limits Limits     `json:"limits" yaml:"limits"`
}

// ModelGrant allows all versions of a model, or only Versions when that is not empty.
type ModelGrant struct {
	Model    string   `json:"model" yaml:"model"`
	Versions []string `json:"versions,omitempty" yaml:"versions"`
}

// Limits bounds the usage of one team across all gateways.
type Limits struct {
	// TokensPerSecond bounds the rate of prompt plus output tokens; 0 means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty" yaml:"tokens_per_second"`
	// RequestsPerSecond bounds the rate of requests; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second"`
	// Concurrent bounds the number of requests in progress; 0 means no limit.
	Concurrent int `json:"concurrent,omitempty" yaml:"concurrent"`
	// MaxBodyBytes bounds the size of a request body; 0 means the gateway's default.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" yaml:"max_body_bytes"`
}

// Team is one customer: a template, and values that override or complete it.
type Team struct {
	Name     string `json:"name" yaml:"name"`
	Template string `json:"template" yaml:"template"`
	// Weight is the team's share in the fair queue; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight"`
	// Limits overrides the template's limits; fields that are zero take the template's value.
	Limits Limits `json:"limits,omitempty" yaml:"limits"`
	// FirstTokenTargetMS is the service-level target for the time to first token, in milliseconds; 0 means 340.
	FirstTokenTargetMS int `json:"first_token_target_ms,omitempty" yaml:"first_token_target_ms"`
}

// PoolKind says whether a pool consists of model engines or of plain services.
type PoolKind string

const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool is a set of endpoints that serve the same model or plain service.
type Pool struct {
	Name string   `json:"name" yaml:"name"`
	Kind PoolKind `json:"kind" yaml:"kind"`
	// Model and Version are what the pool's engines serve; empty for services.
	Model   string `json:"model,omitempty" yaml:"model"`
	Version string `json:"version,omitempty" yaml:"version"`
	// Adapters are loaded on the pool's engines.
	Adapters []string `json:"adapters,omitempty" yaml:"adapters"`
	// Endpoints lists the statically configured endpoints. Endpoints that the system orders are listed by the provider.
	Endpoints []Endpoint `json:"endpoints,omitempty" yaml:"endpoints"`
	// Drained names the endpoints that operators have drained: they receive no new requests.
	Drained []string `json:"drained,omitempty" yaml:"drained"`
	// MinOnDemand is the minimum number of on-demand endpoints.
	MinOnDemand int `json:"min_on_demand,omitempty" yaml:"min_on_demand"`
	// MaxEndpoints bounds the number of endpoints; 0 means that the system orders none.
	MaxEndpoints int `json:"max_endpoints,omitempty" yaml:"max_endpoints"`
	// CleanEveryHours is the cleaning period in hours; 0 means 168 (weekly).
	CleanEveryHours int `json:"clean_every_hours,omitempty" yaml:"clean_every_hours"`
	// Paused stops all orders of the system for the pool.
	Paused bool `json:"paused,omitempty" yaml:"paused"`
}

// Route maps a caller-facing path of a plain service to a pool.
type Route struct {
	Name string `json:"name" yaml:"name"`
	Pool string `json:"pool" yaml:"pool"`
	// IdempotentMethods lists the methods that may be retried; empty means GET, HEAD and OPTIONS. Calls with other methods run at
	// most once and need an Idempotency-Key header.
	IdempotentMethods []string `json:"idempotent_methods,omitempty" yaml:"idempotent_methods"`
	// TimeoutMS bounds one call, in milliseconds; 0 means 30,000.
	TimeoutMS int `json:"timeout_ms,omitempty" yaml:"timeout_ms"`
}

// KeyRecord describes one issued API key. The key itself is not stored, only its keyed hash.
type KeyRecord struct {
	// ID is not secret; it identifies the key in lists and logs.
	ID   string `json:"id"`
	Hash string `json:"hash"`
	Team string `json:"team"`
	// IssuedAt and WithdrawnAt are Unix milliseconds; WithdrawnAt is 0 while the key is valid.
	IssuedAt    int64 `json:"issued_at"`
	WithdrawnAt int64 `json:"withdrawn_at,omitempty"`
}

// KeySet is one shard of key records. The records of withdrawn keys stay in it for 35 days, so that additions and withdrawals are
// ordered by the version of one object.
type KeySet struct {
	Keys []KeyRecord `json:"keys"`
}

// AdminCredential is the credential of an administrator, limited to scopes.
type AdminCredential struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
	// Scopes lists what the credential may do: "read", "config", "keys", "endpoints", "admin".
	Scopes []string `json:"scopes"`
	// Teams limits the scopes "keys" and "config" to these teams; empty means all.
	Teams       []string `json:"teams,omitempty"`
	WithdrawnAt int64    `json:"withdrawn_at,omitempty"`
}

// Defaults for fields that are zero.
const (
	DefaultFirstTokenTarget = 340 * time.Millisecond
	DefaultCleanEvery       = 168 * time.Hour
	DefaultRouteTimeout     = 30 * time.Second
)

// WithDefaults returns the limits with each zero field replaced by that of defaults.
func (l Limits) WithDefaults(defaults Limits) Limits {
	return Limits{
		TokensPerSecond:   cmp.Or(l.TokensPerSecond, defaults.TokensPerSecond),
		RequestsPerSecond: cmp.Or(l.RequestsPerSecond, defaults.RequestsPerSecond),
		Concurrent:        cmp.Or(l.Concurrent, defaults.Concurrent),
		MaxBodyBytes:      cmp.Or(l.MaxBodyBytes, defaults.MaxBodyBytes),
	}
}
