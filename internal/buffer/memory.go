// Package buffer accounts for the memory that responses of endpoints occupy while they are buffered, so that faulty endpoints, which may
// send bytes without end, can't use up the memory of a process.
package buffer

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// DefaultMax is a bound in bytes for the buffers of a process whose memory is not known.
	DefaultMax = 64 << 20
	// unreservedBytes is the size up to which a buffer needs no reservation, so that short responses and events of sound endpoints are
	// passed on whatever the faulty ones send.
	unreservedBytes = 4 << 10
	// maxOwnerShare is the share of the memory that one owner may occupy. The rest remains for the others while all responses of one have
	// no end.
	maxOwnerShare = 0.5
	// maxReadBytes bounds one read.
	maxReadBytes = 256 << 10
)

// ErrTooLarge means that a response exceeds its bound, or the memory for buffers.
var ErrTooLarge = errors.New("endpoint's response is too large for its limit or for the memory of this process; check the endpoint, or limit the size of its responses")

// ErrReleased means that the request whose response was buffered has ended.
var ErrReleased = errors.New("the request has ended; nothing can be buffered for it any more")

// Memory is the memory for the buffers of a process. It is safe for concurrent use.
type Memory struct {
	maxBytes int64

	mu      sync.Mutex
	total   int64
	byOwner map[string]int64
}

// NewMemory returns the memory for buffers of maxBytes in all.
func NewMemory(maxBytes int64) *Memory {
	return &Memory{maxBytes: maxBytes, byOwner: make(map[string]int64)}
}

// Reserved returns the number of bytes that are reserved.
func (m *Memory) Reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}

// add reserves n bytes for an owner, or releases some if n is negative. It returns false if that exceeds a bound.
func (m *Memory) add(owner string, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > 0 && (m.total+n > m.maxBytes || float64(m.byOwner[owner]+n) > maxOwnerShare*float64(m.maxBytes)) {
		return false
	}
	m.total += n
	if m.byOwner[owner] += n; m.byOwner[owner] == 0 {
		delete(m.byOwner, owner)
	}
	return true
}

// Reservation is the memory for the buffers of one request. It is safe for concurrent use.
type Reservation struct {
	memory *Memory
	owner  string

	mu       sync.Mutex
	bytes    int64
	released bool
}

// Reserve returns an empty reservation. owner is the service or the endpoint that sends the bytes.
func (m *Memory) Reserve(owner string) *Reservation { return &Reservation{memory: m, owner: owner} }

// Resize reserves or releases memory for a buffer that changes its size. It returns ErrTooLarge, and changes nothing, if there is too little
// memory, and ErrReleased after Release.
func (r *Reservation) Resize(oldSize, newSize int) error {
	n := int64(max(newSize-unreservedBytes, 0) - max(oldSize-unreservedBytes, 0))
	if n == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return ErrReleased
	}
	if !r.memory.add(r.owner, n) {
		return ErrTooLarge
	}
	r.bytes += n
	return nil
}

// Release releases all memory of the reservation. Later calls have no effect.
func (r *Reservation) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	r.memory.add(r.owner, -r.bytes)
	r.bytes = 0
}

// ReadAll reads to the end of src. It returns ErrTooLarge for more than limit bytes, or if there is too little memory: a part of a response
// must not be passed on as a complete one.
func (r *Reservation) ReadAll(src io.Reader, limit int) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			grown := max(unreservedBytes, 2*cap(data))
			if err := r.Resize(cap(data), grown); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := src.Read(data[len(data):min(cap(data), len(data)+maxReadBytes)])
		data = data[:len(data)+n]
		if len(data) > limit {
			return nil, ErrTooLarge
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
