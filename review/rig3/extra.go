package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The dose of the trouble garble, how "extra late", in sites/rope-logs.toml.
const (
	garbleShare = 0.5  // share of the replicas
	garbleX     = 0.03 // share of their answers that come a second time
	garbleFor   = 5 * time.Second
)

// engine is a stand-in for a model replica of stage decode that takes requests without a handle.
type engine struct {
	w       *world
	id      string
	garbles bool
	// full is set while the engine turns requests away, extra while some answers come a second time.
	full, extra *atomic.Bool
	copies      atomic.Int64
}

const turnedAwayFor = "0.15"

func (e *engine) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

// serveConn serves one request at a time. An answer that comes a second time comes where the next answer on the connection is expected.
func (e *engine) serveConn(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	late := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		if late != "" {
			e.copies.Add(1)
			e.w.rec.log("%s: the answer to an earlier request comes a second time, before the answer to %s: %.60q", e.id, id, late)
			io.WriteString(conn, late)
			late = ""
		}
		var answer string
		switch target := r.Header.Get("X-Target-Instance"); {
		case r.URL.Path == "/health":
			answer = "HTTP/1.1 200 OK\r\nX-Instance-Id: " + e.id + "\r\nContent-Length: 0\r\n\r\n"
		case strings.HasPrefix(r.URL.Path, "/-/kv-list"):
			answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 46\r\n\r\n" + `{"epoch":"e","next_page_token":"1","held":[]} `
		case strings.HasPrefix(r.URL.Path, "/-/"):
			answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
		case target != e.id:
			answer = "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		case e.full.Load():
			e.w.rec.log("%s: turns %s away (503, X-Not-Executed, Retry-After %s)", e.id, id, turnedAwayFor)
			answer = "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\nRetry-After: " + turnedAwayFor + "\r\nContent-Length: 0\r\n\r\n"
		default:
			e.w.rec.log("%s: runs %s", e.id, id)
			e.w.runs.add(id, e.id, r.Header.Get("X-Tenant"))
			answer = e.stream(conn, id)
			if answer == "" {
				return
			}
			if e.extra.Load() && e.garbles && rand.Float64() < garbleX {
				late = answer
			}
			continue
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if e.extra.Load() && e.garbles && rand.Float64() < garbleX {
			late = answer
		}
	}
}

// stream writes an answer of five events, 8 ms apart, and returns its bytes; empty if the connection broke.
func (e *engine) stream(conn net.Conn, id string) string {
	parts := []string{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id + "\r\nX-Response-Signature: sig." + id +
		"\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"}
	for i := 1; i <= 5; i++ {
		piece := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, id)
		parts = append(parts, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
	}
	parts = append(parts, "0\r\n\r\n")
	for _, p := range parts {
		time.Sleep(8 * time.Millisecond)
		if _, err := io.WriteString(conn, p); err != nil {
			return ""
		}
	}
	return strings.Join(parts, "")
}

// extraAnswer plays case 13: engines turn requests away for a moment, and some answers of engines come a second time, late.
func extraAnswer(recordPath string, trouble bool) int {
	w := newWorld(recordPath, 4)
	defer w.keepLogs()
	services := []map[string]any{{"name": "logreader", "connection_limit": 620, "engine": map[string]any{"slots": 128, "kv_cache_tokens": 978044,
		"kv_token_bytes": 18432, "link_mbps": 550000, "handle_ttl_s": 4, "switch_s": 2, "most": 4}}}
	check := route("line-check", "/check/", "streaming", "logreader")
	check["attempts"], check["timeout_ms"], check["target_latency_ms"], check["target_gap_ms"] = 1, 3000, 300, 250
	check["sticky_sessions"], check["resumable"] = true, false
	keys := map[string][]string{"tenant-a": {"key-a-1"}, "tenant-b": {"key-b-1"}}
	var full, extra atomic.Bool
	var engines []*engine
	for i := 0; i < 2; i++ {
		e := &engine{w: w, id: fmt.Sprintf("i-logreader-%d", i), garbles: i == 0, full: &full, extra: &extra}
		address := fmt.Sprintf("%s%d:18080", w.prefix, 31+i)
		l, err := net.Listen("tcp", address)
		if err != nil {
			cannotRun("engine: %v", err)
		}
		go e.serve(l)
		entry := serverEntry("logreader", address, zones[1+i], "decode")
		entry["slots"] = 128
		w.store.set("servers", e.id, entry)
		engines = append(engines, e)
	}
	w.store.set("config", "main", config(1, []map[string]any{check}, services, keys))
	w.startNodes()
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range w.nodes {
		for c := 0; c < 6; c++ {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(250*time.Millisecond + time.Duration(rand.Intn(400))*time.Millisecond):
					}
					s := w.sendPrompt(n, "/check/2f", "key-a-1")
					mu.Lock()
					all = append(all, s)
					mu.Unlock()
				}
			}()
		}
	}
	start := time.Now()
	for time.Since(start) < 105*time.Second {
		// Extra answers come for garbleFor, then not for a second. The engines are full for 120 ms of each 0.7 s.
		extra.Store(trouble && time.Since(start)%(garbleFor+time.Second) < garbleFor)
		full.Store(time.Since(start)%(700*time.Millisecond) < 120*time.Millisecond)
		time.Sleep(5 * time.Millisecond)
	}
	full.Store(false)
	extra.Store(false)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()
	time.Sleep(500 * time.Millisecond)

	twice, refusedAndRan, statuses := 0, 0, map[int]int{}
	for _, s := range all {
		statuses[s.status]++
		runs := w.runs.of(s.id)
		if len(runs) > 1 {
			twice++
			w.rec.log("TWICE: %s ran %d times: %v", s.id, len(runs), runs)
		}
		if (s.status == 503 || s.status == 429) && len(runs) > 0 {
			refusedAndRan++
			w.rec.log("REFUSED: %s was answered %d and ran: %v", s.id, s.status, runs)
		}
	}
	copies := int64(0)
	for _, e := range engines {
		copies += e.copies.Load()
	}
	result := fmt.Sprintf("%d requests, statuses %v, %d answers came a second time; %d requests ran more than once, %d were answered 503 or 429 and ran",
		len(all), statuses, copies, twice, refusedAndRan)
	w.rec.log("%s", result)
	fmt.Fprintln(os.Stderr, result)
	if len(all) < 100 || statuses[200] < len(all)/2 {
		return 2
	}
	if twice+refusedAndRan > 0 {
		return 1
	}
	return 0
}

// sendPrompt sends a request for a stream to a node.
func (w *world) sendPrompt(n *nodeProcess, path, key string) sent {
	s := sent{id: newID(), node: n.name, key: key, path: path, at: time.Now()}
	req, _ := http.NewRequest("POST", "http://"+n.ip+":18368"+path, strings.NewReader(strings.Repeat("x", 2000)))
	req.Host = host
	req.Header.Set("X-Request-Id", s.id)
	req.Header.Set("X-Request-Deadline", "3000")
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Counts", "1460,5")
	req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,%x:660", rand.Uint32()))
	req.Header.Set("Authorization", "Bearer "+key)
	c := http.Client{Transport: clientTransport, Timeout: 3 * time.Second}
	resp, err := c.Do(req)
	if err != nil {
		s.err = err
	} else {
		_, s.err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		s.status = resp.StatusCode
	}
	w.rec.log("client: %s at %s, path %s, sent %.3f: status %d, error %v, runs %d", s.id, s.node, s.path, s.at.Sub(w.rec.start).Seconds(),
		s.status, s.err, len(w.runs.of(s.id)))
	return s
}
