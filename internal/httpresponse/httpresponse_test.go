package httpresponse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// inner is a complete response that an invalid one carries as its body.
const inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against responses whose status the protocol doesn't know and that are taken for an answer, or for an interim one that what follows
// answers.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK":                  true,
		"HTTP/1.0 200 OK":                  true,
		"HTTP/1.1 599 x":                   true,
		"HTTP/1.1 000 x":                   false,
		"HTTP/1.1 099 x":                   false,
		"HTTP/1.1 +20 x":                   false,
		"HTTP/1.1 101 Switching Protocols": false,
		"HTTP/1.1 600 x":                   false,
		"HTTP/1.1 999 x":                   false,
		"HTTP/3.0 200 OK":                  false,
	} {
		expectValid(t, head+"\r\n", valid)
	}
}

// Guards against responses with a field name that holds a blank or a control byte, whose line is passed on or whose length is ignored.
func TestInvalidFieldsAreNoAnswer(t *testing.T) {
	for fields, valid := range map[string]bool{
		"X-Good: 1\r\n":            true,
		"x_good~: \t\xe4 1 \r\n":   true,
		"X Bad: 1\r\n":             false,
		"X-Bad : 1\r\n":            false,
		"Content Length: 5\r\n":    false,
		"X\tBad: 1\r\n":            false,
		"X\x01Bad: 1\r\n":          false,
		"X\x00Bad: 1\r\n":          false,
		"X\x7fBad: 1\r\n":          false,
		"X(Bad): 1\r\n":            false,
		"X\xe4: 1\r\n":             false,
		": 1\r\n":                  false,
		"X-Bad: 1\x002\r\n":        false,
		"X-Bad: 1\x1b2\r\n":        false,
		"Transfer Encoding: x\r\n": false,
	} {
		expectValid(t, "HTTP/1.1 200 OK\r\n"+fields, valid)
	}
	expectValid(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n", true)
	expectValid(t, "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\n", false)
	expectValid(t, "HTTP/1.1 199 x\r\nContent-Length: 99\r\n\r\nHTTP/1.1 200 OK\r\n", false)
}

// expectValid checks whether a response whose head begins with these lines is read as an answer.
func expectValid(t *testing.T, head string, valid bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(inner), inner)
		}
	}()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("http://" + l.Addr().String())
	if err == nil {
		body, _ := io.ReadAll(resp.Body) // an incomplete body differs
		resp.Body.Close()
		if valid && string(body) != inner {
			t.Errorf("%q: body %q", head, body)
		}
	}
	malformed := err != nil && (errors.Is(err, ErrInvalid) || strings.Contains(err.Error(), "malformed")) // net/http's words
	if valid != (err == nil) || !valid && !malformed {
		t.Errorf("%q: error %v, want a valid response: %v", head, err, valid)
	}
}
