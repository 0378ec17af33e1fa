package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["tainted"] = taintedPart }

const (
	taintedMemoryMB    = 414
	taintedDescriptors = 6150
	taintedMachines    = 4
	taintedEngines     = 9
	// crashTime is how long an engine is gone after a crash.
	crashTime = 3 * time.Second
	// One caller sends a group of soundGroup sound requests each soundGap or so. taintedPerSecond is the rate of those with the harmful part.
	soundGroup                  = 5
	soundGap                    = 8 * time.Second
	taintedPerSecond            = 4.0
	beforeTainted, whileTainted = 50 * time.Second, 62 * time.Second
	contactTime                 = 3 * time.Second
	minCounted                  = 20
	// harmfulPart crashes each engine that begins an answer on it. subjectPart is in all requests of the caller, firstPart in the sound ones.
	harmfulPart, subjectPart, firstPart = "bad0bad0", "5b1ec700", "f1257000"
)

// crashingEngine is an engine that crashes when it begins an answer to a prompt with the harmful part.
type crashingEngine struct {
	d       *deployment
	log     *taintedLog
	id      string
	stage   string
	address string

	mu       sync.Mutex
	listener net.Listener // nil while the engine is gone
	conns    map[net.Conn]bool
}

// taintedLog holds what engines ran and when they crashed.
type taintedLog struct {
	mu      sync.Mutex
	runs    map[string]bool
	crashes []time.Time
}

func (e *crashingEngine) start() {
	l, err := net.Listen("tcp", e.address)
	for ; err != nil; l, err = net.Listen("tcp", e.address) {
		time.Sleep(20 * time.Millisecond) // an outgoing connection may use the port
	}
	e.mu.Lock()
	e.listener, e.address, e.conns = l, l.Addr().String(), make(map[net.Conn]bool)
	e.mu.Unlock()
	e.d.list(e.id, "logreader", e.stage, e.address, "ready", 128, time.Now().UnixMilli())
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			if e.listener == l {
				e.conns[conn] = true
			}
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
}

// crash ends all connections and starts the engine again after crashTime.
func (e *crashingEngine) crash(id string) {
	e.mu.Lock()
	l := e.listener
	if l == nil {
		e.mu.Unlock()
		return
	}
	e.listener = nil
	_ = l.Close()
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.log.mu.Lock()
	e.log.crashes = append(e.log.crashes, time.Now())
	e.log.mu.Unlock()
	e.d.rec.add("server   %s crashes at request %s", e.id, id)
	time.AfterFunc(crashTime, e.start)
}

func (e *crashingEngine) serve(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !e.answer(conn, r) {
			return
		}
	}
}

