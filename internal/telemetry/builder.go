package telemetry

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"
)

// secondsBounds are the bucket bounds of times in seconds: finer around the 0.34 s target for the first token.
var secondsBounds = []float64{0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.34, 0.5, 1, 2.5, 5, 15, 60, 300, 900}

// sizeBounds are the bucket bounds of group sizes.
var sizeBounds = []float64{1, 2, 4, 8, 16, 32, 64, 128}

// builder creates instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func made[T any](b *builder, instrument T, err error) T {
	if b.err == nil {
		b.err = err
	}
	return instrument
}

func (b *builder) counter(name, help string) metric.Int64Counter {
	i, err := b.meter.Int64Counter(name, metric.WithDescription(help))
	return made(b, i, err)
}

func (b *builder) level(name, help string) metric.Int64UpDownCounter {
	i, err := b.meter.Int64UpDownCounter(name, metric.WithDescription(help))
	return made(b, i, err)
}

func (b *builder) gauge(name, help string) metric.Int64Gauge {
	i, err := b.meter.Int64Gauge(name, metric.WithDescription(help))
	return made(b, i, err)
}

// observed is a gauge whose values are read when metrics are collected, so that keeping them costs the request path nothing.
type observed struct {
	read atomic.Pointer[func() map[string]int]
}

// set registers the function that returns the values by label. It may be called concurrently with requests.
func (o *observed) set(read func() map[string]int) { o.read.Store(&read) }

func (b *builder) observed(name, help, label string) *observed {
	o := &observed{}
	_, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(help), metric.WithInt64Callback(
		func(_ context.Context, observer metric.Int64Observer) error {
			if read := o.read.Load(); read != nil {
				for value, n := range (*read)() {
					observer.Observe(int64(n), labels(label, value))
				}
			}
			return nil
		}))
	return made(b, o, err)
}

func (b *builder) secondsGauge(name, help string) metric.Float64Gauge {
	i, err := b.meter.Float64Gauge(name, metric.WithDescription(help), metric.WithUnit("s"))
	return made(b, i, err)
}

func (b *builder) seconds(name, help string) metric.Float64Histogram {
	i, err := b.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(secondsBounds...))
	return made(b, i, err)
}

func (b *builder) sizes(name, help string) metric.Int64Histogram {
	i, err := b.meter.Int64Histogram(name, metric.WithDescription(help), metric.WithExplicitBucketBoundaries(sizeBounds...))
	return made(b, i, err)
}
