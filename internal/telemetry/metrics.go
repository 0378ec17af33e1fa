package telemetry

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// Label values that are free text (team, pool, route, endpoint) come from the operators' configuration and never from callers, which
// bounds the number of time series. Only the metrics of admission, claims and usage have a label for the team.

// Metrics holds all instruments of a process.
type Metrics struct {
	Admission  AdmissionMetrics
	Balancer   BalancerMetrics
	Retry      RetryMetrics
	Quarantine QuarantineMetrics
	Drain      DrainMetrics
	Lease      LeaseMetrics
	Config     ConfigMetrics
	Relay      RelayMetrics
	Claim      ClaimMetrics
	Usage      UsageMetrics
	Link       LinkMetrics
	Ports      PortMetrics
}

// PortMetrics records clients that are refused because a port is at one of its limits.
type PortMetrics struct{ refused metric.Int64Counter }

// Refused counts a closed connection or a refused body. cause is "full" or "evicted" for connections, "memory" for bodies.
func (m *PortMetrics) Refused(ctx context.Context, port, cause string) {
	m.refused.Add(ctx, 1, labels("port", port, "cause", cause))
}

// AdmissionMetrics records admission: requests that wait in the fair queue, leave it or are refused.
type AdmissionMetrics struct {
	admitted, refused metric.Int64Counter
	waiting           *callbackGauge
	wait              metric.Float64Histogram
}

// Admitted counts a request that left the queue for dispatch, and records its time in the queue in seconds.
func (m *AdmissionMetrics) Admitted(ctx context.Context, team, class string, seconds float64) {
	m.admitted.Add(ctx, 1, labels("team", team, "class", class))
	m.wait.Record(ctx, seconds, labels("class", class))
}

// Refused counts a request that was refused before dispatch; kind is an apierror.Kind.
func (m *AdmissionMetrics) Refused(ctx context.Context, team, kind string) {
	m.refused.Add(ctx, 1, labels("team", team, "kind", kind))
}

// ObserveWaiting registers a function that returns the number of requests in the queue by priority class.
func (m *AdmissionMetrics) ObserveWaiting(read func() map[string]int) { m.waiting.set(read) }

// BalancerMetrics records the choice of endpoints for requests.
type BalancerMetrics struct {
	chosen, noEndpoint metric.Int64Counter
	firstToken         metric.Float64Histogram
	predictionError    metric.Float64Histogram
	inFlight           *callbackGauge
}

// Dispatched counts a dispatch to an endpoint of a pool. affinity is true when the endpoint was chosen for its cached prefix.
func (m *BalancerMetrics) Dispatched(ctx context.Context, pool string, affinity bool) {
	m.chosen.Add(ctx, 1, metric.WithAttributes(attribute.String("pool", pool), attribute.Bool("affinity", affinity)))
}

// NoEndpoint counts a request for which no endpoint of a pool could be chosen.
func (m *BalancerMetrics) NoEndpoint(ctx context.Context, pool string) {
	m.noEndpoint.Add(ctx, 1, labels("pool", pool))
}

// FirstToken records the measured time to the first token and its absolute difference from the predicted time, in seconds.
func (m *BalancerMetrics) FirstToken(ctx context.Context, pool string, seconds, predicted float64) {
	m.firstToken.Record(ctx, seconds, labels("pool", pool))
	m.predictionError.Record(ctx, max(seconds-predicted, predicted-seconds), labels("pool", pool))
}

// ObserveInFlight registers a function that returns the predicted number of requests at the endpoints of each pool.
func (m *BalancerMetrics) ObserveInFlight(read func() map[string]int) { m.inFlight.set(read) }

// RetryMetrics counts retries, ejections of endpoints and resumed streams.
type RetryMetrics struct{ retried, budgetExhausted, ejected, resumed metric.Int64Counter }

// Retried counts a second or later attempt of a request.
func (m *RetryMetrics) Retried(ctx context.Context, pool string) {
	m.retried.Add(ctx, 1, labels("pool", pool))
}

