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

func init() { cases["extra"] = extraRefusal }

const (
	// extraMemoryMB and extraDescriptors are those of the smallest machine of jadeharbor-tpe-grown.
	extraMemoryMB    = 424
	extraDescriptors = 8192
	extraMachines    = 12
	// extraEngines engines work on extraSlots requests each and let extraQueue more wait. Each holds a model of its own.
	extraEngines = 3
	extraSlots   = 24
	extraQueue   = 4
	// extraPause is the Retry-After time of an engine that is full.
	extraPause = 100 * time.Millisecond
	// A stream takes about a second.
	extraFirstEvent = 30 * time.Millisecond
	extraEventGap   = 60 * time.Millisecond
	extraEvents     = 16
	// usualPerSecond is the rate of requests, burstFactor that of bursts, which last burstTime each burstPeriod.
	usualPerSecond = 52.0
	burstFactor    = 1.9
	burstTime      = 10 * time.Second
	burstPeriod    = 12 * time.Second
	// In each span of garbleTime, extraFaulty engines, a share of 0.6, answer garbleAnswers of the requests a second time.
	garbleTime    = 5 * time.Second
	extraFaulty   = 2
	garbleAnswers = 0.03
	extraFor      = 100 * time.Second
)

// extraLog holds what engines ran and what clients got.
type extraLog struct {
	mu       sync.Mutex
	runs     map[string]int
	statuses map[string]int
	extras   int
	refusals int
}

// fullEngine is an engine that turns requests away when it is full. While it is faulty, it sends some answers a second time, when the next
// request on the connection has arrived.
type fullEngine struct {
	rec     *record
	log     *extraLog
	id      string
	model   string
	address string
	slots   chan struct{}
	waiting atomic.Int64
	faulty  atomic.Bool
}

func (e *fullEngine) start() (stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cantRun("engine: %v", err)
	}
	e.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return func() { _ = l.Close() }
}

func (e *fullEngine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	extra, extraID := "", ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if extra != "" {
			e.rec.add("server   %s sends its answer to %s again, before that to %s", e.id, extraID, r.Header.Get("X-Request-Id"))
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
			extra = ""
		}
		answer, ok := e.answer(conn, r)
		if !ok {
			return
		}
		if id := r.Header.Get("X-Request-Id"); id != "" && answer != "" && e.faulty.Load() && rand.Float64() < garbleAnswers {
			extra, extraID = answer, id
			e.log.mu.Lock()
			e.log.extras++
			e.log.mu.Unlock()
		}
	}
}

