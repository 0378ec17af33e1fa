package admin

import (
	"context"
	"math"
	"sync"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// eachController calls f with a connection to the controllers of some VMs at once, with a time limit for each call, and waits for all.
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

// reachable tells whether a controller sends its freshness. A subscriber ahead of every revision is sent no objects.
func reachable(ctx context.Context, conn grpc.ClientConnInterface) bool {
	stream, err := peerpb.NewConfigClient(conn).Subscribe(ctx, &peerpb.ConfigRequest{FromRevision: math.MaxUint64, Role: "admin"})
	if err != nil {
		return false
	}
	_, err = stream.Recv()
	return err == nil
}

// loads returns the last load report of each endpoint of a pool, or of all when pool is empty, from the collecting controllers.
func (s *Server) loads(ctx context.Context, pool string) map[string]loadView {
	var mu sync.Mutex
	all := make(map[string]loadView)
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
			if old, ok := all[m.Name]; !ok || m.AgeMs < old.AgeMS {
				all[m.Name] = loadOf(m)
			}
		}
	})
	return all
}

// loadView is a load report with the endpoint's own statement that it takes no new work.
type loadView struct {
	apitypes.Load
	noNewWork bool
}

func loadOf(m *peerpb.EndpointLoad) loadView {
	return loadView{apitypes.Load{Role: apitypes.Role(m.Role), Model: m.Model, Version: m.Version, Adapters: m.Adapters, Running: int(m.Running),
		Waiting: int(m.Waiting), Slots: int(m.Slots), QueuedPrefillTokens: int(m.QueuedPrefillTokens), KVFree: int(m.KvFree),
		KVTotal: int(m.KvTotal), PrefillRate: m.PrefillRate, DecodeRate: m.DecodeRate, Instance: m.Instance, AgeMS: m.AgeMs}, m.NoNewWork}
}
