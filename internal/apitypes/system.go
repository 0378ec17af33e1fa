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

// EventType is the kind of an Event.
type EventType string

const (
	EventPut      EventType = "put"
	EventDelete   EventType = "delete"
	EventBookmark EventType = "bookmark"
)

// Event is one change of an object. Events are delivered in revision order. A bookmark changes no object and only advances the
// revision.
type Event struct {
	Revision uint64    `json:"revision"`
	Type     EventType `json:"type"`
	Object   Object    `json:"object"`
}

// VMState says whether a VM stays in service or is leaving.
type VMState string

const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one VM in the platform's list of VMs, which is eventually consistent.
type VM struct {
	Name          string  `json:"name"`
	Region        string  `json:"region,omitempty"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
	// GatewayAddr is the caller-facing host:port, GatewayPeerAddr the gateway's gRPC host:port, ControllerAddr the host:port of the
	// administration API, and ControllerPeerAddr the controller's gRPC host:port.
	GatewayAddr        string `json:"gateway_addr"`
	GatewayPeerAddr    string `json:"gateway_peer_addr"`
	ControllerAddr     string `json:"controller_addr"`
	ControllerPeerAddr string `json:"controller_peer_addr"`
}

// EndpointClass is the price class of an endpoint. The provider may reclaim endpoints of class Reclaimable after a notice.
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
	// ChecksFence is true when the endpoint rejects orders with an outdated fencing token.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence"`
	// ReclaimAt is the time in Unix milliseconds at which the provider removes a reclaimed endpoint; 0 when it is not reclaimed.
	ReclaimAt int64 `json:"reclaim_at,omitempty" yaml:"-"`
	// LastCleaned is the time of the last cleaning in Unix milliseconds; 0 when unknown.
	LastCleaned int64 `json:"last_cleaned,omitempty" yaml:"-"`
}

// Role is the phase of inference that an engine runs: prefill, decode or both.
type Role string

