package telemetry

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// Label values that are free text (team, pool, route, endpoint) come from operators' configuration, never from callers,
// so their number is bounded. Per-team series exist only for admission, claims and usage.

// Metrics holds all instruments of a process.
type Metrics struct {
	Admission  AdmissionMetrics
	Choice     ChoiceMetrics
	Retry      RetryMetrics
	Quarantine QuarantineMetrics
	Drain      DrainMetrics
	Lease      LeaseMetrics
	Config     ConfigMetrics
	Relay      RelayMetrics
	Claim      ClaimMetrics
	Usage      UsageMetrics
	Link       LinkMetrics
}

// AdmissionMetrics counts requests at the fair queue.
type AdmissionMetrics struct {
	admitted, refused metric.Int64Counter
	waiting           *observed
	wait              metric.Float64Histogram
}

// Admitted counts a request that left the queue after the given wait in seconds.
func (m *AdmissionMetrics) Admitted(ctx context.Context, team, class string, seconds float64) {
	m.admitted.Add(ctx, 1, labels("team", team, "class", class))
	m.wait.Record(ctx, seconds, labels("class", class))
}

// Refused counts a request refused before dispatch; kind is an apierror.Kind.
func (m *AdmissionMetrics) Refused(ctx context.Context, team, kind string) {
	m.refused.Add(ctx, 1, labels("team", team, "kind", kind))
}

// ObserveWaiting registers the function that returns the number of waiting requests by class.
func (m *AdmissionMetrics) ObserveWaiting(read func() map[string]int) { m.waiting.set(read) }

// ChoiceMetrics counts choices of an endpoint.
type ChoiceMetrics struct {
	chosen, none metric.Int64Counter
	firstToken   metric.Float64Histogram
	predictError metric.Float64Histogram
	inFlight     *observed
}

// Chosen counts a dispatch to a pool; affinity says that the choice followed a cached prefix.
func (m *ChoiceMetrics) Chosen(ctx context.Context, pool string, affinity bool) {
	m.chosen.Add(ctx, 1, metric.WithAttributes(attribute.String("pool", pool), attribute.Bool("affinity", affinity)))
}

// NoEndpoint counts a request for which no endpoint of a pool could be chosen.
func (m *ChoiceMetrics) NoEndpoint(ctx context.Context, pool string) {
	m.none.Add(ctx, 1, labels("pool", pool))
}

// FirstToken records the measured time to the first token and its difference from the predicted one, in seconds.
func (m *ChoiceMetrics) FirstToken(ctx context.Context, pool string, seconds, predicted float64) {
	m.firstToken.Record(ctx, seconds, labels("pool", pool))
	m.predictError.Record(ctx, max(seconds-predicted, predicted-seconds), labels("pool", pool))
}

// ObserveInFlight registers the function that returns the requests at the endpoints of each pool, as the choice predicts them.
func (m *ChoiceMetrics) ObserveInFlight(read func() map[string]int) { m.inFlight.set(read) }

// RetryMetrics counts retries and ejections.
type RetryMetrics struct{ retried, exhausted, ejected, resumed metric.Int64Counter }

// Retried counts a second or later try.
func (m *RetryMetrics) Retried(ctx context.Context, pool string) {
	m.retried.Add(ctx, 1, labels("pool", pool))
}

// BudgetExhausted counts a retry that the budget refused.
func (m *RetryMetrics) BudgetExhausted(ctx context.Context, pool string) {
	m.exhausted.Add(ctx, 1, labels("pool", pool))
}

// Ejected counts an endpoint's ejection.
func (m *RetryMetrics) Ejected(ctx context.Context, pool string) {
	m.ejected.Add(ctx, 1, labels("pool", pool))
}

// Resumed counts a stream that went on after its connection or endpoint was lost.
func (m *RetryMetrics) Resumed(ctx context.Context, pool string) {
	m.resumed.Add(ctx, 1, labels("pool", pool))
}

// QuarantineMetrics counts requests that crash endpoints.
type QuarantineMetrics struct{ deaths, added, refused metric.Int64Counter }

// EndpointDied counts an endpoint that died under a request.
func (m *QuarantineMetrics) EndpointDied(ctx context.Context, pool string) {
	m.deaths.Add(ctx, 1, labels("pool", pool))
}

// Added counts a new fingerprint in quarantine; source is "own" or "peer".
func (m *QuarantineMetrics) Added(ctx context.Context, source string) {
	m.added.Add(ctx, 1, labels("source", source))
}

// Refused counts a request refused because its fingerprint is in quarantine.
func (m *QuarantineMetrics) Refused(ctx context.Context) { m.refused.Add(ctx, 1) }

// DrainMetrics counts planned stops.
type DrainMetrics struct {
	started, cut metric.Int64Counter
	length       metric.Float64Histogram
}

