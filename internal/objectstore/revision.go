package objectstore

import (
	"strconv"
	"sync"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/bootclock"
)

const (
	// eraBits and numberBits are the sizes of the two parts of a Revision.
	eraBits    = 20
	numberBits = 64 - eraBits
	maxNumber  = 1<<numberBits - 1
)

// ErrRevisionTooLarge: the store's revision doesn't fit into a Revision.
var ErrRevisionTooLarge = errors.Errorf("object store: revision exceeds %d; this version of the program can't use the store", uint64(maxNumber))

// Revision is a version of the store or of one of its objects, as all packages compare, keep and exchange it. A store that comes back from a copy
// gives out its numbers again, so a number by itself orders nothing: each return begins a new era, which is the upper part of a Revision. All
// revisions of an era are thus larger than those of earlier ones, and equal revisions are the same state. A store that has no eras is in era 0.
type Revision uint64

// NewRevision returns the revision with a number of the store in an era. Eras above 2^20 begin at 0 again.
func NewRevision(era, number uint64) (Revision, error) {
	if number > maxNumber {
		return 0, ErrRevisionTooLarge
	}
	return Absent(era) | Revision(number), nil
}

// Absent returns the revision of an object that doesn't exist, in an era. As the condition of a write, it means that the object doesn't exist and
// that the store hasn't come back from a copy since.
func Absent(era uint64) Revision { return Revision(FoldEra(era) << numberBits) }

// FoldEra returns the part of an era that revisions hold.
func FoldEra(era uint64) uint64 { return era & (1<<eraBits - 1) }

// Era returns the era.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the store's own number of the revision.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// String returns the revision for logs: the store's number, after the era if there is one.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return "era " + strconv.FormatUint(r.Era(), 10) + ", " + number
}

// SameEra reports whether two revisions are of one era of the store.
func SameEra(a, b uint64) bool { return Revision(a).Era() == Revision(b).Era() }

// Eras knows the newest era of the store that this process has learned of, from the store or from other VMs. The zero value is in era 0. Its
// methods may be called concurrently.
type Eras struct {
	mu     sync.Mutex
	newest uint64
	// since is the earliest instant at which the newest era is known to have begun already; 0 in era 0.
	since bootclock.Instant
	// changed is closed when a newer era becomes known; nil until somebody waits for that.
	changed chan struct{}
}

// Observe records that the store was in an era at an instant, and reports whether that is the newest one. What belongs to an earlier one is out of
// date, also if it arrives later.
func (e *Eras) Observe(era uint64, at bootclock.Instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case era > e.newest:
		e.newest, e.since = era, at
		if e.changed != nil {
			close(e.changed)
			e.changed = nil
		}
	case era == e.newest && era > 0:
		e.since = min(e.since, at)
	}
	return era == e.newest
}

// Newest returns the newest era, and the earliest instant at which it is known to have begun already. In era 0 there is no such instant.
func (e *Eras) Newest() (era uint64, since bootclock.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest, e.since
}

// Changed returns a channel that is closed when an era becomes known that is newer than the newest one now.
func (e *Eras) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}
