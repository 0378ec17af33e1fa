package controller

import (
	"slices"
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// Guards against a removal that is not told because the block was told before a gap, against blocks that pile up at a subscriber when
// removals are lost, and against a new subscription that relies on what an earlier one told.
func TestCacheGap(t *testing.T) {
	const pieces = 8
	r := &report{endpoint: apitypes.Endpoint{Name: "e"}, load: &peerpb.EndpointLoad{Name: "e", KvTotal: pieces}}
	c := &Collector{changed: make(chan struct{}), reports: map[string]*report{"e": r}}
	out := newLoadStream(&peerpb.LoadRequest{CacheBlocks: 1000})
	seq := uint64(0)
	tell := func(gap uint64, stored, removed []uint64) *peerpb.EndpointLoad {
		c.cacheEvent(r, CacheEvent{Seq: seq + gap, Stored: stored, Removed: removed})
		seq += gap + 1
		u, _ := c.next(out)
		if len(u.Endpoints) != 1 {
			t.Fatalf("%d messages", len(u.Endpoints))
		}
		return u.Endpoints[0]
	}
	if m := tell(1, []uint64{1, 2}, nil); !m.CacheReset || m.CacheGap {
		t.Errorf("a new subscription: reset %v, gap %v", m.CacheReset, m.CacheGap)
	}
	if m := tell(0, []uint64{3}, nil); m.CacheReset || m.CacheGap {
		t.Errorf("without a gap: reset %v, gap %v", m.CacheReset, m.CacheGap)
	}
	if m := tell(1, []uint64{4}, []uint64{1}); m.CacheReset || !m.CacheGap || !slices.Equal(m.CacheRemoved, []uint64{1}) {
		t.Errorf("after a gap: reset %v, gap %v, removed %v", m.CacheReset, m.CacheGap, m.CacheRemoved)
	}
	resets := 0
	for block := uint64(100); block < 140; block++ {
		if tell(1, []uint64{block}, nil).CacheReset {
			resets++
		}
		if n := len(out.sent["e"].blocks); n > pieces*5/4+1 {
			t.Fatalf("%d blocks told of an endpoint that holds %d", n, pieces)
		}
	}
	if resets == 0 || resets > 5 {
		t.Errorf("%d resets in 40 gaps without removals", resets)
	}
}
