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
	// warmupWait is how long a started VM waits for word of the others before it asks the engines.
	warmupWait = 150 * time.Millisecond
	// warmUptime is the time since its start after which a VM knows what engines keep.
	warmUptime = 3 * time.Second
	// warmEngine is the age from which an engine keeps parts that are worth asking for.
	warmEngine = 12 * time.Second
	// warmupTries bounds the wait for the first endpoints.
	warmupTries = 40
	keptPath    = "/kept"
)

// warmUp learns once after a start which prompt parts the engines keep: from a VM that has run for longer, or else from the
// engines. Otherwise all shared parts would be read again after a restart of all VMs.
func (n *Node) warmUp(ctx context.Context) error {
	defer func() { <-ctx.Done() }()
	if !ctxtime.Sleep(ctx, warmupWait) {
		return nil
	}
	engines := n.awaitEngines(ctx)
	for _, vm := range n.link.LivePeers() {
		if err := n.adoptKept(ctx, vm.Link); err == nil {
			n.log.Info().Str("source", vm.Name).Msg("kept prompt parts learned")
			return nil
		}
	}
	for _, e := range engines {
		if n.asksEngine(e.ID) && n.trueTime.Now().Sub(time.UnixMilli(e.StartedAtMS)) > warmEngine {
			n.askEngine(ctx, &e)
		}
	}
	return nil
}

// awaitEngines returns the engines once some are known.
func (n *Node) awaitEngines(ctx context.Context) []catalog.Endpoint {
	for range warmupTries {
		if c := n.holder.Current(); c != nil {
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
		if !ctxtime.Sleep(ctx, drainPoll) {
			return nil
		}
	}
	return nil
}

// asksEngine tells whether this VM is the one of those that are up that asks an engine.
func (n *Node) asksEngine(id string) bool {
	own := xxhash.Sum64String(id + "\x00" + n.VM)
	for _, vm := range n.link.LivePeers() {
		if xxhash.Sum64String(id+"\x00"+vm.Name) > own {
			return false
		}
	}
	return true
}

func (n *Node) askEngine(ctx context.Context, e *catalog.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, vmCallTimeout)
	defer cancel()
	parts, err := n.Backend.KeptParts(ctx, e)
	if err == nil {
		n.fleet.RecordCachedParts(e.ID, parts)
	}
	n.log.Info().Str("endpoint", e.ID).Int("parts", len(parts)).Err(err).Msg("kept prompt parts learned")
}

// adoptKept learns from another VM. VMs that have just started themselves don't answer.
func (n *Node) adoptKept(ctx context.Context, link string) error {
	var reads []vmlink.EndpointRead
	if err := askVM(ctx, link, keptPath, &reads); err != nil {
		return err
	}
	n.fleet.ImportCachedParts(vmlink.DecodeReads(reads))
	return nil
}

// serveKept tells another VM what the engines are expected to keep.
func (n *Node) serveKept(c echo.Context) error {
	var kept []placement.PromptRead
	if time.Since(n.started) >= warmUptime {
		kept = n.fleet.CachedParts()
	}
	if len(kept) == 0 {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, vmlink.EncodeReads(kept))
}
