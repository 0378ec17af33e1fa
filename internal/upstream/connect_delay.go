package upstream

import (
	"sync"
	"time"
)

const (
	// connectDelayMemory is how long a connect time counts. Without newer ones, the delay is taken to be 0.
	connectDelayMemory = time.Second
	// connectDelayWeight is the weight of the newest connect time in the average.
	connectDelayWeight = 0.5
	// busyConnectDelay is the average from which an attempt without a connection tells of this VM's link. Below, it tells of the endpoint.
	busyConnectDelay = dialTimeout / 4
)

// connectDelay averages the times that it took to open connections. An idle network takes about a millisecond; more means that packets wait
// on this VM's link.
type connectDelay struct {
	mu      sync.Mutex
	average time.Duration
	at      time.Time
}

// record adds the time that a connection took, or that an attempt without a connection had.
func (d *connectDelay) record(took time.Duration, connected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Sub(d.at) > connectDelayMemory {
		d.average = 0
	}
	if !connected && d.average < busyConnectDelay {
		return
	}
	if d.average == 0 {
		d.average = took
	}
	d.average += time.Duration(connectDelayWeight * float64(took-d.average))
	d.at = now
}

// current returns the average, or 0 if no connection was opened lately.
func (d *connectDelay) current() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.at) > connectDelayMemory {
		return 0
	}
	return d.average
}
