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

// node is a relay that can be frozen, on an in-memory listener.
type node struct {
	peerpb.UnimplementedConfigServer
	holder    *SnapshotStore
	freshness Freshness
	relay     *Relay
	frozen    bool
	calls     int
	lost      int
	listener  *memnet.Listener
}

func (n *node) Subscribe(r *peerpb.ConfigRequest, s grpc.ServerStreamingServer[peerpb.ConfigUpdate]) error {
	n.calls++
	if n.frozen {
		<-s.Context().Done()
		return nil
	}
	return n.relay.Subscribe(r, s)
}

func startNode(t *testing.T) *node {
	n := &node{holder: NewSnapshotStore(), listener: memnet.Listen()}
	n.relay = NewRelay(n.holder, &n.freshness)
	server := grpc.NewServer()
	peerpb.RegisterConfigServer(server, n)
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(n.listener) }()
	t.Cleanup(func() { server.Stop(); <-done })
	return n
}

// subscribe runs a subscriber whose parents are the given nodes, in order.
func subscribe(t *testing.T, h *SnapshotStore, nodes ...*node) (*Subscriber, *Freshness) {
	var vms []apitypes.VM
	byName := map[string]*node{}
	for i, n := range nodes {
		name := fmt.Sprintf("vm-%d", i)
		vms = append(vms, apitypes.VM{Name: name})
		byName[name] = n
	}
	f := &Freshness{}
	s := NewSubscriber("self", "gateway", h, f, func() []apitypes.VM { return vms }, func(vm apitypes.VM) (grpc.ClientConnInterface, func(), error) {
		conn, err := grpc.NewClient("passthrough:///"+vm.Name, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				return byName[vm.Name].listener.Dial(ctx)
			}))
		return conn, func() { conn.Close() }, err
	})
	s.OnStreamLost(func() { nodes[0].lost++ })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return s, f
}

func teamEvent(name string, version uint64, weight float64) apitypes.Event {
	data, _ := json.Marshal(apitypes.Team{Name: name, Weight: weight})
	return apitypes.Event{Revision: version, Type: apitypes.EventPut,
		Object: apitypes.Object{Kind: apitypes.KindTeam, Name: name, Version: version, Data: data}}
}

// Guards against changes that don't reach a subscriber, and a subscriber that stays with a frozen relay.
func TestSubscriberLeavesFrozenRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := startNode(t), startNode(t)
		for _, n := range []*node{a, b} {
			n.holder.ApplyEvents([]apitypes.Event{teamEvent("x", 5, 1)})
			n.freshness.Confirm(0)
		}
		a.frozen = true
		h := NewSnapshotStore()
		s, f := subscribe(t, h, a, b)
		time.Sleep(5 * time.Second)
		if h.Current().Team("x") == nil || s.Parent() != "vm-1" || !s.Synced() {
			t.Fatalf("parent %q, revision %d", s.Parent(), h.Current().Revision())
		}
		b.holder.ApplyEvents([]apitypes.Event{teamEvent("x", 6, 2)})
		synctest.Wait()
		if h.Current().Team("x").Weight != 2 {
			t.Fatal("a change did not arrive")
		}
		// An age passed on is at most one message period younger than the truth.
		if d := b.freshness.AgeMS() - f.AgeMS(); d < -1 || d > 1000 {
			t.Fatalf("ages differ by %d ms", d)
		}
	})
}

// Guards against a stale relay that takes a change back, and a subscriber that stays with one while another is supplied.
func TestSubscriberMovesFromStaleParentAndNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale, good := startNode(t), startNode(t)
		stale.holder.ApplyEvents([]apitypes.Event{teamEvent("x", 5, 1)})
		stale.freshness.Confirm(60_000)
		good.holder.ApplyEvents([]apitypes.Event{teamEvent("x", 9, 2)})
		h := NewSnapshotStore()
		h.ApplyEvents([]apitypes.Event{teamEvent("x", 7, 1.5)})
		s, _ := subscribe(t, h, stale, good)
		time.Sleep(5 * time.Second)
		if w := h.Current().Team("x").Weight; w != 1.5 || s.Synced() {
			t.Fatalf("weight %v, synced %v under a stale parent", w, s.Synced())
		}
		for range 20 {
			good.freshness.Confirm(0)
			time.Sleep(time.Second)
		}
		if h.Current().Team("x").Weight != 2 || s.Parent() != "vm-1" || !s.Synced() {
			t.Fatalf("parent %q, synced %v", s.Parent(), s.Synced())
		}
		synctest.Wait()
		if now := good.relay.StreamsByRole()["gateway"]; now != 1 || stale.relay.StreamsByRole()["gateway"] != 0 || stale.lost != 1 {
			t.Errorf("%d streams at the good relay, %d at the stale one, %d lost", now, stale.relay.StreamsByRole()["gateway"], stale.lost)
		}
	})
}

