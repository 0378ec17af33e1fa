package buffer

import (
	"bytes"
	"io"
	"testing"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// Guards against memory that is reserved without a bound or never released, and against one owner that takes it from all others.
func TestReservationsKeepBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes = 1 << 20
		m := NewMemory(maxBytes)
		owners := []string{"a", "b", "c"}
		open := make(map[int]*Reservation)
		sizes := make(map[int]int)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, 9).Draw(t, "request")
			if open[i] == nil {
				open[i] = m.Reserve(owners[i%len(owners)])
			}
			if rapid.IntRange(0, 4).Draw(t, "ends") == 0 {
				open[i].Release()
				delete(open, i)
				delete(sizes, i)
				continue
			}
			size := rapid.IntRange(0, maxBytes).Draw(t, "size")
			if err := open[i].Resize(sizes[i], size); err == nil {
				sizes[i] = size
			}
			var total int64
			byOwner := make(map[string]int64)
			for j, s := range sizes {
				n := int64(max(s-unreservedBytes, 0))
				total += n
				byOwner[owners[j%len(owners)]] += n
			}
			if got := m.Reserved(); got != total || got > maxBytes {
				t.Fatalf("%d bytes reserved, want %d of at most %d", got, total, maxBytes)
			}
			for owner, n := range byOwner {
				if n > maxBytes/2 {
					t.Fatalf("owner %s has %d bytes", owner, n)
				}
			}
		}
		for _, r := range open {
			r.Release()
		}
		if got := m.Reserved(); got != 0 {
			t.Fatalf("%d bytes are never released", got)
		}
	})
}

// Guards against a short response that is refused because other responses occupy the memory, and against a cut one that is returned.
func TestReadAll(t *testing.T) {
	m := NewMemory(1 << 20)
	full := m.Reserve("faulty")
	if err := full.Resize(0, 1<<19+unreservedBytes); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		owner       string
		size, limit int
		whole       bool
	}{
		{"faulty", unreservedBytes - 1, 1 << 20, true}, {"faulty", 1 << 15, 1 << 20, false}, {"sound", 1 << 15, 1 << 20, true},
		{"sound", 1 << 20, 1 << 22, false}, {"sound", 101, 100, false}, {"sound", 100, 100, true}, {"sound", 0, 100, true},
	} {
		r := m.Reserve(c.owner)
		sent := bytes.Repeat([]byte("x"), c.size)
		got, err := r.ReadAll(bytes.NewReader(sent), c.limit)
		if c.whole != (err == nil) || c.whole && !bytes.Equal(got, sent) || !c.whole && !errors.Is(err, ErrTooLarge) {
			t.Errorf("%+v: %d bytes, %v", c, len(got), err)
		}
		r.Release()
	}
	if _, err := m.Reserve("sound").ReadAll(io.MultiReader(bytes.NewReader([]byte("x")), failingReader{}), 100); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("broken response: %v", err)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
