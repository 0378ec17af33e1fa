package fault

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a relay that still forwards bytes in a blocked direction, so that partition tests would pass without a partition.
func TestRelayHoldsAndReleasesAnswers(t *testing.T) {
	r, err := NewRelay(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	fmt.Fprintln(c, "one")
	if line, err := answers.ReadString('\n'); err != nil || line != "one\n" {
		t.Fatalf("forwarded response: %q, %v", line, err)
	}
	r.SetMode(BlockResponses)
	fmt.Fprintln(c, "two")
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := answers.ReadString('\n'); !os.IsTimeout(err) {
		t.Fatalf("blocked response arrived: %v", err)
	}
	r.SetMode(ForwardAll)
	c.SetReadDeadline(time.Time{})
	if line, err := answers.ReadString('\n'); err != nil || line != "two\n" {
		t.Fatalf("response after unblocking: %q, %v", line, err)
	}
	r.SetMode(RefuseConnections)
	if _, err := answers.ReadString('\n'); err == nil {
		t.Fatal("connection is still open in mode RefuseConnections")
	}
}
