package discovery

import (
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
)

// Guards against an endpoint that left and gets work again by an older list or change, and against one that is back and gets none because another
// VM reported its earlier departure.
func TestReportedDeparturesOutrankOlderEntries(t *testing.T) {
	entry := func(name, state string, version uint64) apitypes.Object {
		o := object(name, state)
		o.Version = version
		return o
	}
	f, informed := newRegistryFixture(), newRegistryFixture()
	list := []apitypes.Object{entry("a", "ready", 3), entry("b", "ready", 4), entry("c", "ready", 5)}
	for _, r := range []*registryFixture{f, informed} {
		r.ReplaceEntries(list, 10, bootclock.Now(), 0)
	}
	informed.ApplyEvents([]apitypes.Event{{Revision: 12, Type: apitypes.EventPut, Object: entry("a", "leaving", 12)},
		{Revision: 13, Type: apitypes.EventDelete, Object: entry("b", "ready", 13)}}, 13, bootclock.Now())
	f.MergeDepartures(informed.Departures())
	f.expect(t, "after a report", "c")
	if n := len(f.Departures()); n != 0 {
		t.Errorf("passes on %d departures that another VM reported", n)
	}
	f.ReplaceEntries(list, 11, bootclock.Now(), 0)
	f.expect(t, "after an older list", "c")
	f.ApplyEvents([]apitypes.Event{{Revision: 11, Type: apitypes.EventPut, Object: entry("b", "ready", 11)}}, 11, bootclock.Now())
	f.expect(t, "after an older change", "c")
	f.ApplyEvents([]apitypes.Event{{Revision: 14, Type: apitypes.EventPut, Object: entry("b", "ready", 14)}}, 14, bootclock.Now())
	f.MergeDepartures(informed.Departures())
	f.expect(t, "after the endpoint is back", "b c")
	informed.ReplaceEntries(list[2:], 20, bootclock.Now(), 0)
	f.MergeDepartures(informed.Departures())
	f.expect(t, "after a report of entries that are missing from a list", "b c")
	informed.ReplaceEntries([]apitypes.Object{entry("b", "ready", 14)}, 30, bootclock.Now(), 0)
	f.MergeDepartures(informed.Departures())
	f.expect(t, "after a report of an endpoint that a later list lacks", "b")
}

// Guards against a report that takes the endpoints away whose entries may return, because they expired while the store was away.
func TestExpiredEntriesAreNoDepartures(t *testing.T) {
	f := newRegistryFixture()
	f.ReplaceEntries([]apitypes.Object{object("a", "ready"), object("b", "ready")}, 10, bootclock.Now(), 0)
	f.storeOutage = true
	f.ReplaceEntries([]apitypes.Object{object("b", "ready")}, 11, bootclock.Now(), 1)
	f.expect(t, "after an outage", "a b")
	if d := f.Departures(); len(d) != 0 {
		t.Errorf("reports %v", d)
	}
}
