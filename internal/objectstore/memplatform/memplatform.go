// Package memplatform implements the interfaces of package objectstore in memory, with fault injection. Tests use it directly;
// package standin serves it over HTTP.
package memplatform

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore"
)

// maxHistory is the number of events that are retained for watches that start at an earlier revision.
const maxHistory = 4096

type objectKey struct{ kind, name string }

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Down makes every call fail with ErrUnavailable and ends watches.
	Down bool
	// LoseAnswers is the number of following writes that take effect and then fail with ErrUnavailable.
	LoseAnswers int
	// DropEvents is the number of following events that watches skip.
	DropEvents int
	// OldLists makes Get and List return the state from before this many of the latest events.
	OldLists int
}

// Calls counts calls by kind, including failed ones.
type Calls struct {
	Get, List, Put, Delete, Watch, Provider, Usage, VMs uint64
}

// Platform is an in-memory platform. Its methods are safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	objects  map[objectKey]apitypes.Object
	revision uint64
	history  []apitypes.Event
	// compactedRevision is the revision of the latest event that was dropped from history.
	compactedRevision uint64
	// changed is closed and replaced by broadcast.
	changed chan struct{}
	faults  Faults
	calls   Calls

	vms      []apitypes.VM
	pools    map[string]*pool
	reports  map[string]apitypes.UsageWindow
	onReport func(apitypes.UsageWindow)
}

var (
	_ objectstore.Store     = (*Platform)(nil)
	_ objectstore.UsageSink = (*Platform)(nil)
	_ objectstore.VMLister  = (*Platform)(nil)
	_ objectstore.Provider  = (*Platform)(nil)
)

// New returns an empty, healthy platform.
func New() *Platform {
	return &Platform{
		// Revision 0 means that a watcher knows no revision yet, so an empty store starts at 1.
		revision: 1,
		objects:  make(map[objectKey]apitypes.Object),
		changed:  make(chan struct{}),
		pools:    make(map[string]*pool),
		reports:  make(map[string]apitypes.UsageWindow),
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.broadcast()
}

// UpdateFaults applies change to the injected faults, under the platform's lock.
func (p *Platform) UpdateFaults(change func(*Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.broadcast()
}

// Calls returns the number of calls since the platform was created.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// broadcast wakes all watches. The caller holds mu.
func (p *Platform) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Get implements objectstore.Store.
func (p *Platform) Get(ctx context.Context, kind, name string) (apitypes.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Get++
	if err := p.checkAvailable(ctx); err != nil {
		return apitypes.Object{}, err
	}
	objects, _ := p.visibleObjects()
	o, ok := objects[objectKey{kind, name}]
	if !ok {
		return apitypes.Object{}, objectstore.ErrNotFound
	}
	return o, nil
}

// List implements objectstore.Store.
func (p *Platform) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.List++
	if err := p.checkAvailable(ctx); err != nil {
		return nil, 0, err
	}
	objects, revision := p.visibleObjects()
	var items []apitypes.Object
	for k, o := range objects {
		if k.kind == kind {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b apitypes.Object) int { return cmp.Compare(a.Name, b.Name) })
	return items, revision, nil
}

// visibleObjects returns the objects that Get and List return, and their revision: the current ones, or older ones while the
// OldLists fault is set. The caller holds mu.
func (p *Platform) visibleObjects() (map[objectKey]apitypes.Object, uint64) {
	hidden := min(p.faults.OldLists, len(p.history))
	if hidden == 0 {
		return p.objects, p.revision
	}
	visible := p.history[:len(p.history)-hidden]
	objects := make(map[objectKey]apitypes.Object)
	revision := p.compactedRevision
	for _, e := range visible {
		revision = e.Revision
		k := objectKey{e.Object.Kind, e.Object.Name}
		if e.Type == apitypes.EventDelete {
			delete(objects, k)
			continue
		}
		objects[k] = e.Object
	}
	return objects, revision
}

// Put implements objectstore.Store.
func (p *Platform) Put(ctx context.Context, kind, name string, data []byte, expected uint64) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Put++
	if err := p.checkAvailable(ctx); err != nil {
		return 0, err
	}
	if len(data) > objectstore.MaxValueBytes {
		return 0, objectstore.ErrTooLarge
	}
	k := objectKey{kind, name}
	if p.objects[k].Version != expected {
		return 0, objectstore.ErrConflict
	}
	p.revision++
	o := apitypes.Object{Kind: kind, Name: name, Version: p.revision, Data: json.RawMessage(slices.Clone(data))}
	p.objects[k] = o
	p.appendEvent(apitypes.Event{Revision: p.revision, Type: apitypes.EventPut, Object: o})
	return p.revision, p.injectLostResponse()
}

