package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow"] = slowReaders }

const (
	// slowMemoryMB and slowDescriptors are those of the smallest machine of lfd-nordeste-grown.
	slowMemoryMB    = 144
	slowDescriptors = 3075
	slowMachines    = 2
	// slowClients is the number of clients at each machine that read slowly.
	slowClients = 1200
	slowCalm    = 8 * time.Second
	slowFor     = 60 * time.Second
	// unreadTime is how long a client leaves an answer unread.
	unreadTime = 6 * time.Second
)

// slowHeader and slowBody are what a slow reader sends beside the usual headers. Both are far inside the limits for clients.
var (
	slowHeader = strings.Repeat("X-Filler: "+strings.Repeat("a", 200)+"\r\n", 20)
	slowBody   = strings.Repeat("x", 9200)
)

// slowReaders shows that what a machine holds for clients that read slowly exceeds its memory.
func slowReaders(rec *record) bool {
	d := newDeployment(rec, limits{slowMemoryMB, slowDescriptors})
	defer d.close()
	address, stop := serveLongStreams()
	defer stop()
	born := time.Now().UnixMilli()
	for i := range 6 {
		d.list(fmt.Sprintf("s%d", i), "app", "", address, "ready", 64, born)
	}
	d.configure(1, []any{route("feed", "streaming", "app", 2, 5000, map[string]any{"resumable": true, "target_gap_ms": 500}),
		route("read", "safe", "app", 2, 1500, nil)}, []any{plainService("app")}, map[string][]string{"team-a": {"key-a"}})
	d.start(slowMachines, nil)
	d.awaitReady()

	var ended atomic.Bool
	var wg sync.WaitGroup
	ends := make([]atomic.Int64, len(d.machines))
	var whole, refused, cut atomic.Int64
	for i, m := range d.machines {
		wg.Go(func() { d.enforceMemory(i, slowMemoryMB, &ends[i], &ended) })
		for n := range 4 { // ordinary clients
			wg.Go(func() {
				for k := 0; !ended.Load(); k++ {
					id := fmt.Sprintf("c%d-%d-%d", m.number, n, k)
					switch outcome := d.readOnce(m.number, id); outcome {
					case "whole":
						whole.Add(1)
					case "cut":
						cut.Add(1)
						rec.add("client   %s at machine %d: connection closed without an answer", id, m.number)
					default:
						refused.Add(1)
					}
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(slowCalm)
	rec.add("memory   in MiB:%s", d.memory())
	if trouble() {
		rec.add("clients that read slowly come")
		for _, m := range d.machines {
			for i := range slowClients {
				go readSlowly(d.front(m.number), i, &ended)
			}
		}
	}
	for start := time.Now(); time.Since(start) < slowFor; time.Sleep(time.Second) {
		rec.add("memory   in MiB:%s", d.memory())
	}
	ended.Store(true)
	wg.Wait()
	total := int64(0)
	for i := range ends {
		total += ends[i].Load()
	}
	summary := fmt.Sprintf("processes above their memory: %d; ordinary requests: %d whole, %d refused or not connected, %d cut", total, whole.Load(), refused.Load(), cut.Load())
	rec.add("%s", summary)
	fmt.Println(summary)
	thrice := 0
	for i := range ends {
		if ends[i].Load() >= 3 {
			thrice++
		}
	}
	return thrice < 2
}

// serveLongStreams starts servers that stream for as long as the client reads, and answer short requests.
func serveLongStreams() (address string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cantRun("server: %v", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "signature")
		if !strings.HasPrefix(r.URL.Path, "/feed/") {
			fmt.Fprint(w, "record")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 20000; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %0200d\n\n", i, i); err != nil {
				return
			}
		}
	})}
	go func() { _ = server.Serve(l) }() // returns at the end
	return l.Addr().String(), func() { _ = server.Close() }
}

// readSlowly sends requests for streams and reads nothing of them for a while.
func readSlowly(address string, number int, ended *atomic.Bool) {
	for !ended.Load() {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(4096) // a slow reader has a small window
		fmt.Fprintf(conn, "POST /feed/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: f%d\r\nAuthorization: Bearer key-a\r\nX-Request-Deadline: 5000\r\n%sContent-Length: %d\r\n\r\n%s",
			host, number, slowHeader, len(slowBody), slowBody)
		time.Sleep(unreadTime)
		_ = conn.Close()
	}
}

// readOnce sends an ordinary request on a new connection and returns "whole", "cut" or what else came.
func (d *deployment) readOnce(number int, id string) string {
	conn, err := net.DialTimeout("tcp", d.front(number), time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-a\r\nX-Request-Deadline: 1500\r\n\r\n", host, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "cut"
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	if resp.StatusCode != http.StatusOK {
		return resp.Status
	}
	return "whole"
}
