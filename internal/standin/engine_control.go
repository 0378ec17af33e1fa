package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
)

// loadSample is the load at one moment.
type loadSample struct {
	at   time.Time
	load apitypes.Load
}

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored"`
	Removed []uint64 `json:"removed"`

	at time.Time
}

// engineControl is the state that control orders change.
type engineControl struct {
	fence         uint64
	role          apitypes.Role
	model         string
	version       string
	adapters      []string
	lastOrderID   string
	appliedOrders map[string]bool
	changing      bool
	draining      bool
}

// prefixCache is a set of prefix blocks. When it is full, it evicts the block that was stored first.
type prefixCache struct {
	capacity int
	blocks   []uint64
	cached   map[uint64]bool
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, cached: make(map[uint64]bool)}
}

// hits returns the number of leading blocks that are cached.
func (c *prefixCache) hits(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.cached[blocks[n]] {
		n++
	}
	return n
}

// store adds blocks and evicts the oldest ones above the capacity. It returns the blocks added and those evicted.
func (c *prefixCache) store(blocks []uint64) (stored, removed []uint64) {
	for _, b := range blocks {
		if c.cached[b] {
			continue
		}
		c.cached[b] = true
		c.blocks = append(c.blocks, b)
		stored = append(stored, b)
	}
	for len(c.blocks) > c.capacity {
		removed = append(removed, c.blocks[0])
		delete(c.cached, c.blocks[0])
		c.blocks = c.blocks[1:]
	}
	return stored, removed
}

// publishCacheEvent appends a cache event and wakes the event streams. The caller holds the lock.
func (e *Engine) publishCacheEvent(stored, removed []uint64) {
	if len(stored)+len(removed) == 0 {
		return
	}
	e.events = append(e.events, cacheEvent{Seq: uint64(len(e.events) + 1), Stored: stored, Removed: removed, at: time.Now()})
	close(e.cacheChanged)
	e.cacheChanged = make(chan struct{})
}

// sampleLoad records the current load, for load reports delayed by LoadLag, and drops samples that are no longer needed. The caller
// holds the lock.
func (e *Engine) sampleLoad() {
	now := time.Now()
	c := &e.control
	e.loadSamples = append(e.loadSamples, loadSample{now, apitypes.Load{
		Endpoint: e.cfg.Name, Role: c.role, Model: c.model, Version: c.version, Adapters: slices.Clone(c.adapters),
		Running: e.running, Waiting: len(e.waiting), Slots: e.cfg.Slots, QueuedPrefillTokens: e.queuedPrefillTokens,
		KVFree: e.cfg.KVBlocks - e.kvBlocksUsed, KVTotal: e.cfg.KVBlocks,
		PrefillRate: e.cfg.PrefillRate * roleFactor(c.role, apitypes.RolePrefill),
		DecodeRate:  e.cfg.DecodeRate * roleFactor(c.role, apitypes.RoleDecode),
		Instance:    e.instance, SoftwareVersion: cmp.Or(e.cfg.SoftwareVersion, "1"), Changing: c.changing, Draining: c.draining,
	}})
	cutoff := now.Add(-e.cfg.LoadLag)
	for len(e.loadSamples) > 1 && !e.loadSamples[1].at.After(cutoff) {
		e.loadSamples = e.loadSamples[1:]
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	cutoff := time.Now().Add(-e.cfg.LoadLag)
	sample := e.loadSamples[0]
	for _, s := range e.loadSamples {
		if !s.at.After(cutoff) {
			sample = s
		}
	}
	e.mu.Unlock()
	sample.load.AgeMS = e.cfg.LoadLag.Milliseconds()
	writeJSON(w, http.StatusOK, sample.load)
}

// serveCacheEvents streams cache events from now on, delayed by CacheEventDelay and without the events dropped by
// DropEveryNthCacheEvent.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	e.mu.Lock()
	crashSignal := e.crashSignal
	next := len(e.events)
	e.mu.Unlock()
	for {
		e.mu.Lock()
		if crashed(crashSignal) {
			e.mu.Unlock()
			abort()
		}
		events, changed := slices.Clone(e.events[next:]), e.cacheChanged
		e.mu.Unlock()
		next += len(events)
		for _, ev := range events {
			if !ctxtime.Sleep(r.Context(), time.Until(ev.at.Add(e.cfg.CacheEventDelay))) {
				return
			}
			if e.cfg.DropEveryNthCacheEvent == 0 || ev.Seq%e.cfg.DropEveryNthCacheEvent != 0 {
				writeEvent(w, ev)
			}
		}
		select {
		case <-changed:
		case <-crashSignal:
			abort()
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) serveControlState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	c := e.control
	state := map[string]any{"fence": c.fence, "checks_fence": e.cfg.ChecksFence, "role": c.role, "model": c.model,
		"version": c.version, "adapters": slices.Clone(c.adapters), "last_order_id": c.lastOrderID, "changing": c.changing,
		"draining": c.draining, "instance": e.instance}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o apitypes.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.ID == "" {
		writeJSONError(w, http.StatusBadRequest, "order is not valid; send JSON with an id")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.control
	repeated := c.appliedOrders[o.ID]
	refused := e.cfg.ChecksFence && o.Fence < c.fence
	e.orderLog = append(e.orderLog, EngineOrder{Order: o, Applied: !repeated && !refused, Rejected: refused})
	if refused {
		writeJSONError(w, http.StatusConflict, "fencing token is older than the last one accepted; the order was not applied")
		return
	}
	c.fence = max(c.fence, o.Fence)
	if !repeated && !e.applyOrder(o) {
		delete(c.appliedOrders, o.ID)
		writeJSONError(w, http.StatusBadRequest, "unknown kind of order")
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"id": o.ID, "fence": c.fence})
}

// applyOrder applies an order; it returns false if its kind is unknown. The caller holds the lock.
func (e *Engine) applyOrder(o apitypes.Order) bool {
	c := &e.control
	c.appliedOrders[o.ID] = true
	c.lastOrderID = o.ID
	switch o.Kind {
	case apitypes.OrderSetRole:
		e.startChange(func() { c.role = apitypes.Role(o.Value) })
	case apitypes.OrderLoadModel:
		e.startChange(func() { c.model = o.Value })
	case apitypes.OrderSetVersion:
		e.startChange(func() { c.version = o.Value })
	case apitypes.OrderLoadAdapter:
		if !slices.Contains(c.adapters, o.Value) {
			c.adapters = append(c.adapters, o.Value)
		}
	case apitypes.OrderDrain:
		c.draining = true
	case apitypes.OrderResume:
		c.draining = false
	case apitypes.OrderClean:
		e.cache = newPrefixCache(e.cfg.KVBlocks)
	default:
		return false
	}
	e.sampleLoad()
	return true
}

// startChange applies a change after ChangeDuration; until then the engine rejects new requests. A crash discards the change. The
// caller holds the lock.
func (e *Engine) startChange(apply func()) {
	if e.cfg.ChangeDuration == 0 {
		apply()
		return
	}
	e.control.changing = true
	crashSignal := e.crashSignal
	time.AfterFunc(e.cfg.ChangeDuration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if crashed(crashSignal) {
			return
		}
		apply()
		e.control.changing = false
		e.sampleLoad()
	})
}
