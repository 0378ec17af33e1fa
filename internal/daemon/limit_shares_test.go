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

// limitTestGateway is the part of a gateway that enforces limits, without the rest of the daemon.
type limitTestGateway struct {
	queue *admission.Queue
	stop  context.CancelFunc
}

// startGateways starts n gateways that are connected by in-memory listeners and share the limits of teams. It returns them by VM.
func startGateways(t *testing.T, n int, teams map[string]admission.TeamConfig) map[string]limitTestGateway {
	platform, listeners := memplatform.New(), make(map[string]*memnet.Listener)
	var vms []apitypes.VM
	for i := range n {
		name := fmt.Sprintf("vm-%02d", i)
		vms = append(vms, apitypes.VM{Name: name, FailureDomain: fmt.Sprint(i % 3), State: apitypes.VMLive, GatewayPeerAddr: name})
		listeners[name] = memnet.Listen()
	}
	platform.SetVMs(vms)
	var goroutines sync.WaitGroup
	out := make(map[string]limitTestGateway)
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
		goroutines.Go(func() { _ = server.Serve(listeners[vm.Name]) })
		goroutines.Go(func() { _ = shares.run(ctx); clients.Close(); server.Stop() })
		out[vm.Name] = limitTestGateway{queue, cancel}
	}
	t.Cleanup(func() {
		for _, g := range out {
			g.stop()
		}
		goroutines.Wait()
	})
	return out
}

// sendLoad sends requests of 100 tokens of a team to all given gateways, 10 a second to each, and returns the accepted tokens a second.
func sendLoad(t *testing.T, gateways map[string]limitTestGateway, team string, duration time.Duration) float64 {
	accepted := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, g := range gateways {
			ticket, err := g.queue.Acquire(t.Context(), admission.Request{Team: team, Pool: "p", Tokens: 100})
			if err == nil {
				accepted += 100
				ticket.Release(100)
			}
		}
	}
	return float64(accepted) / duration.Seconds()
}

// Guards against each gateway of a large fleet admitting a team's full limit, and against a team that is not admitted any more after the
// gateway that divides its limits has ended.
func TestLimitsOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5000
		gateways := startGateways(t, 12, map[string]admission.TeamConfig{"a": {Limits: apitypes.Limits{TokensPerSecond: limit}}, "b": {}})
		sendLoad(t, gateways, "a", 5*time.Second)
		if used := sendLoad(t, gateways, "a", 20*time.Second); used < 0.9*limit || used > 1.1*limit {
			t.Errorf("used %.0f tokens a second of a limit of %d", used, limit)
		}
		if used := sendLoad(t, gateways, "b", time.Second); used < 12*1000 {
			t.Errorf("a team without limits used %.0f tokens a second", used)
		}
		divider := membership.Rendezvous("limits/a", names(gateways), 1)[0]
		gateways[divider].stop()
		delete(gateways, divider)
		sendLoad(t, gateways, "a", 10*time.Second)
		if used := sendLoad(t, gateways, "a", 20*time.Second); used < 0.5*limit || used > 1.1*limit {
			t.Errorf("without the dividing gateway: used %.0f tokens a second of a limit of %d", used, limit)
		}
	})
}

func names(gateways map[string]limitTestGateway) (out []string) {
	for name := range gateways {
		out = append(out, name)
	}
	return out
}
