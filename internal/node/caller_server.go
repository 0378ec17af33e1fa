package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/callerlimit"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/daemon"
)

const (
	// callerHeaderTimeout bounds the time to read a request's header.
	callerHeaderTimeout = 10 * time.Second
	// callerWriteTimeout bounds the writes of responses that net/http sends by itself, to invalid requests. The handler sets the deadlines
	// of all others.
	callerWriteTimeout = 15 * time.Second
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
	// drainAcceptTime is how long a draining VM accepts all requests, but at most drainAcceptShare of the grace period. After it, requests
	// that may last until the VM stops are refused.
	drainAcceptTime  = 3 * time.Second
	drainAcceptShare = 3.0 / 8
	// shutdownReserve is the part of the grace period that is reserved for closing connections, but at most shutdownShare of it: the
	// platform excuses requests that are cut in its last sixth.
	shutdownReserve = 700 * time.Millisecond
	shutdownShare   = 1.0 / 10
	// pollInterval is the time between checks while waiting for the drain or for the first engines.
	pollInterval = 20 * time.Millisecond
)

// callerServerComponent returns the HTTP server for callers. Its drain notifies the other VMs, keeps serving until callers have
// had time to switch to other VMs, and then closes the listener.
func (n *Node) callerServerComponent() daemon.Component {
	server := &http.Server{Handler: n.Adapter.NewCallerHandler(n.server, n.catalogHolder, n.draining.Load), ReadHeaderTimeout: callerHeaderTimeout,
		WriteTimeout: callerWriteTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes, DisableGeneralOptionsHandler: true, ConnContext: callerlimit.ConnContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			n.activeConns.update(conn, state)
			n.callers.ConnState(conn, state)
		}}
	return daemon.Component{Name: "front",
		Run: func(ctx context.Context) error {
			listenConfig := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerKeepAliveInterval, Interval: callerKeepAliveInterval, Count: 2}}
			listener, err := listenConfig.Listen(ctx, "tcp", n.Settings.CallerListenAddress)
			if err != nil {
				return errors.Wrap(err, "listen for callers (check the address and that no other process uses it)")
			}
			n.callerListener.Store(newCallerListener(listener))
			defer context.AfterFunc(ctx, func() { _ = server.Close() })()
			err = server.Serve(n.callers.Listener(n.callerListener.Load()))
			if errors.Is(err, http.ErrServerClosed) {
				<-ctx.Done() // closed by a drain; the component ends with its context
				return nil
			}
			return err
		},
		Drain:    func(ctx context.Context) error { return n.drainCallerServer(ctx, server) },
		InFlight: n.activeConns.count,
	}
}

// drainCallerServer drains the server for callers. Until the end it serves what can be completed. The drain ends early when no request is
// in progress, including those that are still being read. From its end on, all requests are refused: the process ends as soon as those that
// were accepted before are complete, so a later one would be cut although the grace period goes on.
func (n *Node) drainCallerServer(ctx context.Context, server *http.Server) error {
	started := time.Now()
	n.drainStartedAt.Store(&started)
	n.draining.Store(true)
	n.link.AnnounceDrain()
	limit := n.maxDrainTime()
	n.waitWhile(ctx, started.Add(limit), func() bool {
		return time.Since(started) < min(minDrainTime, limit) || n.activeConns.count() > 0
	})
	n.refusesAll.Store(true)
	n.waitWhile(ctx, started.Add(limit), func() bool { return n.server.InFlight() > 0 })
	n.log.Info().Int("in_flight", n.activeConns.count()).Int64("drained_ms", time.Since(started).Milliseconds()).Msg("drain ended, closing the caller listener")
	if l := n.callerListener.Load(); l != nil {
		if err := l.stopAccepting(); err != nil {
			n.log.Warn().Err(err).Msg("closing the caller listener failed")
		}
	}
	ctxtime.Sleep(ctx, n.shutdownTime()/2) // callers with open connections get refusals in place of a closed connection
	shutdownCtx, cancel := context.WithTimeout(ctx, n.shutdownTime()/4)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}

// waitWhile waits until a condition no longer holds, the time end, or the end of ctx.
func (n *Node) waitWhile(ctx context.Context, end time.Time, condition func() bool) {
	for time.Now().Before(end) && condition() && ctxtime.Sleep(ctx, pollInterval) {
	}
}

// shutdownTime returns the part of the grace period that is reserved for closing connections.
func (n *Node) shutdownTime() time.Duration {
	return min(shutdownReserve, time.Duration(shutdownShare*float64(n.Grace)))
}

// maxDrainTime returns how long a draining VM serves at most.
func (n *Node) maxDrainTime() time.Duration { return n.Grace - n.shutdownTime() }

// timeToStop returns the time until a draining VM stops serving, and false while the VM accepts all requests.
func (n *Node) timeToStop() (time.Duration, bool) {
	started := n.drainStartedAt.Load()
	acceptTime := min(drainAcceptTime, time.Duration(drainAcceptShare*float64(n.Grace)))
	switch {
	case n.refusesAll.Load():
		return 0, true
	case started == nil || time.Since(*started) < acceptTime:
		return 0, false
	}
	return time.Until(started.Add(n.maxDrainTime())), true
}
