package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/vmlink"
)

const (
	// warmupDelay is how long a VM waits after its start for status messages of the other VMs.
	warmupDelay = 150 * time.Millisecond
	// minServingUptime is the uptime from which a VM serves its list of cached prompt parts; before, the list may be incomplete.
	minServingUptime = 3 * time.Second
	// minEngineAge is the age from which an engine is queried; younger ones have few cached parts.
	minEngineAge = 12 * time.Second
	// maxEngineListTries bounds the wait for the first engines, in steps of pollInterval.
	maxEngineListTries = 40
	// cachedPartsPath is the path at which a VM serves the prompt parts that it expects in the engines' caches.
	cachedPartsPath = "/kept"
)

// warmUpCachedParts loads, once after a start, which prompt parts the engines have cached: from a VM that has run for longer, or else
// from the engines. Otherwise the engines would compute all shared parts again after a restart of all VMs. It returns when ctx ends.
func (n *Node) warmUpCachedParts(ctx context.Context) error {
	defer func() { <-ctx.Done() }()
	if !ctxtime.Sleep(ctx, warmupDelay) {
		return nil
	}
	engines := n.awaitEngines(ctx)
	for _, vm := range n.link.LivePeers() {
		if err := n.importCachedParts(ctx, vm.LinkAddress); err == nil {
			n.log.Info().Str("source", vm.Name).Msg("imported cached prompt parts from another VM")
			return nil
		}
	}
	for _, e := range engines {
		if !n.fleet.MayReceive(&e) {
			continue
		}
		if n.isEngineQuerier(e.ID) && n.medianClock.Now().Sub(time.UnixMilli(e.StartedAtMS)) > minEngineAge {
			n.queryCachedParts(ctx, &e)
		}
	}
	return nil
}

// awaitEngines waits for the first engines and returns them, or nil if none are known in time.
func (n *Node) awaitEngines(ctx context.Context) []catalog.Endpoint {
	for range maxEngineListTries {
		if c := n.catalogHolder.Current(); c != nil {
			var engines []catalog.Endpoint
			for name, s := range c.Services {
				if s.Engine != nil {
					engines = append(engines, n.fleet.Endpoints(name)...)
				}
			}
			if len(engines) > 0 {
				return engines
			}
		}
		if !ctxtime.Sleep(ctx, pollInterval) {
			return nil
		}
	}
	return nil
}

// isEngineQuerier reports whether this VM, of all live VMs, is the one that queries an engine. It is chosen by rendezvous hashing.
func (n *Node) isEngineQuerier(id string) bool {
	ownWeight := xxhash.Sum64String(id + "\x00" + n.VM)
	for _, vm := range n.link.LivePeers() {
		if xxhash.Sum64String(id+"\x00"+vm.Name) > ownWeight {
			return false
		}
	}
	return true
}

// queryCachedParts records the prompt parts that an engine reports as cached.
func (n *Node) queryCachedParts(ctx context.Context, e *catalog.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, vmCallTimeout)
	defer cancel()
	parts, err := n.Backend.CachedParts(ctx, e)
	if err == nil {
		n.fleet.RecordCachedParts(e.ID, parts)
	}
	n.log.Info().Str("endpoint", e.ID).Int("parts", len(parts)).Err(err).Msg("queried an engine for cached prompt parts")
}

// importCachedParts imports the cached parts known to another VM. It returns an error if that VM has started only recently.
func (n *Node) importCachedParts(ctx context.Context, link string) error {
	var reads []vmlink.EndpointCachedPrefix
	if err := getFromVM(ctx, link, cachedPartsPath, &reads); err != nil {
		return err
	}
	n.fleet.ImportCachedParts(vmlink.DecodeReads(reads))
	return nil
}

// serveCachedParts serves the prompt parts that this VM expects in the engines' caches.
func (n *Node) serveCachedParts(c echo.Context) error {
	var cached []placement.CachedPrefix
	if time.Since(n.startedAt) >= minServingUptime {
		cached = n.fleet.CachedParts()
	}
	if len(cached) == 0 {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, vmlink.EncodeReads(cached))
}
