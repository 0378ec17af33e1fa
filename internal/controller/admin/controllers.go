package admin

import (
	"context"
	"math"
	"sync"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// eachController calls f concurrently with the index of each VM and a connection to its controller, and waits for all calls. Each
// call has the timeout statusTimeout. VMs that can't be dialled are skipped.
func (s *Server) eachController(ctx context.Context, vms []apitypes.VM, f func(context.Context, int, grpc.ClientConnInterface)) {
	if s.DialController == nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, vm := range vms {
		conn, release, err := s.DialController(vm)
		if err != nil {
			continue
		}
		wg.Go(func() {
			defer release()
			callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			f(callCtx, i, conn)
		})
	}
}

// controllerReachable reports whether a controller responds to a configuration subscription. The requested revision is above all
// others, so that the controller sends no objects.
func controllerReachable(ctx context.Context, conn grpc.ClientConnInterface) bool {
	stream, err := peerpb.NewConfigClient(conn).Subscribe(ctx, &peerpb.ConfigRequest{FromRevision: math.MaxUint64, Role: "admin"})
	if err != nil {
		return false
	}
	_, err = stream.Recv()
	return err == nil
}

// endpointLoads returns the last load report of each endpoint of a pool, or of all pools when pool is empty, by endpoint name. It
// reads them from the controllers of the live VMs and takes the newest report of each endpoint.
func (s *Server) endpointLoads(ctx context.Context, pool string) map[string]endpointLoad {
	var mu sync.Mutex
	loads := make(map[string]endpointLoad)
	request := &peerpb.LoadRequest{}
	if pool != "" {
		request.Pools = []string{pool}
	}
	s.eachController(ctx, s.Members.Live(), func(ctx context.Context, _ int, conn grpc.ClientConnInterface) {
		stream, err := peerpb.NewLoadClient(conn).Subscribe(ctx, request)
		if err != nil {
			return
		}
		u, err := stream.Recv()
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, m := range u.Endpoints {
			if old, ok := loads[m.Name]; !ok || m.AgeMs < old.AgeMS {
				loads[m.Name] = endpointLoadFromMessage(m)
			}
		}
	})
	return loads
}

// endpointLoad is a load report with the flag that the endpoint takes no new work.
type endpointLoad struct {
	apitypes.Load
	noNewWork bool
}

func endpointLoadFromMessage(m *peerpb.EndpointLoad) endpointLoad {
	return endpointLoad{apitypes.Load{Role: apitypes.Role(m.Role), Model: m.Model, Version: m.Version, Adapters: m.Adapters, Running: int(m.Running),
		Waiting: int(m.Waiting), Slots: int(m.Slots), QueuedPrefillTokens: int(m.QueuedPrefillTokens), KVFree: int(m.KvFree),
		KVTotal: int(m.KvTotal), PrefillRate: m.PrefillRate, DecodeRate: m.DecodeRate, Instance: m.Instance, SoftwareVersion: m.SoftwareVersion, AgeMS: m.AgeMs}, m.NoNewWork}
}