// answer answers a request and returns false if the connection has ended.
func (e *crashingEngine) answer(conn net.Conn, r *http.Request) bool {
	id, target := r.Header.Get("X-Request-Id"), r.Header.Get("X-Target-Instance")
	head := "X-Request-Id: " + id + "\r\n"
	reply := func(text string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	misdirected := "HTTP/1.1 421 Misdirected Request\r\n" + head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	switch {
	case target != "" && target != e.id:
		return reply(misdirected)
	case strings.HasPrefix(r.URL.Path, "/-/report"):
		return reply(jsonAnswer("", fmt.Sprintf(`{"stage":%q,"models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":1,"handles":0}`, e.stage)))
	case strings.HasPrefix(r.URL.Path, "/-/kv-list"):
		return reply(jsonAnswer("", `{"epoch":1,"next_page_token":1,"held":[]}`))
	case strings.HasPrefix(r.URL.Path, "/-/"):
		return reply(jsonAnswer("", `{}`))
	case r.Header.Get("X-Stage") == "prefill" && e.stage == "prefill":
		time.Sleep(50 * time.Millisecond)
		return reply(jsonAnswer(head, fmt.Sprintf(`{"prefill_handle":"%s-%s-%x","tokens":1,"version":1}`, e.id, id, rand.Uint32())))
	case e.stage != "decode":
		return reply(misdirected)
	}
	time.Sleep(80 * time.Millisecond)
	e.log.mu.Lock()
	e.log.runs[id] = true
	e.log.mu.Unlock()
	e.d.rec.add("server   %s runs %s", e.id, id)
	if strings.HasPrefix(r.Header.Get("X-Prompt-Prefix"), harmfulPart+":") {
		e.crash(id)
		return false
	}
	if !reply("HTTP/1.1 200 OK\r\n" + head + "X-Response-Signature: " + e.id + "." + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	for n := 1; n <= 12; n++ {
		event := fmt.Sprintf("id: %d\ndata: token\n\n", n)
		if !reply(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
		time.Sleep(30 * time.Millisecond)
	}
	return reply("0\r\n\r\n")
}

// taintedPart shows that a sound part that is deeper in the prompt than the harmful one is blocked in its place.
func taintedPart(rec *record) bool {
	d := newDeployment(rec, limits{taintedMemoryMB, taintedDescriptors})
	defer d.close()
	log := &taintedLog{runs: make(map[string]bool)}
	for i := range taintedEngines {
		e := &crashingEngine{d: d, log: log, id: fmt.Sprintf("i-%d", i), stage: "decode", address: "127.0.0.1:0"}
		if i < 3 {
			e.stage = "prefill"
		}
		e.start()
	}
	service := map[string]any{"name": "logreader", "connection_limit": 620, "health_path": "/health", "engine": map[string]any{"slots": 128,
		"kv_cache_tokens": 978044, "kv_token_bytes": 18432, "link_mbps": 550000, "handle_ttl_s": 5, "switch_s": 3, "most": 4}}
	d.configure(1, []any{route("season-digest", "streaming", "logreader", 2, 5000, map[string]any{"sticky_sessions": true, "resumable": true,
		"target_gap_ms": 250, "target_latency_ms": 400})}, []any{service}, map[string][]string{"team-a": {"key-a"}})
	d.start(taintedMachines, nil)
	d.awaitReady()
	time.Sleep(time.Second)

	var mu sync.Mutex
	sentAt := make(map[string]time.Time) // sound requests
	var tainted atomic.Bool
	var wg sync.WaitGroup
	end := time.Now().Add(beforeTainted + whileTainted)
	send := func(id, first string) {
		number := 1 + rand.IntN(taintedMachines)
		wg.Go(func() { rec.add("client   %s at machine %d: %s", id, number, d.sendPrompt(number, id, first)) })
	}
	wg.Go(func() {
		for n := 0; ; n++ {
			pause := time.Duration((0.85 + 0.3*rand.Float64()) * float64(soundGap))
			if time.Now().Add(pause).After(end) {
				return
			}
			time.Sleep(pause)
			for i := range soundGroup {
				id := fmt.Sprintf("sound-%d", n*soundGroup+i)
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				send(id, firstPart)
			}
		}
	})
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(time.Duration((0.75 + 0.5*rand.Float64()) / taintedPerSecond * float64(time.Second)))
			if tainted.Load() && trouble() {
				send(fmt.Sprintf("tainted-%d", n), harmfulPart)
			}
		}
	})
	time.Sleep(beforeTainted)
	taintedAt := time.Now()
	rec.add("requests with the harmful part begin")
	tainted.Store(true)
	time.Sleep(time.Until(end))
	wg.Wait()
	log.mu.Lock()
	defer log.mu.Unlock()
	countFrom := taintedAt.Add(2 * contactTime)
	if n := len(log.crashes); n > 0 {
		countFrom = log.crashes[min(n, 5)-1].Add(2 * contactTime)
	}
	var before, begunBefore, during, begunDuring int
	for id, at := range sentAt {
		begun := 0
		if log.runs[id] {
			begun = 1
		}
		switch {
		case at.Before(taintedAt):
			before, begunBefore = before+1, begunBefore+begun
		case at.After(countFrom):
			during, begunDuring = during+1, begunDuring+begun
		}
	}
	summary := fmt.Sprintf("%d crashes; sound requests that began: %d of %d before, %d of %d from %s after the fifth or last crash", len(log.crashes), begunBefore, before,
		begunDuring, during, 2*contactTime)
	rec.add("%s", summary)
	fmt.Println(summary)
	if before < minCounted || during < minCounted {
		rec.add("too few sound requests to judge")
		return true
	}
	return float64(begunDuring)/float64(during) >= 0.5*float64(begunBefore)/float64(before)
}

// sendPrompt sends one request on a new connection and returns what came.
func (d *deployment) sendPrompt(number int, id, first string) string {
	conn, err := net.DialTimeout("tcp", d.front(number), time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	body := "prompt of " + id
	fmt.Fprintf(conn, "POST /season-digest/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-a\r\nX-Request-Deadline: 5000\r\nX-Model: %s\r\n"+
		"X-Token-Counts: 17020,40\r\nX-Prompt-Prefix: %s:6000,%s:7300,%08x:3720\r\nContent-Length: %d\r\n\r\n%s", host, id, model, first, subjectPart, rand.Uint32(), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprintf("status %d, cut: %v", resp.StatusCode, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d, %.150s", resp.StatusCode, data)
	}
	return fmt.Sprintf("status 200, %d events", strings.Count(string(data), "\n\n"))
}
