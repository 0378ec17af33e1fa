package discovery

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
)

// busySource has a change every changeInterval. Each poll returns the changes since the revision, and waits for the first one.
type busySource struct {
	start time.Time
	calls int
}

func (s *busySource) PollTimes() (wait, slack time.Duration) { return storePollWait, storePollSlack }

const changeInterval = 5 * time.Millisecond

func (s *busySource) List(context.Context, string) ([]apitypes.Object, uint64, bootclock.Instant, error) {
	return nil, uint64(time.Since(s.start) / changeInterval), bootclock.Now(), nil
}

func (s *busySource) Poll(_ context.Context, _ string, after uint64, _ time.Duration) ([]apitypes.Event, uint64, bootclock.Instant, error) {
	s.calls++
	time.Sleep(time.Until(s.start.Add(time.Duration(after+1) * changeInterval)))
	now := uint64(time.Since(s.start) / changeInterval)
	var events []apitypes.Event
	for r := after + 1; r <= now; r++ {
		events = append(events, apitypes.Event{Revision: r, Type: apitypes.EventPut, Object: object("a", "ready")})
	}
	return events, now, bootclock.Now(), nil
}

// Guards the store against one call per change while many endpoints come and go, which made most of the calls of 33 VMs. All changes
// must still arrive in order, and the first of a group without delay.
func TestChangesInQuickSuccessionShareCalls(t *testing.T) {
	source := &busySource{start: time.Now()}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var firstAfter time.Duration
	next := uint64(0)
	w := &Watcher{Source: func() Source { return source }, Log: zerolog.Nop(),
		OnList: func(_ []apitypes.Object, revision uint64, _ bootclock.Instant, _ time.Duration) { next = revision + 1 },
		OnEvents: func(events []apitypes.Event, _ uint64, _ bootclock.Instant) {
			for _, ev := range events {
				if ev.Revision != next {
					t.Errorf("got revision %d, want %d", ev.Revision, next)
				}
				next = ev.Revision + 1
			}
			if firstAfter == 0 {
				firstAfter = time.Since(source.start)
			}
		}}
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if maxCalls := int(time.Second/batchDelay) + 2; source.calls > maxCalls {
		t.Errorf("%d calls in a second, want at most %d", source.calls, maxCalls)
	}
	if firstAfter > batchDelay {
		t.Errorf("the first change arrived after %v", firstAfter)
	}
}
