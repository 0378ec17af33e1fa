package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/objectstore/httpplatform"
	"crocusglade.example/crocusglade/internal/peer"
	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/internal/telemetry"
)

// incarnationLength is the number of characters of an incarnation, the random ID of one start of a process.
const incarnationLength = 8

// node holds the state and the connections that gateways and controllers have in common.
type node struct {
	settings    settings.Common
	telemetry   *telemetry.Telemetry
	incarnation string
	self        apitypes.VM
	platform    *httpplatform.Client
	members     *membership.Members
	configStore *config.SnapshotStore
	freshness   *config.Freshness
	clients     *peer.Clients
	keyring     *auth.Keyring
	peerTLS     *auth.TLS
	endpointTLS *auth.TLS
	platformTLS *auth.TLS
	metricsTLS  *auth.TLS
}

// newNode returns a node. It opens no connections. self has the addresses of the calling role only; the addresses of the other role are
// in the platform's list of VMs.
func newNode(s settings.Common, t *telemetry.Telemetry, self apitypes.VM) (*node, error) {
	self.Name, self.Region, self.FailureDomain, self.State = s.VMName, s.Region, s.FailureDomain, apitypes.VMLive
	n := &node{settings: s, telemetry: t, incarnation: uuid.NewString()[:incarnationLength], self: self, configStore: config.NewSnapshotStore(),
		freshness: &config.Freshness{}, keyring: auth.NewKeyring([]byte(s.KeySecret))}
	var err error
	if err := checkPlaintext("peer", s.PeerListen, s.PeerTLS); err != nil {
		return nil, err
	}
	if n.platformTLS, err = loadTLS(s.PlatformTLS); err != nil {
		return nil, errors.Wrap(err, "load platform TLS files")
	}
	options, err := n.platformOptions()
	if err != nil {
		return nil, err
	}
	options.DialContext = n.dialer(telemetry.LinkPlatform, httpplatform.DefaultDialTimeout)
	if n.platform, err = httpplatform.New(s.PlatformURL, options); err != nil {
		return nil, err
	}
	if n.peerTLS, err = loadTLS(s.PeerTLS); err != nil {
		return nil, errors.Wrap(err, "load peer TLS files")
	}
	if n.endpointTLS, err = loadTLS(s.EndpointTLS); err != nil {
		return nil, errors.Wrap(err, "load endpoint TLS files")
	}
	if err := checkPlaintext("metrics", s.MetricsListen, s.MetricsTLS); err != nil {
		return nil, err
	}
	if n.metricsTLS, err = loadTLS(s.MetricsTLS); err != nil {
		return nil, errors.Wrap(err, "load metrics TLS files")
	}
	n.members = membership.New(self, n.platform)
	dialPeer := n.dialer(telemetry.LinkPeer, 0)
	n.clients = peer.NewClients(n.peerCredentials(), grpc.WithStatsHandler(telemetry.MessageCounter{Metrics: &t.Metrics.Link}),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			if err := checkPlaintext("peer", addr, s.PeerTLS); err != nil {
				return nil, err
			}
			return dialPeer(ctx, "tcp", addr)
		}))
	n.members.OnChange(func() { n.clients.CloseAllExcept(n.members.All()) })
	n.configStore.OnChange(n.recordConfigChange)
	return n, nil
}

// dialer returns a function that opens connections whose bytes are counted for a link. With a timeout of 0, only the context of a call
// limits the time to connect.
func (n *node) dialer(link string, timeout time.Duration) telemetry.DialFunc {
	return n.telemetry.Metrics.Link.WrapDial(link, (&net.Dialer{Timeout: timeout}).DialContext)
}

// platformOptions returns the options of clients of the platform. It returns an error for a plain HTTP URL that is not on loopback.
func (n *node) platformOptions() (httpplatform.Options, error) {
	u, err := url.Parse(n.settings.PlatformURL)
	if err != nil {
		return httpplatform.Options{}, errors.Wrap(err, "parse platform URL")
	}
	if u.Scheme == "http" {
		if n.platformTLS != nil {
			return httpplatform.Options{}, errors.New("platform TLS files are set but the platform URL is plain HTTP; write the URL as https://ADDRESS:PORT, or unset the files")
		}
		port := u.Port()
		if port == "" {
			port = "80"
		}
		return httpplatform.Options{}, checkPlaintext("platform", net.JoinHostPort(u.Hostname(), port), settings.TLSFiles{})
	}
	var o httpplatform.Options
	if n.platformTLS != nil {
		o.TLS = n.platformTLS.ClientConfig(u.Hostname())
	}
	return o, nil
}

