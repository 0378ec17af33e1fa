//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

const (
	// secondStop is the time from the first SIGTERM to the second one.
	secondStop = time.Second
	// digestStart and fileStart are when the requests are sent, after the first SIGTERM.
	digestStart = 200 * time.Millisecond
	fileStart   = 700 * time.Millisecond
	// The stream lasts for 2.4 s, the filing for 600 ms.
	digestEvents = 13
	digestGap    = 200 * time.Millisecond
	fileTime     = 600 * time.Millisecond
	// digestTimeout and fileTimeout are the time-outs of the routes, fileDeadline the deadline of filings.
	digestTimeout = 5 * time.Second
	fileTimeout   = 1200 * time.Millisecond
	fileDeadline  = 2500 * time.Millisecond
)

// playTwoStops stops the nodes in turn. A second planned stop reaches each node while it handles the requests of the first one.
func playTwoStops(d *deployment, trouble bool) ([]string, error) {
	d.configure()
	if err := d.addReplicas("logreader", "decode", 6); err != nil {
		return nil, err
	}
	for _, r := range d.replicas {
		r.behave(func(*http.Request) behaviour {
			return behaviour{delay: 50 * time.Millisecond, events: digestEvents, gap: digestGap}
		})
	}
	engines := len(d.replicas)
	if err := d.addReplicas("quayside", "", 3); err != nil {
		return nil, err
	}
	for _, r := range d.replicas[engines:] {
		r.behave(func(*http.Request) behaviour { return behaviour{delay: fileTime} })
	}
	if err := d.startNodes(); err != nil {
		return nil, err
	}
	var broken []string
	for i, n := range d.nodes {
		time.Sleep(contactTime)
		reasons, err := stopTwice(d, n, i+1, trouble)
		if err != nil {
			return nil, err
		}
		broken = append(broken, reasons...)
	}
	return broken, nil
}

// stopTwice plays the stops of one node. It returns how the rule was broken.
func stopTwice(d *deployment, n *nodeProcess, number int, trouble bool) ([]string, error) {
	res, err := d.nodes[(n.index+1)%nodeCount].resolve()
	if err != nil {
		return nil, err
	}
	stoppedAt := time.Now()
	if err := n.terminate(); err != nil {
		return nil, err
	}
	type result struct {
		reason string
		err    error
	}
	results := make(chan result, 2)
	play := func(after, timeout time.Duration, r request) {
		time.Sleep(time.Until(stoppedAt.Add(after)))
		conn, err := n.connect(res)
		if err != nil {
			results <- result{err: err}
			return
		}
		defer conn.Close()
		started := time.Now()
		d.rec.add("a client sends %s to %s", r.id, n.name())
		o := send(conn, r)
		d.rec.add("%s gets %v at %.3f s after the first SIGTERM", r.id, o, o.endedAt.Sub(stoppedAt).Seconds())
		results <- result{reason: d.lostInPlannedStop(r.id, started, timeout, stoppedAt, o)}
	}
	go play(digestStart, digestTimeout, request{id: fmt.Sprintf("digest-%d", number), method: http.MethodPost, path: "/digest/2f",
		body: bytes.Repeat([]byte("x"), 17000), deadline: digestTimeout})
	go play(fileStart, fileTimeout, request{id: fmt.Sprintf("file-%d", number), method: http.MethodPost, path: "/file/2f",
		body: []byte("landing declaration"), deadline: fileDeadline})
	if trouble {
		time.Sleep(time.Until(stoppedAt.Add(secondStop)))
		if err := n.terminate(); err != nil {
			return nil, err
		}
	}
	var broken []string
	for range cap(results) {
		r := <-results
		if r.err != nil {
			return nil, r.err
		}
		if r.reason != "" {
			broken = append(broken, r.reason)
		}
	}
	if err := n.awaitEnd(stoppedAt); err != nil {
		return nil, err
	}
	return broken, n.restart()
}
