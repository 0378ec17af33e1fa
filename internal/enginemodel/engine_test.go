package enginemodel

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// runRequest runs a request on an engine and returns the times to its first token and to its end.
func runRequest(e *Engine, r *Request) (firstToken, done time.Duration) {
	start := time.Now()
	ended := make(chan struct{})
	var at atomic.Int64
	r.OnFirstToken = func() { at.Store(int64(time.Since(start))) }
	r.OnDone = func() { done = time.Since(start); close(ended) }
	e.SubmitRequest(r)
	<-ended
	time.Sleep(e.FirstTokenDelay + time.Microsecond)
	return time.Duration(at.Load()), done
}

func checkDuration(t *testing.T, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s took %v, want %v to %v", what, got, low, high)
	}
}

// Guards against prefill rates that differ from those the users state: 157 tokens per millisecond for a prefill engine, half as
// many for a decode engine. Cached parts must not be prefilled again.
func TestPrefillRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := []Part{{"a", 13_300}, {"own", 3720}}
		p := New(RopeLogsEngine, "z", true)
		defer p.Stop()
		_, cold := runRequest(p, &Request{Parts: parts})
		checkDuration(t, "prefill of 17,020 tokens", cold, 108*time.Millisecond, 126*time.Millisecond) // 108 ms, and 145 M pairs
		_, warm := runRequest(p, &Request{Parts: []Part{{"a", 13_300}, {"other", 3720}}})
		checkDuration(t, "prefill of 3,720 tokens", warm, 23*time.Millisecond, 32*time.Millisecond)
		if p.SharedTokensRead() != 13_300 {
			t.Errorf("%d shared tokens prefilled, want 13,300", p.SharedTokensRead())
		}
		d := New(RopeLogsEngine, "z", false)
		defer d.Stop()
		first, _ := runRequest(d, &Request{Parts: parts, Output: 5})
		checkDuration(t, "first token of a decode engine", first, 240*time.Millisecond, 290*time.Millisecond)
	})
}

// Guards against decode steps whose duration doesn't grow with the size of the batch.
func TestStepsSlowDownWithTheBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(RopeLogsEngine, "z", false)
		defer e.Stop()
		_, alone := runRequest(e, &Request{Parts: []Part{{"x", 16}}, Output: 100})
		checkDuration(t, "100 tokens alone", alone, 355*time.Millisecond, 380*time.Millisecond)
		for range 99 {
			e.SubmitRequest(&Request{Parts: []Part{{"x", 16}}, Output: 1000})
		}
		time.Sleep(100 * time.Millisecond)
		_, full := runRequest(e, &Request{Parts: []Part{{"x", 16}}, Output: 100})
		checkDuration(t, "100 tokens in a batch of 100", full, 800*time.Millisecond, 860*time.Millisecond)
	})
}

// Guards against transfers that ignore the bandwidth of the link, the double duration between failure domains, or the queue on
// the link.
func TestFetchesQueueOnTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := []Part{{"a", 50_000}, {"b", 50_000}, {"own", 16}}
		from := New(RopeLogsEngine, "z1", true)
		defer from.Stop()
		runRequest(from, &Request{Parts: parts})
		sameDomain, otherDomain := New(RopeLogsEngine, "z1", false), New(RopeLogsEngine, "z2", false)
		defer sameDomain.Stop()
		defer otherDomain.Stop()
		start := time.Now()
		otherDone := make(chan time.Duration, 1)
		go func() { otherDomain.FetchParts(from, parts); otherDone <- time.Since(start) }()
		sameDomain.FetchParts(from, parts) // 1.84 GB over 550 Gbit/s are 26.8 ms
		first := time.Since(start)
		second := <-otherDone
		checkDuration(t, "the first fetch", min(first, second), 31*time.Millisecond, 60*time.Millisecond)
		checkDuration(t, "the fetch after it", max(first, second), 89*time.Millisecond, 92*time.Millisecond)
		if _, done := runRequest(sameDomain, &Request{Parts: parts[:2], Output: 1}); done > 10*time.Millisecond {
			t.Errorf("a fetched prompt took %v", done)
		}
	})
}

// Guards against cached parts that are not evicted for running requests, and against a request that starts without free memory.
func TestMemoryIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := RopeLogsEngine
		spec.MemoryTokens = 30_000
		e := New(spec, "z", false)
		defer e.Stop()
		runRequest(e, &Request{Parts: []Part{{"a", 10_000}, {"own1", 1000}}, Output: 1})
		runRequest(e, &Request{Parts: []Part{{"b", 20_000}, {"own2", 5000}}, Output: 1})
		if n := e.cachedTokens([]Part{{"a", 10_000}}); n != 0 {
			t.Errorf("%d tokens cached of the least recently used part", n)
		}
		e.SubmitRequest(&Request{Parts: []Part{{"c", 25_000}}, Output: 200})
		time.Sleep(time.Millisecond)
		_, done := runRequest(e, &Request{Parts: []Part{{"d", 8000}}, Output: 1})
		if done < 700*time.Millisecond {
			t.Errorf("a request that had to wait for memory was done after %v", done)
		}
	})
}

// Guards against an engine that continues to work on cancelled requests.
func TestCancelledRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(RopeLogsEngine, "z", false)
		defer e.Stop()
		r := &Request{Parts: []Part{{"a", 100_000}}, Output: 100, OnDone: func() { t.Error("OnDone was called for a cancelled request") }}
		e.SubmitRequest(r)
		time.Sleep(10 * time.Millisecond)
		e.CancelRequest(r)
		if first, _ := runRequest(e, &Request{Parts: []Part{{"b", 16}}, Output: 1}); first > 50*time.Millisecond {
			t.Errorf("first token after %v behind a cancelled request", first)
		}
	})
}
