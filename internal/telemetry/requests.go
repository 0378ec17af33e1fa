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
	duration    metric.Float64Histogram
	firstAnswer metric.Float64Histogram
}

// ObserveDroppedLines registers a function that returns the number of log lines dropped so far.
func (t *Telemetry) ObserveDroppedLines(read func() int64) error {
	return t.observeCounter("log_lines_dropped", "Log lines dropped because standard output was too slow.", read)
}

// ObserveExchange registers functions that return what was lost in the exchange between VMs so far: prompt reads that were left out of
// status messages, and usage windows that were reported without the final counts of some VM.
func (t *Telemetry) ObserveExchange(omittedReads, incompleteWindows func() int64) error {
	if err := t.observeCounter("vm_prompt_reads_omitted", "Prompt reads left out of status messages that were too large.", omittedReads); err != nil {
		return err
	}
	return t.observeCounter("usage_windows_incomplete", "Usage windows reported without the final counts of some VM.", incompleteWindows)
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

// Retried counts a retry. The reason is not used as a label.
func (m *RequestMetrics) Retried(service, _ string) {
	m.retried.Add(context.Background(), 1, labels("service", service))
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
