//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// Two of the three replicas break off breakShare of their answers for breakTime.
	breakShare = 0.05
	breakTime  = 5 * time.Second
	// notes are sent one each notePause.
	notes       = 500
	notePause   = 10 * time.Millisecond
	noteEvents  = 8
	noteTimeout = 1200 * time.Millisecond
)

// playShortStream sends requests of a streaming route of a plain service, whose answers have no length, while replicas break off some
// of them inside an event.
func playShortStream(d *deployment, trouble bool) ([]string, error) {
	d.configure()
	if err := d.addReplicas("quayside", "", 3); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	random, until := rand.New(rand.NewPCG(1, 2)), time.Time{}
	for i, r := range d.replicas {
		r.behave(func(*http.Request) behaviour {
			mu.Lock()
			defer mu.Unlock()
			return behaviour{delay: 30 * time.Millisecond, events: noteEvents, noLength: true,
				breakOff: i < 2 && time.Now().Before(until) && random.Float64() < breakShare}
		})
	}
	if err := d.startNodes(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	if trouble {
		d.rec.add("%s and %s begin to break off %.0f in 100 answers", d.replicas[0].id, d.replicas[1].id, 100*breakShare)
		mu.Lock()
		until = time.Now().Add(breakTime)
		mu.Unlock()
	}
	var wg sync.WaitGroup
	var broken []string
	for i := range notes {
		wg.Go(func() {
			reason := sendNote(d, i)
			mu.Lock()
			defer mu.Unlock()
			if reason != "" {
				broken = append(broken, reason)
			}
		})
		time.Sleep(notePause)
	}
	wg.Wait()
	return broken, nil
}

// sendNote sends one request. It returns how the rule was broken, or "".
func sendNote(d *deployment, i int) string {
	n := d.nodes[i%nodeCount]
	id := fmt.Sprintf("note-%d", i)
	res, err := n.resolve()
	if err != nil {
		d.rec.add("%s: %v", id, err)
		return ""
	}
	conn, err := n.connect(res)
	if err != nil {
		d.rec.add("%s: %v", id, err)
		return ""
	}
	defer conn.Close()
	o := send(conn, request{id: id, method: http.MethodPost, path: "/notes/2f", body: []byte("note"), deadline: noteTimeout})
	d.rec.add("%s gets %v from %s", id, o, n.name())
	if whole := wholeStream(noteEvents); o.err == nil && o.status == http.StatusOK && o.body != whole {
		return fmt.Sprintf("MIXED: %s was answered 200, signature %q, with a complete answer of %d bytes that ends in %q; the whole stream has %d",
			id, o.signature, len(o.body), o.body[max(len(o.body)-12, 0):], len(whole))
	}
	return ""
}
