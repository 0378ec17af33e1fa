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
	// maxHistoryChanges bounds the changes that a relay keeps for subscribers that reconnect. About 410 changes a day are expected, so
	// the history covers more than a day.
	maxHistoryChanges = 512
	// maxHistoryBytes bounds the data of these changes; a node may use 128 MB of memory in total.
	maxHistoryBytes = 4 << 20
	// heartbeatPeriod is the period of a relay's messages while nothing changes.
	heartbeatPeriod = time.Second
)

// Relay serves a process's configuration to other processes. It implements peerpb.ConfigServer.
type Relay struct {
	peerpb.UnimplementedConfigServer
	freshness *Freshness

	mu       sync.Mutex
	snapshot *Snapshot
	// history holds the last changes; history[i] has the sequence number firstSeq+i.
	history      []historyEntry
	firstSeq     uint64
	historyBytes int
	// minResumeRevision is the smallest revision after which history holds every change.
	minResumeRevision uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// streams counts open streams by the subscriber's role.
	streams       map[string]int
	onObjectsSent func(objects int)
}

// historyEntry is one change. bytes is the size of its events' data.
type historyEntry struct {
	revision uint64
	events   []apitypes.Event
	bytes    int
}

// NewRelay returns a relay of the configuration in a snapshot store. Create it before the store is used.
func NewRelay(snapshots *SnapshotStore, freshness *Freshness) *Relay {
	r := &Relay{freshness: freshness, changed: make(chan struct{}), streams: make(map[string]int), onObjectsSent: func(int) {}}
	r.resetHistory(snapshots.Current())
	snapshots.onSnapshotChange(r.record)
	return r
}

// OnObjectsSent registers a function that is called with the number of objects in each message that holds any. Register it before the
// relay serves subscribers.
func (r *Relay) OnObjectsSent(f func(objects int)) { r.onObjectsSent = f }

// resetHistory clears the history after a full replacement, because the changes that led to the new snapshot are unknown. The caller
// holds the lock.
func (r *Relay) resetHistory(s *Snapshot) {
	r.snapshot = s
	r.firstSeq += uint64(len(r.history)) + 1
	r.history, r.historyBytes = nil, 0
	r.minResumeRevision = s.revision
	for _, o := range s.objects {
		r.minResumeRevision = max(r.minResumeRevision, o.Version)
	}
}

// record appends a change. The snapshot store calls it under its lock, so changes arrive in order.
func (r *Relay) record(c SnapshotChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wakeSubscribers()
	if c.FullReplacement {
		r.resetHistory(c.Snapshot)
		return
	}
	r.snapshot = c.Snapshot
	if len(c.Events) == 0 {
		return
	}
	entry := historyEntry{revision: c.Snapshot.revision, events: c.Events}
	for _, e := range c.Events {
		entry.bytes += len(e.Object.Data)
	}
	r.history = append(r.history, entry)
	r.historyBytes += entry.bytes
	for len(r.history) > maxHistoryChanges || r.historyBytes > maxHistoryBytes {
		r.minResumeRevision = max(r.minResumeRevision, r.history[0].revision)
		r.historyBytes -= r.history[0].bytes
		r.history = r.history[1:]
		r.firstSeq++
	}
	if c.HasMissedEvent {
		// A subscriber that reconnects with this revision may have missed the same event.
		r.minResumeRevision = max(r.minResumeRevision, c.Snapshot.revision+1)
	}
}

// wakeSubscribers closes the channel that subscribers wait for. The caller holds the lock.
func (r *Relay) wakeSubscribers() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// cursor is the position of one subscriber in the history.
type cursor struct {
	// nextSeq is the sequence number of the next change to send; 0 before the first message.
	nextSeq uint64
	// fromRevision is the subscriber's revision when it subscribed.
	fromRevision uint64
}

