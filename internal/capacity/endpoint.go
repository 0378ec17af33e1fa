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
	// cachePeriod is the time between two cache events of a busy endpoint.
	cachePeriod = 500 * time.Millisecond
	busySlots   = 64
	busyKV      = 2000
)

// busyEndpoint answers load reports with other figures each time and publishes blocks prefix blocks a second; a stored block
// replaces an earlier one. Everything else goes to the engine.
func busyEndpoint(engine http.Handler, name, model string, blocks int) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", engine)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(apitypes.Load{Endpoint: name, Role: apitypes.RoleMixed, Model: model, Version: "1",
			Running: 20 + rand.IntN(30), Waiting: rand.IntN(4), Slots: busySlots, QueuedPrefillTokens: rand.IntN(8000),
			KVFree: rand.IntN(busyKV), KVTotal: busyKV, PrefillRate: 8000, DecodeRate: 1500, Instance: name + "-1"})
	})
	mux.HandleFunc("GET /v1/cache/events", func(w http.ResponseWriter, r *http.Request) { serveCache(w, r, blocks) })
	return mux
}

func serveCache(w http.ResponseWriter, r *http.Request, blocks int) {
	ticker := time.NewTicker(cachePeriod)
	defer ticker.Stop()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	each := int(float64(blocks) * cachePeriod.Seconds())
	var held []uint64
	for seq := uint64(0); ; seq++ {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
		if each == 0 {
			continue
		}
		event := struct {
			Seq     uint64   `json:"seq"`
			Stored  []uint64 `json:"stored"`
			Removed []uint64 `json:"removed"`
		}{Seq: seq}
		for range each {
			event.Stored = append(event.Stored, rand.Uint64())
		}
		held = append(held, event.Stored...)
		if extra := len(held) - busyKV; extra > 0 {
			event.Removed, held = held[:extra:extra], held[extra:]
		}
		data, _ := json.Marshal(event)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
