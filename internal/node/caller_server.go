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
	// callerHeaderLimit bounds the wait for a request's header.
	callerHeaderLimit = 10 * time.Second
	// callerIdleLimit is above the idle time-outs that operators set, so that callers that stay within theirs never meet a
	// closed connection.
	callerIdleLimit = 90 * time.Second
	// maxCallerHeader bounds a request's header.
	maxCallerHeader = 64 << 10
	// callerKeepAlive is the pause between probes of callers' connections.
	callerKeepAlive = 3 * time.Second
	// noticeTime is how long a stopping VM serves on, so that callers that have its address come back to others: the lifetime
	// of a directory answer, three times.
	noticeTime = 4 * time.Second
	// shutdownReserve is kept of the grace for closing connections.
	shutdownReserve = 700 * time.Millisecond
	drainPoll       = 20 * time.Millisecond
)

// frontPart serves callers. Its drain tells the other VMs, serves on while callers learn of it, and then closes.
func (n *Node) frontPart() daemon.Component {
	server := &http.Server{Handler: n.Adapter.NewCallerHandler(n.server, n.holder, n.draining.Load), ReadHeaderTimeout: callerHeaderLimit,
		IdleTimeout: callerIdleLimit, MaxHeaderBytes: maxCallerHeader, DisableGeneralOptionsHandler: true}
	return daemon.Component{Name: "front",
		Run: func(ctx context.Context) error {
			config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerKeepAlive, Interval: callerKeepAlive, Count: 2}}
			listener, err := config.Listen(ctx, "tcp", n.Settings.CallerListenAddress)
			if err != nil {
				return errors.Wrap(err, "listen for callers (check the address, and that no other process has it)")
			}
			defer context.AfterFunc(ctx, func() { _ = server.Close() })()
			err = server.Serve(listener)
			if errors.Is(err, http.ErrServerClosed) {
				<-ctx.Done() // a drain closed the listener; the part ends with its context
				return nil
			}
			return err
		},
		Drain:    func(ctx context.Context) error { return n.drainFront(ctx, server) },
		InFlight: n.server.InFlight,
	}
}

func (n *Node) drainFront(ctx context.Context, server *http.Server) error {
	started := time.Now()
	n.draining.Store(true)
	n.link.AnnounceDrain()
	latest := n.Grace - shutdownReserve
	for time.Since(started) < latest && (time.Since(started) < min(noticeTime, latest) || n.server.InFlight() > 0) {
		if !ctxtime.Sleep(ctx, drainPoll) {
			break
		}
	}
	n.log.Info().Int("in_flight", n.server.InFlight()).Int64("drained_ms", time.Since(started).Milliseconds()).Msg("closing the front")
	limit, cancel := context.WithTimeout(ctx, shutdownReserve/2)
	defer cancel()
	return server.Shutdown(limit)
}
