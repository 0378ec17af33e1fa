package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/daemon"
)

const (
	// callerHeaderTimeout bounds the time to read a request's header.
	callerHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is longer than the idle timeouts that operators configure for callers, so that a caller that respects its
	// own timeout never reuses a connection that the server has closed.
	callerIdleTimeout = 90 * time.Second
	// maxCallerHeaderBytes bounds the size of a request's header.
	maxCallerHeaderBytes = 64 << 10
	// callerKeepAliveInterval is the time between TCP keep-alive probes on callers' connections.
	callerKeepAliveInterval = 3 * time.Second
	// minDrainTime is how long a draining VM keeps serving, so that callers that hold its address learn other addresses first. It
	// is more than three lifetimes of a directory response.
	minDrainTime = 4 * time.Second
	// drainAcceptTime is how long a draining VM accepts all requests. After it, requests that may last until the VM stops are refused.
	drainAcceptTime = 3 * time.Second
	// shutdownReserve is the part of the grace period that is reserved for closing connections.
	shutdownReserve = 700 * time.Millisecond
	// pollInterval is the time between checks while waiting for the drain or for the first engines.
	pollInterval = 20 * time.Millisecond
)

// callerServerComponent returns the HTTP server for callers. Its drain notifies the other VMs, keeps serving until callers have
// had time to switch to other VMs, and then closes the listener.
func (n *Node) callerServerComponent() daemon.Component {
	server := &http.Server{Handler: n.Adapter.NewCallerHandler(n.server, n.catalogHolder, n.draining.Load), ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes, DisableGeneralOptionsHandler: true}
	return daemon.Component{Name: "front",
		Run: func(ctx context.Context) error {
			listenConfig := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerKeepAliveInterval, Interval: callerKeepAliveInterval, Count: 2}}
			listener, err := listenConfig.Listen(ctx, "tcp", n.Settings.CallerListenAddress)
			if err != nil {
				return errors.Wrap(err, "listen for callers (check the address and that no other process uses it)")
			}
			defer context.AfterFunc(ctx, func() { _ = server.Close() })()
			err = server.Serve(listener)
			if errors.Is(err, http.ErrServerClosed) {
				<-ctx.Done() // closed by a drain; the component ends with its context
				return nil
			}
			return err
		},
		Drain:    func(ctx context.Context) error { return n.drainCallerServer(ctx, server) },
		InFlight: n.server.InFlight,
	}
}

func (n *Node) drainCallerServer(ctx context.Context, server *http.Server) error {
	started := time.Now()
	n.drainStartedAt.Store(&started)
	n.draining.Store(true)
	n.link.AnnounceDrain()
	maxDrainTime := n.Grace - shutdownReserve
	for time.Since(started) < maxDrainTime && (time.Since(started) < min(minDrainTime, maxDrainTime) || n.server.InFlight() > 0) {
		if !ctxtime.Sleep(ctx, pollInterval) {
			break
		}
	}
	n.log.Info().Int("in_flight", n.server.InFlight()).Int64("drained_ms", time.Since(started).Milliseconds()).Msg("drain ended, closing the caller listener")
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownReserve/2)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}

// timeToStop returns the time until a draining VM stops serving, and false while the VM accepts all requests.
func (n *Node) timeToStop() (time.Duration, bool) {
	started := n.drainStartedAt.Load()
	if started == nil || time.Since(*started) < drainAcceptTime {
		return 0, false
	}
	return time.Until(started.Add(n.Grace - shutdownReserve)), true
}
