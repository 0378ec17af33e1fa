package config

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

func put(t testing.TB, p *memplatform.Platform, kind, name string, v any) uint64 {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	version := uint64(0)
	if o, err := p.Get(context.Background(), kind, name); err == nil {
		version = o.Version
	}
	version, err = p.Put(context.Background(), kind, name, data, version)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// runSource runs a source on a store in a synctest bubble and stops it at the end of the test.
func runSource(t *testing.T, store objectstore.Store, snapshots *SnapshotStore) (*PlatformSource, *Freshness) {
	f := &Freshness{}
	s := NewPlatformSource(store, snapshots, f)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
	return s, f
}

// Guards against a change, such as the withdrawal of a key, that is never applied because the watch dropped its event.
func TestSourceRepairsDroppedEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, snapshots := memplatform.New(), NewSnapshotStore()
		put(t, p, apitypes.KindTeam, "a", apitypes.Team{Name: "a", Weight: 1})
		put(t, p, apitypes.KindTeam, "gone", apitypes.Team{Name: "gone"})
		s, f := runSource(t, p, snapshots)
		p.UpdateFaults(func(f *memplatform.Faults) { f.DropEvents = 2 })
		put(t, p, apitypes.KindTeam, "a", apitypes.Team{Name: "a", Weight: 2})
		o, _ := p.Get(context.Background(), apitypes.KindTeam, "gone")
		if err := p.Delete(context.Background(), apitypes.KindTeam, "gone", o.Version); err != nil {
			t.Fatal(err)
		}
		put(t, p, apitypes.KindTeam, "later", apitypes.Team{Name: "later"})
		time.Sleep(11 * time.Second)
		now := snapshots.Current()
		if now.Team("a").Weight != 2 || now.Team("gone") != nil || now.Team("later") == nil {
			t.Fatalf("dropped events not repaired: %+v", s.Counts())
		}
		if s.Counts().MissedEvents != 2 || f.AgeMS() > 2000 {
			t.Fatalf("counts %+v, age %d ms", s.Counts(), f.AgeMS())
		}
	})
}

// Guards against a lagging replica whose old list reverts an accepted change, after a restart of the source and in periodic lists.
func TestSourceRefusesOldLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, snapshots := memplatform.New(), NewSnapshotStore()
		put(t, p, apitypes.KindTeam, "a", apitypes.Team{Name: "a", Weight: 1})
		put(t, p, apitypes.KindTeam, "a", apitypes.Team{Name: "a", Weight: 2})
		_, _ = runSource(t, p, snapshots)
		p.UpdateFaults(func(f *memplatform.Faults) { f.OldLists = 1 })
		time.Sleep(20 * time.Second)
		second, _ := runSource(t, p, snapshots)
		time.Sleep(20 * time.Second)
		if w := snapshots.Current().Team("a").Weight; w != 2 {
			t.Fatalf("an old list reverted weight 2 to %v", w)
		}
		if second.Watching() || second.Counts().OldLists == 0 {
			t.Fatalf("the old list was not rejected: %+v", second.Counts())
		}
	})
}

// Guards against an outage that clears the configuration, a source that does not recover after it, and reads without backoff that
// overload the platform.
func TestSourceSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, snapshots := memplatform.New(), NewSnapshotStore()
		put(t, p, apitypes.KindTeam, "a", apitypes.Team{Name: "a"})
		s, f := runSource(t, p, snapshots)
		p.SetFaults(memplatform.Faults{Down: true})
		before := p.Calls()
		time.Sleep(60 * time.Second)
		calls := p.Calls()
		if snapshots.Current().Team("a") == nil || s.Watching() || f.AgeMS() < 50_000 {
			t.Fatalf("in an outage: watching %v, age %d", s.Watching(), f.AgeMS())
		}
		if n := calls.List + calls.Watch - before.List - before.Watch; n > 60 {
			t.Fatalf("%d calls in 60 s of outage", n)
		}
		p.SetFaults(memplatform.Faults{})
		put(t, p, apitypes.KindTeam, "b", apitypes.Team{Name: "b"})
		time.Sleep(2 * maxBackoff)
		if snapshots.Current().Team("b") == nil || !s.Watching() {
			t.Fatal("the source did not recover")
		}
	})
}

// scriptedStore overrides the revisions of lists, fails the first watches with ErrCompacted and records the revisions that watches
// start from.
type scriptedStore struct {
	objectstore.Store
	revisions map[string]uint64
	compacted int
	from      []uint64
}

