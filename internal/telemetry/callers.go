package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// CallerLoad is what callers take of a process at a moment.
type CallerLoad struct {
	Conns int64
	// Bytes holds the bytes held for requests by kind, Refusals the refusals since the start by cause.
	Bytes, Refusals map[string]int64
}

// ObserveCallers registers a function that returns the load of callers. It is called when metrics are collected.
func (t *Telemetry) ObserveCallers(read func() CallerLoad) error {
	b := &builder{meter: t.meter}
	conns, err := t.meter.Int64ObservableGauge("caller_connections", metric.WithDescription("Connections of callers."))
	conns = recordError(b, conns, err)
	held, err := t.meter.Int64ObservableGauge("caller_memory", metric.WithDescription("Memory held for requests of callers, by kind: header or body."), metric.WithUnit("By"))
	held = recordError(b, held, err)
	refusals, err := t.meter.Int64ObservableCounter("caller_refusals", metric.WithDescription("Requests and connections refused because of the limits of the process, by cause."))
	refusals = recordError(b, refusals, err)
	if b.err != nil {
		return b.err
	}
	_, err = t.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		load := read()
		o.ObserveInt64(conns, load.Conns)
		for kind, n := range load.Bytes {
			o.ObserveInt64(held, n, labels("kind", kind))
		}
		for cause, n := range load.Refusals {
			o.ObserveInt64(refusals, n, labels("cause", cause))
		}
		return nil
	}, conns, held, refusals)
	return err
}
