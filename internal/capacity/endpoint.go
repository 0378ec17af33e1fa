package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// cacheEventInterval is the time between cache events of a busy endpoint.
	cacheEventInterval = 500 * time.Millisecond
	// busySlots and busyKVBlocks are the request slots and the KV cache blocks of a busy endpoint.
	busySlots    = 64
	busyKVBlocks = 2000
)

// busyEndpoint returns a handler that responds with a random load report each time and publishes the given number of prefix blocks per
// second; above busyKVBlocks, the oldest blocks are removed. Other requests go to the engine.
func busyEndpoint(engine http.Handler, name, model string, blocks int) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", engine)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(apitypes.Load{Endpoint: name, Role: apitypes.RoleMixed, Model: model, Version: "1", SoftwareVersion: "1",
			Running: 20 + rand.IntN(30), Waiting: rand.IntN(4), Slots: busySlots, QueuedPrefillTokens: rand.IntN(8000),
			KVFree: rand.IntN(busyKVBlocks), KVTotal: busyKVBlocks, PrefillRate: 8000, DecodeRate: 1500, Instance: name + "-1"})
	})
	mux.HandleFunc("GET /v1/cache/events", func(w http.ResponseWriter, r *http.Request) { serveCacheEvents(w, r, blocks) })
	return mux
}

// serveCacheEvents streams cache events with random blocks until the client disconnects.
func serveCacheEvents(w http.ResponseWriter, r *http.Request, blocks int) {
	ticker := time.NewTicker(cacheEventInterval)
	defer ticker.Stop()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	blocksPerEvent := int(float64(blocks) * cacheEventInterval.Seconds())
	var cached []uint64
	for seq := uint64(0); ; seq++ {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
		if blocksPerEvent == 0 {
			continue
		}
		event := struct {
			Seq     uint64   `json:"seq"`
			Stored  []uint64 `json:"stored"`
			Removed []uint64 `json:"removed"`
		}{Seq: seq}
		for range blocksPerEvent {
			event.Stored = append(event.Stored, rand.Uint64())
		}
		cached = append(cached, event.Stored...)
		if excess := len(cached) - busyKVBlocks; excess > 0 {
			event.Removed, cached = cached[:excess:excess], cached[excess:]
		}
		data, _ := json.Marshal(event)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
