package main

import (
	"fmt"
	"os"
	"time"
)

// sameToken plays case 12: machines are restarted in turn, first the one that holds the duties, while the store comes back from a copy.
func sameToken(recordPath string, trouble bool) int {
	w := newWorld(recordPath, 4)
	defer w.keepLogs()
	services := []map[string]any{{"name": "quayside", "connection_limit": 100}}
	lookup := route("log-lookup", "/lookup/", "safe", "quayside")
	keys := map[string][]string{"tenant-a": {"key-a-1"}, "tenant-b": {"key-b-1"}}
	w.addService("quayside", 3, 21)
	w.store.set("config", "main", config(1, []map[string]any{lookup}, services, keys))
	w.startNodes()
	stop := make(chan struct{})
	for _, n := range w.nodes {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				w.send(n, "GET", "/lookup/2f", "key-a-1", "")
			}
		}()
	}
	// Wait for the first holder's reports, then for the moment in a window from which the next report is due 4.2 s later.
	for deadline := time.Now().Add(20 * time.Second); len(w.cloud.all()) < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			cannotRun("nobody reports usage")
		}
	}
	holder := w.cloud.all()[0].holder
	for time.Duration(time.Now().UnixNano())%usageWindow < 2400*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	copied := w.store.backup()
	w.rec.log("store: copy taken at revision %d; %s holds the duties", copied.revision, holder)
	time.Sleep(200 * time.Millisecond)
	restarts := make(chan struct{})
	go func() {
		defer close(restarts)
		// One at a time, a second apart: first the holder, then the others in the reverse order of their names, so that the machine that
		// gets the lease next comes last.
		order := []*nodeProcess{}
		for _, n := range w.nodes {
			if n.name == holder {
				order = append(order, n)
			}
		}
		for i := len(w.nodes) - 1; i >= 0; i-- {
			if w.nodes[i].name != holder {
				order = append(order, w.nodes[i])
			}
		}
		for _, n := range order {
			n.restart()
			time.Sleep(time.Second)
		}
	}()
	time.Sleep(4800 * time.Millisecond)
	if trouble {
		w.rec.log("store: away")
		w.store.setAway(true)
		time.Sleep(time.Second)
		w.store.restore(copied)
	} else {
		time.Sleep(time.Second)
	}
	<-restarts
	time.Sleep(15 * time.Second)
	close(stop)

	return w.judgeTokens()
}

// judgeTokens returns 1 if two holders have sent the same fencing token.
func (w *world) judgeTokens() int {
	// ONE: two holders send the same fencing token for the same duty.
	holders := map[int64]map[string]bool{}
	highest, lower := int64(0), 0
	for _, c := range w.cloud.all() {
		if holders[c.token] == nil {
			holders[c.token] = map[string]bool{}
		}
		holders[c.token][c.holder] = true
		if c.token < highest {
			lower++
		}
		highest = max(highest, c.token)
	}
	broken := false
	for token := int64(1); token <= highest; token++ {
		names := []string{}
		for name := range holders[token] {
			names = append(names, name)
		}
		w.rec.log("token %d was sent by %v", token, names)
		if len(names) > 1 {
			broken = true
			fmt.Fprintf(os.Stderr, "token %d was sent by %v\n", token, names)
		}
	}
	w.rec.log("%d calls had a lower token than one before them", lower)
	fmt.Fprintf(os.Stderr, "%d calls; %d had a lower token than one before them\n", len(w.cloud.all()), lower)
	if broken {
		return 1
	}
	return 0
}

// drillAlone plays case 12 without restarts. The candidate of the last rank reads the lease every 12 s, and so not between the copy and the drill.
func drillAlone(recordPath string, trouble bool) int {
	w := newWorld(recordPath, 4)
	defer w.keepLogs()
	services := []map[string]any{{"name": "quayside", "connection_limit": 100}}
	w.addService("quayside", 3, 21)
	w.store.set("config", "main", config(1, []map[string]any{route("log-lookup", "/lookup/", "safe", "quayside")}, services,
		map[string][]string{"tenant-a": {"key-a-1"}, "tenant-b": {"key-b-1"}}))
	last := w.nodes[2] // the last by name starts last, so that another one gets the lease first
	w.nodes = append(append([]*nodeProcess{}, w.nodes[:2]...), w.nodes[3])
	w.startNodes()
	time.Sleep(200 * time.Millisecond)
	last.start()
	w.nodes = append(w.nodes, last)
	stop := make(chan struct{})
	for _, n := range w.nodes {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				w.send(n, "GET", "/lookup/2f", "key-a-1", "")
			}
		}()
	}
	time.Sleep(6 * time.Second)
	copied := w.store.backup()
	w.rec.log("store: copy taken at revision %d", copied.revision)
	time.Sleep(4 * time.Second)
	if trouble {
		w.rec.log("store: away")
		w.store.setAway(true)
		time.Sleep(time.Second)
		w.store.restore(copied)
	}
	time.Sleep(30 * time.Second)
	close(stop)
	return w.judgeTokens()
}