func (s *scriptedStore) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, error) {
	items, revision, err := s.Store.List(ctx, kind)
	if r, ok := s.revisions[kind]; ok {
		return items, r, err
	}
	return items, revision, err
}

func (s *scriptedStore) Watch(ctx context.Context, kinds []string, from uint64, f func(apitypes.Event) error) error {
	s.from = append(s.from, from)
	if s.compacted > 0 {
		s.compacted--
		return objectstore.ErrCompacted
	}
	return s.Store.Watch(ctx, kinds, from, f)
}

// Guards against a change between the lists of two kinds that is lost, and against an object deleted between them that is restored.
func TestSourceListsAreNotAtomic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, snapshots := memplatform.New(), NewSnapshotStore()
		put(t, p, apitypes.KindTemplate, "t", apitypes.Template{Name: "t"})
		v := put(t, p, apitypes.KindTeam, "short-lived", apitypes.Team{})
		if err := p.Delete(context.Background(), apitypes.KindTeam, "short-lived", v); err != nil {
			t.Fatal(err)
		}
		restored := false
		snapshots.OnChange(func(s *Snapshot) { restored = restored || s.Team("short-lived") != nil })
		store := &scriptedStore{Store: p, revisions: map[string]uint64{apitypes.KindTemplate: 1}}
		runSource(t, store, snapshots)
		if store.from[0] != 1 {
			t.Fatalf("watch starts at revision %d instead of the smallest list revision", store.from[0])
		}
		if restored {
			t.Fatal("the watch restored a deleted team")
		}
	})
}

// Guards against a source that retries a compacted watch forever instead of listing again.
func TestSourceListsAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, snapshots := memplatform.New(), NewSnapshotStore()
		put(t, p, apitypes.KindTeam, "a", apitypes.Team{Name: "a"})
		s, _ := runSource(t, &scriptedStore{Store: p, compacted: 1}, snapshots)
		put(t, p, apitypes.KindTeam, "b", apitypes.Team{Name: "b"})
		time.Sleep(2 * maxBackoff)
		if snapshots.Current().Team("b") == nil || s.Counts().Compacted != 1 {
			t.Fatalf("counts %+v", s.Counts())
		}
	})
}

// Guards against an unparsable object that removes its last good version or can't be replaced by a later version.
func TestUnparsableObjectKeepsLastGoodVersion(t *testing.T) {
	snapshots := NewSnapshotStore()
	team := func(version uint64, data string) apitypes.Event {
		return apitypes.Event{Revision: version, Type: apitypes.EventPut,
			Object: apitypes.Object{Kind: apitypes.KindTeam, Name: "a", Version: version, Data: json.RawMessage(data)}}
	}
	snapshots.ApplyEvents([]apitypes.Event{team(1, `{"name":"a","weight":1}`)})
	snapshots.ApplyEvents([]apitypes.Event{team(2, `{"name":`)})
	s := snapshots.Current()
	if s.Team("a") == nil || s.Team("a").Weight != 1 || len(s.UnparsableObjects()) != 1 || s.ObjectVersion(apitypes.KindTeam, "a") != 1 {
		t.Fatalf("unparsable %v, team %v", s.UnparsableObjects(), s.Team("a"))
	}
	snapshots.ApplyEvents([]apitypes.Event{team(3, `{"name":"a","weight":3}`)})
	if s = snapshots.Current(); s.Team("a").Weight != 3 || len(s.UnparsableObjects()) != 0 {
		t.Fatalf("unparsable %v, team %v", s.UnparsableObjects(), s.Team("a"))
	}
}

