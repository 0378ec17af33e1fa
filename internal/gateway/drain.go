package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
)

// entryResponse is the response body of GET /v1/entry.
type entryResponse struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds int      `json:"lifetime_seconds"`
}

// serveEntry returns the gateway addresses that callers may use, and their lifetime in seconds.
func (g *Gateway) serveEntry(ec echo.Context) error {
	addresses := g.opts.Discovery.Addresses()
	if addresses == nil {
		addresses = []string{}
	}
	ec.Response().Header().Set("Cache-Control", "no-store")
	return ec.JSON(http.StatusOK, entryResponse{addresses, int(g.opts.EntryLifetime / time.Second)})
}

// Drain stops the gateway without interrupting requests. It leaves discovery and keeps serving until neighbours no longer return its
// address (DiscoveryLeaveDelay) and addresses that callers hold have expired (EntryLifetime). Then it refuses new requests, waits for
// active requests, for outcomes that are being stored and for complete answers that were not delivered, and calls OnDrained. It
// returns an error when ctx ends earlier; requests may be interrupted then.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()
	g.opts.Discovery.LeaveDiscovery()
	g.opts.Log.Info().Msg("left discovery")
	lifetime := time.NewTimer(g.opts.DiscoveryLeaveDelay + g.opts.EntryLifetime)
	defer lifetime.Stop()
	select {
	case <-lifetime.C:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for callers to drop this address; allow more time for the drain")
	}
	g.mu.Lock()
	g.rejectsRequests = true
	idle := g.idle
	g.mu.Unlock()
	g.opts.Log.Info().Msg("refusing new requests")
	select {
	case <-idle:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for active requests; allow more time for the drain")
	}
	if err := g.waitForFetches(ctx); err != nil {
		return err
	}
	return g.opts.OnDrained(ctx)
}

// fetchPollInterval is the time between two checks for undelivered answers.
const fetchPollInterval = 50 * time.Millisecond

// waitForFetches waits until each complete answer is delivered or has expired. Answers exist only in this process, so an earlier exit
// would lose answers that disconnected callers may still fetch.
func (g *Gateway) waitForFetches(ctx context.Context) error {
	for g.answers.hasUndelivered() {
		select {
		case <-time.After(fetchPollInterval):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for callers to fetch answers; allow more time for the drain")
		}
	}
	return nil
}
