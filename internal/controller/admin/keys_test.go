package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Guards against records of withdrawn keys that are never dropped: a shard that reaches the platform's limit of 1 MiB takes no
// new key. Records within the retention, which operators may still look up, and valid keys must stay.
func TestOldWithdrawnKeysAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.call("boot", "PUT", "/config/team/a", "*", `{"name":"a","template":"t"}`)
		now := time.Now()
		for i := range apitypes.KeySetShards {
			shard := fmt.Sprintf("%02d", i)
			set := apitypes.KeySet{Keys: []apitypes.KeyRecord{keyRecord(shard+"-valid", 0), keyRecord(shard+"-recent", now.Add(-24*time.Hour).UnixMilli())}}
			for n := range 100 {
				set.Keys = append(set.Keys, keyRecord(fmt.Sprintf("%s-%d", shard, n), now.Add(-withdrawnKeyRetention-time.Second).UnixMilli()))
			}
			data, _ := json.Marshal(set)
			if _, err := f.platform.Put(t.Context(), apitypes.KindKeySet, shard, data, 0); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		for n := range 20 {
			code, issued := f.call("boot", "POST", "/keys", "", `{"team":"a"}`)
			if code != 201 {
				t.Fatalf("key %d: %d %v", n, code, issued)
			}
			shard, _, _ := strings.Cut(issued["id"].(string), "-")
			o, _ := f.platform.Get(t.Context(), apitypes.KindKeySet, shard)
			var set apitypes.KeySet
			if err := json.Unmarshal(o.Data, &set); err != nil || len(set.Keys) < 3 || len(set.Keys) > 22 {
				t.Fatalf("shard %s has %d records, %v", shard, len(set.Keys), err)
			}
			if set.Keys[0].ID != shard+"-valid" || set.Keys[1].ID != shard+"-recent" {
				t.Errorf("shard %s begins with %s and %s", shard, set.Keys[0].ID, set.Keys[1].ID)
			}
		}
	})
}

func hashOf(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])
}

func keyRecord(id string, withdrawnAt int64) apitypes.KeyRecord {
	return apitypes.KeyRecord{ID: id, Hash: hashOf(id), Team: "a", IssuedAt: 1, WithdrawnAt: withdrawnAt}
}
