// Package peer implements the communication between the system's own processes: the gRPC server of a gateway, connections to other VMs,
// the exchange of updates between neighbouring gateways, and the check whether a gateway is in contact with the platform or a majority.
package peer

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// MaxMessageBytes bounds one message. A whole snapshot of 3,500 teams takes about 1.5 MB.
const MaxMessageBytes = 32 << 20

// FlowControlWindowBytes is the flow-control window of streams and connections. A fixed window avoids the pings that gRPC sends after
// each message to estimate one; they cost more than the heartbeats themselves.
const FlowControlWindowBytes = 1 << 20

// Clients holds one connection to each process that is called. Methods may be called concurrently.
type Clients struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClients returns clients that use mutual TLS, or plain TCP when creds is nil. Check addresses with auth.CheckPlaintextAllowed first.
func NewClients(creds credentials.TransportCredentials, extra ...grpc.DialOption) *Clients {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	retry := backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 3 * time.Second}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: 2 * time.Second}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithInitialWindowSize(FlowControlWindowBytes),
		grpc.WithInitialConnWindowSize(FlowControlWindowBytes),
	}
	return &Clients{options: append(options, extra...), conns: make(map[string]*grpc.ClientConn)}
}

// Conn returns the connection to an address. The connection is established at its first use.
func (c *Clients) Conn(addr string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		return conn, nil
	}
	if addr == "" {
		return nil, errors.New("peer: the VM has no address for this process; check the platform's VM list")
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, c.options...)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: connect to %s", addr)
	}
	c.conns[addr] = conn
	return conn, nil
}

// GatewayClient returns a client of a VM's gateway.
func (c *Clients) GatewayClient(vm apitypes.VM) (peerpb.GatewayClient, error) {
	conn, err := c.Conn(vm.GatewayPeerAddr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewGatewayClient(conn), nil
}

// DialController has the type config.DialControllerFunc: it returns the connection to a VM's controller.
func (c *Clients) DialController(vm apitypes.VM) (grpc.ClientConnInterface, func(), error) {
	conn, err := c.Conn(vm.ControllerPeerAddr)
	return conn, func() {}, err
}

// CloseAllExcept closes all connections except those to addresses of the given VMs.
func (c *Clients) CloseAllExcept(vms []apitypes.VM) {
	known := make(map[string]bool, 2*len(vms))
	for _, vm := range vms {
		known[vm.GatewayPeerAddr], known[vm.ControllerPeerAddr] = true, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		if !known[addr] {
			conn.Close()
			delete(c.conns, addr)
		}
	}
}

// Close closes all connections.
func (c *Clients) Close() { c.CloseAllExcept(nil) }
