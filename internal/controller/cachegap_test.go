package controller

import (
	"slices"
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// Guards against a removal that is not sent because the block was sent before a gap, against blocks that accumulate at a
// subscriber when removals are lost, and against a new stream that relies on the blocks that an earlier one sent.
func TestCacheGap(t *testing.T) {
	const capacity = 8
	r := &report{endpoint: apitypes.Endpoint{Name: "e"}, load: &peerpb.EndpointLoad{Name: "e", KvTotal: capacity}}
	c := &Collector{changed: make(chan struct{}), reports: map[string]*report{"e": r}}
	stream := newLoadStream(&peerpb.LoadRequest{CacheBlocks: 1000})
	seq := uint64(0)
	send := func(gap uint64, stored, removed []uint64) *peerpb.EndpointLoad {
		c.addCacheEvent(r, CacheEvent{Seq: seq + gap, Stored: stored, Removed: removed})
		seq += gap + 1
		u, _ := c.nextUpdate(stream)
		if len(u.Endpoints) != 1 {
			t.Fatalf("%d messages", len(u.Endpoints))
		}
		return u.Endpoints[0]
	}
	if m := send(1, []uint64{1, 2}, nil); !m.CacheReset || m.CacheGap {
		t.Errorf("on a new stream: reset %v, gap %v", m.CacheReset, m.CacheGap)
	}
	if m := send(0, []uint64{3}, nil); m.CacheReset || m.CacheGap {
		t.Errorf("without a gap: reset %v, gap %v", m.CacheReset, m.CacheGap)
	}
	if m := send(1, []uint64{4}, []uint64{1}); m.CacheReset || !m.CacheGap || !slices.Equal(m.CacheRemoved, []uint64{1}) {
		t.Errorf("after a gap: reset %v, gap %v, removed %v", m.CacheReset, m.CacheGap, m.CacheRemoved)
	}
	resets := 0
	for block := uint64(100); block < 140; block++ {
		if send(1, []uint64{block}, nil).CacheReset {
			resets++
		}
		if n := len(stream.sent["e"].blocks); n > capacity*5/4+1 {
			t.Fatalf("%d blocks sent for an endpoint that holds %d", n, capacity)
		}
	}
	if resets == 0 || resets > 5 {
		t.Errorf("%d resets in 40 gaps without removals", resets)
	}
}
