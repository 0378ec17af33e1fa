package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// RequestMetrics counts the requests of a node and their times.
type RequestMetrics struct {
	finished metric.Int64Counter
	retried  metric.Int64Counter
	total    metric.Float64Histogram
	first    metric.Float64Histogram
}

// ObserveDroppedLines registers the function that returns the number of log lines dropped so far.
func (t *Telemetry) ObserveDroppedLines(read func() int64) error {
	_, err := t.meter.Int64ObservableCounter("log_lines_dropped", metric.WithDescription("Log lines dropped because standard output was slow."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// NewRequestMetrics returns the instruments of a node's requests.
func (t *Telemetry) NewRequestMetrics() (*RequestMetrics, error) {
	b := &builder{meter: t.meter}
	m := &RequestMetrics{
		finished: b.counter("requests", "Requests finished, by route and outcome."),
		retried:  b.counter("request_retries", "Requests sent to a further endpoint, by service."),
		total:    b.seconds("request_duration", "Time from a request's arrival to its end."),
		first:    b.seconds("request_first_answer", "Time from a request's arrival to the first part of its answer."),
	}
	return m, b.err
}

// Finished counts a request. first is 0 when there was no answer.
func (m *RequestMetrics) Finished(route, outcome string, total, first time.Duration) {
	ctx := context.Background()
	m.finished.Add(ctx, 1, labels("route", route, "outcome", outcome))
	m.total.Record(ctx, total.Seconds(), labels("route", route))
	if first > 0 {
		m.first.Record(ctx, first.Seconds(), labels("route", route))
	}
}

// Retried counts a retry.
func (m *RequestMetrics) Retried(service, _ string) {
	m.retried.Add(context.Background(), 1, labels("service", service))
}
