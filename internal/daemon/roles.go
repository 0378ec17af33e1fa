package daemon

import (
	"context"
	"io"
	"time"

	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/internal/telemetry"
)

// health returns the part that serves /metrics, /livez and /readyz. It has no drain: operators watch a stop with it.
func health(s settings.Node, t *telemetry.Telemetry) Part {
	part := Server("health", s.MetricsListen, nil, t.Handler())
	part.Drain = nil
	return part
}

// identity returns the identity of a node's process.
func identity(role string, s settings.Node) telemetry.Identity {
	return telemetry.Identity{Role: role, VMName: s.VMName, Region: s.Region, FailureDomain: s.FailureDomain}
}

// leaveNotice is the time in which neighbours learn that a gateway has left discovery: a heartbeat period of 1 s and the message's
// way. Without it a gateway refused callers who had got its address from a neighbour that did not know yet.
const leaveNotice = 2 * time.Second

// Gateway runs `crocusgladed gateway` and returns the exit code.
func Gateway(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s, err := settings.LoadGateway(args, stdout)
	if err != nil {
		return settings.Report(stderr, err)
	}
	t, err := telemetry.New(stderr, s.LogLevel, identity("gateway", s.Node))
	if err != nil {
		return settings.Report(stderr, err)
	}
	parts, err := GatewayParts(s, t)
	if err != nil {
		t.Log.Error().Str("error", telemetry.Redact(err.Error())).Msg("can't start")
		return ExitFailed
	}
	// The gateway serves on for the lifetime of the addresses that callers keep, and then drains.
	return Run(ctx, t, leaveNotice+s.EntryLifetime+s.DrainLimit, parts)
}

// Controller runs `crocusgladed controller` and returns the exit code.
func Controller(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s, err := settings.LoadController(args, stdout)
	if err != nil {
		return settings.Report(stderr, err)
	}
	t, err := telemetry.New(stderr, s.LogLevel, identity("controller", s.Node))
	if err != nil {
		return settings.Report(stderr, err)
	}
	parts, err := ControllerParts(s, t)
	if err != nil {
		t.Log.Error().Str("error", telemetry.Redact(err.Error())).Msg("can't start")
		return ExitFailed
	}
	return Run(ctx, t, s.StopLimit, parts)
}
