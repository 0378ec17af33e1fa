package config

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"pgregory.net/rapid"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/memnet"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// testRelay is a relay on an in-memory listener. While it is frozen, it accepts subscriptions and sends nothing.
type testRelay struct {
	peerpb.UnimplementedConfigServer
	snapshots   *SnapshotStore
	freshness   Freshness
	relay       *Relay
	frozen      bool
	calls       int
	streamsLost int
	listener    *memnet.Listener
}

func (n *testRelay) Subscribe(r *peerpb.ConfigRequest, s grpc.ServerStreamingServer[peerpb.ConfigUpdate]) error {
	n.calls++
	if n.frozen {
		<-s.Context().Done()
		return nil
	}
	return n.relay.Subscribe(r, s)
}

// startTestRelay serves a relay of an empty snapshot store until the end of the test.
func startTestRelay(t *testing.T) *testRelay {
	n := &testRelay{snapshots: NewSnapshotStore(), listener: memnet.Listen()}
	n.relay = NewRelay(n.snapshots, &n.freshness)
	server := grpc.NewServer()
	peerpb.RegisterConfigServer(server, n)
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(n.listener) }()
	t.Cleanup(func() { server.Stop(); <-done })
	return n
}

// subscribe runs a subscriber whose parents are the given relays, in order.
func subscribe(t *testing.T, snapshots *SnapshotStore, relays ...*testRelay) (*Subscriber, *Freshness) {
	var vms []apitypes.VM
	byName := map[string]*testRelay{}
	for i, n := range relays {
		name := fmt.Sprintf("vm-%d", i)
		vms = append(vms, apitypes.VM{Name: name})
		byName[name] = n
	}
	freshness := &Freshness{}
	s := NewSubscriber("self", "gateway", snapshots, freshness, func() []apitypes.VM { return vms }, func(vm apitypes.VM) (grpc.ClientConnInterface, func(), error) {
		conn, err := grpc.NewClient("passthrough:///"+vm.Name, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				return byName[vm.Name].listener.Dial(ctx)
			}))
		return conn, func() { conn.Close() }, err
	})
	s.OnStreamLost(func() { relays[0].streamsLost++ })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return s, freshness
}

// teamEvent returns an event that puts a team with a version and weight.
func teamEvent(name string, version uint64, weight float64) apitypes.Event {
	data, _ := json.Marshal(apitypes.Team{Name: name, Weight: weight})
	return apitypes.Event{Revision: version, Type: apitypes.EventPut,
		Object: apitypes.Object{Kind: apitypes.KindTeam, Name: name, Version: version, Data: data}}
}

// Guards against changes that don't reach a subscriber, and a subscriber that stays with a relay that sends nothing.
func TestSubscriberLeavesFrozenRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := startTestRelay(t), startTestRelay(t)
		for _, n := range []*testRelay{a, b} {
			n.snapshots.ApplyEvents([]apitypes.Event{teamEvent("x", 5, 1)})
			n.freshness.Confirm(0)
		}
		a.frozen = true
		snapshots := NewSnapshotStore()
		s, f := subscribe(t, snapshots, a, b)
		time.Sleep(5 * time.Second)
		if snapshots.Current().Team("x") == nil || s.Parent() != "vm-1" || !s.Synced() {
			t.Fatalf("parent %q, revision %d", s.Parent(), snapshots.Current().Revision())
		}
		b.snapshots.ApplyEvents([]apitypes.Event{teamEvent("x", 6, 2)})
		synctest.Wait()
		if snapshots.Current().Team("x").Weight != 2 {
			t.Fatal("a change did not arrive")
		}
		// A relayed age is too low by at most one message period.
		if d := b.freshness.AgeMS() - f.AgeMS(); d < -1 || d > 1000 {
			t.Fatalf("ages differ by %d ms", d)
		}
	})
}