// Started counts the start of a drain; what is "process" or "endpoint".
func (m *DrainMetrics) Started(ctx context.Context, what string) {
	m.started.Add(ctx, 1, labels("what", what))
}

// Ended records a drain's length in seconds and the number of requests that it cut (G2: 0).
func (m *DrainMetrics) Ended(ctx context.Context, what string, seconds float64, cut int64) {
	m.length.Record(ctx, seconds, labels("what", what))
	m.cut.Add(ctx, cut, labels("what", what))
}

// LeaseMetrics counts changes of authority and orders.
type LeaseMetrics struct {
	taken, lost, orders metric.Int64Counter
	held                metric.Int64UpDownCounter
}

// Taken counts a lease taken.
func (m *LeaseMetrics) Taken(ctx context.Context, duty string) {
	m.taken.Add(ctx, 1, labels("duty", duty))
	m.held.Add(ctx, 1, labels("duty", duty))
}

// Lost counts a lease lost or given back.
func (m *LeaseMetrics) Lost(ctx context.Context, duty string) {
	m.lost.Add(ctx, 1, labels("duty", duty))
	m.held.Add(ctx, -1, labels("duty", duty))
}

// Order counts an order; result is an apitypes.IntentState.
func (m *LeaseMetrics) Order(ctx context.Context, kind, result string) {
	m.orders.Add(ctx, 1, labels("kind", kind, "result", result))
}

// ConfigMetrics shows the configuration in force.
type ConfigMetrics struct {
	revision, badObjects metric.Int64Gauge
	age                  metric.Float64Gauge
	applied              metric.Int64Counter
}

// Applied counts an applied change and sets the revision in force.
func (m *ConfigMetrics) Applied(ctx context.Context, revision uint64) {
	m.applied.Add(ctx, 1)
	m.revision.Record(ctx, int64(revision))
}

// SetAge sets the seconds since the platform was last known to have no newer revision.
func (m *ConfigMetrics) SetAge(ctx context.Context, seconds float64) { m.age.Record(ctx, seconds) }

// SetBadObjects sets the number of objects whose last version could not be parsed.
func (m *ConfigMetrics) SetBadObjects(ctx context.Context, n int) { m.badObjects.Record(ctx, int64(n)) }

// RelayMetrics counts the relay tree's work.
type RelayMetrics struct {
	subscribers     *observed
	sent, reconnect metric.Int64Counter
}

// ObserveSubscribers registers the function that returns the streams that this process serves, by the role of the other process.
func (m *RelayMetrics) ObserveSubscribers(read func() map[string]int) { m.subscribers.set(read) }

// Sent counts objects sent to subscribers; stream is "config".
func (m *RelayMetrics) Sent(ctx context.Context, stream string, n int64) {
	m.sent.Add(ctx, n, labels("stream", stream))
}

// Reconnected counts a lost stream, which is renewed; stream is "config".
func (m *RelayMetrics) Reconnected(ctx context.Context, stream string) {
	m.reconnect.Add(ctx, 1, labels("stream", stream))
}

// ClaimMetrics counts claims of non-idempotent requests.
type ClaimMetrics struct {
	written, repeated, reconciled metric.Int64Counter
	unresolved                    metric.Int64Gauge
	groupSize                     metric.Int64Histogram
}

// Written counts a claim that reached a state; state is an apitypes.ClaimState.
func (m *ClaimMetrics) Written(ctx context.Context, team, state string) {
	m.written.Add(ctx, 1, labels("team", team, "state", state))
}

// Repeated counts a repeated idempotency key; answer is "stored", "in_progress", "unknown" or "mismatch".
func (m *ClaimMetrics) Repeated(ctx context.Context, answer string) {
	m.repeated.Add(ctx, 1, labels("answer", answer))
}

// Reconciled counts a claim resolved after its gateway was gone.
func (m *ClaimMetrics) Reconciled(ctx context.Context, state string) {
	m.reconciled.Add(ctx, 1, labels("state", state))
}

// SetUnresolved sets the number of unresolved claims.
func (m *ClaimMetrics) SetUnresolved(ctx context.Context, n int) { m.unresolved.Record(ctx, int64(n)) }

// GroupWritten records the number of claims in one write of a shard.
func (m *ClaimMetrics) GroupWritten(ctx context.Context, claims int) {
	m.groupSize.Record(ctx, int64(claims))
}

// UsageMetrics counts usage and its reports.
type UsageMetrics struct {
	requests, prompt, output          metric.Int64Counter
	copies, refusedCopies             metric.Int64Counter
	sealed, reported, missing, failed metric.Int64Counter
}

// RequestFinished counts a finished request of a team.
func (m *UsageMetrics) RequestFinished(ctx context.Context, team string, promptTokens, outputTokens int64) {
	m.requests.Add(ctx, 1, labels("team", team))
	m.prompt.Add(ctx, promptTokens, labels("team", team))
	m.output.Add(ctx, outputTokens, labels("team", team))
}

