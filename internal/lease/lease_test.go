package lease

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// slowWrite is how long the platform takes for a write of a frozen store.
const slowWrite = 800 * time.Millisecond

// frozen is a store whose calls of one process hang until its context ends, as if the process were cut off.
type frozen struct {
	objectstore.Store
	cut atomic.Bool
	// sent is when the last write that succeeded was sent, in Unix nanoseconds.
	sent atomic.Int64
}

func (f *frozen) Put(ctx context.Context, kind, name string, data []byte, v uint64) (uint64, error) {
	if f.cut.Load() {
		<-ctx.Done()
		return 0, objectstore.ErrUnavailable
	}
	sent := time.Now().UnixNano()
	time.Sleep(slowWrite)
	f.sent.Store(sent)
	return f.Store.Put(ctx, kind, name, data, v)
}

// terms records the authorities of all electors and fails when two are valid at once.
type terms struct {
	mu  sync.Mutex
	all []*Authority
}

func (r *terms) lead(t *testing.T) func(*Authority) {
	return func(a *Authority) {
		r.mu.Lock()
		for _, other := range r.all {
			if other.Valid() || other.FencingToken() >= a.FencingToken() {
				t.Errorf("term %d starts while term %d has authority or a larger number", a.FencingToken(), other.FencingToken())
			}
		}
		r.all = append(r.all, a)
		r.mu.Unlock()
		<-a.Context().Done()
	}
}

func (r *terms) fences() (out []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.all {
		out = append(out, a.FencingToken())
	}
	return out
}

func (r *terms) first() *Authority {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all[0]
}

func start(ctx context.Context, t *testing.T, s objectstore.Store, holder string, r *terms, wall func() time.Time) {
	k := NewElector(Options{Store: s, Name: "p.orders", Holder: holder, Wall: wall})
	go func() { _ = k.Run(ctx, r.lead(t)) }()
}

// Guards against two processes that hold authority at once, when candidates race and the holder is cut off past its TTL.
func TestCutOffHolderIsReplacedOnlyAfterItStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		mem, r := memplatform.New(), &terms{}
		cut := &frozen{Store: mem}
		start(ctx, t, cut, "a", r, nil)
		time.Sleep(time.Second)
		start(ctx, t, mem, "b", r, nil)
		start(ctx, t, mem, "c", r, nil)
		time.Sleep(time.Minute)
		if got := r.fences(); len(got) != 1 {
			t.Fatalf("a live holder was replaced: terms %v", got)
		}
		for sent := cut.sent.Load(); cut.sent.Load() == sent; {
			time.Sleep(time.Millisecond)
		}
		cut.cut.Store(true)
		time.Sleep(time.Until(time.Unix(0, cut.sent.Load()).Add(DefaultTTL - DefaultMargin)))
		if r.first().Valid() {
			t.Error("the cut-off holder acts later than TTL minus margin after it sent its last renewal")
		}
		time.Sleep(time.Minute)
		if got := r.fences(); len(got) != 2 || got[1] != 2 {
			t.Errorf("terms %v, want one successor with number 2", got)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a holder that loses or wrongly keeps its lease when the answers of its writes are lost.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		mem, r := memplatform.New(), &terms{}
		mem.SetFaults(memplatform.Faults{LoseAnswers: 3})
		start(ctx, t, mem, "a", r, nil)
		start(ctx, t, mem, "b", r, nil)
		time.Sleep(30 * time.Second)
		if got := r.fences(); len(got) != 1 || got[0] != 1 || !r.first().Valid() {
			t.Errorf("terms %v, want the first write recognised and a term that lasts", got)
		}
		mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = true })
		time.Sleep(DefaultTTL)
		if r.first().Valid() {
			t.Error("authority outlives the platform")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a suspended VM that acts on its lease because its monotonic clock stood still.
func TestSuspendedClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		mem, r := memplatform.New(), &terms{}
		var skew atomic.Int64
		start(ctx, t, mem, "a", r, func() time.Time { return time.Now().Add(time.Duration(skew.Load())) })
		time.Sleep(time.Second)
		skew.Store(int64(DefaultTTL))
		if r.first().Valid() {
			t.Error("authority valid after a suspension of one TTL")
		}
		synctest.Wait()
		if r.first().Context().Err() == nil {
			t.Error("context outlives the authority")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a planned stop that leaves the duty without holder for a whole TTL.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		first, stop := context.WithCancel(ctx)
		mem, r := memplatform.New(), &terms{}
		start(first, t, mem, "a", r, nil)
		time.Sleep(time.Second)
		start(ctx, t, mem, "b", r, nil)
		stop()
		time.Sleep(2 * time.Second)
		if got := r.fences(); len(got) != 2 {
			t.Errorf("terms %v, want a successor within 2 s of the release", got)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against orders that leave on an open connection after the authority ended.
func TestBoundConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	received := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		data, _ := io.ReadAll(c)
		received <- string(data)
	}()
	var skew atomic.Int64
	a := NewAuthority(t.Context(), 1, time.Hour, func() time.Time { return time.Now().Add(time.Duration(skew.Load())) })
	c, err := a.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := c.(*boundConn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) {
		if ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil || ms != 1000 {
			t.Errorf("TCP_USER_TIMEOUT is %d ms, %v", ms, err)
		}
	})
	if _, err := c.Write([]byte("in time")); err != nil {
		t.Fatal(err)
	}
	skew.Store(int64(time.Hour))
	if _, err := c.Write([]byte(" too late")); !errors.Is(err, ErrNoAuthority) {
		t.Errorf("write after the end gave %v", err)
	}
	if _, err := a.DialContext(t.Context(), "tcp", l.Addr().String()); !errors.Is(err, ErrNoAuthority) {
		t.Errorf("dial after the end gave %v", err)
	}
	if got := <-received; got != "in time" && got != "" {
		t.Errorf("the endpoint received %q", got)
	}
}

