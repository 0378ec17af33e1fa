package node

import (
	"context"
	"time"

	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/telemetry"
)

// refusalLogInterval is how often refusals are looked for, and the shortest time between two log lines about them.
const refusalLogInterval = time.Second

// callerLoad returns the load of callers for metrics.
func (n *Node) callerLoad() telemetry.CallerLoad {
	s := n.callers.Stats()
	return telemetry.CallerLoad{Conns: int64(s.Conns), Bytes: map[string]int64{"header": s.HeaderBytes, "body": s.BodyBytes}, Refusals: s.Refusals}
}

// logCallerRefusals logs when callers begin to be refused because of the limits of this process, and when that ends, until ctx ends.
func (n *Node) logCallerRefusals(ctx context.Context) error {
	var seen, before int64
	refusing := false
	for ctxtime.Sleep(ctx, refusalLogInterval) {
		s := n.callers.Stats()
		switch {
		case s.TotalRefusals > seen && !refusing:
			refusing, before = true, seen
			n.log.Warn().Int("connections", s.Conns).Int64("header_bytes", s.HeaderBytes).Int64("body_bytes", s.BodyBytes).
				Interface("refusals", s.Refusals).Msg("callers exceed the limits of this process; requests or connections are refused")
		case s.TotalRefusals == seen && refusing:
			refusing = false
			n.log.Info().Int64("refused", s.TotalRefusals-before).Interface("refusals", s.Refusals).Msg("callers are inside the limits again")
		}
		seen = s.TotalRefusals
	}
	return nil
}