const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// Load is an endpoint's load report. Its figures are AgeMS old when sent; the transport delay comes on top.
type Load struct {
	Endpoint string   `json:"endpoint,omitempty"`
	Role     Role     `json:"role,omitempty"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	// Slots is the number of requests that the endpoint runs concurrently; 0 means unknown.
	Slots               int `json:"slots,omitempty"`
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	KVFree              int `json:"kv_free"`
	KVTotal             int `json:"kv_total"`
	// PrefillRate and DecodeRate are in tokens per second, as measured by the endpoint.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
	// Instance identifies a run of the endpoint's process; it changes when the endpoint restarts.
	Instance string `json:"instance,omitempty"`
	// SoftwareVersion is the version of the engine's software, not of its model. A stream goes on only at engines of the version that began it, and
	// nowhere if that is empty.
	SoftwareVersion string `json:"software_version,omitempty"`
	// AgeMS is the age of the figures, in milliseconds, when the report was sent.
	AgeMS int64 `json:"age_ms"`
	// Changing is true while the endpoint applies an order.
	Changing bool `json:"changing,omitempty"`
	// Draining is true when the endpoint accepts no new requests.
	Draining bool `json:"draining,omitempty"`
}

// Duty names a controller task that only the holder of its lease performs.
type Duty string

const (
	// DutyOrders covers all orders for one pool, to endpoints and to the provider.
	DutyOrders Duty = "orders"
	// DutyUsage covers sealing and reporting of usage windows of the deployment.
	DutyUsage Duty = "usage"
	// DutyClaims covers the reconciliation of unresolved claims of the deployment.
	DutyClaims Duty = "claims"
)

// Lease is the platform object that grants one duty to one controller.
type Lease struct {
	Holder string `json:"holder"`
	// Fence is the fencing token; it increases with every change of holder.
	Fence uint64 `json:"fence"`
	// TTLMS is the lifetime in milliseconds, counted from the last renewal.
	TTLMS int64 `json:"ttl_ms"`
	// Writer is the unique id of the last write, by which the writer recognises its own write when the response was lost.
	Writer string `json:"writer"`
	// Renewal counts renewals; a candidate that sees it change knows that the holder is alive.
	Renewal uint64 `json:"renewal"`
	// Era is the era of the store in which the record was written; 0 if the store has none. A record of an earlier era comes from a copy: it may be
	// older than the last term.
	Era uint64 `json:"era,omitempty"`
	// EraSeenMS is the Unix time in milliseconds at which Era is known to have begun already.
	EraSeenMS int64 `json:"era_seen_ms,omitempty"`
}

// OrderKind is the kind of an Order. OrderClean is sent to the provider, the other kinds of the first group to an engine.
type OrderKind string

const (
	OrderSetRole     OrderKind = "set_role"
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetVersion  OrderKind = "set_version"
	OrderDrain       OrderKind = "drain"
	OrderResume      OrderKind = "resume"
	OrderClean       OrderKind = "clean"
	// OrderAdd and OrderRemove change the number of endpoints; they are sent to the provider.
	OrderAdd    OrderKind = "add"
	OrderRemove OrderKind = "remove"
)

// Order is a command to one endpoint, or to the provider when Kind is OrderAdd, OrderRemove or OrderClean.
type Order struct {
	ID       string    `json:"id"`
	Fence    uint64    `json:"fence"`
	Kind     OrderKind `json:"kind"`
	Value    string    `json:"value,omitempty"`
	Endpoint string    `json:"endpoint,omitempty"`
	// FailureDomain and Class describe the endpoint to add; set only for OrderAdd.
	FailureDomain string        `json:"failure_domain,omitempty"`
	Class         EndpointClass `json:"class,omitempty"`
}

// IntentState is the state of an order.
type IntentState string

const (
	// IntentPending: the outcome of the order is not known yet.
	IntentPending IntentState = "pending"
	// IntentDone: the receiver accepted the order.
	IntentDone IntentState = "done"
	// IntentRefused: the order had no effect and will have none.
	IntentRefused IntentState = "refused"
	// IntentAmbiguous: the order may still take effect; its endpoint is abandoned.
	IntentAmbiguous IntentState = "ambiguous"
)

// Intent is the record of an order. It is stored before the order is sent.
type Intent struct {
	Order  Order       `json:"order"`
	State  IntentState `json:"state"`
	Reason string      `json:"reason,omitempty"`
	// UpdatedAt is the time of the last change in Unix milliseconds; it only informs operators.
	UpdatedAt int64 `json:"at"`
}

// PoolOrders is the object orders/<pool>: the fencing token in force, at most one pending intent per endpoint, and the endpoints
// that must not receive further orders.
type PoolOrders struct {
	Fence   uint64   `json:"fence"`
	Holder  string   `json:"holder"`
	Writer  string   `json:"writer"`
	Intents []Intent `json:"intents,omitempty"`
	// Abandoned lists the endpoints with an ambiguous order. They are drained and replaced, and receive no further order.
	Abandoned []string `json:"abandoned,omitempty"`
	// Cleaned holds the time of the last cleaning of each endpoint, in Unix milliseconds.
	Cleaned map[string]int64 `json:"cleaned,omitempty"`
	// Drained holds the endpoints that receive no new requests, each with the reason.
	Drained map[string]string `json:"drained,omitempty"`
}

// ClaimState is the execution state of a non-idempotent request.
type ClaimState string

const (
	// ClaimClaimed: an attempt owns the idempotency key; the request has no final state yet.
	ClaimClaimed ClaimState = "claimed"
	// ClaimDone: the request ran.
	ClaimDone ClaimState = "done"
	// ClaimNotRun: the request did not run; its idempotency key may be claimed again.
	ClaimNotRun ClaimState = "not_run"
	// ClaimUnresolved: it is unknown whether the request ran.
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
	// Status, ContentType and Body hold the outcome. Body is stored only when it has at most 4 KiB; BodyKept is true while
	// it is stored.
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

// Usage is the usage of one team in one window.
type Usage struct {
	Requests     uint64 `json:"requests"`
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
}

// DefaultWindowSeconds is the default length of a usage window, in seconds.
const DefaultWindowSeconds = 300

// UsageWindow is the object window/<id>: the sealed usage of all teams in one window. The id is the start of the window in Unix
// seconds.
type UsageWindow struct {
	ID       string           `json:"id"`
	Sealer   string           `json:"sealer"`
	Fence    uint64           `json:"fence"`
	Teams    map[string]Usage `json:"teams"`
	Reported bool             `json:"reported"`
	// Missing lists the gateway incarnations that did not report their counters themselves and whose counters were taken from
	// copies on their peers.
	Missing []string `json:"missing,omitempty"`
	// Answered lists the gateway incarnations that reported their counters themselves; Teams includes these counters.
	Answered []string `json:"answered,omitempty"`
	// Covered holds the usage that was taken from copies on peers, by incarnation and team. A gateway whose incarnation is neither
	// in Answered nor in Covered knows that none of its counters were sealed in this window.
	Covered map[string]map[string]Usage `json:"covered,omitempty"`
}