// Guards against a stale relay that reverts a change, and a subscriber that stays with a stale relay while another is up to date.
func TestSubscriberMovesFromStaleParentAndNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale, good := startTestRelay(t), startTestRelay(t)
		stale.snapshots.ApplyEvents([]apitypes.Event{teamEvent("x", 5, 1)})
		stale.freshness.Confirm(60_000)
		good.snapshots.ApplyEvents([]apitypes.Event{teamEvent("x", 9, 2)})
		snapshots := NewSnapshotStore()
		snapshots.ApplyEvents([]apitypes.Event{teamEvent("x", 7, 1.5)})
		s, _ := subscribe(t, snapshots, stale, good)
		time.Sleep(5 * time.Second)
		if w := snapshots.Current().Team("x").Weight; w != 1.5 || s.Synced() {
			t.Fatalf("weight %v, synced %v with a stale parent", w, s.Synced())
		}
		for range 20 {
			good.freshness.Confirm(0)
			time.Sleep(time.Second)
		}
		if snapshots.Current().Team("x").Weight != 2 || s.Parent() != "vm-1" || !s.Synced() {
			t.Fatalf("parent %q, synced %v", s.Parent(), s.Synced())
		}
		synctest.Wait()
		if now := good.relay.StreamsByRole()["gateway"]; now != 1 || stale.relay.StreamsByRole()["gateway"] != 0 || stale.streamsLost != 1 {
			t.Errorf("%d streams at the good relay, %d at the stale one, %d lost", now, stale.relay.StreamsByRole()["gateway"], stale.streamsLost)
		}
	})
}

// Guards against a subscriber that never receives a change it missed because it already has the relay's revision.
func TestDigestFindsMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startTestRelay(t)
		n.snapshots.ApplyEvents([]apitypes.Event{teamEvent("lost", 3, 1), teamEvent("x", 4, 1)})
		snapshots := NewSnapshotStore()
		snapshots.ApplyEvents([]apitypes.Event{teamEvent("x", 4, 1)})
		subscribe(t, snapshots, n)
		time.Sleep(2 * time.Second)
		if snapshots.Current().Team("lost") == nil {
			t.Fatal("the missed change was not applied")
		}
	})
}

// Guards against a relay that sends deltas although its history does not reach back to the subscriber's revision, or that sends full
// snapshots without need.
func TestRelaySendsFullOnlyWhenNeeded(t *testing.T) {
	snapshots := NewSnapshotStore()
	r := NewRelay(snapshots, &Freshness{})
	if err := snapshots.ReplaceObjects([]apitypes.Object{teamEvent("x", 12, 1).Object}, 10); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(maxHistoryChanges + 10) {
		snapshots.ApplyEvents([]apitypes.Event{teamEvent("x", 20+i, 1)})
	}
	last := snapshots.Current().Revision()
	for from, full := range map[uint64]bool{0: true, 10: true, 20: true, 29: false, last - 1: false, last: false} {
		if u, _ := r.nextUpdate(&cursor{fromRevision: from}); u.Full != full {
			t.Errorf("from %d: full is %v", from, u.Full)
		}
	}
	p := cursor{fromRevision: last - 1}
	if u, _ := r.nextUpdate(&p); len(u.Objects) != 1 {
		t.Errorf("%d objects instead of one delta", len(u.Objects))
	}
	if u, _ := r.nextUpdate(&p); len(u.Objects) != 0 {
		t.Error("a delta was sent twice")
	}
	if err := snapshots.ReplaceObjects(snapshots.Current().Objects(), last+1); err != nil {
		t.Fatal(err)
	}
	if u, _ := r.nextUpdate(&p); u.Full || u.Revision != last+1 {
		t.Error("a list without changes caused a full snapshot")
	}
	snapshots.ApplyEvents([]apitypes.Event{teamEvent("late", 15, 1)})
	if u, _ := r.nextUpdate(&p); u.Full || len(u.Objects) != 1 {
		t.Error("a connected subscriber did not get a late change as a delta")
	}
	if u, _ := r.nextUpdate(&cursor{fromRevision: last + 1}); !u.Full {
		t.Error("a reconnecting subscriber that may have missed a late change got no full snapshot")
	}
}

// Guards against a team that stays missing because a relay that missed its creation once sent a list without it.
func TestAbsenceFromListIsNotDeletion(t *testing.T) {
	snapshots := NewSnapshotStore()
	created := teamEvent("new", 5, 1)
	snapshots.ApplyEvents([]apitypes.Event{created, teamEvent("x", 9, 1)})
	list := func(revision uint64, objects ...apitypes.Object) bool {
		if err := snapshots.ReplaceObjects(objects, revision); err != nil {
			t.Fatal(err)
		}
		return snapshots.Current().Team("new") != nil
	}
	x := teamEvent("x", 9, 1).Object
	if list(9, x) || list(9, x, created.Object) {
		t.Fatal("lists of the same revision alternately remove and restore the team")
	}
	if !list(10, x, created.Object) {
		t.Fatal("a later list does not restore the team")
	}
	list(11, x)
	snapshots.ApplyEvents([]apitypes.Event{teamEvent("new", 4, 1)})
	if snapshots.Current().Team("new") != nil {
		t.Fatal("an older version was restored")
	}
	snapshots.ApplyEvents([]apitypes.Event{created})
	if snapshots.Current().Team("new") == nil {
		t.Fatal("a late event does not restore the team")
	}
	snapshots.ApplyEvents([]apitypes.Event{{Revision: 12, Type: apitypes.EventDelete, Object: apitypes.Object{Kind: apitypes.KindTeam, Name: "new", Version: 12}}})
	if list(13, x, created.Object) {
		t.Fatal("a deleted team was restored")
	}
}

