//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

const (
	// uploadStart is when the client begins to send its request, after the SIGTERM. It is within three times the lifetime of the
	// directory response that it got just before.
	uploadStart = 2600 * time.Millisecond
	// uploadTime is the time that the body takes on the client's link. The run of the request takes streamDelay and five times
	// streamGap.
	uploadTime  = 1550 * time.Millisecond
	uploadBytes = 9200
	streamDelay = 300 * time.Millisecond
	streamGap   = 80 * time.Millisecond
	// checkDeadline is the deadline of "line-check" requests.
	checkDeadline = 3 * time.Second
)

// playSlowUpload stops the nodes in turn. A client on a slow link, which still holds the address, sends a request to the node that stops.
func playSlowUpload(d *deployment, trouble bool) ([]string, error) {
	d.configure()
	if err := d.addReplicas("logreader", "decode", 6); err != nil {
		return nil, err
	}
	for _, r := range d.replicas {
		r.behave(func(*http.Request) behaviour { return behaviour{delay: streamDelay, events: 6, gap: streamGap} })
	}
	if err := d.startNodes(); err != nil {
		return nil, err
	}
	var broken []string
	for i, n := range d.nodes {
		time.Sleep(contactTime)
		reason, err := uploadDuringStop(d, n, fmt.Sprintf("upload-%d", i+1), trouble)
		if err != nil {
			return nil, err
		}
		if reason != "" {
			broken = append(broken, reason)
		}
	}
	return broken, nil
}

// uploadDuringStop plays one stop of a node. It returns how the rule was broken, or "".
func uploadDuringStop(d *deployment, n *nodeProcess, id string, trouble bool) (string, error) {
	res, err := d.nodes[(n.index+1)%nodeCount].resolve()
	if err != nil {
		return "", err
	}
	resolvedAt, stoppedAt := time.Now(), time.Now()
	d.rec.add("a client resolves: %v for %.1f s", res.Addresses, res.TTLS)
	if trouble {
		if err := n.terminate(); err != nil {
			return "", err
		}
	}
	time.Sleep(time.Until(stoppedAt.Add(uploadStart)))
	if held := time.Since(resolvedAt).Seconds(); held > 3*res.TTLS {
		return "", fmt.Errorf("the client holds the response for %.1f s", held)
	}
	conn, err := n.connect(res)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	started := time.Now()
	d.rec.add("the client begins to send %s to %s", id, n.name())
	o := send(conn, request{id: id, method: http.MethodPost, path: "/check/2f", body: bytes.Repeat([]byte("x"), uploadBytes),
		deadline: checkDeadline, uploadTime: uploadTime})
	d.rec.add("%s, whole at %.3f s after the SIGTERM, gets %v at %.3f s", id, o.sentAt.Sub(stoppedAt).Seconds(), o, o.endedAt.Sub(stoppedAt).Seconds())
	if trouble {
		if err := n.awaitEnd(stoppedAt); err != nil {
			return "", err
		}
		if err := n.restart(); err != nil {
			return "", err
		}
	}
	return d.lostInPlannedStop(id, started, checkDeadline, stoppedAt, o), nil
}

// lostInPlannedStop checks rule LOST for one request that a node took around its planned stop. It returns how the rule was broken, or "".
func (d *deployment) lostInPlannedStop(id string, started time.Time, timeout time.Duration, stoppedAt time.Time, o outcome) string {
	if o.err == nil || o.endedAt.After(stoppedAt.Add(graceTime+time.Second)) || o.endedAt.Sub(started) >= timeout {
		return ""
	}
	for _, r := range d.replicas {
		got, ok := r.runOf(id)
		if !ok {
			continue
		}
		sentEarly := o.sentAt.Before(stoppedAt.Add(3 * time.Second))
		if got.complete || sentEarly && got.ended.After(stoppedAt.Add(graceTime*5/6)) {
			continue // the replica was done, or still at work in the last sixth of the grace time
		}
		return fmt.Sprintf("LOST: %s was passed on to %s, and its connection ended without a complete answer %.3f s after the SIGTERM, %.3f s after it began, of %.1f s",
			id, r.id, o.endedAt.Sub(stoppedAt).Seconds(), o.endedAt.Sub(started).Seconds(), timeout.Seconds())
	}
	return ""
}
