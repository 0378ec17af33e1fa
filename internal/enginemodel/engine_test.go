package enginemodel

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// timeOf plays a request on an engine and returns the times of its first token and of its end.
func timeOf(e *Engine, r *Request) (first, done time.Duration) {
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

func within(t *testing.T, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s took %v, want %v to %v", what, got, low, high)
	}
}

// Guards the rates that the users' pages state: a prefill engine reads 157 tokens a millisecond, a decode engine half as many, and
// what is kept is not read again.
func TestReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := []Part{{"a", 13_300}, {"own", 3720}}
		p := New(RopeLogs, "z", true)
		defer p.Stop()
		_, cold := timeOf(p, &Request{Parts: parts})
		within(t, "reading 17,020 tokens", cold, 108*time.Millisecond, 126*time.Millisecond) // 108 ms, and 145 M pairs
		_, warm := timeOf(p, &Request{Parts: []Part{{"a", 13_300}, {"other", 3720}}})
		within(t, "reading 3,720 tokens", warm, 23*time.Millisecond, 32*time.Millisecond)
		if p.SharedTokensRead() != 13_300 {
			t.Errorf("%d shared tokens read, want 13,300", p.SharedTokensRead())
		}
		d := New(RopeLogs, "z", false)
		defer d.Stop()
		first, _ := timeOf(d, &Request{Parts: parts, Output: 5})
		within(t, "first token of a decode engine", first, 240*time.Millisecond, 290*time.Millisecond)
	})
}

// Guards the growth of a step with the batch.
func TestStepsSlowDownWithTheBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(RopeLogs, "z", false)
		defer e.Stop()
		_, alone := timeOf(e, &Request{Parts: []Part{{"x", 16}}, Output: 100})
		within(t, "100 tokens alone", alone, 355*time.Millisecond, 380*time.Millisecond)
		for range 99 {
			e.SubmitRequest(&Request{Parts: []Part{{"x", 16}}, Output: 1000})
		}
		time.Sleep(100 * time.Millisecond)
		_, full := timeOf(e, &Request{Parts: []Part{{"x", 16}}, Output: 100})
		within(t, "100 tokens in a batch of 100", full, 800*time.Millisecond, 860*time.Millisecond)
	})
}

// Guards transfers: they take the link's time, twice as long between failure domains, and one after the other.
func TestFetchesQueueOnTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := []Part{{"a", 50_000}, {"b", 50_000}, {"own", 16}}
		from := New(RopeLogs, "z1", true)
		defer from.Stop()
		timeOf(from, &Request{Parts: parts})
		near, far := New(RopeLogs, "z1", false), New(RopeLogs, "z2", false)
		defer near.Stop()
		defer far.Stop()
		start := time.Now()
		other := make(chan time.Duration, 1)
		go func() { far.FetchParts(from, parts); other <- time.Since(start) }()
		near.FetchParts(from, parts) // 1.84 GB over 550 Gbit/s are 26.8 ms
		first := time.Since(start)
		second := <-other
		within(t, "the first fetch", min(first, second), 31*time.Millisecond, 60*time.Millisecond)
		within(t, "the fetch behind it", max(first, second), 89*time.Millisecond, 92*time.Millisecond)
		if _, done := timeOf(near, &Request{Parts: parts[:2], Output: 1}); done > 10*time.Millisecond {
			t.Errorf("a fetched prompt took %v", done)
		}
	})
}

// Guards memory: kept parts yield to running requests, and a request that finds no memory waits.
func TestMemoryIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := RopeLogs
		k.MemoryTokens = 30_000
		e := New(k, "z", false)
		defer e.Stop()
		timeOf(e, &Request{Parts: []Part{{"a", 10_000}, {"own1", 1000}}, Output: 1})
		timeOf(e, &Request{Parts: []Part{{"b", 20_000}, {"own2", 5000}}, Output: 1})
		if n := e.keeps([]Part{{"a", 10_000}}); n != 0 {
			t.Errorf("%d tokens kept of the part that was used least lately", n)
		}
		e.SubmitRequest(&Request{Parts: []Part{{"c", 25_000}}, Output: 200})
		time.Sleep(time.Millisecond)
		_, done := timeOf(e, &Request{Parts: []Part{{"d", 8000}}, Output: 1})
		if done < 700*time.Millisecond {
			t.Errorf("a request without memory was done after %v", done)
		}
	})
}

// Guards against work for callers that have left.
func TestCancelledRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(RopeLogs, "z", false)
		defer e.Stop()
		r := &Request{Parts: []Part{{"a", 100_000}}, Output: 100, OnDone: func() { t.Error("a cancelled request ended") }}
		e.SubmitRequest(r)
		time.Sleep(10 * time.Millisecond)
		e.CancelRequest(r)
		if first, _ := timeOf(e, &Request{Parts: []Part{{"b", 16}}, Output: 1}); first > 50*time.Millisecond {
			t.Errorf("first token after %v behind a cancelled request", first)
		}
	})
}
