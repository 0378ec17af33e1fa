package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
)

// entry is the answer of GET /v1/entry.
type entry struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds int      `json:"lifetime_seconds"`
}

// serveEntry returns the addresses that callers may use, and for how long.
func (g *Gateway) serveEntry(ec echo.Context) error {
	addresses := g.opts.Discovery.Addresses()
	if addresses == nil {
		addresses = []string{}
	}
	ec.Response().Header().Set("Cache-Control", "no-store")
	return ec.JSON(http.StatusOK, entry{addresses, int(g.opts.EntryLifetime / time.Second)})
}

// Drain stops the gateway without cutting a request. It leaves discovery, serves on until neighbours know and for the lifetime of
// addresses that callers hold, refuses new work, waits for requests in progress, for outcomes that
// are being stored and for whole answers whose callers were cut, and hands over. It returns
// an error when ctx ends before that; requests may be cut then.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.opts.Discovery.LeaveDiscovery()
	g.opts.Log.Info().Msg("left discovery")
	lifetime := time.NewTimer(g.opts.DiscoveryLeaveDelay + g.opts.EntryLifetime)
	defer lifetime.Stop()
	select {
	case <-lifetime.C:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "callers may still hold this address; allow more time for the drain")
	}
	g.mu.Lock()
	g.refusing = true
	idle := g.idle
	g.mu.Unlock()
	g.opts.Log.Info().Msg("new work is refused")
	select {
	case <-idle:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests are still in progress; allow more time for the drain")
	}
	if err := g.awaitFetches(ctx); err != nil {
		return err
	}
	return g.opts.OnDrained(ctx)
}

// fetchPoll is the time between two looks at the answers that are kept.
const fetchPoll = 50 * time.Millisecond

// awaitFetches waits until each whole answer has been read to its end or its time is over. Answers live in this process only, so
// its end would lose those that a cut caller may still fetch.
func (g *Gateway) awaitFetches(ctx context.Context) error {
	for g.answers.wanted() {
		select {
		case <-time.After(fetchPoll):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "callers may still fetch answers; allow more time for the drain")
		}
	}
	return nil
}