// nextUpdate returns the changes that a subscriber has not been sent, and a channel that is closed at the next change.
func (r *Relay) nextUpdate(pos *cursor) (*peerpb.ConfigUpdate, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := &peerpb.ConfigUpdate{Revision: r.snapshot.revision, AgeMs: r.freshness.AgeMS(), Digest: r.snapshot.digest}
	start, resumable := r.firstMissing(pos)
	pos.nextSeq = r.firstSeq + uint64(len(r.history))
	if !resumable {
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

// firstMissing returns the index of the first change that a subscriber has not received, or false if the history does not reach back to
// the subscriber's revision, so that it needs a full snapshot. No change is missing while the relay has no configuration, or if the
// subscriber's revision is larger than that of every change.
func (r *Relay) firstMissing(pos *cursor) (int, bool) {
	if pos.nextSeq > 0 {
		return int(max(pos.nextSeq, r.firstSeq) - r.firstSeq), pos.nextSeq >= r.firstSeq
	}
	if r.snapshot.revision == 0 {
		return 0, true
	}
	if pos.fromRevision < r.minResumeRevision {
		return 0, false
	}
	for i, c := range r.history {
		if c.revision > pos.fromRevision {
			return i, true
		}
	}
	return len(r.history), true
}

// Subscribe implements peerpb.ConfigServer.
func (r *Relay) Subscribe(req *peerpb.ConfigRequest, stream grpc.ServerStreamingServer[peerpb.ConfigUpdate]) error {
	r.addStreams(req.Role, 1)
	defer r.addStreams(req.Role, -1)
	pos := cursor{fromRevision: req.FromRevision}
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		u, changed := r.nextUpdate(&pos)
		if err := stream.Send(u); err != nil {
			return err
		}
		if len(u.Objects) > 0 {
			r.onObjectsSent(len(u.Objects))
		}
		select {
		case <-stream.Context().Done():
			return context.Cause(stream.Context())
		case <-changed:
		case <-ticker.C:
		}
	}
}

// knownRoles are the roles of subscribers. Any other role counts as "other", so that a peer can't create an unbounded number of metric
// series.
var knownRoles = []string{"gateway", "controller"}

// addStreams adds n to the number of open streams of a role.
func (r *Relay) addStreams(role string, n int) {
	if !slices.Contains(knownRoles, role) {
		role = "other"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[role] += n
}

// StreamsByRole returns the number of open streams by the subscriber's role.
func (r *Relay) StreamsByRole() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.streams)
}

// FullUpdate returns a message with all objects of a snapshot, including unparsable versions.
func FullUpdate(s *Snapshot, ageMS int64) *peerpb.ConfigUpdate {
	u := &peerpb.ConfigUpdate{Full: true, Revision: s.revision, AgeMs: ageMS, Digest: s.digest}
	for _, o := range s.objects {
		u.Objects = append(u.Objects, objectMessage(o, false))
	}
	for _, o := range s.unparsableVersions() {
		u.Objects = append(u.Objects, objectMessage(o, false))
	}
	return u
}

func objectMessage(o apitypes.Object, deleted bool) *peerpb.ConfigObject {
	return &peerpb.ConfigObject{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data, Deleted: deleted}
}

// ApplyUpdate applies a relay's message. It returns ErrStaleRevision for a full snapshot that is older than the configuration in force.
func ApplyUpdate(snapshots *SnapshotStore, u *peerpb.ConfigUpdate) error {
	if u.Full {
		objects := make([]apitypes.Object, 0, len(u.Objects))
		for _, o := range u.Objects {
			objects = append(objects, objectFromMessage(o))
		}
		return snapshots.ReplaceObjects(objects, u.Revision)
	}
	events := make([]apitypes.Event, 0, len(u.Objects)+1)
	for _, o := range u.Objects {
		e := apitypes.Event{Revision: o.Version, Type: apitypes.EventPut, Object: objectFromMessage(o)}
		if o.Deleted {
			e.Type = apitypes.EventDelete
		}
		events = append(events, e)
	}
	snapshots.ApplyEvents(append(events, apitypes.Event{Revision: u.Revision, Type: apitypes.EventBookmark}))
	return nil
}

func objectFromMessage(o *peerpb.ConfigObject) apitypes.Object {
	return apitypes.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data}
}
