package config

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// historyEvents bounds the changes that a relay keeps for subscribers that come back. 410 changes a day are
	// expected, so this covers more than a day.
	historyEvents = 512
	// historyBytes bounds the data of these changes; a node may use 128 MB in all.
	historyBytes = 4 << 20
	// freshnessPeriod is the period of a relay's messages when nothing changes.
	freshnessPeriod = time.Second
)

// Relay serves a process's configuration to others. It implements peerpb.ConfigServer.
type Relay struct {
	peerpb.UnimplementedConfigServer
	freshness *Freshness

	mu       sync.Mutex
	snapshot *Snapshot
	// history holds the last changes; history[i] has the sequence number first+i.
	history []change
	first   uint64
	bytes   int
	// floor is the smallest revision from which history holds every later change.
	floor   uint64
	changed chan struct{}
	// streams counts the subscribers' streams by role.
	streams map[string]int
	onSend  func(objects int)
}

type change struct {
	revision uint64
	events   []apitypes.Event
	bytes    int
}

// NewRelay returns a relay of a holder's configuration. Create it before the holder is used.
func NewRelay(holder *SnapshotStore, freshness *Freshness) *Relay {
	r := &Relay{freshness: freshness, changed: make(chan struct{}), streams: make(map[string]int), onSend: func(int) {}}
	r.reset(holder.Current())
	holder.onDelta(r.record)
	return r
}

// OnObjectsSent registers a function that is called with the number of objects in each message that holds any. Register before use.
func (r *Relay) OnObjectsSent(f func(objects int)) { r.onSend = f }

// reset forgets the history: a whole list came, so the changes that led to it are not known. The caller holds the lock.
func (r *Relay) reset(s *Snapshot) {
	r.snapshot = s
	r.first += uint64(len(r.history)) + 1
	r.history, r.bytes = nil, 0
	r.floor = s.revision
	for _, o := range s.objects {
		r.floor = max(r.floor, o.Version)
	}
}

// record appends a change. It runs under the holder's lock, so changes come in order.
func (r *Relay) record(c SnapshotChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wake()
	if c.FullReplacement {
		r.reset(c.Snapshot)
		return
	}
	r.snapshot = c.Snapshot
	if len(c.Events) == 0 {
		return
	}
	entry := change{revision: c.Snapshot.revision, events: c.Events}
	for _, e := range c.Events {
		entry.bytes += len(e.Object.Data)
	}
	r.history = append(r.history, entry)
	r.bytes += entry.bytes
	for len(r.history) > historyEvents || r.bytes > historyBytes {
		r.floor = max(r.floor, r.history[0].revision)
		r.bytes -= r.history[0].bytes
		r.history = r.history[1:]
		r.first++
	}
	if c.HasMissedEvent {
		// A subscriber that comes back with this revision may have missed the same event.
		r.floor = max(r.floor, c.Snapshot.revision+1)
	}
}

func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// position is what one subscriber has been sent.
type position struct {
	// next is the sequence number of the next change; 0 before the first message.
	next uint64
	from uint64
}

// update returns what a subscriber still lacks, and a channel that is closed at the next change.
func (r *Relay) update(p *position) (*peerpb.ConfigUpdate, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := &peerpb.ConfigUpdate{Revision: r.snapshot.revision, AgeMs: r.freshness.AgeMS(), Digest: r.snapshot.digest}
	start, known := r.find(p)
	p.next = r.first + uint64(len(r.history))
	if !known {
		return FullUpdate(r.snapshot, u.AgeMs), r.changed
	}
	for _, c := range r.history[start:] {
		for _, e := range c.events {
			o := e.Object
			o.Version = e.Revision
			u.Objects = append(u.Objects, objectMessage(o, e.Type == apitypes.EventDelete))
		}
	}
	return u, r.changed
}

// find returns the index of the first change that a subscriber lacks, or false when it needs a full snapshot. A relay
// without configuration has nothing to send, and a subscriber that is ahead of the relay keeps what it has.
func (r *Relay) find(p *position) (int, bool) {
	if p.next > 0 {
		return int(max(p.next, r.first) - r.first), p.next >= r.first
	}
	if r.snapshot.revision == 0 {
		return 0, true
	}
	if p.from < r.floor {
		return 0, false
	}
	for i, c := range r.history {
		if c.revision > p.from {
			return i, true
		}
	}
	return len(r.history), true
}

// Subscribe implements peerpb.ConfigServer.
func (r *Relay) Subscribe(req *peerpb.ConfigRequest, stream grpc.ServerStreamingServer[peerpb.ConfigUpdate]) error {
	r.count(req.Role, 1)
	defer r.count(req.Role, -1)
	p := position{from: req.FromRevision}
	ticker := time.NewTicker(freshnessPeriod)
	defer ticker.Stop()
	for {
		u, changed := r.update(&p)
		if err := stream.Send(u); err != nil {
			return err
		}
		if len(u.Objects) > 0 {
			r.onSend(len(u.Objects))
		}
		select {
		case <-stream.Context().Done():
			return context.Cause(stream.Context())
		case <-changed:
		case <-ticker.C:
		}
	}
}

// roles are the roles of subscribers. Others are counted as "other", so that a peer can't make metrics without bound.
var roles = []string{"gateway", "controller"}

func (r *Relay) count(role string, n int) {
	if !slices.Contains(roles, role) {
		role = "other"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[role] += n
}

// StreamsByRole returns the number of subscribers' streams by role.
func (r *Relay) StreamsByRole() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.streams)
}

// FullUpdate returns a whole snapshot as a message.
func FullUpdate(s *Snapshot, ageMS int64) *peerpb.ConfigUpdate {
	u := &peerpb.ConfigUpdate{Full: true, Revision: s.revision, AgeMs: ageMS, Digest: s.digest}
	for _, o := range s.objects {
		u.Objects = append(u.Objects, objectMessage(o, false))
	}
	for _, o := range s.badObjects() {
		u.Objects = append(u.Objects, objectMessage(o, false))
	}
	return u
}

func objectMessage(o apitypes.Object, deleted bool) *peerpb.ConfigObject {
	return &peerpb.ConfigObject{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data, Deleted: deleted}
}

// ApplyUpdate puts a relay's message in force. It returns ErrStaleRevision for a full snapshot that is older than what is in force.
func ApplyUpdate(h *SnapshotStore, u *peerpb.ConfigUpdate) error {
	if u.Full {
		objects := make([]apitypes.Object, 0, len(u.Objects))
		for _, o := range u.Objects {
			objects = append(objects, objectOf(o))
		}
		return h.ReplaceObjects(objects, u.Revision)
	}
	events := make([]apitypes.Event, 0, len(u.Objects)+1)
	for _, o := range u.Objects {
		e := apitypes.Event{Revision: o.Version, Type: apitypes.EventPut, Object: objectOf(o)}
		if o.Deleted {
			e.Type = apitypes.EventDelete
		}
		events = append(events, e)
	}
	h.ApplyEvents(append(events, apitypes.Event{Revision: u.Revision, Type: apitypes.EventBookmark}))
	return nil
}

func objectOf(o *peerpb.ConfigObject) apitypes.Object {
	return apitypes.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data}
}
