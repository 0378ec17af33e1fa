package discovery

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
)

// busySource has a change every 5 ms. Each call returns those since the revision, and waits for the first.
type busySource struct {
	start time.Time
	calls int
}

const changeEvery = 5 * time.Millisecond

func (s *busySource) List(context.Context, string) ([]apitypes.Object, uint64, bootclock.Instant, error) {
	return nil, uint64(time.Since(s.start) / changeEvery), bootclock.Now(), nil
}

func (s *busySource) Poll(_ context.Context, _ string, after uint64, _ time.Duration) ([]apitypes.Event, uint64, bootclock.Instant, error) {
	s.calls++
	time.Sleep(time.Until(s.start.Add(time.Duration(after+1) * changeEvery)))
	now := uint64(time.Since(s.start) / changeEvery)
	var events []apitypes.Event
	for r := after + 1; r <= now; r++ {
		events = append(events, apitypes.Event{Revision: r, Type: apitypes.EventPut, Object: object("a", "ready")})
	}
	return events, now, bootclock.Now(), nil
}

// Guards the store's rate while many endpoints come and go: a call for each change made most of the calls of 33 VMs. All changes
// must still arrive, in order, and the first of a group at once.
func TestChangesInQuickSuccessionShareCalls(t *testing.T) {
	source := &busySource{start: time.Now()}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var first time.Duration
	next := uint64(0)
	f := &Watcher{Source: func() Source { return source }, Log: zerolog.Nop(),
		OnList: func(_ []apitypes.Object, revision uint64, _ bootclock.Instant, _ time.Duration) { next = revision + 1 },
		OnEvents: func(events []apitypes.Event, _ uint64, _ bootclock.Instant) {
			for _, ev := range events {
				if ev.Revision != next {
					t.Errorf("revision %d came, want %d", ev.Revision, next)
				}
				next = ev.Revision + 1
			}
			if first == 0 {
				first = time.Since(source.start)
			}
		}}
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if most := int(time.Second/batchTime) + 2; source.calls > most {
		t.Errorf("%d calls in a second, want at most %d", source.calls, most)
	}
	if first > batchTime {
		t.Errorf("the first change came after %v", first)
	}
}
