package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/discovery"
)

// Guards against a response with an invalid head that is read as the answer of another VM.
func TestVMResponseWithInvalidHeadIsRejected(t *testing.T) {
	const body = `{"revision":7,"age_ms":1}`
	valid := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))
	for head, ok := range map[string]bool{
		valid: true,
		fmt.Sprintf("HTTP/1.1 000 x\r\nContent-Length: %d\r\n\r\n", len(valid)+2+len(body)) + valid: false,
		valid + "X Bad: 1\r\n":    false,
		valid + "X\x01Bad: 1\r\n": false,
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					fmt.Fprint(conn, head, "\r\n", body)
				}
				conn.Close()
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		var s discovery.Snapshot
		if err := getFromVM(ctx, l.Addr().String(), catalogPath, &s); (err == nil) != ok || ok != (s.Revision == 7) {
			t.Errorf("%q: catalog %+v, %v", head, s, err)
		}
		if s, err := (relaySource{link: l.Addr().String()}).fetch(ctx, "servers", nil); (err == nil) != ok {
			t.Errorf("%q: relayed changes %+v, %v", head, s, err)
		}
		cancel()
		l.Close()
	}
}