// Guards against duplicated, delayed or old messages that in any order revert an object or the revision.
func TestSnapshotStoreNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshots := NewSnapshotStore()
		names := []string{"a", "b", "c"}
		newest := map[string]uint64{}
		var revision uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			v := rapid.Uint64Range(1, 30).Draw(t, "version")
			e := teamEvent(rapid.SampledFrom(names).Draw(t, "name"), v, 1)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				e.Type = apitypes.EventDelete
				snapshots.ApplyEvents([]apitypes.Event{e})
				newest[e.Object.Name] = max(newest[e.Object.Name], v)
			case 1:
				_ = snapshots.ReplaceObjects([]apitypes.Object{e.Object}, v+rapid.Uint64Range(0, 10).Draw(t, "lead"))
			default:
				snapshots.ApplyEvents([]apitypes.Event{e})
			}
			s := snapshots.Current()
			if s.Revision() < revision {
				t.Fatalf("revision decreased from %d to %d", revision, s.Revision())
			}
			revision = s.Revision()
			for _, n := range names {
				inForce := s.ObjectVersion(apitypes.KindTeam, n)
				if inForce > 0 && inForce < newest[n] {
					t.Fatalf("%s went back from version %d to %d", n, newest[n], inForce)
				}
				newest[n] = max(newest[n], inForce)
			}
			expected := emptySnapshot()
			for _, o := range s.Objects() {
				expected.digest ^= hashVersion(o)
			}
			if expected.digest != s.Digest() {
				t.Fatal("the digest does not match the objects")
			}
		}
	})
}

// Guards against a connected gateway that accepts a withdrawn key for more than 2 s, a gateway restarted during a platform outage that
// counts as synced, and an old list after the outage that reverts the withdrawal.
func TestWithdrawalReachesGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, n := memplatform.New(), startTestRelay(t)
		hash := strings.Repeat("00", 32)
		set := func(withdrawn int64) {
			put(t, p, apitypes.KindKeySet, "00", apitypes.KeySet{Keys: []apitypes.KeyRecord{{ID: "00-1", Hash: hash, Team: "a", WithdrawnAt: withdrawn}}})
		}
		set(0)
		source := NewPlatformSource(p, n.snapshots, &n.freshness)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = source.Run(ctx) }()
		defer func() { cancel(); <-done }()
		snapshots := NewSnapshotStore()
		s, f := subscribe(t, snapshots, n)
		time.Sleep(10 * time.Second)
		if k, ok := snapshots.Current().Key(hash); !ok || k.WithdrawnAt != 0 || !s.Synced() || f.AgeMS() > 3000 {
			t.Fatalf("key %v, synced %v, age %d ms", ok, s.Synced(), f.AgeMS())
		}
		set(1)
		time.Sleep(2 * time.Second)
		if k, _ := snapshots.Current().Key(hash); k.WithdrawnAt == 0 {
			t.Fatal("the withdrawal is not in force after 2 s")
		}
		p.SetFaults(memplatform.Faults{Down: true})
		time.Sleep(time.Minute)
		if f.AgeMS() < 55_000 {
			t.Fatalf("age %d ms after a minute of outage", f.AgeMS())
		}
		restarted := NewSnapshotStore()
		second, _ := subscribe(t, restarted, n)
		time.Sleep(5 * time.Second)
		if k, _ := restarted.Current().Key(hash); k.WithdrawnAt == 0 || second.Synced() {
			t.Fatalf("restarted during the outage: withdrawn at %d, synced %v", k.WithdrawnAt, second.Synced())
		}
		p.SetFaults(memplatform.Faults{OldLists: 1})
		time.Sleep(30 * time.Second)
		if k, _ := snapshots.Current().Key(hash); k.WithdrawnAt == 0 {
			t.Fatal("an old list reverted the withdrawal")
		}
	})
}
