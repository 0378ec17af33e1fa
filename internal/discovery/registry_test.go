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

// bed is a registry whose entries are objects that hold the endpoint's state as text.
type bed struct {
	*Registry
	serving string
	// away is set when the store was away for all VMs.
	away bool
}

func newBed() *bed {
	b := &bed{}
	b.Registry = &Registry{Log: zerolog.Nop(), SinceStoreRecovery: func() (time.Duration, bool) { return 0, b.away },
		Decode: func(o apitypes.Object) (catalog.Endpoint, bool) {
			state := string(o.Data)
			return catalog.Endpoint{ID: o.Name, Service: "s", Leaving: state == "leaving"}, state == "ready" || state == "leaving"
		},
		Changed: func(list []catalog.Endpoint) {
			var names []string
			for _, e := range list {
				if !e.Leaving {
					names = append(names, e.ID)
				}
			}
			sort.Strings(names)
			b.serving = strings.Join(names, " ")
		}}
	return b
}

func object(name, state string) apitypes.Object {
	return apitypes.Object{Name: name, Data: []byte(state)}
}

func (b *bed) expect(t *testing.T, when, want string) {
	t.Helper()
	if b.serving != want {
		t.Errorf("%s: serving %q, want %q", when, b.serving, want)
	}
}

// Guards against use of an endpoint after the store has told that it is gone, shortly after the store was out of reach: found by
// a hunt as DRAIN on scale-2 of rope-logs with seed 479376403494.
func TestDeletionAfterAnOutageHoldsAtOnce(t *testing.T) {
	b := newBed()
	b.away = true
	both := []apitypes.Object{object("a", "ready"), object("b", "ready")}
	b.ReplaceEntries(both, 1, bootclock.Now(), 0)
	b.ReplaceEntries(both, 2, bootclock.Now(), 10*time.Second)
	b.ApplyEvents([]apitypes.Event{{Revision: 3, Type: apitypes.EventDelete, Object: object("a", "ready")}}, 3, bootclock.Now())
	b.expect(t, "after the deletion", "b")
}

// Guards against losing all endpoints when their entries lapsed while the store was away.
func TestEntriesThatLapsedInAnOutageAreKeptForAWhile(t *testing.T) {
	b := newBed()
	b.away = true
	b.ReplaceEntries([]apitypes.Object{object("a", "ready"), object("b", "ready")}, 1, bootclock.Now(), 0)
	b.ReplaceEntries(nil, 2, bootclock.Now(), 5*time.Second)
	b.expect(t, "right after the outage", "a b")
	b.ApplyEvents([]apitypes.Event{{Revision: 3, Type: apitypes.EventPut, Object: object("a", "ready")}}, 3, bootclock.Now())
	b.lapsedUntil = bootclock.Now().Add(-time.Millisecond)
	b.ApplyEvents(nil, 3, bootclock.Now())
	b.expect(t, "after the grace", "a")
}

// Guards against use of an endpoint that has left while this VM alone could not read the store: found as DRAIN on scale-1 of
// cmrro-royalty, where a relay failed.
func TestEntriesMissingAfterAnOwnOutageAreGone(t *testing.T) {
	b := newBed()
	b.ReplaceEntries([]apitypes.Object{object("a", "ready"), object("b", "ready")}, 1, bootclock.Now(), 0)
	b.ReplaceEntries([]apitypes.Object{object("b", "ready")}, 2, bootclock.Now(), 5*time.Second)
	b.expect(t, "right after the outage", "b")
}

// Guards against use of entries that another program wrote, and against losing others because of them.
func TestEntriesThatCannotBeReadNameNoEndpoint(t *testing.T) {
	b := newBed()
	b.ReplaceEntries([]apitypes.Object{object("a", "ready"), object("b", "{")}, 1, bootclock.Now(), 0)
	b.expect(t, "after the list", "a")
	b.ApplyEvents([]apitypes.Event{{Revision: 2, Type: apitypes.EventPut, Object: object("a", "?")},
		{Revision: 3, Type: apitypes.EventPut, Object: object("b", "ready")}}, 3, bootclock.Now())
	b.expect(t, "after the events", "b")
}

// Guards against new work for an endpoint that leaves.
func TestLeavingEndpointsAreToldAsLeaving(t *testing.T) {
	b := newBed()
	b.ReplaceEntries([]apitypes.Object{object("a", "ready")}, 1, bootclock.Now(), 0)
	b.ApplyEvents([]apitypes.Event{{Revision: 2, Type: apitypes.EventPut, Object: object("a", "leaving")}}, 2, bootclock.Now())
	b.expect(t, "after the notice", "")
}
