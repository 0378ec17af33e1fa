package config

import (
	"maps"

	"crocusglade.example/crocusglade/internal/world"
)

// keyIndex finds key records by hash. Shards are immutable once published, so that a change copies one shard only.
type keyIndex struct {
	shards map[string]map[string]world.KeyRecord
	// order lists shard names for lookups.
	order []string
}

func newKeyIndex() *keyIndex {
	return &keyIndex{shards: make(map[string]map[string]world.KeyRecord)}
}

func (x *keyIndex) clone() *keyIndex {
	return &keyIndex{shards: maps.Clone(x.shards), order: x.order}
}

func (x *keyIndex) get(hash string) (world.KeyRecord, bool) {
	for _, shard := range x.order {
		if k, ok := x.shards[shard][hash]; ok {
			return k, true
		}
	}
	return world.KeyRecord{}, false
}

func (x *keyIndex) replace(shard string, keys []world.KeyRecord) {
	byHash := make(map[string]world.KeyRecord, len(keys))
	for _, k := range keys {
		byHash[k.Hash] = k
	}
	if _, ok := x.shards[shard]; !ok {
		x.order = append(x.order[:len(x.order):len(x.order)], shard)
	}
	x.shards[shard] = byHash
}
