package daemon

import (
	"context"
	"io"

	"crocusglade.example/crocusglade/internal/gateway"
	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/internal/telemetry"
)

// health returns the part that serves /metrics, /livez and /readyz. It has no drain: operators watch a stop with it.
func (n *node) health() Component {
	part := HTTPServerComponent("health", n.settings.MetricsListen, serverTLS(n.metricsTLS, n.settings.MetricsTLS), n.telemetry.Handler())
	part.Drain = nil
	return part
}

// identity returns the identity of a node's process.
func identity(role string, s settings.Common) telemetry.Identity {
	return telemetry.Identity{Role: role, VMName: s.VMName, Region: s.Region, FailureDomain: s.FailureDomain}
}

// RunGateway runs `crocusgladed gateway` and returns the exit code.
func RunGateway(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s, err := settings.LoadGateway(args, stdout)
	if err != nil {
		return settings.ReportLoadError(stderr, err)
	}
	t, err := telemetry.New(stderr, s.LogLevel, identity("gateway", s.Common))
	if err != nil {
		return settings.ReportLoadError(stderr, err)
	}
	parts, err := GatewayComponents(s, t)
	if err != nil {
		t.Log.Error().Str("error", telemetry.Redact(err.Error())).Msg("can't start")
		return ExitFailed
	}
	// The gateway serves on until neighbours know that it leaves and for the lifetime of the addresses that callers keep, and then drains.
	return Run(ctx, t, gateway.DefaultDiscoveryLeaveDelay+s.EntryLifetime+s.DrainLimit, parts)
}

// RunController runs `crocusgladed controller` and returns the exit code.
func RunController(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s, err := settings.LoadController(args, stdout)
	if err != nil {
		return settings.ReportLoadError(stderr, err)
	}
	t, err := telemetry.New(stderr, s.LogLevel, identity("controller", s.Common))
	if err != nil {
		return settings.ReportLoadError(stderr, err)
	}
	parts, err := ControllerComponents(s, t)
	if err != nil {
		t.Log.Error().Str("error", telemetry.Redact(err.Error())).Msg("can't start")
		return ExitFailed
	}
	return Run(ctx, t, s.DrainLimit, parts)
}