// Guards against all leases on the process that starts first, and against a lease that nobody takes when the first in rank is lost.
func TestRankDecidesWhoTriesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memplatform.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var done sync.WaitGroup
		leads := make(chan string, 10)
		run := func(ctx context.Context, holder string, rank int) {
			k := NewElector(Options{Store: store, Name: "x", Holder: holder, Rank: func() int { return rank }})
			done.Go(func() {
				_ = k.Run(ctx, func(a *Authority) {
					leads <- holder
					<-a.Context().Done()
				})
			})
		}
		run(ctx, "second", 1)
		firstCtx, loseFirst := context.WithCancel(ctx)
		run(firstCtx, "first", 0)
		if got := <-leads; got != "first" {
			t.Fatalf("%s leads, want the first in rank", got)
		}
		loseFirst()
		if got := <-leads; got != "second" {
			t.Fatalf("%s leads after the first was lost", got)
		}
		cancel()
		done.Wait()
	})
}

// silentWrites is a store that carries out each second write without an answer: the call hangs until its context ends.
type silentWrites struct {
	objectstore.Store
	writes int
}

func (s *silentWrites) Put(ctx context.Context, kind, name string, data []byte, v uint64) (uint64, error) {
	version, err := s.Store.Put(ctx, kind, name, data, v)
	s.writes++
	if s.writes%2 == 0 {
		<-ctx.Done()
		return 0, errors.Wrap(objectstore.ErrUnavailable, ctx.Err().Error())
	}
	return version, err
}

// Guards a short lease against writes that are carried out and never answered: one call must not outlast the holder's authority, or
// each lost answer ends a term, and the duties rest while a successor waits.
func TestShortLeaseOutlivesUnansweredWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl = 3 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		r := &terms{}
		store := &silentWrites{Store: memplatform.New()}
		k := NewElector(Options{Store: store, Name: "x", Holder: "a", TTL: ttl, Margin: ttl / 4, RenewEvery: ttl / 3})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = k.Run(ctx, r.lead(t))
		}()
		time.Sleep(time.Minute)
		if got := r.fences(); len(got) != 1 || !r.first().Valid() {
			t.Errorf("terms %v, want one that lasts", got)
		}
		cancel()
		<-done
	})
}