// checkPlaintext returns an error when no TLS files are set for an address that is not on loopback. what names the connections in the
// error.
func checkPlaintext(what, addr string, files settings.TLSFiles) error {
	if files != (settings.TLSFiles{}) {
		return nil
	}
	if err := auth.CheckPlaintextAllowed(addr); err != nil {
		return errors.Wrap(err, what)
	}
	return nil
}

// recordConfigChange records an applied change of the configuration in the metrics.
func (n *node) recordConfigChange(s *config.Snapshot) {
	ctx := context.Background()
	n.telemetry.Metrics.Config.Applied(ctx, s.Revision())
	n.telemetry.Metrics.Config.SetBadObjects(ctx, len(s.UnparsableObjects()))
}

// countLostStream counts a lost configuration stream.
func (n *node) countLostStream() {
	n.telemetry.Metrics.Relay.Reconnected(context.Background(), "config")
}

// peerCredentials returns the mutual TLS credentials for connections to other gateways and controllers; nil means plain TCP.
func (n *node) peerCredentials() credentials.TransportCredentials {
	if n.peerTLS == nil {
		return nil
	}
	return credentials.NewTLS(n.peerTLS.ClientConfig(""))
}

// endpointOptions returns the options of clients of endpoints.
func (n *node) endpointOptions() endpoint.Options {
	return endpoint.Options{TLS: n.endpointTLS}
}

// components returns the components that both roles run.
func (n *node) components() []Component {
	components := []Component{n.healthServer(), {Name: "members", Run: n.members.Run}}
	for name, t := range map[string]*auth.TLS{"peer TLS": n.peerTLS, "endpoint TLS": n.endpointTLS, "platform TLS": n.platformTLS,
		"metrics TLS": n.metricsTLS} {
		if t != nil {
			components = append(components, Component{Name: name, Run: t.Run})
		}
	}
	return components
}

// peerServer returns the component that serves gRPC to other gateways and controllers. register adds the services of the role.
func (n *node) peerServer(register func(*grpc.Server)) Component {
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(peer.MaxMessageBytes),
		grpc.InitialWindowSize(peer.FlowControlWindowBytes), grpc.InitialConnWindowSize(peer.FlowControlWindowBytes),
		grpc.StatsHandler(telemetry.MessageCounter{Metrics: &n.telemetry.Metrics.Link})}
	if n.peerTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(n.peerTLS.ServerConfig(true))))
	}
	server := grpc.NewServer(options...)
	register(server)
	return Component{Name: "peers", Run: func(ctx context.Context) error {
		listener, err := net.Listen("tcp", n.settings.PeerListen)
		if err != nil {
			return errors.Wrap(err, "listen for peers (check the address and that no other process uses it)")
		}
		defer context.AfterFunc(ctx, server.Stop)()
		return server.Serve(n.telemetry.Metrics.Link.WrapListener(telemetry.LinkPeer, listener))
	}}
}

// serverTLS returns the TLS configuration of an HTTP server; nil means plain TCP. Clients must present a certificate when a CA file is
// set.
func serverTLS(t *auth.TLS, files settings.TLSFiles) *tls.Config {
	if t == nil {
		return nil
	}
	return t.ServerConfig(files.CA != "")
}

// loadTLS loads a TLS identity. It returns nil when no files are set.
func loadTLS(f settings.TLSFiles) (*auth.TLS, error) {
	if f == (settings.TLSFiles{}) {
		return nil, nil
	}
	return auth.LoadTLS(auth.TLSFiles{Cert: f.Cert, Key: f.Key, CA: f.CA})
}

// isLargeFleet reports whether there are more live VMs than this VM and its neighbours, so that gateways don't know the demand at all
// others.
func (n *node) isLargeFleet() bool { return len(n.members.Live()) > membership.MaxNeighbours+1 }