// Guards against a corrupt keyset that removes keys or restores withdrawn ones, corrupt orders that send work to drained endpoints
// again, and subscribers that lose their last good version when their relay restarts.
func TestDamagedSystemObjects(t *testing.T) {
	hash := fmt.Sprintf("%064x", 7)
	record := func(hash string) string { return `{"id":"00-1","team":"a","hash":"` + hash + `"}` }
	intent := func(id, kind, state string) string {
		return `{"intents":[{"order":{"id":"` + id + `","kind":"` + kind + `","endpoint":"e"},"state":"` + state + `"}]}`
	}
	for kind, versions := range map[string][]string{
		apitypes.KindKeySet: {`{"keys":`, `{"keys":"x"}`, `null`, ` null `, `[]`, `{}`, `{"keys":null}`, `{"keys":[{}]}`, `{"keys":[` + record("00") + `]}`,
			`{"keys":[` + record(strings.Repeat("G0", 32)) + `]}`, `{"keys":[` + record(strings.Repeat("A0", 32)) + `]}`,
			`{"keys":[` + record(hash) + `,` + record(hash) + `]}`, `{"keys":[{"id":"00-1","hash":"` + hash + `"}]}`,
			`{"keys":[{"id":"00-1","team":"a","hash":"` + hash + `","withdrawn_at":-1}]}`},
		apitypes.KindOrders: {`{"drained":`, `{"drained":["e"]}`, `null`, `[]`, `{"fence":-1}`, intent("", "drain", "done"), intent("1", "launch", "done"),
			intent("1", "drain", "lost"), `{"intents":[{"order":{"id":"1","kind":"drain"},"state":"done"}]}`, `{"abandoned":[""]}`,
			`{"drained":{"":"x"}}`, `{"cleaned":{"e":-1}}`},
	} {
		for _, corrupt := range versions {
			object := func(version uint64, data string) apitypes.Object {
				return apitypes.Object{Kind: kind, Name: "00", Version: version, Data: json.RawMessage(data)}
			}
			good := object(1, map[string]string{apitypes.KindKeySet: `{"keys":[` + record(hash) + `]}`, apitypes.KindOrders: `{"drained":{"e":"test"}}`}[kind])
			check := func(step string, s *Snapshot) {
				_, found := s.Key(hash)
				drained := s.Orders("00") != nil && s.Orders("00").Drained["e"] == "test"
				if found != (kind == apitypes.KindKeySet) || drained != (kind == apitypes.KindOrders) || s.UnparsableObjects()[kind+"/00"] == "" {
					t.Errorf("%s %s %s: key %v, drained %v, unparsable %v", kind, corrupt, step, found, drained, s.UnparsableObjects())
				}
			}
			snapshots, relay, subscriber := NewSnapshotStore(), NewSnapshotStore(), NewSnapshotStore()
			snapshots.ApplyEvents([]apitypes.Event{{Revision: 1, Type: apitypes.EventPut, Object: good}})
			snapshots.ApplyEvents([]apitypes.Event{{Revision: 2, Type: apitypes.EventPut, Object: object(2, corrupt)}})
			check("after the event", snapshots.Current())
			if err := ApplyUpdate(subscriber, FullUpdate(snapshots.Current(), 0)); err != nil {
				t.Fatal(err)
			}
			check("at a new subscriber", subscriber.Current())
			// A restarted relay lists only the corrupt version.
			if err := relay.ReplaceObjects([]apitypes.Object{object(2, corrupt)}, 3); err != nil {
				t.Fatal(err)
			}
			if err := ApplyUpdate(snapshots, FullUpdate(relay.Current(), 0)); err != nil {
				t.Fatal(err)
			}
			check("after the relay's restart", snapshots.Current())
			snapshots.ApplyEvents([]apitypes.Event{{Revision: 4, Type: apitypes.EventPut, Object: object(4, string(good.Data))}})
			if len(snapshots.Current().UnparsableObjects()) > 0 || snapshots.Current().ObjectVersion(kind, "00") != 4 {
				t.Errorf("%s %s: the corrected version is not in force: %v", kind, corrupt, snapshots.Current().UnparsableObjects())
			}
		}
	}
}

// BenchmarkApply measures one change to a snapshot of 3,500 teams with one key each. A change must take at most 5 ms.
func BenchmarkApply(b *testing.B) {
	snapshots := NewSnapshotStore()
	sets := make([]apitypes.KeySet, apitypes.KeySetShards)
	var objects []apitypes.Object
	for i := range 3500 {
		name := fmt.Sprintf("team-%d", i)
		data, _ := json.Marshal(apitypes.Team{Name: name, Template: "t", Weight: 1})
		objects = append(objects, apitypes.Object{Kind: apitypes.KindTeam, Name: name, Version: 1, Data: data})
		set := &sets[i%len(sets)]
		set.Keys = append(set.Keys, apitypes.KeyRecord{ID: name, Hash: fmt.Sprintf("%064x", i), Team: name})
	}
	for i, set := range sets {
		data, _ := json.Marshal(set)
		objects = append(objects, apitypes.Object{Kind: apitypes.KindKeySet, Name: shardNames[i], Version: 1, Data: data})
	}
	if err := snapshots.ReplaceObjects(objects, 1); err != nil {
		b.Fatal(err)
	}
	for name, o := range map[string]apitypes.Object{"team": objects[0], "keyset": objects[3500]} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				o.Version = snapshots.Current().Revision() + 1
				snapshots.ApplyEvents([]apitypes.Event{{Revision: o.Version, Type: apitypes.EventPut, Object: o}})
			}
		})
	}
}