// answer answers a request. It returns the answer and whether the connection can be used on.
func (e *fullEngine) answer(conn net.Conn, r *http.Request) (answer string, ok bool) {
	id, target := r.Header.Get("X-Request-Id"), r.Header.Get("X-Target-Instance")
	head := "X-Request-Id: " + id + "\r\n"
	reply := func(text string) (string, bool) {
		_, err := io.WriteString(conn, text)
		return text, err == nil
	}
	switch {
	case target != "" && target != e.id:
		return reply("HTTP/1.1 421 Misdirected Request\r\n" + head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case strings.HasPrefix(r.URL.Path, "/-/report"):
		return reply(jsonAnswer("", fmt.Sprintf(`{"stage":"decode","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":%d,"running":%d,"kv_used":0,"kv_total":978044,"handles":0}`,
			e.model, e.waiting.Load(), len(e.slots))))
	case strings.HasPrefix(r.URL.Path, "/-/kv-list"):
		return reply(jsonAnswer("", `{"epoch":1,"next_page_token":1,"held":[]}`))
	case strings.HasPrefix(r.URL.Path, "/-/"):
		return reply(jsonAnswer("", `{}`))
	case r.Header.Get("X-Stage") != "", r.Header.Get("X-Model") != e.model:
		return reply("HTTP/1.1 421 Misdirected Request\r\n" + head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	select {
	case e.slots <- struct{}{}:
	default:
		if e.waiting.Add(1) > extraQueue {
			e.waiting.Add(-1)
			e.log.mu.Lock()
			e.log.refusals++
			e.log.mu.Unlock()
			e.rec.add("server   %s is full, turns away %s, which came from %s", e.id, id, conn.RemoteAddr())
			return reply(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Executed: 1\r\nRetry-After: %.1f\r\nContent-Length: 0\r\n\r\n", head, extraPause.Seconds()))
		}
		e.slots <- struct{}{}
		e.waiting.Add(-1)
	}
	defer func() { <-e.slots }()
	e.log.mu.Lock()
	e.log.runs[id]++
	n := e.log.runs[id]
	e.log.mu.Unlock()
	e.rec.add("server   %s runs %s (run %d), which came from %s", e.id, id, n, conn.RemoteAddr())
	time.Sleep(extraFirstEvent)
	answer = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Response-Signature: %s.%s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		head, e.id, id)
	if _, ok := reply(answer); !ok {
		return "", false
	}
	for n := 1; n <= extraEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: token\n\n", n)
		chunk, ok := reply(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
		if !ok {
			return "", false
		}
		answer += chunk
		time.Sleep(extraEventGap)
	}
	end, ok := reply("0\r\n\r\n")
	return answer + end, ok
}

// extraRefusal shows that a refusal that an engine sends a second time is taken for the answer to the same request when it is sent again.
func extraRefusal(rec *record) bool {
	d := newDeployment(rec, limits{extraMemoryMB, extraDescriptors})
	defer d.close()
	log := &extraLog{runs: make(map[string]int), statuses: make(map[string]int)}
	born := time.Now().UnixMilli()
	var engines []*fullEngine
	for i := range extraEngines {
		e := &fullEngine{rec: rec, log: log, id: fmt.Sprintf("i-%d", i), model: fmt.Sprintf("m-%d", i), slots: make(chan struct{}, extraSlots)}
		defer e.start()()
		d.store.Set("servers", e.id, map[string]any{"service": "audit-llm", "address": e.address, "zone": "z1", "version": "v1", "slots": extraSlots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "born": born, "stage": "decode", "models": []any{map[string]any{"name": e.model, "version": 1, "adapters": []any{}}}})
		engines = append(engines, e)
	}
	service := map[string]any{"name": "audit-llm", "connection_limit": 620, "health_path": "/health", "engine": map[string]any{"slots": extraSlots,
		"kv_cache_tokens": 978044, "kv_token_bytes": 18432, "link_mbps": 550000, "handle_ttl_s": 5, "switch_s": 3, "most": 4}}
	d.configure(1, []any{route("layer-review", "streaming", "audit-llm", 1, 3000, map[string]any{"sticky_sessions": true, "resumable": false,
		"target_gap_ms": 250, "target_latency_ms": 300})}, []any{service}, map[string][]string{"team-a": {"key-a"}})
	d.start(extraMachines, nil)
	d.awaitReady()
	time.Sleep(time.Second)

	var wg sync.WaitGroup
	start := time.Now()
	end := start.Add(extraFor)
	wg.Go(func() {
		for trouble() && time.Now().Before(end) {
			for i, at := range rand.Perm(extraEngines) {
				engines[at].faulty.Store(i < extraFaulty)
			}
			time.Sleep(garbleTime)
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		rate := usualPerSecond
		if time.Since(start)%burstPeriod < burstTime {
			rate *= burstFactor
		}
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		id, number := fmt.Sprintf("c-%d", n), 1+rand.IntN(extraMachines)
		wg.Go(func() {
			status, what := d.sendLayerReview(number, id)
			rec.add("client   %s at machine %d: %s", id, number, what)
			log.mu.Lock()
			log.statuses[id] = status
			log.mu.Unlock()
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	log.mu.Lock()
	defer log.mu.Unlock()
	twice, refused, served := 0, 0, 0
	for id, status := range log.statuses {
		if log.runs[id] > 1 {
			twice++
			rec.add("TWICE    %s ran %d times, status %d", id, log.runs[id], status)
		}
		if log.runs[id] > 0 && (status == 429 || status == 503) {
			refused++
			rec.add("REFUSED  %s ran and was answered %d", id, status)
		}
		if status == http.StatusOK {
			served++
		}
	}
	summary := fmt.Sprintf("%d requests, %d served; engines turned away %d and repeated %d answers; %d requests ran twice, %d ran and were refused",
		len(log.statuses), served, log.refusals, log.extras, twice, refused)
	rec.add("%s", summary)
	fmt.Println(summary)
	return twice == 0 && refused == 0
}

// sendLayerReview sends one request on a new connection and returns its status, 0 for none, and what came.
func (d *deployment) sendLayerReview(number int, id string) (int, string) {
	conn, err := net.DialTimeout("tcp", d.front(number), time.Second)
	if err != nil {
		return 0, "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	body := "prompt of " + id
	fmt.Fprintf(conn, "POST /layer-review/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-a\r\nX-Request-Deadline: 3000\r\nX-Model: %s\r\n"+
		"X-Token-Counts: 1460,40\r\nX-Prompt-Prefix: %08x:350,%08x:1110\r\nContent-Length: %d\r\n\r\n%s", host, id, fmt.Sprintf("m-%d", rand.IntN(extraEngines)), rand.IntN(60), rand.Uint32(), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "no answer: " + err.Error()
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, fmt.Sprintf("status %d, cut: %v", resp.StatusCode, err)
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, fmt.Sprintf("status %d, %.150s", resp.StatusCode, data)
	}
	return resp.StatusCode, fmt.Sprintf("status 200, %d events", strings.Count(string(data), "\n\n"))
}
