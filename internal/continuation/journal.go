package continuation

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/bootclock"
)

const (
	// journalTime is how long a stream stays in the journal after it began or was resumed.
	journalTime = 15 * time.Second
	// maxJournalStreams bounds the journal, which must fit into one object of the store. The newest streams are kept.
	maxJournalStreams = 50_000
	keyBytes          = 8
)

// Journal holds, by service and software version, the concatenated big-endian keys of streams that may be in progress. The store keeps it, so that
// VMs know these streams after all of them were killed at once.
type Journal map[string]map[string][]byte

// Journal returns what the store has to keep, and false if it hasn't changed since the last call.
func (t *Tracker) Journal() (Journal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.journalChanged {
		return nil, false
	}
	t.journalChanged = false
	first := max(0, len(t.journal)-maxJournalStreams)
	for first < len(t.journal) && bootclock.Since(t.journal[first].at) > journalTime {
		first++
	}
	t.journal = t.journal[first:]
	j := make(Journal)
	for _, s := range t.journal {
		// A later entry may say that the version isn't known.
		if known, ok := t.log.get(s.Key); !ok || known.Version != s.Version {
			continue
		}
		if j[s.Service] == nil {
			j[s.Service] = make(map[string][]byte)
		}
		j[s.Service][s.Version] = binary.BigEndian.AppendUint64(j[s.Service][s.Version], uint64(s.Key))
	}
	return j, true
}

// RepeatJournal makes Journal return the journal again if there is one: the store doesn't hold the last one.
func (t *Tracker) RepeatJournal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.journalChanged = t.journalChanged || len(t.journal) > 0
}

// LoadJournal learns the streams of a journal.
func (t *Tracker) LoadJournal(j Journal) error {
	var streams []Stream
	for service, versions := range j {
		for version, keys := range versions {
			if len(keys)%keyBytes != 0 {
				return errors.Errorf("journal of streams holds %d bytes of keys, which is no multiple of %d; delete the object", len(keys), keyBytes)
			}
			for ; len(keys) > 0; keys = keys[keyBytes:] {
				streams = append(streams, Stream{Key: Key(binary.BigEndian.Uint64(keys)), Service: service, Version: version})
			}
		}
	}
	t.Learn(streams)
	return nil
}