// Guards against a subscriber that misses a late repair because its revision is already the relay's.
func TestDigestFindsMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t)
		n.holder.ApplyEvents([]apitypes.Event{teamEvent("lost", 3, 1), teamEvent("x", 4, 1)})
		h := NewSnapshotStore()
		h.ApplyEvents([]apitypes.Event{teamEvent("x", 4, 1)})
		subscribe(t, h, n)
		time.Sleep(2 * time.Second)
		if h.Current().Team("lost") == nil {
			t.Fatal("the missed change was not found")
		}
	})
}

// Guards against a relay that answers from a history that no longer reaches back far enough, or sends snapshots without need.
func TestRelaySendsFullOnlyWhenNeeded(t *testing.T) {
	h := NewSnapshotStore()
	r := NewRelay(h, &Freshness{})
	if err := h.ReplaceObjects([]apitypes.Object{teamEvent("x", 12, 1).Object}, 10); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(historyEvents + 10) {
		h.ApplyEvents([]apitypes.Event{teamEvent("x", 20+i, 1)})
	}
	last := h.Current().Revision()
	for from, full := range map[uint64]bool{0: true, 10: true, 20: true, 29: false, last - 1: false, last: false} {
		if u, _ := r.update(&position{from: from}); u.Full != full {
			t.Errorf("from %d: full is %v", from, u.Full)
		}
	}
	p := position{from: last - 1}
	if u, _ := r.update(&p); len(u.Objects) != 1 {
		t.Errorf("%d objects instead of one delta", len(u.Objects))
	}
	if u, _ := r.update(&p); len(u.Objects) != 0 {
		t.Error("a delta was sent twice")
	}
	if err := h.ReplaceObjects(h.Current().Objects(), last+1); err != nil {
		t.Fatal(err)
	}
	if u, _ := r.update(&p); u.Full || u.Revision != last+1 {
		t.Error("a list that changes nothing made a full snapshot necessary")
	}
	h.ApplyEvents([]apitypes.Event{teamEvent("late", 15, 1)})
	if u, _ := r.update(&p); u.Full || len(u.Objects) != 1 {
		t.Error("a connected subscriber did not get a late change as a delta")
	}
	if u, _ := r.update(&position{from: last + 1}); !u.Full {
		t.Error("a subscriber that comes back may have missed a late change and got no full snapshot")
	}
}

// Guards against a team that stays lost because a relay that had missed its creation once sent a list without it.
func TestAbsenceInAListIsNoDeletion(t *testing.T) {
	h := NewSnapshotStore()
	created := teamEvent("new", 5, 1)
	h.ApplyEvents([]apitypes.Event{created, teamEvent("x", 9, 1)})
	list := func(revision uint64, objects ...apitypes.Object) bool {
		if err := h.ReplaceObjects(objects, revision); err != nil {
			t.Fatal(err)
		}
		return h.Current().Team("new") != nil
	}
	x := teamEvent("x", 9, 1).Object
	if list(9, x) || list(9, x, created.Object) {
		t.Fatal("lists of one revision take turns")
	}
	if !list(10, x, created.Object) {
		t.Fatal("a later list does not bring the team back")
	}
	list(11, x)
	h.ApplyEvents([]apitypes.Event{teamEvent("new", 4, 1)})
	if h.Current().Team("new") != nil {
		t.Fatal("an older version came back")
	}
	h.ApplyEvents([]apitypes.Event{created})
	if h.Current().Team("new") == nil {
		t.Fatal("a late event does not bring the team back")
	}
	h.ApplyEvents([]apitypes.Event{{Revision: 12, Type: apitypes.EventDelete, Object: apitypes.Object{Kind: apitypes.KindTeam, Name: "new", Version: 12}}})
	if list(13, x, created.Object) {
		t.Fatal("a deleted team came back")
	}
}

