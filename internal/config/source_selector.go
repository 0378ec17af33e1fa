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
	// selectionPeriod is the period at which a controller checks whether it should watch the platform.
	selectionPeriod = time.Second
	// noParentTimeout is how long a controller receives no message from any parent before it watches the platform itself.
	noParentTimeout = 8 * time.Second
)

// SourceSelector keeps a controller's configuration up to date: from the platform if the controller is one of its failure domain's
// watchers or reaches no parent, and otherwise from a parent, which is a watching controller. Only one of the two runs at a time.
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

// Watching reports whether the controller has a running watch of the platform.
func (s *SourceSelector) Watching() bool { return s.watching.Load() && s.source.Watching() }

// Run keeps the configuration up to date until ctx ends. A controller that watches only because it reached no parent tries its parents
// again after a minute.
func (s *SourceSelector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.isWatcher() {
			s.watching.Store(true)
			s.runUntil(ctx, s.source.Run, func() bool { return !s.isWatcher() })
			s.watching.Store(false)
			continue
		}
		noParent := s.runUntil(ctx, s.subscriber.Run, func() bool { return s.isWatcher() || s.hasNoParent() })
		if noParent && !s.isWatcher() {
			s.watching.Store(true)
			s.runUntil(ctx, s.source.Run, stopAfter(time.Minute))
			s.watching.Store(false)
		}
	}
	return ctx.Err()
}

// isWatcher reports whether this VM's controller is one of its failure domain's watchers.
func (s *SourceSelector) isWatcher() bool {
	return slices.Contains(membership.Watchers(s.vms()), s.self)
}

func (s *SourceSelector) hasNoParent() bool { return s.subscriber.SinceLastMessage() > noParentTimeout }

// stopAfter returns a stop function for runUntil that returns true once d has passed.
func stopAfter(d time.Duration) func() bool {
	end := time.Now().Add(d)
	return func() bool { return time.Now().After(end) }
}

// runUntil runs run until stop returns true, and then returns true. It returns false if ctx ends first.
func (s *SourceSelector) runUntil(ctx context.Context, run func(context.Context) error, stop func() bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	for ctxtime.Sleep(ctx, selectionPeriod) {
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
