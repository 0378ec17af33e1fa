package telemetry

import (
	"context"
	"net"

	"go.opentelemetry.io/otel/metric"
	"google.golang.org/grpc/stats"
)

// LinkMetrics counts the bytes of control traffic, for which docs/CAPACITY.md sets a limit for each node. Connections of callers and
// connections from gateways to endpoints carry requests and are not counted.
type LinkMetrics struct {
	linkBytes, messageBytes metric.Int64Counter
}

// Values of the label link: the kind of the other end of a counted connection.
const (
	LinkPeer     = "peer"
	LinkPlatform = "platform"
	LinkEndpoint = "endpoint"
)

// DialFunc opens connections, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WrapDial returns a DialFunc that counts the bytes of the connections that dial opens.
func (m *LinkMetrics) WrapDial(link string, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return m.countConn(link, c), nil
	}
}

// WrapListener returns a listener that counts the bytes of the connections that l accepts.
func (m *LinkMetrics) WrapListener(link string, l net.Listener) net.Listener {
	return &countingListener{l, m, link}
}

func (m *LinkMetrics) countConn(link string, c net.Conn) net.Conn {
	return &countingConn{c, m, labels("link", link, "direction", "sent"), labels("link", link, "direction", "received")}
}

// countingListener wraps accepted connections in countingConn.
type countingListener struct {
	net.Listener
	metrics *LinkMetrics
	link    string
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.metrics.countConn(l.link, c), nil
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	metrics        *LinkMetrics
	sent, received metric.MeasurementOption
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.linkBytes.Add(context.Background(), int64(n), c.received)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.metrics.linkBytes.Add(context.Background(), int64(n), c.sent)
	return n, err
}

// MessageCounter counts the bytes of gRPC messages by method. It implements stats.Handler for clients and servers.
type MessageCounter struct{ Metrics *LinkMetrics }

type methodLabelsKey struct{}

type methodLabels struct{ sent, received metric.MeasurementOption }

// TagRPC implements stats.Handler.
func (MessageCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodLabelsKey{}, &methodLabels{labels("method", info.FullMethodName, "direction", "sent"),
		labels("method", info.FullMethodName, "direction", "received")})
}

// HandleRPC implements stats.Handler.
func (c MessageCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, ok := ctx.Value(methodLabelsKey{}).(*methodLabels)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.InPayload:
		c.Metrics.messageBytes.Add(ctx, int64(s.WireLength), method.received)
	case *stats.OutPayload:
		c.Metrics.messageBytes.Add(ctx, int64(s.WireLength), method.sent)
	}
}

// TagConn implements stats.Handler.
func (MessageCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (MessageCounter) HandleConn(context.Context, stats.ConnStats) {}
