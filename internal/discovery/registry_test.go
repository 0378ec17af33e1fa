package discovery

import (
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
)

// registryFixture is a registry whose entries hold the endpoint's state as text.
type registryFixture struct {
	*Registry
	// serving holds the names of the endpoints that don't leave.
	serving string
	// storeOutage is true when the store was unavailable to all VMs.
	storeOutage bool
}

func newRegistryFixture() *registryFixture {
	f := &registryFixture{}
	f.Registry = &Registry{Log: zerolog.Nop(), SinceStoreRecovery: func() (time.Duration, bool) { return 0, f.storeOutage },
		Decode: func(o apitypes.Object) (catalog.Endpoint, bool) {
			state := string(o.Data)
			if !strings.HasPrefix(state, "half") && state != "ready" && state != "leaving" {
				return catalog.Endpoint{}, false
			}
			return catalog.Endpoint{ID: o.Name, Service: "s", Draining: strings.HasSuffix(state, "leaving")}, state == "ready" || state == "leaving"
		},
		Changed: func(list []catalog.Endpoint) {
			var names []string
			for _, e := range list {
				if !e.Draining {
					names = append(names, e.ID)
				}
			}
			sort.Strings(names)
			f.serving = strings.Join(names, " ")
		}}
	return f
}

func object(name, state string) apitypes.Object {
	return apitypes.Object{Name: name, Data: []byte(state)}
}

func (f *registryFixture) expect(t *testing.T, when, want string) {
	t.Helper()
	if f.serving != want {
		t.Errorf("%s: serving %q, want %q", when, f.serving, want)
	}
}

// Guards against use of an endpoint after its deletion event, when that arrives within the grace period after an outage of the store.
// Found by a randomized search as violation DRAIN of scenario scale-2 of rope-logs with seed 479376403494.
func TestDeletionAfterOutageAppliesAtOnce(t *testing.T) {
	f := newRegistryFixture()
	f.storeOutage = true
	both := []apitypes.Object{object("a", "ready"), object("b", "ready")}
	f.ReplaceEntries(both, 1, bootclock.Now(), 0)
	f.ReplaceEntries(both, 2, bootclock.Now(), 10*time.Second)
	f.ApplyEvents([]apitypes.Event{{Revision: 3, Type: apitypes.EventDelete, Object: object("a", "ready")}}, 3, bootclock.Now())
	f.expect(t, "after the deletion", "b")
}

// Guards against losing all endpoints when their entries expire during an outage of the store.
func TestEntriesExpiredDuringOutageAreKeptForGracePeriod(t *testing.T) {
	f := newRegistryFixture()
	f.storeOutage = true
	f.ReplaceEntries([]apitypes.Object{object("a", "ready"), object("b", "ready")}, 1, bootclock.Now(), 0)
	f.ReplaceEntries(nil, 2, bootclock.Now(), 5*time.Second)
	f.expect(t, "right after the outage", "a b")
	f.ApplyEvents([]apitypes.Event{{Revision: 3, Type: apitypes.EventPut, Object: object("a", "ready")}}, 3, bootclock.Now())
	f.expiredUntil = bootclock.Now().Add(-time.Millisecond)
	f.ApplyEvents(nil, 3, bootclock.Now())
	f.expect(t, "after the grace period", "a")
}

// Guards against use of an endpoint that has left while only this VM could not read the store. Found by a randomized search
// as violation DRAIN of scenario scale-1 of cmrro-royalty, where reads through another VM failed.
func TestEntriesMissingAfterLocalOutageAreRemoved(t *testing.T) {
	f := newRegistryFixture()
	f.ReplaceEntries([]apitypes.Object{object("a", "ready"), object("b", "ready")}, 1, bootclock.Now(), 0)
	f.ReplaceEntries([]apitypes.Object{object("b", "ready")}, 2, bootclock.Now(), 5*time.Second)
	f.expect(t, "right after the outage", "b")
}

// Guards against use of entries that another program wrote, and against losing valid entries because of them.
func TestUndecodableEntriesAreIgnored(t *testing.T) {
	f := newRegistryFixture()
	f.ReplaceEntries([]apitypes.Object{object("a", "ready"), object("b", "{")}, 1, bootclock.Now(), 0)
	f.expect(t, "after the list", "a")
	f.ApplyEvents([]apitypes.Event{{Revision: 2, Type: apitypes.EventPut, Object: object("a", "?")},
		{Revision: 3, Type: apitypes.EventPut, Object: object("b", "ready")}}, 3, bootclock.Now())
	f.expect(t, "after the events", "b")
}

// Guards against new work for an endpoint that leaves: the change must reach the callback.
func TestLeavingEndpointsAreReportedAsLeaving(t *testing.T) {
	f := newRegistryFixture()
	f.ReplaceEntries([]apitypes.Object{object("a", "ready")}, 1, bootclock.Now(), 0)
	f.ApplyEvents([]apitypes.Event{{Revision: 2, Type: apitypes.EventPut, Object: object("a", "leaving")}}, 2, bootclock.Now())
	f.expect(t, "after the event", "")
}

// Guards against endpoints that are lost because their entry is read while it is half written, or lacks a field for a time. That such an entry
// says that the endpoint leaves holds.
func TestEndpointWithUnusableEntryIsKept(t *testing.T) {
	f := newRegistryFixture()
	f.ReplaceEntries([]apitypes.Object{object("a", "ready"), object("b", "ready"), object("c", "half")}, 1, bootclock.Now(), 0)
	f.expect(t, "start", "a b")
	f.ApplyEvents([]apitypes.Event{{Type: apitypes.EventPut, Object: object("a", "half")}}, 2, bootclock.Now())
	f.expect(t, "half an entry in an event", "a b")
	f.ReplaceEntries([]apitypes.Object{object("a", "half"), object("b", "half, leaving")}, 3, bootclock.Now(), 0)
	f.expect(t, "half entries in a list, one of them leaving", "a")
	if n := f.UnusableEntries(); n != 3 {
		t.Errorf("%d unusable entries counted, want 3", n)
	}
	f.ApplyEvents([]apitypes.Event{{Type: apitypes.EventDelete, Object: object("a", "")}}, 4, bootclock.Now())
	f.expect(t, "deletion", "")
}
