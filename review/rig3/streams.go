package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// streamEngine is a stand-in for a model replica of stage decode. Its streams have 20 events, 100 ms apart, which name its software version.
type streamEngine struct {
	w       *world
	id      string
	address string
	zone    string
	version int
	dead    atomic.Bool
	server  *http.Server
}

const streamEvents, eventGap = 20, 100 * time.Millisecond

func (w *world) newStreamEngine(id string, ip, version int, zone string) *streamEngine {
	e := &streamEngine{w: w, id: id, address: fmt.Sprintf("%s%d:18080", w.prefix, ip), version: version, zone: zone}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		cannotRun("engine: %v", err)
	}
	e.server = &http.Server{Handler: e}
	go e.server.Serve(l)
	return e
}

// register lists the engine in the store in a state.
func (e *streamEngine) register(state string) {
	entry := serverEntry("logreader", e.address, e.zone, "decode")
	entry["version"], entry["state"], entry["slots"], entry["born"] = e.version, state, 128, e.w.rec.start.UnixMilli()
	e.w.rec.log("store: servers/%s is %s, software version %d, revision %d", e.id, state, e.version, e.w.store.set("servers", e.id, entry))
}

func (e *streamEngine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	if strings.HasPrefix(r.URL.Path, "/-/kv-list") {
		reply(rw, 200, map[string]any{"epoch": "e", "next_page_token": "1", "held": []any{}})
		return
	}
	if strings.HasPrefix(r.URL.Path, "/-/") || r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", e.id)
		return
	}
	rw.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Target-Instance") != e.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.w.runs.add(id, e.id, r.Header.Get("X-Tenant"))
	e.w.rec.log("%s (software version %d): runs %s from event %d", e.id, e.version, id, after+1)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Response-Signature", "sig."+id)
	rw.Header().Set("X-Weight-Versions", "1")
	rw.WriteHeader(200)
	for i := after + 1; i <= streamEvents; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
		if e.dead.Load() {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: version %d piece %d\n\n", i, e.version, i)
		rw.(http.Flusher).Flush()
	}
}

// crash ends the engine: its connections break and nothing listens at its address.
func (e *streamEngine) crash() {
	e.dead.Store(true)
	e.server.Close()
	e.w.rec.log("%s: crashed", e.id)
}

// attempt is one client attempt at a stream.
type attempt struct {
	id, node string
	at       time.Time
	status   int
	last     int      // id of the last event received, in this or an earlier attempt
	versions []string // software versions of the events of this attempt
	complete bool
	broken   string // why the attempt ended early
}

// stream is one request of a client with its attempts.
type stream struct {
	first, second *attempt
}

const clientGap = 2 * time.Second

// readStream sends one attempt. It ends the attempt after clientGap without an event, or when giveUp is closed.
func (w *world) readStream(n *nodeProcess, key, body string, prefix string, left time.Duration, after int, resumes string, giveUp <-chan struct{}) *attempt {
	a := &attempt{id: newID(), node: n.name, at: time.Now(), last: after}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+n.ip+":18368/digest/2f", strings.NewReader(body))
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Request-Deadline", fmt.Sprint(left.Milliseconds()))
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Counts", "1460,20")
	req.Header.Set("X-Prompt-Prefix", prefix)
	req.Header.Set("Authorization", "Bearer "+key)
	if after > 0 {
		req.Header.Set("Last-Event-Id", fmt.Sprint(after))
		req.Header.Set("Resumes", resumes)
	}
	gap := time.AfterFunc(clientGap, cancel)
	defer gap.Stop()
	if giveUp != nil {
		go func() {
			select {
			case <-giveUp:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		a.broken = err.Error()
	} else {
		defer resp.Body.Close()
		a.status = resp.StatusCode
		lines := bufio.NewScanner(resp.Body)
		for a.status == 200 && lines.Scan() {
			if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
				a.last, _ = strconv.Atoi(id)
			}
			if data, ok := strings.CutPrefix(lines.Text(), "data: version "); ok {
				gap.Reset(clientGap)
				v, _, _ := strings.Cut(data, " ")
				a.versions = append(a.versions, v)
			}
		}
		if a.status == 200 {
			a.complete = lines.Err() == nil && a.last == streamEvents
			if !a.complete {
				a.broken = fmt.Sprintf("ended after event %d: %v", a.last, lines.Err())
			}
		} else {
			text, _ := io.ReadAll(resp.Body)
			a.broken = strings.TrimSpace(string(text))
		}
	}
	w.rec.log("client: %s at %s, after event %d, resumes %q, sent %.3f: status %d, versions %v, complete %t %s", a.id, a.node, after, resumes,
		a.at.Sub(w.rec.start).Seconds(), a.status, compact(a.versions), a.complete, a.broken)
	return a
}

func compact(list []string) string {
	counts := ""
	for i := 0; i < len(list); {
		j := i
		for j < len(list) && list[j] == list[i] {
			j++
		}
		counts += fmt.Sprintf("%dx%s ", j-i, list[i])
		i = j
	}
	return strings.TrimSpace(counts)
}

// playStream sends a request to a node, and takes the stream up at another node if it breaks off.
func (w *world) playStream(n *nodeProcess, others []*nodeProcess, giveUp <-chan struct{}) stream {
	const deadline = 5 * time.Second
	start := time.Now()
	body, prefix := strings.Repeat("x", 500), fmt.Sprintf("5c1e07a2:800,%x:660", rand.Uint32())
	s := stream{first: w.readStream(n, "key-a-1", body, prefix, deadline, 0, "", giveUp)}
	if s.first.complete || s.first.last == 0 {
		return s
	}
	left := deadline - time.Since(start)
	if left < 300*time.Millisecond {
		return s
	}
	s.second = w.readStream(others[rand.Intn(len(others))], "key-a-1", body, prefix, left, s.first.last, s.first.id, nil)
	return s
}

// digestWorld starts a deployment with a resumable streaming route and six engines of software version 1.
func digestWorld(recordPath string) (*world, []*streamEngine) {
	w := newWorld(recordPath, 4)
	services := []map[string]any{{"name": "logreader", "connection_limit": 620, "engine": map[string]any{"slots": 128, "kv_cache_tokens": 978044,
		"kv_token_bytes": 18432, "link_mbps": 550000, "handle_ttl_s": 4, "switch_s": 2, "most": 4}}}
	digest := route("season-digest", "/digest/", "streaming", "logreader")
	digest["timeout_ms"], digest["target_latency_ms"], digest["target_gap_ms"] = 5000, 400, 250
	digest["sticky_sessions"], digest["resumable"] = true, true
	var engines []*streamEngine
	for i := 0; i < 6; i++ {
		e := w.newStreamEngine(fmt.Sprintf("i-logreader-%d", i), 31+i, 1, zones[1+i%3])
		e.register("ready")
		engines = append(engines, e)
	}
	w.store.set("config", "main", config(1, []map[string]any{digest}, services, map[string][]string{"tenant-a": {"key-a-1"}, "tenant-b": {"key-b-1"}}))
	w.startNodes()
	return w, engines
}
