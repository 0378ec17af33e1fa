package telemetry

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"
)

// secondsBucketBounds are the bucket bounds of durations in seconds. 0.34 s is the target for the time to the first token.
var secondsBucketBounds = []float64{0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.34, 0.5, 1, 2.5, 5, 15, 60, 300, 900}

// sizeBucketBounds are the bucket bounds of batch sizes.
var sizeBucketBounds = []float64{1, 2, 4, 8, 16, 32, 64, 128}

// builder creates instruments and records the first error.
type builder struct {
	meter metric.Meter
	err   error
}

// recordError records err unless an earlier error is recorded, and returns the instrument.
func recordError[T any](b *builder, instrument T, err error) T {
	if b.err == nil {
		b.err = err
	}
	return instrument
}

func (b *builder) counter(name, help string) metric.Int64Counter {
	instrument, err := b.meter.Int64Counter(name, metric.WithDescription(help))
	return recordError(b, instrument, err)
}

func (b *builder) upDownCounter(name, help string) metric.Int64UpDownCounter {
	instrument, err := b.meter.Int64UpDownCounter(name, metric.WithDescription(help))
	return recordError(b, instrument, err)
}

func (b *builder) gauge(name, help string) metric.Int64Gauge {
	instrument, err := b.meter.Int64Gauge(name, metric.WithDescription(help))
	return recordError(b, instrument, err)
}

// callbackGauge is a gauge whose values are read when metrics are collected, so that it adds no work to the request path.
type callbackGauge struct {
	callback atomic.Pointer[func() map[string]int]
}

// set sets the function that returns the gauge's values by label value. It may be called while requests are served.
func (g *callbackGauge) set(read func() map[string]int) { g.callback.Store(&read) }

func (b *builder) callbackGauge(name, help, label string) *callbackGauge {
	g := &callbackGauge{}
	_, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(help), metric.WithInt64Callback(
		func(_ context.Context, observer metric.Int64Observer) error {
			if read := g.callback.Load(); read != nil {
				for value, n := range (*read)() {
					observer.Observe(int64(n), labels(label, value))
				}
			}
			return nil
		}))
	return recordError(b, g, err)
}

func (b *builder) secondsGauge(name, help string) metric.Float64Gauge {
	instrument, err := b.meter.Float64Gauge(name, metric.WithDescription(help), metric.WithUnit("s"))
	return recordError(b, instrument, err)
}

func (b *builder) secondsHistogram(name, help string) metric.Float64Histogram {
	instrument, err := b.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(secondsBucketBounds...))
	return recordError(b, instrument, err)
}

func (b *builder) sizeHistogram(name, help string) metric.Int64Histogram {
	instrument, err := b.meter.Int64Histogram(name, metric.WithDescription(help), metric.WithExplicitBucketBoundaries(sizeBucketBounds...))
	return recordError(b, instrument, err)
}
