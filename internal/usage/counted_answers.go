package usage

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// answersFor is how long it is remembered that an answer was counted. It is above the time for which answers can be fetched.
	answersFor = 10 * time.Minute
	// maxAnswersAtOnce bounds what a new peer is told of older answers, 8 bytes each.
	maxAnswersAtOnce = 1024
)

// CountedAnswers remembers which answers have been counted, by this gateway and by those that copy their counters to it. So an answer that is
// resumed after its gateway was killed is not counted again. Its methods may be called concurrently.
type CountedAnswers struct {
	mu    sync.Mutex
	known map[uint64]bool
	// order holds the known answers from the oldest on.
	order []countedAnswer
	// own holds the last answers that this gateway counted, ownCount how many there were in all.
	own      []uint64
	ownCount int
	// told holds how many of the own answers each peer has confirmed.
	told map[string]int
}

type countedAnswer struct {
	hash uint64
	at   time.Time
}

// NewCountedAnswers returns an empty memory of answers.
func NewCountedAnswers() *CountedAnswers {
	return &CountedAnswers{known: make(map[uint64]bool), told: make(map[string]int)}
}

// HashAnswer returns the form in which gateways tell each other of an answer.
func HashAnswer(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// MarkCounted notes an answer that this gateway counts. Its peers are told with the next copy of counters.
func (a *CountedAnswers) MarkCounted(hash uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.note(hash)
	a.own = append(a.own, hash)
	a.ownCount++
	if len(a.own) > maxAnswersAtOnce {
		a.own = a.own[len(a.own)-maxAnswersAtOnce:]
	}
}

// AcceptFromPeer notes answers that another gateway counts and returns those that were known.
func (a *CountedAnswers) AcceptFromPeer(hashes []uint64) (counted []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, hash := range hashes {
		if a.known[hash] {
			counted = append(counted, hash)
			continue
		}
		a.note(hash)
	}
	return counted
}

// UnconfirmedByPeer returns the own answers that a peer has not confirmed, and a function that notes its confirmation.
func (a *CountedAnswers) UnconfirmedByPeer(peer string) (hashes []uint64, confirm func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	upTo := a.ownCount
	n := min(upTo-a.told[peer], len(a.own))
	hashes = append(hashes, a.own[len(a.own)-n:]...)
	return hashes, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.told[peer] = max(a.told[peer], upTo)
	}
}

// note remembers an answer and forgets those whose time is over. The caller holds the lock.
func (a *CountedAnswers) note(hash uint64) {
	now := time.Now()
	n := 0
	for n < len(a.order) && now.Sub(a.order[n].at) > answersFor {
		delete(a.known, a.order[n].hash)
		n++
	}
	a.order = a.order[n:]
	if !a.known[hash] {
		a.known[hash] = true
		a.order = append(a.order, countedAnswer{hash, now})
	}
}
