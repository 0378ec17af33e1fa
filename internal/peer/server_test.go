package peer

import (
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// Guards against a whole snapshot, of above 1 MB with 3,500 teams, for a gateway whose configuration is the same at an older revision,
// and against one that lacks a change and gets none.
func TestSnapshotOfSameConfiguration(t *testing.T) {
	near, far := config.NewSnapshotStore(), config.NewSnapshotStore()
	team := apitypes.Object{Kind: apitypes.KindTeam, Name: "a", Version: 3, Data: []byte(`{"name":"a","template":"t"}`)}
	for _, h := range []*config.SnapshotStore{near, far} {
		h.ApplyEvents([]apitypes.Event{{Revision: 3, Type: apitypes.EventPut, Object: team}})
	}
	far.ApplyEvents([]apitypes.Event{{Revision: 9, Type: apitypes.EventBookmark}})
	s := &Server{Config: far, Freshness: &config.Freshness{}}
	ask := func() *peerpb.ConfigUpdate {
		u, err := s.Snapshot(t.Context(), &peerpb.SnapshotRequest{Digest: near.Current().Digest()})
		if err != nil {
			t.Fatal(err)
		}
		if err := config.ApplyUpdate(near, u); err != nil {
			t.Fatal(err)
		}
		return u
	}
	if u := ask(); len(u.Objects) != 0 || near.Current().Revision() != 9 || near.Current().Team("a") == nil {
		t.Errorf("%d objects, revision %d", len(u.Objects), near.Current().Revision())
	}
	team.Name, team.Version = "b", 10
	far.ApplyEvents([]apitypes.Event{{Revision: 10, Type: apitypes.EventPut, Object: team}})
	if u := ask(); len(u.Objects) != 2 || near.Current().Team("b") == nil {
		t.Errorf("%d objects after a change", len(u.Objects))
	}
}
