package continuation

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/ctxtime"
)

const (
	// askTimeout bounds the time in which other VMs are asked for a stream, takeUpTimeout the time in which a VM that may be out of step gets
	// into step again: longer than a poll of the store waits.
	askTimeout    = 300 * time.Millisecond
	takeUpTimeout = 700 * time.Millisecond
	// takeUpCheckInterval is the time between two checks whether the VM is in step again.
	takeUpCheckInterval = 20 * time.Millisecond
	// recentStreams is how long ago streams began that other VMs are told of when a service gets a second version.
	recentStreams = 30 * time.Second
)

// Sources of an origin, for metrics. SourceNone means that it isn't known.
const (
	SourceOwn         = "own"
	SourceSoleVersion = "sole_version"
	SourceOtherVM     = "other_vm"
	SourceNone        = "none"
)

// Reply is what another VM knows of a stream. SoleVersion is the version of a service that has only one, as far as that VM knows. InStep is true if
// that VM is in step; see Peers.
type Reply struct {
	Stream      *Stream `json:"stream,omitempty"`
	SoleVersion string  `json:"sole_version,omitempty"`
	InStep      bool    `json:"in_step,omitempty"`
}

// Peers are the other VMs.
type Peers interface {
	// Tell sends streams to the VMs that keep them, and to those that keep all streams while a service has several versions.
	Tell([]Stream)
	// TellKeepers sends streams only to the VMs that keep them.
	TellKeepers([]Stream)
	// Ask asks the VMs that may know a stream, and returns the replies that arrive until ctx ends.
	Ask(ctx context.Context, service string, k Key) []Reply
	// AnnounceVersions sends the versions that this VM has seen at once.
	AnnounceVersions()
	// InStep reports whether this VM has just heard what most VMs of the deployment know, itself included. One that was cut off or stood still has
	// not, whether or not it has noticed.
	InStep() bool
}

// Tracker knows which software versions began the streams that callers may take up. It is safe for concurrent use.
type Tracker struct {
	Peers Peers
	// ListAge returns the age of the list of endpoints.
	ListAge func() time.Duration
	// OnTakeUp is called with the source of each origin that was looked up.
	OnTakeUp func(service, source string)
	Log      zerolog.Logger

	mu       sync.Mutex
	log      streamLog
	versions versionSet
	// recorded is what the store keeps; nil until it was read.
	recorded Record
	// endpoints are the listed endpoints by ID.
	endpoints map[string]catalog.Endpoint
	// changed has an element when the versions differ from the record.
	changed chan struct{}
	// journal holds the streams for the journal, the oldest first; empty while no service has streams of several versions.
	journal        []loggedStream
	journalChanged bool
	// untold holds streams of the only version of their service that no other VM has been told of.
	untold []Stream
}

// NewTracker returns a tracker that knows nothing, of a VM without others.
func NewTracker() *Tracker {
	return &Tracker{Peers: noPeers{}, ListAge: func() time.Duration { return 0 }, versions: make(versionSet), changed: make(chan struct{}, 1),
		OnTakeUp: func(string, string) {}}
}

// noPeers stands for the other VMs where there are none.
type noPeers struct{}

func (noPeers) Tell([]Stream)                            {}
func (noPeers) TellKeepers([]Stream)                     {}
func (noPeers) Ask(context.Context, string, Key) []Reply { return nil }
func (noPeers) AnnounceVersions()                        {}
func (noPeers) InStep() bool                             { return true }

// SetEndpoints replaces the list of endpoints.
func (t *Tracker) SetEndpoints(list []catalog.Endpoint) {
	t.mu.Lock()
	now := bootclock.Now()
	old := t.endpoints
	t.endpoints = make(map[string]catalog.Endpoint, len(list))
	var split []string
	for _, e := range list {
		t.endpoints[e.ID] = e
		if before, ok := old[e.ID]; ok && before.StartedAtMS != e.StartedAtMS && before.SoftwareVersion != e.SoftwareVersion {
			t.log.doubt(e.ID, before.StartedAtMS)
		}
		split = t.addVersionLocked(split, e.Service, e.SoftwareVersion, now)
	}
	t.versions.prune()
	t.notifyLocked()
	t.mu.Unlock()
	t.tellRecent(split)
}

