package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
)

type loadSample struct {
	at   time.Time
	load apitypes.Load
}

type cacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored"`
	Removed []uint64 `json:"removed"`

	at time.Time
}

type engineControl struct {
	fence       uint64
	role        apitypes.Role
	model       string
	version     string
	adapters    []string
	lastOrderID string
	applied     map[string]bool
	changing    bool
	draining    bool
}

// prefixCache holds prefix blocks, least recently used first.
type prefixCache struct {
	capacity int
	blocks   []uint64
	known    map[uint64]bool
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, known: make(map[uint64]bool)}
}

// hits returns the number of leading blocks that are cached.
func (c *prefixCache) hits(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.known[blocks[n]] {
		n++
	}
	return n
}

func (c *prefixCache) store(blocks []uint64) (stored, removed []uint64) {
	for _, b := range blocks {
		if c.known[b] {
			continue
		}
		c.known[b] = true
		c.blocks = append(c.blocks, b)
		stored = append(stored, b)
	}
	for len(c.blocks) > c.capacity {
		removed = append(removed, c.blocks[0])
		delete(c.known, c.blocks[0])
		c.blocks = c.blocks[1:]
	}
	return stored, removed
}

// publishCache records a cache event. The caller holds the lock.
func (e *Engine) publishCache(stored, removed []uint64) {
	if len(stored)+len(removed) == 0 {
		return
	}
	e.events = append(e.events, cacheEvent{Seq: uint64(len(e.events) + 1), Stored: stored, Removed: removed, at: time.Now()})
	close(e.changed)
	e.changed = make(chan struct{})
}

// sampleLoad records the load for reports that lag. The caller holds the lock.
func (e *Engine) sampleLoad() {
	now := time.Now()
	c := &e.control
	e.samples = append(e.samples, loadSample{now, apitypes.Load{
		Endpoint: e.cfg.Name, Role: c.role, Model: c.model, Version: c.version, Adapters: slices.Clone(c.adapters),
		Running: e.running, Waiting: len(e.waiting), Slots: e.cfg.Slots, QueuedPrefillTokens: e.queued,
		KVFree: e.cfg.KVTotal - e.kvUsed, KVTotal: e.cfg.KVTotal,
		PrefillRate: e.cfg.PrefillRate * roleFactor(c.role, apitypes.RolePrefill),
		DecodeRate:  e.cfg.DecodeRate * roleFactor(c.role, apitypes.RoleDecode),
		Instance:    e.instance, Changing: c.changing, Draining: c.draining,
	}})
	due := now.Add(-e.cfg.LoadLag)
	for len(e.samples) > 1 && !e.samples[1].at.After(due) {
		e.samples = e.samples[1:]
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	due := time.Now().Add(-e.cfg.LoadLag)
	chosen := e.samples[0]
	for _, s := range e.samples {
		if !s.at.After(due) {
			chosen = s
		}
	}
	e.mu.Unlock()
	chosen.load.AgeMS = e.cfg.LoadLag.Milliseconds()
	writeJSON(w, http.StatusOK, chosen.load)
}

// serveCacheEvents streams cache events late and with gaps.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	e.mu.Lock()
	down := e.down
	next := len(e.events)
	e.mu.Unlock()
	for {
		e.mu.Lock()
		if crashed(down) {
			e.mu.Unlock()
			abort()
		}
		events, changed := slices.Clone(e.events[next:]), e.changed
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
		case <-down:
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
		writeRefusal(w, http.StatusBadRequest, "the order is not valid; send JSON with an id")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.control
	repeated := c.applied[o.ID]
	refused := e.cfg.ChecksFence && o.Fence < c.fence
	e.orderLog = append(e.orderLog, EngineOrder{Order: o, Applied: !repeated && !refused, Refused: refused})
	if refused {
		writeRefusal(w, http.StatusConflict, "the fencing number is old; the order has no effect")
		return
	}
	c.fence = max(c.fence, o.Fence)
	if !repeated && !e.apply(o) {
		delete(c.applied, o.ID)
		writeRefusal(w, http.StatusBadRequest, "the kind of order is not known")
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"id": o.ID, "fence": c.fence})
}

// apply carries out an order. The caller holds the lock.
func (e *Engine) apply(o apitypes.Order) bool {
	c := &e.control
	c.applied[o.ID] = true
	c.lastOrderID = o.ID
	switch o.Kind {
	case apitypes.OrderSetRole:
		e.change(func() { c.role = apitypes.Role(o.Value) })
	case apitypes.OrderLoadModel:
		e.change(func() { c.model = o.Value })
	case apitypes.OrderSetVersion:
		e.change(func() { c.version = o.Value })
	case apitypes.OrderLoadAdapter:
		if !slices.Contains(c.adapters, o.Value) {
			c.adapters = append(c.adapters, o.Value)
		}
	case apitypes.OrderDrain:
		c.draining = true
	case apitypes.OrderResume:
		c.draining = false
	case apitypes.OrderClean:
		e.cache = newPrefixCache(e.cfg.KVTotal)
	default:
		return false
	}
	e.sampleLoad()
	return true
}

// change takes the engine out of service for the change time. The caller holds the lock.
func (e *Engine) change(effect func()) {
	if e.cfg.ChangeTime == 0 {
		effect()
		return
	}
	e.control.changing = true
	down := e.down
	time.AfterFunc(e.cfg.ChangeTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if crashed(down) {
			return
		}
		effect()
		e.control.changing = false
		e.sampleLoad()
	})
}
