package usage

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// answerRetention is how long the hash of a counted answer is kept. It is longer than answers can be fetched for resumption.
	answerRetention = 10 * time.Minute
	// maxRecentAnswers bounds the hashes, of 8 bytes each, that are sent to a peer that has confirmed none.
	maxRecentAnswers = 1024
)

// CountedAnswers is the set of answers (responses to callers) whose usage was counted by this gateway or by a gateway that copies its
// counters to it. It prevents an answer that is resumed after its gateway was killed from being counted again. Its methods may be
// called concurrently.
type CountedAnswers struct {
	mu      sync.Mutex
	counted map[uint64]bool
	// oldestFirst holds the answers in counted in the order of their time, for expiry.
	oldestFirst []countedAnswer
	// ownRecent holds the latest maxRecentAnswers answers that this gateway counted; ownTotal is the number of all that it counted.
	ownRecent []uint64
	ownTotal  int
	// confirmed is, for each peer, the number of own answers that the peer has confirmed.
	confirmed map[string]int
}

type countedAnswer struct {
	hash uint64
	at   time.Time
}

// NewCountedAnswers returns an empty set.
func NewCountedAnswers() *CountedAnswers {
	return &CountedAnswers{counted: make(map[uint64]bool), confirmed: make(map[string]int)}
}

// HashAnswer returns the hash by which gateways identify the answer to a request.
func HashAnswer(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// MarkCounted adds an answer that this gateway counts. The hash is sent to the peers with the next copy of counters.
func (a *CountedAnswers) MarkCounted(hash uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(hash)
	a.ownRecent = append(a.ownRecent, hash)
	a.ownTotal++
	if len(a.ownRecent) > maxRecentAnswers {
		a.ownRecent = a.ownRecent[len(a.ownRecent)-maxRecentAnswers:]
	}
}

// AcceptFromPeer adds answers that another gateway counts and returns those that had been counted before.
func (a *CountedAnswers) AcceptFromPeer(hashes []uint64) (alreadyCounted []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, hash := range hashes {
		if a.counted[hash] {
			alreadyCounted = append(alreadyCounted, hash)
			continue
		}
		a.add(hash)
	}
	return alreadyCounted
}

// UnconfirmedByPeer returns the own answers that a peer has not confirmed, at most maxRecentAnswers. The caller calls confirm once
// the peer has accepted them.
func (a *CountedAnswers) UnconfirmedByPeer(peer string) (hashes []uint64, confirm func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := a.ownTotal
	unconfirmed := min(total-a.confirmed[peer], len(a.ownRecent))
	hashes = append(hashes, a.ownRecent[len(a.ownRecent)-unconfirmed:]...)
	return hashes, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.confirmed[peer] = max(a.confirmed[peer], total)
	}
}

// add adds an answer and removes those older than answerRetention. The caller holds the lock.
func (a *CountedAnswers) add(hash uint64) {
	now := time.Now()
	expired := 0
	for expired < len(a.oldestFirst) && now.Sub(a.oldestFirst[expired].at) > answerRetention {
		delete(a.counted, a.oldestFirst[expired].hash)
		expired++
	}
	a.oldestFirst = a.oldestFirst[expired:]
	if !a.counted[hash] {
		a.counted[hash] = true
		a.oldestFirst = append(a.oldestFirst, countedAnswer{hash, now})
	}
}