// addVersionLocked records that a version is listed. It appends the service to split if the version is new and not the only one.
func (t *Tracker) addVersionLocked(split []string, service, version string, at bootclock.Instant) []string {
	if t.versions.add(service, version, at) {
		t.Log.Info().Str("service", service).Str("software_version", version).Int("versions", len(t.versions[service])).Msg("software version in service")
		if len(t.versions[service]) > 1 {
			split = append(split, service)
		}
	}
	return split
}

// notifyLocked wakes the goroutine that maintains the record if the record has to change.
func (t *Tracker) notifyLocked() {
	if t.recorded != nil && t.recorded.Equal(t.versions.names()) {
		return
	}
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// tellRecent tells other VMs of the new versions of services, and of the streams that began before they had to be told.
func (t *Tracker) tellRecent(services []string) {
	if len(services) == 0 {
		return
	}
	t.Peers.AnnounceVersions()
	for _, service := range services {
		t.mu.Lock()
		streams := t.log.since(bootclock.Now().Add(-recentStreams))
		t.mu.Unlock()
		var list []Stream
		for _, s := range streams {
			if s.Service == service {
				list = append(list, s)
			}
		}
		if len(list) > 0 {
			t.Peers.Tell(list)
		}
	}
}

// SeenVersions returns the versions of services, for other VMs.
func (t *Tracker) SeenVersions() []SeenVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []SeenVersion
	for service, versions := range t.versions {
		for version, at := range versions {
			list = append(list, SeenVersion{service, version, bootclock.Since(at)})
		}
	}
	return list
}

// MergeSeenVersions adds the versions that another VM has seen.
func (t *Tracker) MergeSeenVersions(list []SeenVersion) {
	t.mu.Lock()
	var split []string
	for _, v := range list {
		split = t.addVersionLocked(split, v.Service, v.Version, bootclock.Now().Add(-v.Age))
	}
	t.notifyLocked()
	t.mu.Unlock()
	t.tellRecent(split)
}

// Changed returns a channel that has an element when Record and the record in the store may differ.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

// Record returns what the store has to keep, and whether it differs from what the store is known to keep.
func (t *Tracker) Record() (r Record, differs bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r = t.versions.names()
	return r, t.recorded == nil || !t.recorded.Equal(r)
}

// SetRecord sets what the store keeps.
func (t *Tracker) SetRecord(r Record) {
	t.mu.Lock()
	first := t.recorded == nil
	t.recorded = r
	var split []string
	if first {
		for service, versions := range r {
			for _, version := range versions {
				split = t.addVersionLocked(split, service, version, bootclock.Now())
			}
		}
	}
	t.notifyLocked()
	t.mu.Unlock()
	t.tellRecent(split)
}

// Begin records that an endpoint has begun a stream, or that the stream goes on there. Other VMs are told at once if they can't know otherwise: the
// service has several versions, or the route has several services. Else TellBegun tells them: they need to know once a second version comes while this
// VM can't be asked. Call it before the caller gets the stream's first event.
func (t *Tracker) Begin(s Stream, severalServices bool) {
	t.mu.Lock()
	t.addStreamLocked(s)
	_, sole := t.soleLocked(s.Service)
	atOnce := !sole || severalServices
	if s.Key != NoKey && !atOnce {
		t.untold = append(t.untold, s)
	}
	t.mu.Unlock()
	if s.Key != NoKey && atOnce {
		t.Peers.Tell([]Stream{s})
	}
}

// TellBegun tells other VMs of the streams that began since the last call and that they weren't told of at once.
func (t *Tracker) TellBegun() {
	t.mu.Lock()
	streams := t.untold
	t.untold = nil
	t.mu.Unlock()
	if len(streams) > 0 {
		t.Peers.TellKeepers(streams)
	}
}

// Learn records streams that other VMs began.
func (t *Tracker) Learn(streams []Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range streams {
		t.addStreamLocked(s)
	}
}

func (t *Tracker) addStreamLocked(s Stream) {
	if s.Key == NoKey {
		return
	}
	t.log.add(s)
	if t.versions.mixed(s.Service) {
		t.journal = append(t.journal, loggedStream{s, bootclock.Now()})
		t.journalChanged = true
	}
}

// soleLocked returns the version of a service of which it is certain that it has had no other.
func (t *Tracker) soleLocked(service string) (string, bool) {
	if t.recorded == nil {
		return "", false
	}
	return t.versions.sole(service)
}

// Reply returns what this VM knows of a stream, for another VM.
func (t *Tracker) Reply(service string, k Key) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r Reply
	if s, ok := t.log.get(k); ok {
		r.Stream = &s
	}
	r.SoleVersion, _ = t.soleLocked(service)
	r.InStep = t.Peers.InStep()
	return r
}

