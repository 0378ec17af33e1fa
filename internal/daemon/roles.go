package daemon

import (
	"context"
	"io"

	"crocusglade.example/crocusglade/internal/gateway"
	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/internal/telemetry"
)

// healthServer returns the component that serves /metrics, /livez and /readyz. It is not drained, so that operators can watch the drain
// of the process through it.
func (n *node) healthServer() Component {
	component := HTTPServerComponent("health", n.settings.MetricsListen, serverTLS(n.metricsTLS, n.settings.MetricsTLS), n.telemetry.Handler(), n.telemetry)
	component.Drain = nil
	return component
}

// identity returns the identity of a gateway or controller in logs and metrics.
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
	components, err := GatewayComponents(s, t)
	if err != nil {
		t.Log.Error().Str("error", telemetry.Redact(err.Error())).Msg("creating the gateway failed")
		return ExitFailed
	}
	// The gateway first keeps serving until its neighbours have noticed that it leaves discovery and until the addresses that callers have
	// cached expire. Then it drains.
	return Run(ctx, t, gateway.DefaultDiscoveryLeaveDelay+s.EntryLifetime+s.DrainLimit, components)
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
	components, err := ControllerComponents(s, t)
	if err != nil {
		t.Log.Error().Str("error", telemetry.Redact(err.Error())).Msg("creating the controller failed")
		return ExitFailed
	}
	return Run(ctx, t, s.DrainLimit, components)
}
