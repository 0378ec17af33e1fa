package telemetry

import (
	"context"
	"net"
	"strings"
	"testing"
)

// Guards against control traffic that is not counted, so that the figures in docs/CAPACITY.md would be too low.
func TestLinkBytesAreCounted(t *testing.T) {
	tel, _ := newTelemetry(t)
	local, remote := net.Pipe()
	dial := tel.Metrics.Link.WrapDial(LinkPeer, func(context.Context, string, string) (net.Conn, error) { return local, nil })
	conn, err := dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = remote.Read(make([]byte, 8))
		_, _ = remote.Write(make([]byte, 3))
	}()
	if _, err := conn.Write(make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	_, body := get(t, tel, "/metrics")
	for _, want := range []string{`crocusglade_link_bytes_total{direction="sent",link="peer"} 5`,
		`crocusglade_link_bytes_total{direction="received",link="peer"} 3`} {
		if !strings.Contains(body, want) {
			t.Errorf("missing %s", want)
		}
	}
}