// BudgetExhausted counts a retry that the retry budget refused.
func (m *RetryMetrics) BudgetExhausted(ctx context.Context, pool string) {
	m.budgetExhausted.Add(ctx, 1, labels("pool", pool))
}

// Ejected counts the ejection of an endpoint.
func (m *RetryMetrics) Ejected(ctx context.Context, pool string) {
	m.ejected.Add(ctx, 1, labels("pool", pool))
}

// Resumed counts a stream that was resumed after its connection or endpoint was lost.
func (m *RetryMetrics) Resumed(ctx context.Context, pool string) {
	m.resumed.Add(ctx, 1, labels("pool", pool))
}

// QuarantineMetrics counts endpoint deaths under requests, and the quarantine of requests that crash endpoints.
type QuarantineMetrics struct{ deaths, added, refused metric.Int64Counter }

// EndpointDied counts an endpoint that died while it executed a request.
func (m *QuarantineMetrics) EndpointDied(ctx context.Context, pool string) {
	m.deaths.Add(ctx, 1, labels("pool", pool))
}

// Added counts a fingerprint that was added to the quarantine; source is "own" or "peer".
func (m *QuarantineMetrics) Added(ctx context.Context, source string) {
	m.added.Add(ctx, 1, labels("source", source))
}

// Refused counts a request refused because its fingerprint is in quarantine.
func (m *QuarantineMetrics) Refused(ctx context.Context) { m.refused.Add(ctx, 1) }

// DrainMetrics records drains of the process or of endpoints.
type DrainMetrics struct {
	started, interrupted metric.Int64Counter
	duration             metric.Float64Histogram
}

// Started counts the start of a drain; target is "process" or "endpoint".
func (m *DrainMetrics) Started(ctx context.Context, target string) {
	m.started.Add(ctx, 1, labels("what", target))
}

// Ended records the duration of a drain in seconds and the number of requests that it interrupted. By guarantee G2 the number should
// be 0.
func (m *DrainMetrics) Ended(ctx context.Context, target string, seconds float64, interrupted int64) {
	m.duration.Record(ctx, seconds, labels("what", target))
	m.interrupted.Add(ctx, interrupted, labels("what", target))
}

// LeaseMetrics counts leases of duties and orders to endpoints and providers.
type LeaseMetrics struct {
	acquired, lost, orders metric.Int64Counter
	held                   metric.Int64UpDownCounter
}

// Acquired counts an acquired lease.
func (m *LeaseMetrics) Acquired(ctx context.Context, duty string) {
	m.acquired.Add(ctx, 1, labels("duty", duty))
	m.held.Add(ctx, 1, labels("duty", duty))
}

// Lost counts a lost or released lease.
func (m *LeaseMetrics) Lost(ctx context.Context, duty string) {
	m.lost.Add(ctx, 1, labels("duty", duty))
	m.held.Add(ctx, -1, labels("duty", duty))
}

// Order counts an order; kind is an apitypes.OrderKind and result an apitypes.IntentState.
func (m *LeaseMetrics) Order(ctx context.Context, kind, result string) {
	m.orders.Add(ctx, 1, labels("kind", kind, "result", result))
}

// ConfigMetrics describes the current configuration.
type ConfigMetrics struct {
	revision, badObjects metric.Int64Gauge
	age                  metric.Float64Gauge
	applied              metric.Int64Counter
}

// Applied counts an applied change and sets the current revision.
func (m *ConfigMetrics) Applied(ctx context.Context, revision uint64) {
	m.applied.Add(ctx, 1)
	m.revision.Record(ctx, int64(revision))
}

// SetAge sets the age of the configuration: the time in seconds since the platform was last known to have no newer revision.
func (m *ConfigMetrics) SetAge(ctx context.Context, seconds float64) { m.age.Record(ctx, seconds) }

// SetBadObjects sets the number of objects whose latest version can't be parsed.
func (m *ConfigMetrics) SetBadObjects(ctx context.Context, n int) { m.badObjects.Record(ctx, int64(n)) }

