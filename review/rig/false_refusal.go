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
	// One of the three replicas fails failShare of its requests for failTime.
	failShare = 0.45
	failTime  = 6500 * time.Millisecond
	// filings are sent one each filingPause.
	filings     = 120
	filingPause = 50 * time.Millisecond
	// retryPause is the pause before a client sends a refused filing once more.
	retryPause = 200 * time.Millisecond
)

// playFalseRefusal sends filings while one replica fails part of them: it runs them and answers 503, without X-Not-Executed.
func playFalseRefusal(d *deployment, trouble bool) ([]string, error) {
	d.configure()
	if err := d.addReplicas("quayside", "", 3); err != nil {
		return nil, err
	}
	if err := d.startNodes(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	if trouble {
		until := time.Now().Add(failTime)
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(1, 2))
		d.rec.add("%s begins to fail %.0f in 100 requests", d.replicas[0].id, 100*failShare)
		d.replicas[0].behave(func(*http.Request) behaviour {
			mu.Lock()
			defer mu.Unlock()
			b := behaviour{delay: 30 * time.Millisecond}
			if time.Now().Before(until) && random.Float64() < failShare {
				b.failStatus = http.StatusServiceUnavailable
			}
			return b
		})
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	for i := range filings {
		wg.Go(func() {
			reasons := fileOnce(d, i)
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, reasons...)
		})
		time.Sleep(filingPause)
	}
	wg.Wait()
	return broken, nil
}

// fileOnce sends one filing, and once more after a refusal, as clients do. It returns how the rule was broken.
func fileOnce(d *deployment, i int) (broken []string) {
	runs := 0
	for attempt := 1; attempt <= 2; attempt++ {
		n := d.nodes[(i+attempt)%nodeCount]
		res, err := n.resolve()
		if err != nil {
			d.rec.add("filing %d: %v", i, err)
			return broken
		}
		conn, err := n.connect(res)
		if err != nil {
			d.rec.add("filing %d: %v", i, err)
			return broken
		}
		r := request{id: fmt.Sprintf("filing-%d-%d", i, attempt), method: http.MethodPost, path: "/file/2f", body: fmt.Appendf(nil, "declaration %d", i), deadline: fileDeadline}
		o := send(conn, r)
		_ = conn.Close()
		d.rec.add("%s gets %v from %s", r.id, o, n.name())
		by := d.ranAt(r.id)
		if by != "" {
			runs++
		}
		refused := o.err == nil && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests)
		if refused && by != "" {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d, signature %q, and has run at %s", r.id, o.status, o.signature, by))
		}
		if !refused {
			break
		}
		time.Sleep(retryPause)
	}
	if runs > 1 {
		d.rec.add("declaration %d was filed %d times, because its client was told that it hadn't run", i, runs)
	}
	return broken
}

// ranAt returns the replica that has run a request, or "".
func (d *deployment) ranAt(id string) string {
	for _, r := range d.replicas {
		if _, ok := r.runOf(id); ok {
			return r.id
		}
	}
	return ""
}
