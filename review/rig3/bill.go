package main

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"time"
)

// twoBills plays case 13: machines are restarted in turn, while the store comes back from a copy.
func twoBills(recordPath string, trouble bool) int {
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
				case <-time.After(200 * time.Millisecond):
				}
				w.send(n, "GET", "/lookup/2f", "key-a-1", "")
			}
		}()
	}
	for deadline := time.Now().Add(20 * time.Second); len(w.cloud.all()) < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			cannotRun("nobody reports usage")
		}
	}
	holder := w.cloud.all()[0].holder
	// The first machine is stopped 2.2 s before a window begins.
	for at := time.Duration(time.Now().UnixNano()) % usageWindow; at < 2750*time.Millisecond || at > 2900*time.Millisecond; at = time.Duration(time.Now().UnixNano()) % usageWindow {
		time.Sleep(10 * time.Millisecond)
	}
	begun := time.Now()
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
	restarts := make(chan struct{})
	go func() {
		defer close(restarts)
		for _, n := range order {
			n.restart()
			time.Sleep(time.Second)
		}
	}()
	time.Sleep(time.Until(begun.Add(8200 * time.Millisecond)))
	copied := w.store.backup()
	w.rec.log("store: copy taken at revision %d", copied.revision)
	time.Sleep(time.Until(begun.Add(13200 * time.Millisecond)))
	if trouble {
		w.rec.log("store: away")
		w.store.setAway(true)
		time.Sleep(time.Second)
		w.store.restore(copied)
	}
	<-restarts
	time.Sleep(10 * time.Second)
	close(stop)

	first := map[int64]map[string]int64{}
	different := 0
	for _, c := range w.cloud.all() {
		var report struct {
			Window int64            `json:"window_number"`
			Counts map[string]int64 `json:"counts"`
		}
		if c.path != "/usage" || json.Unmarshal([]byte(c.body), &report) != nil {
			continue
		}
		if before, ok := first[report.Window]; ok && !reflect.DeepEqual(before, report.Counts) {
			different++
			line := fmt.Sprintf("window %d was reported with %v and, by %s, with %v", report.Window, before, c.holder, report.Counts)
			w.rec.log("%s", line)
			fmt.Fprintln(os.Stderr, line)
		} else if !ok {
			first[report.Window] = report.Counts
		}
	}
	if different > 0 {
		return 1
	}
	return 0
}
