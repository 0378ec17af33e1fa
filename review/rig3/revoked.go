package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// revokedKey plays case 11: the store comes back from a copy, and a key is taken away some seconds later.
func revokedKey(recordPath string, trouble bool) int {
	w := newWorld(recordPath, 4)
	defer w.keepLogs()
	services := []map[string]any{{"name": "quayside", "connection_limit": 100}}
	lookup, added := route("log-lookup", "/lookup/", "safe", "quayside"), route("added", "/added/", "safe", "quayside")
	keys := map[string][]string{"tenant-a": {"key-a-1", "key-a-2"}, "tenant-b": {"key-b-1"}}
	w.addService("quayside", 3, 21)
	w.store.set("config", "main", config(1, []map[string]any{lookup}, services, keys))
	w.startNodes()

	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range w.nodes {
		for _, c := range []struct{ key, path string }{{"key-a-1", "/lookup/2f"}, {"key-b-1", "/lookup/2f"}, {"key-b-1", "/added/2f"}} {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(300 * time.Millisecond):
					}
					s := w.send(n, "GET", c.path, c.key, "")
					mu.Lock()
					all = append(all, s)
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(6 * time.Second)
	copied := w.store.backup()
	w.rec.log("store: copy taken at revision %d", copied.revision)
	time.Sleep(3 * time.Second)
	tenants2 := map[string][]string{"tenant-a": {"key-a-1", "key-a-2", "key-a-3"}, "tenant-b": {"key-b-1"}}
	w.rec.log("operator: version 2 acknowledged at revision %d (adds key-a-3)", w.store.set("config", "main", config(2, []map[string]any{lookup}, services, tenants2)))
	time.Sleep(time.Second)
	if trouble {
		w.rec.log("store: away")
		w.store.setAway(true)
		time.Sleep(time.Second)
		w.store.restore(copied)
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(contact + 3*time.Second)
	revision := w.store.set("config", "main", config(3, []map[string]any{lookup, added}, services, map[string][]string{"tenant-a": {"key-a-2"}, "tenant-b": {"key-b-1"}}))
	acknowledged := time.Now()
	w.rec.log("operator: version 3 acknowledged at revision %d (takes key-a-1 away, adds the route /added/)", revision)
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()

	ran, refused, missing, found := 0, 0, 0, 0
	for _, s := range all {
		switch {
		case s.key == "key-a-1" && s.at.After(acknowledged.Add(revokeBound)):
			if len(w.runs.of(s.id)) > 0 {
				ran++
			} else {
				refused++
			}
		case s.path == "/added/2f" && s.at.After(acknowledged.Add(configApply)):
			if s.status == 404 {
				missing++
			} else if s.status == 200 {
				found++
			}
		}
	}
	result := fmt.Sprintf("requests with the withdrawn key, sent later than revoke_ms after the acknowledgement: %d ran, %d did not; on the added route, later than config_apply_ms: %d got 404, %d got 200",
		ran, refused, missing, found)
	w.rec.log("%s", result)
	fmt.Fprintln(os.Stderr, result)
	if ran+refused == 0 {
		return 2
	}
	if ran > 0 {
		return 1
	}
	return 0
}
