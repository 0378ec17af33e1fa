//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, path string
	body             []byte
	deadline         time.Duration
	// uploadTime is the time over which the client sends the body; 0 sends it at once.
	uploadTime time.Duration
}

// outcome is what a client got for a request. err is set if there was no complete answer.
type outcome struct {
	status    int
	signature string
	body      string
	err       error
	// closes is true if the node closes the connection after the answer.
	closes bool
	// sentAt is when the last byte of the request was sent, endedAt when the answer or the connection ended.
	sentAt, endedAt time.Time
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("no complete answer (status %d): %v", o.status, o.err)
	}
	return fmt.Sprintf("%d, %d bytes", o.status, len(o.body))
}

// resolution is a directory response.
type resolution struct {
	Addresses []string `json:"addresses"`
	TTLS      float64  `json:"ttl_s"`
}

// resolve asks a node's directory where to connect.
func (n *nodeProcess) resolve() (resolution, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"name": {host}, "region": {"riga-gulf"}, "zone": {nodeZones[n.index]}}
	resp, err := client.Get("http://" + n.address(portDirectory) + "/-/resolution?" + query.Encode())
	if err != nil {
		return resolution{}, err
	}
	defer resp.Body.Close()
	var res resolution
	err = json.NewDecoder(resp.Body).Decode(&res)
	if err == nil && len(res.Addresses) == 0 {
		err = fmt.Errorf("no addresses (status %d)", resp.StatusCode)
	}
	return res, err
}

// connect opens a connection to a node that a resolution lists.
func (n *nodeProcess) connect(res resolution) (net.Conn, error) {
	if !slices.Contains(res.Addresses, n.address(portFront)) {
		return nil, fmt.Errorf("%s isn't among the addresses", n.name())
	}
	return net.DialTimeout("tcp", n.address(portFront), time.Second)
}

const uploadPieces = 20

// send sends a request on a connection and reads the answer. The client waits for it until its deadline and a second more.
func send(conn net.Conn, r request) outcome {
	started := time.Now()
	_ = conn.SetDeadline(started.Add(r.deadline + time.Second)) // an expired deadline shows as an error
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.path,
		host, r.id, r.deadline.Milliseconds(), key)
	if strings.HasPrefix(r.path, "/check/") || strings.HasPrefix(r.path, "/digest/") {
		fmt.Fprintf(&head, "X-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,%s:250\r\n", r.id)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"); err != nil {
		return outcome{err: err, endedAt: time.Now()}
	}
	piece := max(len(r.body)/uploadPieces, 1)
	for body := r.body; len(body) > 0; {
		time.Sleep(r.uploadTime / uploadPieces)
		n := min(piece, len(body))
		if _, err := conn.Write(body[:n]); err != nil {
			return outcome{err: err, endedAt: time.Now()}
		}
		body = body[n:]
	}
	o := outcome{sentAt: time.Now()}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		o.err, o.endedAt = err, time.Now()
		return o
	}
	o.status, o.signature, o.closes = resp.StatusCode, resp.Header.Get("X-Response-Signature"), resp.Close
	data, err := io.ReadAll(resp.Body)
	o.body, o.err, o.endedAt = string(data), err, time.Now()
	return o
}
