package vmlink

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/continuation"
	"crocusglade.example/crocusglade/internal/discovery"
	"crocusglade.example/crocusglade/internal/metering"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/quota"
	"crocusglade.example/crocusglade/internal/retry"
)

func newTestLink(revision uint64) *Link {
	holder := &catalog.Holder{}
	holder.Apply(&catalog.Catalog{Revision: revision}, bootclock.Now().Add(-time.Minute))
	clock := NewMedianClock()
	return New(Config{VM: "vm1", Incarnation: "inc1", LinkAddress: "127.0.0.8:1", Catalog: holder, Fleet: placement.New("z", placement.DefaultWeights),
		Meter: metering.NewMeter(time.Second, clock.Now), Ledger: metering.NewLedger(), Quarantine: retry.NewQuarantine(time.Minute),
		Parts:       retry.NewPartQuarantine(bootclock.NowAsTime),
		Watches:     func() map[string]WatchStatus { return nil },
		Entries:     &discovery.Registry{Changed: func([]catalog.Endpoint) {}},
		Streams:     continuation.NewTracker(),
		Quota:       quota.New(quota.Config{Now: func() time.Duration { return time.Duration(bootclock.Now()) }}),
		MedianClock: clock, FetchCatalog: func(context.Context, string) error { return nil }, Log: zerolog.Nop()})
}

func confirmedAgo(l *Link) time.Duration {
	at, _ := l.Catalog.ConfirmedAt()
	return bootclock.Since(at)
}

// Guards guarantee G4 (withdrawn keys are refused in time) against delayed datagrams: the age of another VM's confirmation counts from
// the echo of this VM's own clock, and a datagram without an echo confirms nothing.
func TestConfirmationAgeCountsFromEcho(t *testing.T) {
	for name, c := range map[string]struct {
		echo      map[string]int64
		revision  uint64
		confirmed int64
		recent    bool
	}{
		"recent":             {map[string]int64{"inc1": int64(bootclock.Now())}, 5, 100, true},
		"delayed for 10 s":   {map[string]int64{"inc1": int64(bootclock.Now().Add(-10 * time.Second))}, 5, 100, false},
		"no echo":            {nil, 5, 0, false},
		"other incarnation":  {map[string]int64{"inc0": int64(bootclock.Now())}, 5, 100, false},
		"older revision":     {map[string]int64{"inc1": int64(bootclock.Now())}, 4, 100, false},
		"newer revision":     {map[string]int64{"inc1": int64(bootclock.Now())}, 6, 100, false},
		"nothing confirmed":  {map[string]int64{"inc1": int64(bootclock.Now())}, 5, -1, false},
		"confirmed long ago": {map[string]int64{"inc1": int64(bootclock.Now())}, 5, 9000, false},
	} {
		l := newTestLink(5)
		l.handleConfirmation(t.Context(), &StatusMessage{Revision: c.revision, ConfirmedMS: c.confirmed, Echo: c.echo})
		if recent := confirmedAgo(l) < 5*time.Second; recent != c.recent {
			t.Errorf("%s: confirmed %v ago", name, confirmedAgo(l))
		}
	}
}

// Guards usage windows against wall clocks that jump: a VM that started during a jump, one of four, doesn't shift the estimated time.
func TestMedianClockIgnoresClockJump(t *testing.T) {
	own := NewMedianClock()
	for vm, off := range map[string]time.Duration{"vm2": 2400 * time.Millisecond, "vm3": 10 * time.Millisecond, "vm4": -20 * time.Millisecond} {
		own.RecordPeerEstimate(vm, own.LocalEstimate().Add(off))
	}
	if off := own.Now().Sub(own.LocalEstimate()).Abs(); off > 50*time.Millisecond {
		t.Errorf("estimate is off by %v", off)
	}
	jumped := NewMedianClock()
	jumped.startWall = jumped.startWall.Add(2400 * time.Millisecond)
	for _, vm := range []string{"vm2", "vm3", "vm4"} {
		jumped.RecordPeerEstimate(vm, own.LocalEstimate())
	}
	if off := jumped.Now().Sub(own.LocalEstimate()).Abs(); off > 50*time.Millisecond {
		t.Errorf("estimate of the VM that started during the jump is off by %v", off)
	}
}

// Guards against damaged datagrams, and against an older datagram that arrives after a newer one.
func TestDatagramsOutOfOrder(t *testing.T) {
	l := newTestLink(5)
	l.receive(t.Context(), []byte{0xff, 0x00}, testAddr{})
	encode := func(n StatusMessage) []byte {
		data, err := cbor.Marshal(&n)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	l.receive(t.Context(), encode(StatusMessage{VM: "vm2", Incarnation: "x", Link: "127.0.0.9:1", SentAt: 20, Serving: true}), testAddr{})
	l.receive(t.Context(), encode(StatusMessage{VM: "vm2", Incarnation: "x", Link: "127.0.0.9:1", SentAt: 10}), testAddr{})
	if live := l.LivePeers(); len(live) != 1 || !live[0].Serving {
		t.Errorf("live VMs: %+v", live)
	}
	l.receive(t.Context(), encode(StatusMessage{VM: "vm2", Incarnation: "y", Link: "127.0.0.9:1", SentAt: 1}), testAddr{})
	if live := l.LivePeers(); live[0].Serving {
		t.Error("the first datagram of a restarted VM was ignored")
	}
}

type testAddr struct{}

func (testAddr) Network() string { return "udp" }
func (testAddr) String() string  { return "test" }

// Guards against an engine that accepts no connection from two VMs and is still chosen by a third, which was not notified.
func TestUnreachableEndpointsAreShared(t *testing.T) {
	receiver := newTestLink(1)
	addEndpoints := func(l *Link) {
		l.Fleet.SetServices(map[string]catalog.Service{"app": {Name: "app"}})
		l.Fleet.SetEndpoints([]catalog.Endpoint{{ID: "a", Service: "app"}, {ID: "b", Service: "app"}})
	}
	addEndpoints(receiver)
	for _, vm := range []string{"vm2", "vm3"} {
		sender := newTestLink(1)
		sender.VM, sender.Incarnation, sender.LinkAddress = vm, vm, vm+":1"
		addEndpoints(sender)
		sender.Fleet.ReportUnreachable("a")
		msg, _, _ := sender.buildMessage()
		msg.Link = map[string]string{"vm2": "127.0.0.9:1", "vm3": "127.0.0.10:1"}[vm]
		data, ok := sender.encodeMessage(msg)
		if !ok {
			t.Fatal("encoding the message failed")
		}
		receiver.receive(t.Context(), data, nil)
	}
	for range 10 {
		dispatch := receiver.Fleet.PlaceCall("app", placement.Filter{})
		if dispatch.Endpoint.ID != "b" {
			t.Errorf("chose %s", dispatch.Endpoint.ID)
		}
	}
}