// Delete implements objectstore.Store.
func (p *Platform) Delete(ctx context.Context, kind, name string, expected uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Delete++
	if err := p.checkAvailable(ctx); err != nil {
		return err
	}
	k := objectKey{kind, name}
	o, ok := p.objects[k]
	if !ok {
		return objectstore.ErrNotFound
	}
	if o.Version != expected {
		return objectstore.ErrConflict
	}
	p.revision++
	delete(p.objects, k)
	p.appendEvent(apitypes.Event{Revision: p.revision, Type: apitypes.EventDelete,
		Object: apitypes.Object{Kind: kind, Name: name, Version: p.revision}})
	return p.injectLostResponse()
}

// Watch implements objectstore.Store.
func (p *Platform) Watch(ctx context.Context, kinds []string, from uint64, handle func(apitypes.Event) error) error {
	p.mu.Lock()
	p.calls.Watch++
	p.mu.Unlock()
	for {
		events, changed, err := p.eventsAfter(ctx, from)
		if err != nil {
			return err
		}
		for _, e := range events {
			from = e.Revision
			if !slices.Contains(kinds, e.Object.Kind) || p.takeDroppedEvent() {
				continue
			}
			if err := handle(e); err != nil {
				return err
			}
		}
		if len(events) > 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// eventsAfter returns the retained events after revision from, and a channel that is closed at the next change.
func (p *Platform) eventsAfter(ctx context.Context, from uint64) ([]apitypes.Event, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkAvailable(ctx); err != nil {
		return nil, nil, err
	}
	if from < p.compactedRevision {
		return nil, nil, objectstore.ErrCompacted
	}
	i, _ := slices.BinarySearchFunc(p.history, from+1, func(e apitypes.Event, r uint64) int { return cmp.Compare(e.Revision, r) })
	return slices.Clone(p.history[i:]), p.changed, nil
}

// takeDroppedEvent reports whether the next event is to be skipped, and decrements the DropEvents fault if so.
func (p *Platform) takeDroppedEvent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DropEvents == 0 {
		return false
	}
	p.faults.DropEvents--
	return true
}

// checkAvailable returns the context's error, or ErrUnavailable while the Down fault is set. The caller holds mu.
func (p *Platform) checkAvailable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if p.faults.Down {
		return objectstore.ErrUnavailable
	}
	return nil
}

// injectLostResponse returns ErrUnavailable and decrements the LoseAnswers fault while that is set. The caller holds mu.
func (p *Platform) injectLostResponse() error {
	if p.faults.LoseAnswers == 0 {
		return nil
	}
	p.faults.LoseAnswers--
	return objectstore.ErrUnavailable
}

// appendEvent appends an event to the history, drops the oldest event beyond maxHistory and wakes watches. The caller holds mu.
func (p *Platform) appendEvent(e apitypes.Event) {
	p.history = append(p.history, e)
	if len(p.history) > maxHistory {
		p.compactedRevision = p.history[len(p.history)-maxHistory-1].Revision
		p.history = slices.Clone(p.history[len(p.history)-maxHistory:])
	}
	p.broadcast()
}