// Known returns the origin of a stream as far as this VM knows it by itself.
func (t *Tracker) Known(k Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.log.get(k)
	return s.origin(), ok
}

// TakeUp returns the origin of a stream that a caller takes up, and false if it isn't known. service is the only service that can have begun it;
// empty if there are several.
func (t *Tracker) TakeUp(ctx context.Context, service string, k Key) (Origin, bool) {
	o, source := t.lookUp(ctx, service, k)
	t.OnTakeUp(service, source)
	return o, source != SourceNone
}

func (t *Tracker) lookUp(ctx context.Context, service string, k Key) (Origin, string) {
	t.mu.Lock()
	s, ok := t.log.get(k)
	sole, isSole := t.soleLocked(service)
	t.mu.Unlock()
	switch {
	case ok && s.Version != "":
		t.awaitEndpoint(ctx, s.origin(), bootclock.Now(), false)
		return s.origin(), SourceOwn
	case ok:
		return Origin{}, SourceNone
	case isSole && t.Peers.InStep():
		return Begun(service, sole), SourceSoleVersion
	}
	return t.ask(ctx, service, k)
}

// ask asks other VMs for a stream. Meanwhile it waits until this VM is certain that the service has one version, if it has no other one by then:
// since it is in step, another VM that is says so, or its list of endpoints was complete after the caller had taken the stream up. An endpoint of another
// version that began the stream was listed before.
func (t *Tracker) ask(ctx context.Context, service string, k Key) (Origin, string) {
	takenUpAt := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, takeUpTimeout)
	defer cancel()
	asked := make(chan []Reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		asked <- t.Peers.Ask(ctx, service, k)
	}()
	ticker := time.NewTicker(takeUpCheckInterval)
	defer ticker.Stop()
	var replies []Reply
	for answered := false; ; {
		select {
		case <-ctx.Done():
			return Origin{}, SourceNone
		case replies = <-asked:
			answered = true
		case <-ticker.C:
		}
		if origin, known := t.fromReplies(replies); known {
			t.awaitEndpoint(ctx, origin, takenUpAt, true)
			return origin, SourceOtherVM
		}
		t.mu.Lock()
		sole, isSole := t.soleLocked(service)
		t.mu.Unlock()
		switch {
		case isSole && (t.Peers.InStep() || t.ListAge() <= bootclock.Since(takenUpAt) || confirmsSole(replies, sole)):
			return Begun(service, sole), SourceSoleVersion
		case answered && !isSole:
			return Origin{}, SourceNone
		}
	}
}

// awaitEndpoint waits while no endpoint is listed at which a stream may go on and this VM's list is known to be behind: another VM has listed one since,
// or has just told of the stream, and the list wasn't complete after the take-up. It waits until takeUpTimeout after the take-up at most.
func (t *Tracker) awaitEndpoint(ctx context.Context, o Origin, takenUpAt bootclock.Instant, toldNow bool) {
	for bootclock.Since(takenUpAt) < takeUpTimeout && !t.listsEndpoint(o) {
		listAge := t.ListAge()
		t.mu.Lock()
		seenAt, seen := t.versions[o.Service][o.Version]
		t.mu.Unlock()
		behind := seen && bootclock.Since(seenAt) < listAge || toldNow && listAge > bootclock.Since(takenUpAt)
		if !behind || !ctxtime.Sleep(ctx, takeUpCheckInterval) {
			return
		}
	}
}

// listsEndpoint reports whether an endpoint is listed at which a stream may go on.
func (t *Tracker) listsEndpoint(o Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endpoints {
		if o.Allows(e.Service, e.SoftwareVersion) {
			return true
		}
	}
	return false
}

// fromReplies returns the origin of a stream that another VM knows.
func (t *Tracker) fromReplies(replies []Reply) (Origin, bool) {
	for _, r := range replies {
		if r.Stream != nil && r.Stream.Version != "" {
			t.Learn([]Stream{*r.Stream})
			return r.Stream.origin(), true
		}
	}
	return Origin{}, false
}

// confirmsSole reports whether a VM that is in step has replied that a version is the only one of the service, and none replied otherwise.
func confirmsSole(replies []Reply, version string) bool {
	confirmed := false
	for _, r := range replies {
		if r.SoleVersion != version {
			return false
		}
		confirmed = confirmed || r.InStep
	}
	return confirmed
}