// Guards against any order of duplicated, late or old messages that takes an object or the revision back.
func TestHolderNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewSnapshotStore()
		names := []string{"a", "b", "c"}
		newest := map[string]uint64{}
		var revision uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			v := rapid.Uint64Range(1, 30).Draw(t, "version")
			e := teamEvent(rapid.SampledFrom(names).Draw(t, "name"), v, 1)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				e.Type = apitypes.EventDelete
				h.ApplyEvents([]apitypes.Event{e})
				newest[e.Object.Name] = max(newest[e.Object.Name], v)
			case 1:
				_ = h.ReplaceObjects([]apitypes.Object{e.Object}, v+rapid.Uint64Range(0, 10).Draw(t, "lead"))
			default:
				h.ApplyEvents([]apitypes.Event{e})
			}
			s := h.Current()
			if s.Revision() < revision {
				t.Fatalf("revision fell from %d to %d", revision, s.Revision())
			}
			revision = s.Revision()
			for _, n := range names {
				inForce := s.ObjectVersion(apitypes.KindTeam, n)
				if inForce > 0 && inForce < newest[n] {
					t.Fatalf("%s fell from version %d to %d", n, newest[n], inForce)
				}
				newest[n] = max(newest[n], inForce)
			}
			check := emptySnapshot()
			for _, o := range s.Objects() {
				check.digest ^= hashVersion(o)
			}
			if check.digest != s.Digest() {
				t.Fatal("the digest does not follow the objects")
			}
		}
	})
}

// Guards against a withdrawn key that a connected gateway accepts for more than 2 s, a restarted gateway that counts as level with the
// platform during an outage, and a withdrawal that reverts after it.
func TestWithdrawalReachesGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, n := memplatform.New(), startNode(t)
		hash := strings.Repeat("00", 32)
		set := func(withdrawn int64) {
			put(t, p, apitypes.KindKeySet, "00", apitypes.KeySet{Keys: []apitypes.KeyRecord{{ID: "00-1", Hash: hash, Team: "a", WithdrawnAt: withdrawn}}})
		}
		set(0)
		source := NewPlatformSource(p, n.holder, &n.freshness)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = source.Run(ctx) }()
		defer func() { cancel(); <-done }()
		h := NewSnapshotStore()
		s, f := subscribe(t, h, n)
		time.Sleep(10 * time.Second)
		if k, ok := h.Current().Key(hash); !ok || k.WithdrawnAt != 0 || !s.Synced() || f.AgeMS() > 3000 {
			t.Fatalf("key %v, synced %v, age %d ms", ok, s.Synced(), f.AgeMS())
		}
		set(1)
		time.Sleep(2 * time.Second)
		if k, _ := h.Current().Key(hash); k.WithdrawnAt == 0 {
			t.Fatal("the withdrawal is not in force after 2 s")
		}
		p.SetFaults(memplatform.Faults{Down: true})
		time.Sleep(time.Minute)
		if f.AgeMS() < 55_000 {
			t.Fatalf("age %d ms after a minute of outage", f.AgeMS())
		}
		restarted := NewSnapshotStore()
		again, _ := subscribe(t, restarted, n)
		time.Sleep(5 * time.Second)
		if k, _ := restarted.Current().Key(hash); k.WithdrawnAt == 0 || again.Synced() {
			t.Fatalf("restarted in the outage: withdrawn at %d, synced %v", k.WithdrawnAt, again.Synced())
		}
		p.SetFaults(memplatform.Faults{OldLists: 1})
		time.Sleep(30 * time.Second)
		if k, _ := h.Current().Key(hash); k.WithdrawnAt == 0 {
			t.Fatal("an old list took the withdrawal back")
		}
	})
}