// RelayMetrics records the distribution of configuration through the relay tree.
type RelayMetrics struct {
	subscribers              *callbackGauge
	objectsSent, reconnected metric.Int64Counter
}

// ObserveSubscribers registers a function that returns the number of streams that this process serves, by the role of the subscriber.
func (m *RelayMetrics) ObserveSubscribers(read func() map[string]int) { m.subscribers.set(read) }

// ObjectsSent counts n objects sent to subscribers; stream is "config".
func (m *RelayMetrics) ObjectsSent(ctx context.Context, stream string, n int64) {
	m.objectsSent.Add(ctx, n, labels("stream", stream))
}

// Reconnected counts a lost stream, which is then opened again; stream is "config".
func (m *RelayMetrics) Reconnected(ctx context.Context, stream string) {
	m.reconnected.Add(ctx, 1, labels("stream", stream))
}

// ClaimMetrics records the claims of non-idempotent requests.
type ClaimMetrics struct {
	written, repeated, reconciled metric.Int64Counter
	unresolved                    metric.Int64Gauge
	groupSize                     metric.Int64Histogram
}

// Written counts a claim that reached a state; state is an apitypes.ClaimState.
func (m *ClaimMetrics) Written(ctx context.Context, team, state string) {
	m.written.Add(ctx, 1, labels("team", team, "state", state))
}

// Repeated counts a request with a repeated idempotency key; answer is "stored", "in_progress", "unknown" or "mismatch".
func (m *ClaimMetrics) Repeated(ctx context.Context, answer string) {
	m.repeated.Add(ctx, 1, labels("answer", answer))
}

// Reconciled counts a claim that was resolved after its gateway had ended; state is an apitypes.ClaimState.
func (m *ClaimMetrics) Reconciled(ctx context.Context, state string) {
	m.reconciled.Add(ctx, 1, labels("state", state))
}

// SetUnresolved sets the number of unresolved claims.
func (m *ClaimMetrics) SetUnresolved(ctx context.Context, n int) { m.unresolved.Record(ctx, int64(n)) }

// BatchWritten records the number of claims in one group commit to a shard.
func (m *ClaimMetrics) BatchWritten(ctx context.Context, claims int) {
	m.groupSize.Record(ctx, int64(claims))
}

// UsageMetrics counts the usage of teams, the copies of usage counters, and the sealed and reported usage windows.
type UsageMetrics struct {
	requests, promptTokens, outputTokens                               metric.Int64Counter
	acceptedCopies, refusedCopies                                      metric.Int64Counter
	sealedWindows, reportedWindows, missingIncarnations, failedReports metric.Int64Counter
}

// RequestFinished counts a finished request of a team with its tokens.
func (m *UsageMetrics) RequestFinished(ctx context.Context, team string, promptTokens, outputTokens int64) {
	m.requests.Add(ctx, 1, labels("team", team))
	m.promptTokens.Add(ctx, promptTokens, labels("team", team))
	m.outputTokens.Add(ctx, outputTokens, labels("team", team))
}

// Copied counts a copy of usage counters that was sent to a neighbour; accepted is false when the neighbour refused it.
func (m *UsageMetrics) Copied(ctx context.Context, accepted bool) {
	if accepted {
		m.acceptedCopies.Add(ctx, 1)
		return
	}
	m.refusedCopies.Add(ctx, 1)
}

// Sealed counts a sealed usage window and the incarnations that are missing from it.
func (m *UsageMetrics) Sealed(ctx context.Context, missing int) {
	m.sealedWindows.Add(ctx, 1)
	m.missingIncarnations.Add(ctx, int64(missing))
}

// Reported counts a report of a sealed usage window; accepted is false when the report failed.
func (m *UsageMetrics) Reported(ctx context.Context, accepted bool) {
	if accepted {
		m.reportedWindows.Add(ctx, 1)
		return
	}
	m.failedReports.Add(ctx, 1)
}

