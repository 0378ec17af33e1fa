package telemetry

import (
	"context"
	"net"

	"go.opentelemetry.io/otel/metric"
	"google.golang.org/grpc/stats"
)

// LinkMetrics counts the bytes of the system's own connections, which docs/CAPACITY.md bounds for each node. Callers' connections and
// gateways' connections to endpoints carry requests and are not counted.
type LinkMetrics struct {
	bytes, messages metric.Int64Counter
}

// Link names of counted connections.
const (
	LinkPeer     = "peer"
	LinkPlatform = "platform"
	LinkEndpoint = "endpoint"
)

// DialFunc opens connections, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WrapDial counts the bytes of the connections that dial opens.
func (m *LinkMetrics) WrapDial(link string, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return m.conn(link, c), nil
	}
}

// WrapListener counts the bytes of the connections that a listener accepts.
func (m *LinkMetrics) WrapListener(link string, l net.Listener) net.Listener {
	return &countedListener{l, m, link}
}

func (m *LinkMetrics) conn(link string, c net.Conn) net.Conn {
	return &countedConn{c, m, labels("link", link, "direction", "sent"), labels("link", link, "direction", "received")}
}

type countedListener struct {
	net.Listener
	metrics *LinkMetrics
	link    string
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.metrics.conn(l.link, c), nil
}

type countedConn struct {
	net.Conn
	metrics        *LinkMetrics
	sent, received metric.MeasurementOption
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.bytes.Add(context.Background(), int64(n), c.received)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.metrics.bytes.Add(context.Background(), int64(n), c.sent)
	return n, err
}

// MessageCounter counts the bytes of gRPC messages by method. It implements stats.Handler for clients and servers.
type MessageCounter struct{ Metrics *LinkMetrics }

type methodKey struct{}

type methodLabels struct{ sent, received metric.MeasurementOption }

// TagRPC implements stats.Handler.
func (MessageCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, &methodLabels{labels("method", info.FullMethodName, "direction", "sent"),
		labels("method", info.FullMethodName, "direction", "received")})
}

// HandleRPC implements stats.Handler.
func (c MessageCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, ok := ctx.Value(methodKey{}).(*methodLabels)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.InPayload:
		c.Metrics.messages.Add(ctx, int64(s.WireLength), method.received)
	case *stats.OutPayload:
		c.Metrics.messages.Add(ctx, int64(s.WireLength), method.sent)
	}
}

// TagConn implements stats.Handler.
func (MessageCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (MessageCounter) HandleConn(context.Context, stats.ConnStats) {}
