package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// frozenAtRelease plays case 15: a machine freezes for four seconds, and a release brings a second software version half a second later. The
// clients of the frozen machine take their streams up at other machines.
func frozenAtRelease(recordPath string, trouble bool) int {
	w, engines := digestWorld(recordPath)
	defer w.keepLogs()
	frozen, others := w.nodes[0], w.nodes[1:]
	giveUp := make(chan struct{})
	stop := make(chan struct{})
	var mu sync.Mutex
	var atFrozen, atOthers []stream
	var clients sync.WaitGroup
	client := func(n *nodeProcess, giveUp <-chan struct{}, list *[]stream) {
		defer clients.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			s := w.playStream(n, others, giveUp)
			mu.Lock()
			*list = append(*list, s)
			mu.Unlock()
			if s.second != nil { // this client goes elsewhere now
				return
			}
		}
	}
	for c := 0; c < 40; c++ {
		clients.Add(1)
		go client(frozen, giveUp, &atFrozen)
		time.Sleep(53 * time.Millisecond)
	}
	for c := 0; c < 12; c++ {
		clients.Add(1)
		go client(others[c%3], nil, &atOthers)
	}
	time.Sleep(4 * time.Second)
	begun := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(500 * time.Millisecond)
	// A release of a third of the replicas, one at a time, a second apart: the new one starts first, the old one drains.
	go func() {
		for i := 0; i < 2; i++ {
			w.newStreamEngine(fmt.Sprintf("i-logreader-new-%d", i), 51+i, 2, zones[1+i%3]).register("ready")
			time.Sleep(300 * time.Millisecond)
			engines[i].register("draining")
			time.Sleep(700 * time.Millisecond)
		}
	}()
	time.Sleep(1500 * time.Millisecond)
	if !trouble {
		w.rec.log("the clients of %s drop their connections", frozen.name)
		close(giveUp) // without the freeze, the connections of the same clients break
	}
	time.Sleep(2 * time.Second)
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	takenUp, wentOn, began, new := 0, 0, 0, 0
	for _, s := range atFrozen {
		if s.second == nil || s.second.at.After(begun.Add(4*time.Second)) {
			continue
		}
		takenUp++
		if len(s.second.versions) > 0 {
			wentOn++
		}
	}
	for _, s := range atOthers {
		if s.first.at.Before(begun.Add(time.Second)) || s.first.at.After(begun.Add(4*time.Second)) {
			continue
		}
		new++
		if len(s.first.versions) > 0 {
			began++
		}
	}
	result := fmt.Sprintf("taken up again at the other machines: %d streams, of which %d went on; new streams there: %d, of which %d began", takenUp, wentOn, new, began)
	w.rec.log("%s", result)
	fmt.Fprintln(os.Stderr, result)
	if takenUp < 12 || new == 0 {
		return 2
	}
	if float64(wentOn)/float64(takenUp) < 0.5*float64(began)/float64(new) {
		return 1
	}
	return 0
}