// labels returns a set of attributes from alternating names and values.
func labels(pairs ...string) metric.MeasurementOption {
	set := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		set = append(set, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributeSet(attribute.NewSet(set...))
}

// NewMetrics creates all instruments of a process on a meter.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	b := builder{meter: meter}
	m := &Metrics{
		Admission: AdmissionMetrics{b.counter("admission_admitted", "requests that left the queue"),
			b.counter("admission_refused", "requests refused before dispatch"),
			b.callbackGauge("admission_waiting", "requests in the queue", "class"),
			b.secondsHistogram("admission_wait", "time in the queue")},
		Balancer: BalancerMetrics{b.counter("choice_made", "dispatches to an endpoint"),
			b.counter("choice_none", "requests for which no endpoint could be chosen"),
			b.secondsHistogram("first_token", "time to the first token"),
			b.secondsHistogram("first_token_error", "difference between measured and predicted time to the first token"),
			b.callbackGauge("in_flight", "predicted number of requests at the endpoints of a pool, from all gateways", "pool")},
		Retry: RetryMetrics{b.counter("retry_made", "second and later attempts of requests"),
			b.counter("retry_budget_exhausted", "retries refused by the retry budget"),
			b.counter("endpoint_ejected", "ejections of endpoints"), b.counter("stream_resumed", "resumed streams")},
		Quarantine: QuarantineMetrics{b.counter("quarantine_deaths", "endpoints that died while they executed a request"),
			b.counter("quarantine_added", "fingerprints added to the quarantine"),
			b.counter("quarantine_refused", "requests refused because of the quarantine")},
		Drain: DrainMetrics{b.counter("drain_started", "started drains"), b.counter("drain_cut", "requests interrupted by drains"),
			b.secondsHistogram("drain_length", "duration of drains")},
		Lease: LeaseMetrics{b.counter("lease_taken", "acquired leases"), b.counter("lease_lost", "lost or released leases"),
			b.counter("order", "orders by result"), b.upDownCounter("lease_held", "held leases")},
		Config: ConfigMetrics{b.gauge("config_revision", "current revision of the configuration"),
			b.gauge("config_bad_objects", "configuration objects whose latest version can't be parsed"),
			b.secondsGauge("config_age", "time since the platform was last known to have no newer revision"),
			b.counter("config_applied", "applied changes of the configuration")},
		Relay: RelayMetrics{b.callbackGauge("relay_subscribers", "configuration streams that this process serves, by role", "role"),
			b.counter("relay_sent", "objects sent to subscribers"), b.counter("relay_reconnected", "lost streams, which are opened again")},
		Claim: ClaimMetrics{b.counter("claim_written", "claims by the state that they reached"),
			b.counter("claim_repeated", "repeated idempotency keys"), b.counter("claim_reconciled", "claims resolved after their gateway had ended"),
			b.gauge("claim_unresolved", "unresolved claims"), b.sizeHistogram("claim_group", "claims in one group commit to a shard")},
		Usage: UsageMetrics{b.counter("usage_requests", "finished requests"),
			b.counter("usage_prompt_tokens", "prompt tokens"), b.counter("usage_output_tokens", "output tokens"),
			b.counter("usage_copies", "copies of usage counters accepted by peers"),
			b.counter("usage_copies_refused", "copies of usage counters refused by peers"),
			b.counter("usage_windows_sealed", "sealed usage windows"), b.counter("usage_windows_reported", "reported usage windows"),
			b.counter("usage_missing", "incarnations missing from sealed usage windows"),
			b.counter("usage_reports_failed", "failed reports of usage windows")},
		Link: LinkMetrics{b.counter("link_bytes", "bytes of control traffic on connections, with framing"),
			b.counter("message_bytes", "bytes of gRPC messages between gateways and controllers")},
		Ports: PortMetrics{b.counter("port_refused", "connections and bodies refused at the limits of a port, by port and cause")},
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
