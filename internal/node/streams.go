package node

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/continuation"
	"crocusglade.example/crocusglade/internal/ctxtime"
)

const (
	// streamsPath is the path at which a VM tells others what it knows of a stream.
	streamsPath = "/streams/"
	// maxAskedVMs is the number of VMs that are asked for a stream: those that keep it, and some that kept it while others were not live.
	maxAskedVMs = 5
	// tellInterval is the time between two reports of streams that began. Those that began since the last one go on nowhere if this VM is lost just before
	// a second software version comes.
	tellInterval = 150 * time.Millisecond
)

// streamPeers implements continuation.Peers.
type streamPeers struct{ node *Node }

// Tell implements continuation.Peers.
func (p streamPeers) Tell(streams []continuation.Stream) { p.node.link.TellStreams(streams, true) }

// TellKeepers implements continuation.Peers.
func (p streamPeers) TellKeepers(streams []continuation.Stream) {
	p.node.link.TellStreams(streams, false)
}

// tellBegunStreams tells other VMs of the streams that begin, until ctx ends.
func (n *Node) tellBegunStreams(ctx context.Context) error {
	for ctxtime.Sleep(ctx, tellInterval) {
		n.streams.TellBegun()
	}
	return nil
}

// AnnounceVersions implements continuation.Peers.
func (p streamPeers) AnnounceVersions() { p.node.link.AnnounceStatus() }

// InStep implements continuation.Peers.
func (p streamPeers) InStep() bool { return p.node.link.InStep() }

// Ask implements continuation.Peers.
func (p streamPeers) Ask(ctx context.Context, service string, k continuation.Key) []continuation.Reply {
	links := p.node.link.StreamKeepers(k, maxAskedVMs)
	path := streamsPath + strconv.FormatUint(uint64(k), 16) + "?" + url.Values{"service": {service}}.Encode()
	replies := make([]*continuation.Reply, len(links))
	var calls sync.WaitGroup
	for i, link := range links {
		calls.Go(func() {
			var r continuation.Reply
			if err := getFromVM(ctx, link, path, &r); err != nil {
				p.node.log.Warn().Err(err).Msg("asking a VM for a stream failed")
				return
			}
			replies[i] = &r
		})
	}
	calls.Wait()
	var list []continuation.Reply
	for _, r := range replies {
		if r != nil {
			list = append(list, *r)
		}
	}
	return list
}

// serveStream tells another VM what this VM knows of a stream.
func (n *Node) serveStream(c echo.Context) error {
	key, err := strconv.ParseUint(c.Param("key"), 16, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	return c.JSON(http.StatusOK, n.streams.Reply(c.QueryParam("service"), continuation.Key(key)))
}
