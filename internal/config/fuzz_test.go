package config

import (
	"encoding/json"
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// fuzzKinds are the kinds that a snapshot parses.
var fuzzKinds = []string{apitypes.KindTemplate, apitypes.KindTeam, apitypes.KindPool, apitypes.KindRoute, apitypes.KindAdmin, apitypes.KindOrders, apitypes.KindKeySet, "other"}

// Guards against a platform object that crashes a process, that replaces the last good version although it can't be parsed, or that
// reverts the configuration to an older revision (guarantee G12).
func FuzzPlatformObject(f *testing.F) {
	for i, s := range []string{`{"name":"a"}`, `{"name":"a","template":"t","limits":{"max_body_bytes":-1}}`, `{"endpoints":[null]}`, `null`, `[]`, `{"keys":[{"hash":"x"}]}`, `{"open_routes":[null]}`, `{`, ``} {
		f.Add(uint8(i), "a", []byte(s), uint64(3), uint64(5))
	}
	f.Fuzz(func(t *testing.T, kind uint8, name string, data []byte, first, second uint64) {
		snapshots, k := NewSnapshotStore(), fuzzKinds[int(kind)%len(fuzzKinds)]
		good := apitypes.Object{Kind: k, Name: name, Version: first, Data: json.RawMessage(`{}`)}
		snapshots.ApplyEvents([]apitypes.Event{{Revision: first, Type: apitypes.EventPut, Object: good}})
		before := snapshots.Current()
		snapshots.ApplyEvents([]apitypes.Event{{Revision: second, Type: apitypes.EventPut, Object: apitypes.Object{Kind: k, Name: name, Version: second, Data: data}}})
		after := snapshots.Current()
		if after.Revision() < before.Revision() || after.ObjectVersion(k, name) < before.ObjectVersion(k, name) {
			t.Errorf("revision %d and version %d became %d and %d", before.Revision(), before.ObjectVersion(k, name), after.Revision(), after.ObjectVersion(k, name))
		}
		if len(after.UnparsableObjects()) > 0 && after.ObjectVersion(k, name) != before.ObjectVersion(k, name) {
			t.Errorf("%s %q can't be parsed, but its version %d is in force", k, data, after.ObjectVersion(k, name))
		}
		after.PoolForModel("m")
		after.IsRouteOpen("r")
		after.Key("x")
	})
}
