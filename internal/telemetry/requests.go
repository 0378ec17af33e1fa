package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// RequestMetrics counts the requests of a node and records their durations.
type RequestMetrics struct {
	finished    metric.Int64Counter
	retried     metric.Int64Counter
	partRefused metric.Int64Counter
	partBlocked metric.Int64Counter
	notices     metric.Int64Counter
	takenUp     metric.Int64Counter
	waited      metric.Int64Counter
	quotaCost   metric.Int64Counter
	duration    metric.Float64Histogram
	firstAnswer metric.Float64Histogram
}

// ObserveDroppedLines registers a function that returns the number of log lines dropped so far.
func (t *Telemetry) ObserveDroppedLines(read func() int64) error {
	return t.observeCounter("log_lines_dropped", "Log lines dropped because standard output was too slow.", read)
}

// ObserveDiscovery registers a function that returns how many versions of entries named no usable endpoint so far.
func (t *Telemetry) ObserveDiscovery(unusableEntries func() int64) error {
	return t.observeCounter("endpoint_entries_unusable", "Versions of store entries that name no usable endpoint.", unusableEntries)
}

// ObserveExchange registers functions that return what was lost in the exchange between VMs so far: prompt reads that were left out of
// status messages, usage windows that were reported without the final counts of some VM, and those that were left out.
func (t *Telemetry) ObserveExchange(omittedReads, incompleteWindows, omittedWindows func() int64) error {
	if err := t.observeCounter("vm_prompt_reads_omitted", "Prompt reads left out of status messages that were too large.", omittedReads); err != nil {
		return err
	}
	if err := t.observeCounter("usage_windows_incomplete", "Usage windows reported without the final counts of some VM.", incompleteWindows); err != nil {
		return err
	}
	return t.observeCounter("usage_windows_omitted", "Usage windows left out, because they may have been reported before the store came back from a copy.", omittedWindows)
}

func (t *Telemetry) observeCounter(name, description string, read func() int64) error {
	_, err := t.meter.Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// NewRequestMetrics creates the instruments for the requests of a node.
func (t *Telemetry) NewRequestMetrics() (*RequestMetrics, error) {
	b := &builder{meter: t.meter}
	m := &RequestMetrics{
		finished:    b.counter("requests", "Finished requests, by route and outcome."),
		retried:     b.counter("request_retries", "Retries on another endpoint, by service."),
		partRefused: b.counter("prompt_part_refused", "Requests refused because a part of their prompt crashes engines, by service."),
		partBlocked: b.counter("prompt_part_changes", "Prompt parts that were blocked or released, by change."),
		notices:     b.counter("endpoint_notices", "What endpoints said about themselves in responses, by kind: leaving, pause, invalid_pause."),
		takenUp:     b.counter("streams_taken_up", "Streams that callers took up again, by service (empty if the route has several) and by how the software version that began them was known: own, sole_version, other_vm, none."),
		waited:      b.counter("endpoint_pause_waits", "Requests that no endpoint could take because of pauses, by service and by what became of them: waited or refused."),
		quotaCost:   b.counter("quota_cost", "Cost of requests of teams with a quota, by outcome: granted, refused, given_back."),
		duration:    b.secondsHistogram("request_duration", "Time from the arrival of a request to its end."),
		firstAnswer: b.secondsHistogram("request_first_answer", "Time from the arrival of a request to the first part of its response."),
	}
	return m, b.err
}

// Finished counts a finished request and records the time to its end and to the first part of its response. firstAnswer is 0 when there
// was no response.
func (m *RequestMetrics) Finished(route, outcome string, duration, firstAnswer time.Duration) {
	ctx := context.Background()
	m.finished.Add(ctx, 1, labels("route", route, "outcome", outcome))
	m.duration.Record(ctx, duration.Seconds(), labels("route", route))
	if firstAnswer > 0 {
		m.firstAnswer.Record(ctx, firstAnswer.Seconds(), labels("route", route))
	}
}

// QuotaCost counts the cost of a request of a team with a quota.
func (m *RequestMetrics) QuotaCost(outcome string, cost int64) {
	m.quotaCost.Add(context.Background(), cost, labels("outcome", outcome))
}

// Retried counts a retry. The reason is not used as a label.
func (m *RequestMetrics) Retried(service, _ string) {
	m.retried.Add(context.Background(), 1, labels("service", service))
}

// StreamTakenUp counts a stream that a caller takes up again.
func (m *RequestMetrics) StreamTakenUp(service, source string) {
	m.takenUp.Add(context.Background(), 1, labels("service", service, "source", source))
}

// PartRefused counts a request that was refused because a part of its prompt crashes engines.
func (m *RequestMetrics) PartRefused(service string) {
	m.partRefused.Add(context.Background(), 1, labels("service", service))
}

// PartChanged counts a prompt part that became blocked or is no longer blocked.
func (m *RequestMetrics) PartChanged(blocked bool) {
	change := "released"
	if blocked {
		change = "blocked"
	}
	m.partBlocked.Add(context.Background(), 1, labels("change", change))
}

// EndpointNotice counts what an endpoint said about itself.
func (m *RequestMetrics) EndpointNotice(kind string) {
	m.notices.Add(context.Background(), 1, labels("kind", kind))
}

// Paused counts a request that no endpoint could take because of pauses: it waited for the end of one, or was refused.
func (m *RequestMetrics) Paused(service string, waited bool) {
	result := "refused"
	if waited {
		result = "waited"
	}
	m.waited.Add(context.Background(), 1, labels("service", service, "result", result))
}
