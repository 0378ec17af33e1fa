package apitypes

import "encoding/json"

// Object is a versioned value on the platform.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the store-wide revision of the last write of this object.
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data"`
}

// EventType tells what happened to an object.
type EventType string

const (
	EventPut      EventType = "put"
	EventDelete   EventType = "delete"
	EventBookmark EventType = "bookmark"
)

// Event is one change in revision order. A bookmark only moves the revision.
type Event struct {
	Revision uint64    `json:"revision"`
	Type     EventType `json:"type"`
	Object   Object    `json:"object"`
}

// VMState tells whether a VM stays.
type VMState string

const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry VM from the platform's lagging list.
type VM struct {
	Name          string  `json:"name"`
	Region        string  `json:"region,omitempty"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
	// GatewayAddr is the caller-facing host:port, GatewayPeerAddr the gateway's gRPC host:port,
	// ControllerAddr the administration API's host:port, ControllerPeerAddr the controller's gRPC host:port.
	GatewayAddr        string `json:"gateway_addr"`
	GatewayPeerAddr    string `json:"gateway_peer_addr"`
	ControllerAddr     string `json:"controller_addr"`
	ControllerPeerAddr string `json:"controller_peer_addr"`
}

// EndpointClass tells what an endpoint costs and whether it can be reclaimed.
type EndpointClass string

const (
	OnDemand    EndpointClass = "on_demand"
	Reclaimable EndpointClass = "reclaimable"
)

// EndpointState is the provider's view of an endpoint.
type EndpointState string

const (
	EndpointStarting EndpointState = "starting"
	EndpointReady    EndpointState = "ready"
	EndpointLeaving  EndpointState = "leaving"
	EndpointCleaning EndpointState = "cleaning"
	EndpointGone     EndpointState = "gone"
)

// Endpoint is one replica of a model engine or plain service.
type Endpoint struct {
	Name string `json:"name" yaml:"name"`
	Pool string `json:"pool,omitempty" yaml:"-"`
	// Addr is "https://host:port", or "host:port" for plain TCP on loopback.
	Addr          string        `json:"addr" yaml:"addr"`
	FailureDomain string        `json:"failure_domain" yaml:"failure_domain"`
	Class         EndpointClass `json:"class" yaml:"class"`
	State         EndpointState `json:"state,omitempty" yaml:"-"`
	// ChecksFence says that the endpoint refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence"`
	// ReclaimAt is the time in Unix milliseconds at which a reclaimed endpoint disappears; 0 when not reclaimed.
	ReclaimAt int64 `json:"reclaim_at,omitempty" yaml:"-"`
	// LastCleaned is the time of the last cleaning in Unix milliseconds; 0 when unknown.
	LastCleaned int64 `json:"last_cleaned,omitempty" yaml:"-"`
}

// Role is the work that an engine does.
type Role string

