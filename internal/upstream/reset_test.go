package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against a response without a length that is reset while the request is still being written, and read as complete: the write
// learns of the reset, and the read only finds the end of the connection.
func TestResetDuringUploadIsNotEndOfResponse(t *testing.T) {
	const tries = 50
	for _, size := range []int{0, 1 << 10, 40 << 10, 3 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			addr := startServer(t, func(_ int, c *net.TCPConn, br *bufio.Reader) {
				for { // to the end of the request's head
					if line, err := br.ReadString('\n'); err != nil || strings.TrimSpace(line) == "" {
						break
					}
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: r\r\n\r\npart", idHeader)
				_ = c.SetLinger(0) // the close resets the connection
			})
			cl := New(idHeader)
			for n := range tries {
				r := newRequest("r")
				r.Body = make([]byte, size)
				resp, err := cl.Do(t.Context(), addr, r)
				if err != nil {
					continue
				}
				if data, err := io.ReadAll(resp); err == nil {
					t.Errorf("try %d: response %q is complete; write error %v", n, data, resp.conn.writeErr)
				}
				_ = resp.Close()
			}
		})
	}
}