// Copied counts a copy of counters sent to a peer; accepted is false when the peer refused it.
func (m *UsageMetrics) Copied(ctx context.Context, accepted bool) {
	if accepted {
		m.copies.Add(ctx, 1)
		return
	}
	m.refusedCopies.Add(ctx, 1)
}

// Sealed counts a sealed window and the incarnations missing from it.
func (m *UsageMetrics) Sealed(ctx context.Context, missing int) {
	m.sealed.Add(ctx, 1)
	m.missing.Add(ctx, int64(missing))
}

// Reported counts a report of a sealed window.
func (m *UsageMetrics) Reported(ctx context.Context, accepted bool) {
	if accepted {
		m.reported.Add(ctx, 1)
		return
	}
	m.failed.Add(ctx, 1)
}

// labels returns attributes from pairs of name and value.
func labels(pairs ...string) metric.MeasurementOption {
	set := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		set = append(set, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributeSet(attribute.NewSet(set...))
}

// NewMetrics creates all instruments on a meter.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	b := builder{meter: meter}
	m := &Metrics{
		Admission: AdmissionMetrics{b.counter("admission_admitted", "requests that left the queue"),
			b.counter("admission_refused", "requests refused before dispatch"),
			b.observed("admission_waiting", "requests in the queue", "class"),
			b.seconds("admission_wait", "time in the queue")},
		Choice: ChoiceMetrics{b.counter("choice_made", "dispatches to an endpoint"),
			b.counter("choice_none", "requests for which no endpoint could be chosen"),
			b.seconds("first_token", "time to the first token"),
			b.seconds("first_token_error", "difference between measured and predicted time to the first token"),
			b.observed("in_flight", "requests at the endpoints of a pool, of all gateways, as the choice predicts them", "pool")},
		Retry: RetryMetrics{b.counter("retry_made", "second and later tries"),
			b.counter("retry_budget_exhausted", "retries refused by the budget"),
			b.counter("endpoint_ejected", "ejections of endpoints"), b.counter("stream_resumed", "streams resumed")},
		Quarantine: QuarantineMetrics{b.counter("quarantine_deaths", "endpoints that died under a request"),
			b.counter("quarantine_added", "fingerprints put in quarantine"),
			b.counter("quarantine_refused", "requests refused by quarantine")},
		Drain: DrainMetrics{b.counter("drain_started", "drains started"), b.counter("drain_cut", "requests cut by drains"),
			b.seconds("drain_length", "length of drains")},
		Lease: LeaseMetrics{b.counter("lease_taken", "leases taken"), b.counter("lease_lost", "leases lost or given back"),
			b.counter("order", "orders by result"), b.level("lease_held", "leases held")},
		Config: ConfigMetrics{b.gauge("config_revision", "revision in force"),
			b.gauge("config_bad_objects", "objects whose last version could not be parsed"),
			b.secondsGauge("config_age", "time since the platform was last known to have no newer revision"),
			b.counter("config_applied", "changes applied")},
		Relay: RelayMetrics{b.observed("relay_subscribers", "streams of configuration that this process serves", "role"),
			b.counter("relay_sent", "objects sent to subscribers"), b.counter("relay_reconnected", "streams lost and renewed")},
		Claim: ClaimMetrics{b.counter("claim_written", "claims by state reached"),
			b.counter("claim_repeated", "repeated idempotency keys"), b.counter("claim_reconciled", "claims resolved afterwards"),
			b.gauge("claim_unresolved", "unresolved claims"), b.sizes("claim_group", "claims in one write of a shard")},
		Usage: UsageMetrics{b.counter("usage_requests", "finished requests"),
			b.counter("usage_prompt_tokens", "prompt tokens"), b.counter("usage_output_tokens", "output tokens"),
			b.counter("usage_copies", "copies accepted by peers"), b.counter("usage_copies_refused", "copies refused by peers"),
			b.counter("usage_windows_sealed", "windows sealed"), b.counter("usage_windows_reported", "windows reported"),
			b.counter("usage_missing", "incarnations missing from sealed windows"),
			b.counter("usage_reports_failed", "reports that were not accepted")},
		Link: LinkMetrics{b.counter("link_bytes", "bytes on the system's own connections, with framing"),
			b.counter("message_bytes", "bytes of messages between the system's processes")},
	}
	if b.err != nil {
		return nil, errors.Wrap(b.err, "create metrics")
	}
	return m, nil
}

// NewNoopMetrics returns instruments that record nothing.
func NewNoopMetrics() *Metrics {
	m, err := NewMetrics(noop.NewMeterProvider().Meter(""))
	if err != nil {
		panic(err) // the no-op meter returns no errors
	}
	return m
}
