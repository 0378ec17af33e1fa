package config

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/membership"
)

const (
	// supplyPeriod is the period at which a controller checks whether it should watch.
	supplyPeriod = time.Second
	// orphanAfter is how long a controller without any parent waits before it watches the platform itself.
	orphanAfter = 8 * time.Second
)

// SourceSelector keeps a controller's holder current: from the platform when the controller is one of its failure domain's watchers or
// reaches none of them, and otherwise from a watcher. Only one of the two runs at a time.
type SourceSelector struct {
	self       string
	vms        func() []apitypes.VM
	source     *PlatformSource
	subscriber *Subscriber
	watching   atomic.Bool
}

// NewSourceSelector returns the source selector of the controller on VM self. vms returns the list of VMs.
func NewSourceSelector(self string, vms func() []apitypes.VM, source *PlatformSource, subscriber *Subscriber) *SourceSelector {
	return &SourceSelector{self: self, vms: vms, source: source, subscriber: subscriber}
}

// Watching tells whether the controller watches the platform with success.
func (s *SourceSelector) Watching() bool { return s.watching.Load() && s.source.Watching() }

// Run supplies the holder until ctx ends.
func (s *SourceSelector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.chosen() {
			s.watching.Store(true)
			s.runUntil(ctx, s.source.Run, func() bool { return !s.chosen() })
			s.watching.Store(false)
			continue
		}
		orphaned := s.runUntil(ctx, s.subscriber.Run, func() bool { return s.chosen() || s.orphaned() })
		if orphaned && !s.chosen() {
			s.watching.Store(true)
			s.runUntil(ctx, s.source.Run, after(time.Minute))
			s.watching.Store(false)
		}
	}
	return ctx.Err()
}

func (s *SourceSelector) chosen() bool { return slices.Contains(membership.Watchers(s.vms()), s.self) }

func (s *SourceSelector) orphaned() bool { return s.subscriber.SinceLastMessage() > orphanAfter }

func after(d time.Duration) func() bool {
	end := time.Now().Add(d)
	return func() bool { return time.Now().After(end) }
}

// runUntil runs one supplier until stop says so, and returns true, or until ctx ends, and returns false.
func (s *SourceSelector) runUntil(ctx context.Context, run func(context.Context) error, stop func() bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	for ctxtime.Sleep(ctx, supplyPeriod) {
		if stop() {
			cancel()
			<-done
			return true
		}
	}
	cancel()
	<-done
	return false
}
