package controller

import (
	"time"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// loadBatch is the shortest time between two messages to a subscriber.
	loadBatch = 100 * time.Millisecond
	// loadHeartbeat is the longest time between two messages to a subscriber.
	loadHeartbeat = time.Second
	// loadSilence is how long a controller may send nothing before its subscriber gives it up.
	loadSilence = 3 * time.Second
)

// LoadServer implements peerpb.LoadServer for a controller.
type LoadServer struct {
	peerpb.UnimplementedLoadServer
	Collector *Collector
	Directory *Directory
}

// Subscribe implements peerpb.LoadServer.
func (s *LoadServer) Subscribe(r *peerpb.LoadRequest, stream grpc.ServerStreamingServer[peerpb.LoadUpdate]) error {
	c := s.Collector
	c.cover(r.Without, 1)
	defer c.cover(r.Without, -1)
	heartbeat := time.NewTicker(loadHeartbeat)
	defer heartbeat.Stop()
	var sent uint64
	for {
		u, seq, changed := c.since(sent, r.Pools)
		if err := stream.Send(u); err != nil {
			return err
		}
		sent = seq
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
			pause(stream.Context(), loadBatch)
		case <-heartbeat.C:
		}
	}
}

// Endpoints implements peerpb.LoadServer.
func (s *LoadServer) Endpoints(r *peerpb.EndpointsRequest, stream grpc.ServerStreamingServer[peerpb.EndpointList]) error {
	return s.Directory.serve(r, stream)
}

// cover adds to the number of subscribers that can't reach some VMs' controllers.
func (c *Collector) cover(vms []string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range vms {
		c.without[vm] += n
		if c.without[vm] <= 0 {
			delete(c.without, vm)
		}
	}
}
