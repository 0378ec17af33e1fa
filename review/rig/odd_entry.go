//go:build review

package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"crocusglade.example/crocusglade/platform"
)

const (
	// proper requests are sent one each properPause.
	proper      = 400
	properPause = 20 * time.Millisecond
	// deniedSlack and deniedShare are the limits of rule DENIED.
	deniedSlack = 5
	deniedShare = 1.0 / 500
	// discoveryTime is the time in which the nodes learn of a new entry.
	discoveryTime = time.Second
)

// playOddEntry adds an entry of another writer, which lacks fields, to the replicas in the store. At its address is a web server that
// isn't a replica and knows none of the paths. It serves one request on a connection.
func playOddEntry(d *deployment, trouble bool) ([]string, error) {
	d.configure()
	if err := d.addReplicas("quayside", "", 3); err != nil {
		return nil, err
	}
	if err := d.startNodes(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.rec.add("the web server that is no replica gets %s %s (%s) and answers 404", r.Method, r.URL.Path, r.Header.Get("X-Request-Id"))
		http.NotFound(w, r)
	}))
	other.Config.SetKeepAlivesEnabled(false)
	defer other.Close()
	if trouble {
		d.store.Set(platform.KindEndpoints, "desk-7", map[string]any{"service": "quayside", "address": other.Listener.Addr().String(),
			"zone": "roja", "state": "ready"})
		d.rec.add("another writer adds the entry desk-7, without version, slots, cold_remaining_ms and sequence")
	}
	time.Sleep(discoveryTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	denied, lost := 0, 0
	for i := range proper {
		wg.Go(func() {
			o := sendProper(d, i)
			mu.Lock()
			defer mu.Unlock()
			if o.err != nil || o.status < http.StatusMultipleChoices || o.status >= http.StatusInternalServerError || o.signature != "" ||
				o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest || o.status == http.StatusTooManyRequests {
				return
			}
			denied++
			if isFiling(i) {
				lost++
			}
		})
		time.Sleep(properPause)
	}
	wg.Wait()
	d.rec.add("%d of %d proper requests were ended with a 3xx or 4xx that no replica gave, %d of them filings", denied, proper, lost)
	if limit := deniedSlack + deniedShare*proper; float64(denied) > limit {
		return []string{fmt.Sprintf("DENIED: %d of %d proper requests (limit %.1f); %d filings are lost, because no client retries after 404", denied, proper, limit, lost)}, nil
	}
	return nil, nil
}

// sendProper sends a filing or a lookup that the configuration allows.
func sendProper(d *deployment, i int) outcome {
	n := d.nodes[i%nodeCount]
	res, err := n.resolve()
	if err != nil {
		return outcome{err: err}
	}
	conn, err := n.connect(res)
	if err != nil {
		return outcome{err: err}
	}
	defer conn.Close()
	r := request{id: fmt.Sprintf("lookup-%d", i), method: http.MethodGet, path: "/lookup/2f", deadline: fileDeadline}
	if isFiling(i) {
		r = request{id: fmt.Sprintf("filing-%d", i), method: http.MethodPost, path: "/file/2f", body: fmt.Appendf(nil, "declaration %d", i), deadline: fileDeadline}
	}
	o := send(conn, r)
	d.rec.add("%s gets %v (signature %q) from %s", r.id, o, o.signature, n.name())
	return o
}

// isFiling reports whether request i is a filing. Each node gets as many filings as lookups.
func isFiling(i int) bool { return i/nodeCount%2 == 0 }
