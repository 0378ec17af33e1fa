package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/memnet"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/peer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// limitedGateway is what limits need of a gateway; the rest of the daemon is left out.
type limitedGateway struct {
	queue *admission.Queue
	stop  context.CancelFunc
}

// startLimited starts n gateways that reach each other in memory and share the limits of teams.
func startLimited(t *testing.T, n int, teams map[string]admission.TeamConfig) map[string]limitedGateway {
	platform, listeners := memplatform.New(), make(map[string]*memnet.Listener)
	var vms []apitypes.VM
	for i := range n {
		name := fmt.Sprintf("vm-%02d", i)
		vms = append(vms, apitypes.VM{Name: name, FailureDomain: fmt.Sprint(i % 3), State: apitypes.VMLive, GatewayPeerAddr: name})
		listeners[name] = memnet.Listen()
	}
	platform.SetVMs(vms)
	var parts sync.WaitGroup
	out := make(map[string]limitedGateway)
	for _, vm := range vms {
		ctx, cancel := context.WithCancel(context.Background())
		members := membership.New(vm, platform)
		members.Refresh(ctx)
		clients := peer.NewClients(nil, grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return listeners[addr].Dial(ctx)
		}))
		queue := admission.New()
		queue.SetTeams(teams)
		shares := newLimitShares(&node{self: vm, members: members, clients: clients}, queue)
		shares.setTeams(teams)
		server := grpc.NewServer()
		peerpb.RegisterGatewayServer(server, &peer.Server{VM: vm.Name, Limits: shares})
		parts.Go(func() { _ = server.Serve(listeners[vm.Name]) })
		parts.Go(func() { _ = shares.run(ctx); clients.Close(); server.Stop() })
		out[vm.Name] = limitedGateway{queue, cancel}
	}
	t.Cleanup(func() {
		for _, g := range out {
			g.stop()
		}
		parts.Wait()
	})
	return out
}

// use sends a team's requests of 100 tokens to all given gateways, 10 a second to each, and returns the accepted tokens a second.
func use(t *testing.T, gateways map[string]limitedGateway, team string, length time.Duration) float64 {
	accepted := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, g := range gateways {
			ticket, err := g.queue.Acquire(t.Context(), admission.Request{Team: team, Pool: "p", Tokens: 100})
			if err == nil {
				accepted += 100
				ticket.Release(100)
			}
		}
	}
	return float64(accepted) / length.Seconds()
}

// Guards against limits that each gateway of a large fleet grants anew, and against a team that gets nothing after the gateway that
// divides its limits is gone.
func TestLimitsOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5000
		gateways := startLimited(t, 12, map[string]admission.TeamConfig{"a": {Limits: apitypes.Limits{TokensPerSecond: limit}}, "b": {}})
		use(t, gateways, "a", 5*time.Second)
		if used := use(t, gateways, "a", 20*time.Second); used < 0.9*limit || used > 1.1*limit {
			t.Errorf("used %.0f tokens a second of a limit of %d", used, limit)
		}
		if used := use(t, gateways, "b", time.Second); used < 12*1000 {
			t.Errorf("a team without limits used %.0f tokens a second", used)
		}
		divider := membership.Rendezvous("limits/a", names(gateways), 1)[0]
		gateways[divider].stop()
		delete(gateways, divider)
		use(t, gateways, "a", 10*time.Second)
		if used := use(t, gateways, "a", 20*time.Second); used < 0.5*limit || used > 1.1*limit {
			t.Errorf("without the dividing gateway: used %.0f tokens a second of a limit of %d", used, limit)
		}
	})
}

func names(gateways map[string]limitedGateway) (out []string) {
	for name := range gateways {
		out = append(out, name)
	}
	return out
}