const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// Load is an endpoint's load report. It lags by AgeMS plus transport.
type Load struct {
	Endpoint string   `json:"endpoint,omitempty"`
	Role     Role     `json:"role,omitempty"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	// Slots is the number of requests that the endpoint runs at once; 0 means unknown.
	Slots               int `json:"slots,omitempty"`
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	KVFree              int `json:"kv_free"`
	KVTotal             int `json:"kv_total"`
	// PrefillRate and DecodeRate are tokens per second, measured by the endpoint.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
	// Instance changes when the endpoint restarts.
	Instance string `json:"instance,omitempty"`
	// AgeMS is the age of the figures in milliseconds when they were sent.
	AgeMS int64 `json:"age_ms"`
	// Changing is true while an order is being carried out.
	Changing bool `json:"changing,omitempty"`
	// Draining is true when the endpoint takes no new work.
	Draining bool `json:"draining,omitempty"`
}

// Duty names a task of the controllers that needs a lease.
type Duty string

const (
	// DutyOrders covers all orders of one pool, to endpoints and to the provider.
	DutyOrders Duty = "orders"
	// DutyUsage covers sealing and reporting of usage windows of the deployment.
	DutyUsage Duty = "usage"
	// DutyClaims covers the reconciliation of unresolved claims of the deployment.
	DutyClaims Duty = "claims"
)

// Lease is the platform object that grants one controller one duty.
type Lease struct {
	Holder string `json:"holder"`
	// Fence is the fencing number; it grows with every change of holder.
	Fence uint64 `json:"fence"`
	// TTLMS is the lifetime in milliseconds after the last renewal.
	TTLMS int64 `json:"ttl_ms"`
	// Writer is the unique id of the write, so that the writer can recognise it after a lost answer.
	Writer string `json:"writer"`
	// Renewal counts renewals; a candidate sees by it that the holder lives.
	Renewal uint64 `json:"renewal"`
}

// OrderKind names an order to an engine or to the provider.
type OrderKind string

const (
	OrderSetRole     OrderKind = "set_role"
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetVersion  OrderKind = "set_version"
	OrderDrain       OrderKind = "drain"
	OrderResume      OrderKind = "resume"
	OrderClean       OrderKind = "clean"
	// Provider orders.
	OrderAdd    OrderKind = "add"
	OrderRemove OrderKind = "remove"
)

// Order is an order to one endpoint, or to the provider when Kind is OrderAdd or OrderRemove.
type Order struct {
	ID       string    `json:"id"`
	Fence    uint64    `json:"fence"`
	Kind     OrderKind `json:"kind"`
	Value    string    `json:"value,omitempty"`
	Endpoint string    `json:"endpoint,omitempty"`
	// FailureDomain and Class are set for OrderAdd.
	FailureDomain string        `json:"failure_domain,omitempty"`
	Class         EndpointClass `json:"class,omitempty"`
}

// IntentState tells how far an order got.
type IntentState string

const (
	IntentPending   IntentState = "pending"
	IntentDone      IntentState = "done"
	IntentRefused   IntentState = "refused"
	IntentAmbiguous IntentState = "ambiguous"
)

// Intent is an order that is written before it is sent.
type Intent struct {
	Order  Order       `json:"order"`
	State  IntentState `json:"state"`
	Reason string      `json:"reason,omitempty"`
	// UpdatedAt is the time of the last change in Unix milliseconds, for operators only.
	UpdatedAt int64 `json:"at"`
}

// PoolOrders is the object orders/<pool>: the fencing number in force, at most one pending intent per
// endpoint, and endpoints that must get no further order.
type PoolOrders struct {
	Fence   uint64   `json:"fence"`
	Holder  string   `json:"holder"`
	Writer  string   `json:"writer"`
	Intents []Intent `json:"intents,omitempty"`
	// Abandoned lists endpoints with an ambiguous order: drained, replaced, never ordered again.
	Abandoned []string `json:"abandoned,omitempty"`
	// Cleaned holds the time of the last cleaning of each endpoint in Unix milliseconds.
	Cleaned map[string]int64 `json:"cleaned,omitempty"`
	// Drained lists endpoints that get no new work, with the reason.
	Drained map[string]string `json:"drained,omitempty"`
}

// ClaimState tells what is known of a non-idempotent request.
type ClaimState string

const (
	ClaimClaimed    ClaimState = "claimed"
	ClaimDone       ClaimState = "done"
	ClaimNotRun     ClaimState = "not_run"
	ClaimUnresolved ClaimState = "unresolved"
)

// Claim is the idempotency record of one non-idempotent request.
type Claim struct {
	// Key is the hash of team, route and idempotency key.
	Key       string `json:"key"`
	Team      string `json:"team"`
	Route     string `json:"route"`
	BodyHash  string `json:"body_hash"`
	Attempt   string `json:"attempt"`
	Gateway   string `json:"gateway"`
	Endpoint  string `json:"endpoint"`
	RequestID string `json:"request_id"`
	// Instance is the endpoint's instance when the claim was written; empty when unknown.
	Instance string     `json:"instance,omitempty"`
	State    ClaimState `json:"state"`
	// Status, ContentType and Body hold the outcome; Body only when at most 4 KiB.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyKept    bool   `json:"body_kept,omitempty"`
	// UpdatedAt is the time of the last change in Unix milliseconds.
	UpdatedAt int64 `json:"at"`
}

// ClaimShard is the object claims/<shard>.
type ClaimShard struct {
	Claims map[string]Claim `json:"claims"`
}

// Usage is what a team used in a window.
type Usage struct {
	Requests     uint64 `json:"requests"`
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
}

// DefaultWindowSeconds is the length of a usage window in seconds when settings give none.
const DefaultWindowSeconds = 300

// UsageWindow is the object window/<id>: the sealed figures of all teams. The id is the window's start
// in Unix seconds.
type UsageWindow struct {
	ID       string           `json:"id"`
	Sealer   string           `json:"sealer"`
	Fence    uint64           `json:"fence"`
	Teams    map[string]Usage `json:"teams"`
	Reported bool             `json:"reported"`
	// Missing lists gateway incarnations whose own answer was absent and that peers' copies covered.
	Missing []string `json:"missing,omitempty"`
	// Answered lists gateway incarnations whose own answer is part of the figures.
	Answered []string `json:"answered,omitempty"`
	// Covered holds the figures that copies gave for other incarnations, by incarnation and team. A gateway that finds itself
	// neither in Answered nor in Covered knows that none of its counters were sealed in this window.
	Covered map[string]map[string]Usage `json:"covered,omitempty"`
}
