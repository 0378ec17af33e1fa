package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// newBusyCollector returns a collector with n endpoints. change gives each endpoint new gauges and 100 new prefix blocks.
func newBusyCollector(n int) (c *Collector, change func(step int)) {
	c = &Collector{reports: make(map[string]*report), goneSeqs: make(map[string]uint64), unreachableCounts: make(map[string]int), changed: make(chan struct{})}
	for i := range n {
		name := fmt.Sprintf("engine-%03d", i)
		c.reports[name] = &report{endpoint: apitypes.Endpoint{Name: name, Pool: "p", Addr: "https://10.0.0.1:1", State: apitypes.EndpointReady}}
	}
	return c, func(step int) {
		for _, r := range c.reports {
			c.mu.Lock()
			r.measuredAt = time.Now()
			c.updateReport(r, &peerpb.EndpointLoad{Running: int32(step % 2 * 32), Slots: 64, KvTotal: 2000, KvFree: int32(step % 3 * 500), PrefillRate: 8000,
				QueuedPrefillTokens: int64(step % 5 * 1000), Instance: "i"})
			c.mu.Unlock()
			blocks := make([]uint64, 100)
			for b := range blocks {
				blocks[b] = uint64(step*len(blocks) + b)
			}
			c.addCacheEvent(r, CacheEvent{Seq: uint64(step), Stored: blocks})
		}
	}
}

// Guards against load reports that exceed a node's 6 KB/s. A gateway that follows 200 busy endpoints may use 3 KB/s for them; one
// controller that collects all of them stands for the sum of 165 controllers.
func TestLoadStreamIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints, seconds = 200, 40
		c, change := newBusyCollector(endpoints)
		s := &LoadSubscriber{followedEndpoints: endpoints}
		stream := newLoadStream(&peerpb.LoadRequest{PeriodMs: s.reportPeriod().Milliseconds(), CacheBlocks: s.cacheBlockRate()})
		change(0)
		_, _ = c.nextUpdate(stream)
		bytes := 0
		for step := 1; step <= seconds*2; step++ {
			time.Sleep(500 * time.Millisecond)
			change(step)
			u, _ := c.nextUpdate(stream)
			bytes += proto.Size(u)
		}
		if rate := bytes / seconds; rate > 3000 {
			t.Errorf("%d B/s for %d endpoints", rate, endpoints)
		}
	})
}

// Guards against a drain or a restart that waits for the end of a report period, against gauges that are not sent after it, and
// against reports of endpoints that the subscriber did not request.
func TestLoadStreamSendsStateChangesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, change := newBusyCollector(3)
		stream := newLoadStream(&peerpb.LoadRequest{PeriodMs: 4000, Endpoints: []string{"engine-001"}})
		change(1)
		first, _ := c.nextUpdate(stream)
		if len(first.Endpoints) != 1 || first.Endpoints[0].Name != "engine-001" {
			t.Fatalf("first message: %v", first)
		}
		time.Sleep(time.Second)
		change(2)
		if u, _ := c.nextUpdate(stream); len(u.Endpoints) != 0 {
			t.Fatalf("gauges before the end of the period: %v", u)
		}
		time.Sleep(3 * time.Second)
		u, _ := c.nextUpdate(stream)
		if len(u.Endpoints) != 1 || u.Endpoints[0].Name != "" {
			t.Fatalf("gauges after the period: %v", u)
		}
		got := mergeDescription(u.Endpoints[0], first.Endpoints[0])
		if got.Name != "engine-001" || got.Running != 0 || got.KvFree != 1000 || got.Slots != 64 || got.Instance != "i" {
			t.Fatalf("merged report: %v", got)
		}
		c.mu.Lock()
		r := c.reports["engine-001"]
		c.updateReport(r, &peerpb.EndpointLoad{Slots: 64, Instance: "i", NoNewWork: true})
		c.mu.Unlock()
		if u, _ := c.nextUpdate(stream); len(u.Endpoints) != 1 || !u.Endpoints[0].NoNewWork {
			t.Fatalf("a drain is not sent at once: %v", u)
		}
	})
}

// Guards against a whole list in each heartbeat, and against a change of a list that is not sent.
func TestListMessage(t *testing.T) {
	old := providerList{version: 1, endpoints: []apitypes.Endpoint{{Name: "a", Pool: "p"}, {Name: "b", Pool: "p"}, {Name: "c", Pool: "p"}}}
	if m := listMessage("p", old, old, false); len(m.Endpoints)+len(m.Gone) != 0 || m.Full {
		t.Errorf("heartbeat: %v", m)
	}
	next := providerList{version: 2, endpoints: []apitypes.Endpoint{{Name: "a"}, {Name: "b", State: apitypes.EndpointLeaving}, {Name: "d"}}}
	m := listMessage("p", next, old, false)
	if len(m.Endpoints) != 2 || m.Endpoints[0].Name != "b" || m.Endpoints[1].Name != "d" || len(m.Gone) != 1 || m.Gone[0] != "c" {
		t.Errorf("change: %v", m)
	}
	if m := listMessage("p", next, providerList{}, true); len(m.Endpoints) != 3 || !m.Full {
		t.Errorf("first message: %v", m)
	}
}
