package main

import (
	"fmt"
	"math/rand"
	"os"
	"sync"
	"syscall"
	"time"
)

// thawedMachine plays case 14: a machine freezes for less than two seconds, in which the first replica of a new software version begins streams
// and crashes. Some clients take their streams up at the machine that is about to wake.
func thawedMachine(recordPath string, trouble bool) int {
	w, _ := digestWorld(recordPath)
	defer w.keepLogs()
	frozen, others := w.nodes[0], w.nodes[1:]
	stop := make(chan struct{})
	var mu sync.Mutex
	var all []stream
	var clients sync.WaitGroup
	for c := 0; c < 450; c++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rand.Intn(60)) * time.Millisecond):
				}
				// Clients that take a stream up pick any of the four addresses, which they learned before the freeze.
				s := w.playStream(others[c%3], w.nodes, nil)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			}
		}()
		time.Sleep(6 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(1050 * time.Millisecond)
	fresh := w.newStreamEngine("i-logreader-new-0", 51, 2, zones[1])
	fresh.register("ready")
	time.Sleep(600 * time.Millisecond)
	fresh.crash()
	time.Sleep(350 * time.Millisecond)
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	clients.Wait()

	mixed, takenUp, atFrozen, wentOn := 0, 0, 0, 0
	for _, s := range all {
		seen := map[string]bool{}
		for _, a := range []*attempt{s.first, s.second} {
			if a == nil {
				continue
			}
			for _, v := range a.versions {
				seen[v] = true
			}
		}
		if s.second != nil {
			takenUp++
			if len(s.second.versions) > 0 {
				wentOn++
			}
			if s.second.node == frozen.name {
				atFrozen++
			}
		}
		if len(seen) > 1 {
			mixed++
			w.rec.log("ORDER: stream of %s and %v holds events of two software versions", s.first.id, s.second)
		}
	}
	result := fmt.Sprintf("%d streams, %d were taken up again, %d of these at %s, %d went on; %d streams hold events of two software versions",
		len(all), takenUp, atFrozen, frozen.name, wentOn, mixed)
	w.rec.log("%s", result)
	fmt.Fprintln(os.Stderr, result)
	if takenUp == 0 {
		return 2
	}
	if mixed > 2 {
		return 1
	}
	return 0
}
