package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// crashingReplica is a stand-in for a replica of a plain service that crashes when it begins to run a poisonous request.
type crashingReplica struct {
	w       *world
	id      string
	address string
	zone    string
	crashes *crashLog
	mu      sync.Mutex
	server  *http.Server
}

type crashLog struct {
	mu sync.Mutex
	at map[string][]time.Time // by poison
	// lost counts the sound requests that were in progress at a crash.
	lost int
}

func (c *crashingReplica) start() {
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		cannotRun("replica: %v", err)
	}
	s := &http.Server{Handler: c}
	c.mu.Lock()
	c.server = s
	c.mu.Unlock()
	entry := serverEntry("quayside", c.address, c.zone, "")
	c.w.store.set("servers", c.id, entry)
	go s.Serve(l)
}

func (c *crashingReplica) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Target-Instance") != c.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	c.w.runs.add(id, c.id, r.Header.Get("X-Tenant"))
	if strings.HasPrefix(string(body), "poison") {
		name := strings.Fields(string(body))[0]
		c.crashes.mu.Lock()
		c.crashes.at[name] = append(c.crashes.at[name], time.Now())
		n := len(c.crashes.at[name])
		c.crashes.mu.Unlock()
		c.w.rec.log("%s: begins %s (%s) and crashes, for the %d. time", c.id, id, name, n)
		c.mu.Lock()
		s := c.server
		c.mu.Unlock()
		go func() {
			s.Close()
			time.Sleep(1500 * time.Millisecond)
			c.start()
		}()
		time.Sleep(time.Second)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(30 * time.Millisecond):
	case <-r.Context().Done():
		c.crashes.mu.Lock()
		c.crashes.lost++
		c.crashes.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	answer := "answer to " + id
	rw.Header().Set("X-Response-Signature", "sig."+id)
	rw.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	io.WriteString(rw, answer)
}

// poison plays what issue 30, line 5 names; it is no case: a request crashes the replicas that run it and comes again every 3.2 s, at any machine.
func poison(recordPath string, trouble bool) int {
	w := newWorld(recordPath, 31)
	defer w.keepLogs()
	services := []map[string]any{{"name": "quayside", "connection_limit": 530}}
	file := route("landing-file", "/file/", "unsafe", "quayside")
	file["attempts"] = 1
	crashes := &crashLog{at: map[string][]time.Time{}}
	for i := 0; i < 3; i++ {
		c := &crashingReplica{w: w, id: fmt.Sprintf("i-quayside-%d", i), address: fmt.Sprintf("%s%d:18080", w.prefix, 51+i), zone: zones[1+i], crashes: crashes}
		c.start()
	}
	w.store.set("config", "main", config(1, []map[string]any{file}, services, map[string][]string{"tenant-a": {"key-a-1"}, "tenant-b": {"key-b-1"}}))
	w.startNodes()
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				w.send(w.nodes[rand.Intn(len(w.nodes))], "POST", "/file/2f", "key-b-1", "sound "+newID())
			}
		}()
	}
	start := time.Now()
	for i := 0; trouble && time.Since(start) < 84*time.Second; i++ {
		name := fmt.Sprintf("poison-%d", i/8) // each comes eight times
		w.send(w.nodes[rand.Intn(len(w.nodes))], "POST", "/file/2f", "key-a-1", name+" declaration")
		time.Sleep(3200 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	broken := false
	for name, at := range crashes.at {
		later := 0
		for _, t := range at {
			if len(at) >= 3 && t.After(at[2].Add(contact)) {
				later++
			}
		}
		line := fmt.Sprintf("%s crashed %d replicas, %d of them later than contact_ms after the third", name, len(at), later)
		w.rec.log("%s", line)
		fmt.Fprintln(os.Stderr, line)
		broken = broken || later > 3
	}
	fmt.Fprintf(os.Stderr, "%d sound requests were in progress at a crash\n", crashes.lost)
	if broken {
		return 1
	}
	return 0
}
