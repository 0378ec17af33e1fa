package peer

import (
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// Guards against a full snapshot, which takes more than 1 MB with 3,500 teams, for a gateway that has the same configuration at an older
// revision, and against a gateway that lacks a change and gets no snapshot.
func TestSnapshotOfSameConfiguration(t *testing.T) {
	client, server := config.NewSnapshotStore(), config.NewSnapshotStore()
	team := apitypes.Object{Kind: apitypes.KindTeam, Name: "a", Version: 3, Data: []byte(`{"name":"a","template":"t"}`)}
	for _, snapshots := range []*config.SnapshotStore{client, server} {
		snapshots.ApplyEvents([]apitypes.Event{{Revision: 3, Type: apitypes.EventPut, Object: team}})
	}
	server.ApplyEvents([]apitypes.Event{{Revision: 9, Type: apitypes.EventBookmark}})
	s := &Server{Config: server, Freshness: &config.Freshness{}}
	fetch := func() *peerpb.ConfigUpdate {
		u, err := s.Snapshot(t.Context(), &peerpb.SnapshotRequest{Digest: client.Current().Digest()})
		if err != nil {
			t.Fatal(err)
		}
		if err := config.ApplyUpdate(client, u); err != nil {
			t.Fatal(err)
		}
		return u
	}
	if u := fetch(); len(u.Objects) != 0 || client.Current().Revision() != 9 || client.Current().Team("a") == nil {
		t.Errorf("%d objects, revision %d", len(u.Objects), client.Current().Revision())
	}
	team.Name, team.Version = "b", 10
	server.ApplyEvents([]apitypes.Event{{Revision: 10, Type: apitypes.EventPut, Object: team}})
	if u := fetch(); len(u.Objects) != 2 || client.Current().Team("b") == nil {
		t.Errorf("%d objects after a change", len(u.Objects))
	}
}
