package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a sound model server that takes a fixed time for a prompt and sends its events at once.
type engine struct {
	rec    *record
	id     string
	stage  string
	events int
	// prefillTime and firstTokenTime are how long a prefill and the first event take.
	prefillTime, firstTokenTime time.Duration
	handles                     atomic.Int64
	// arrived holds the ids of the requests that reached any engine; nil to keep none.
	arrived  *sync.Map
	listener net.Listener
}

func startEngine(rec *record, id, stage string, events int, prefillTime, firstTokenTime time.Duration, arrived *sync.Map) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cantRun("engine: %v", err)
	}
	e := &engine{rec: rec, id: id, stage: stage, events: events, prefillTime: prefillTime, firstTokenTime: firstTokenTime, arrived: arrived, listener: l}
	go e.accept()
	return e
}

func (e *engine) address() string { return e.listener.Addr().String() }

func (e *engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// serve answers the requests of a connection one after the other.
func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, e.answer(request)); err != nil {
			return
		}
	}
}

// answer returns the response to a request.
func (e *engine) answer(r *http.Request) string {
	id, target := r.Header.Get("X-Request-Id"), r.Header.Get("X-Target-Instance")
	head := "X-Request-Id: " + id + "\r\n"
	if e.arrived != nil && id != "" {
		e.arrived.Store(id, true)
	}
	switch {
	case target != "" && target != e.id:
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	case r.URL.Path == "/-/report":
		return jsonAnswer("", fmt.Sprintf(`{"stage":%q,"models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":1,"handles":0}`, e.stage, model))
	case r.URL.Path == "/-/kv-list":
		return jsonAnswer("", `{"epoch":1,"next_page_token":1,"held":[]}`)
	case strings.HasPrefix(r.URL.Path, "/-/"):
		return jsonAnswer("", `{}`)
	case r.Header.Get("X-Stage") == "prefill" && e.stage == "prefill":
		time.Sleep(e.prefillTime)
		return jsonAnswer(head, fmt.Sprintf(`{"prefill_handle":"%s-%d","tokens":1,"version":1}`, e.id, e.handles.Add(1)))
	case e.stage != "decode":
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	time.Sleep(e.firstTokenTime)
	e.rec.add("server   %s runs %s", e.id, id)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
	var body strings.Builder
	for n := after + 1; n <= e.events; n++ {
		fmt.Fprintf(&body, "id: %d\ndata: token\n\n", n)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Response-Signature: %s.%s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
		head, e.id, id, body.Len(), body.String())
}

func jsonAnswer(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
}
