package config

import (
	"fmt"
	"maps"
	"strings"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// keyIndex finds key records by hash. Shards are immutable once published, so a change replaces a single shard.
type keyIndex struct {
	shards map[string]map[string]apitypes.KeyRecord
	// shardOrder lists the shard names in the order of insertion.
	shardOrder []string
}

func newKeyIndex() *keyIndex {
	return &keyIndex{shards: make(map[string]map[string]apitypes.KeyRecord)}
}

func (x *keyIndex) clone() *keyIndex {
	return &keyIndex{shards: maps.Clone(x.shards), shardOrder: x.shardOrder}
}

// KeyShard returns the name of the keyset object that holds a key's hash, or "" when hash is not hexadecimal.
func KeyShard(hash string) string {
	if len(hash) < 2 {
		return ""
	}
	// The low nibble of the first byte is the second hexadecimal digit, and there are 16 shards.
	digit := strings.IndexByte(hexDigits, hash[1])
	if digit < 0 || strings.IndexByte(hexDigits, hash[0]) < 0 {
		return ""
	}
	return shardNames[digit]
}

const hexDigits = "0123456789abcdef"

// shardNames are the names of the keyset objects.
var shardNames = func() (names [apitypes.KeySetShards]string) {
	for i := range names {
		names[i] = fmt.Sprintf("%02d", i)
	}
	return names
}()

// get returns the record with a hash. It looks first in the shard that the hash belongs to, then in all others.
func (x *keyIndex) get(hash string) (apitypes.KeyRecord, bool) {
	if k, ok := x.shards[KeyShard(hash)][hash]; ok {
		return k, true
	}
	for _, shard := range x.shardOrder {
		if k, ok := x.shards[shard][hash]; ok {
			return k, true
		}
	}
	return apitypes.KeyRecord{}, false
}

// replace sets the records of a shard.
func (x *keyIndex) replace(shard string, keys []apitypes.KeyRecord) {
	byHash := make(map[string]apitypes.KeyRecord, len(keys))
	for _, k := range keys {
		byHash[k.Hash] = k
	}
	if _, ok := x.shards[shard]; !ok {
		x.shardOrder = append(x.shardOrder[:len(x.shardOrder):len(x.shardOrder)], shard)
	}
	x.shards[shard] = byHash
}
