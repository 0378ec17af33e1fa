// Package memplatform implements the platform's interfaces in memory, with fault injection. Tests use it
// directly; the stand-in server serves it over HTTP.
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

// maxHistory bounds the number of events kept for watches that start in the past.
const maxHistory = 4096

type objectKey struct{ kind, name string }

// Faults are switches that make the platform misbehave. The zero value is healthy.
type Faults struct {
	// Down refuses every call and ends watches.
	Down bool
	// LoseAnswers makes this many following writes take effect and then fail with ErrUnavailable.
	LoseAnswers int
	// DropEvents makes watches skip this many following events.
	DropEvents int
	// OldLists makes lists and reads show the state before this many last events.
	OldLists int
}

// Calls counts calls by kind, failed ones included.
type Calls struct {
	Get, List, Put, Delete, Watch, Provider, Usage, VMs uint64
}

// Platform is an in-memory platform. Its methods may be called concurrently.
type Platform struct {
	mu        sync.Mutex
	objects   map[objectKey]apitypes.Object
	revision  uint64
	history   []apitypes.Event
	compacted uint64
	changed   chan struct{}
	faults    Faults
	calls     Calls

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
		// Revision 0 means "nothing known" to watchers, so an empty store starts at 1.
		revision: 1,
		objects:  make(map[objectKey]apitypes.Object),
		changed:  make(chan struct{}),
		pools:    make(map[string]*pool),
		reports:  make(map[string]apitypes.UsageWindow),
	}
}

// SetFaults replaces the fault switches.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.broadcast()
}

// UpdateFaults changes the fault switches in place.
func (p *Platform) UpdateFaults(change func(*Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.broadcast()
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// broadcast wakes all watches. The caller holds the lock.
func (p *Platform) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Get implements objectstore.Store.
func (p *Platform) Get(ctx context.Context, kind, name string) (apitypes.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Get++
	if err := p.refuse(ctx); err != nil {
		return apitypes.Object{}, err
	}
	objects, _ := p.readable()
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
	if err := p.refuse(ctx); err != nil {
		return nil, 0, err
	}
	objects, revision := p.readable()
	var items []apitypes.Object
	for k, o := range objects {
		if k.kind == kind {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b apitypes.Object) int { return cmp.Compare(a.Name, b.Name) })
	return items, revision, nil
}

// readable returns the objects that reads see: the current ones, or older ones under the OldLists fault.
func (p *Platform) readable() (map[objectKey]apitypes.Object, uint64) {
	back := min(p.faults.OldLists, len(p.history))
	if back == 0 {
		return p.objects, p.revision
	}
	keep := p.history[:len(p.history)-back]
	objects := make(map[objectKey]apitypes.Object)
	revision := p.compacted
	for _, e := range keep {
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
	if err := p.refuse(ctx); err != nil {
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
	p.record(apitypes.Event{Revision: p.revision, Type: apitypes.EventPut, Object: o})
	return p.revision, p.lostAnswer()
}

// Delete implements objectstore.Store.
func (p *Platform) Delete(ctx context.Context, kind, name string, expected uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Delete++
	if err := p.refuse(ctx); err != nil {
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
	p.record(apitypes.Event{Revision: p.revision, Type: apitypes.EventDelete,
		Object: apitypes.Object{Kind: kind, Name: name, Version: p.revision}})
	return p.lostAnswer()
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
			if !slices.Contains(kinds, e.Object.Kind) || p.dropEvent() {
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

func (p *Platform) eventsAfter(ctx context.Context, from uint64) ([]apitypes.Event, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.refuse(ctx); err != nil {
		return nil, nil, err
	}
	if from < p.compacted {
		return nil, nil, objectstore.ErrCompacted
	}
	i, _ := slices.BinarySearchFunc(p.history, from+1, func(e apitypes.Event, r uint64) int { return cmp.Compare(e.Revision, r) })
	return slices.Clone(p.history[i:]), p.changed, nil
}

func (p *Platform) dropEvent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DropEvents == 0 {
		return false
	}
	p.faults.DropEvents--
	return true
}

// refuse returns an error when the platform is down or the caller has gone. The caller holds the lock.
func (p *Platform) refuse(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if p.faults.Down {
		return objectstore.ErrUnavailable
	}
	return nil
}

func (p *Platform) lostAnswer() error {
	if p.faults.LoseAnswers == 0 {
		return nil
	}
	p.faults.LoseAnswers--
	return objectstore.ErrUnavailable
}

// record appends an event and wakes watches. The caller holds the lock.
func (p *Platform) record(e apitypes.Event) {
	p.history = append(p.history, e)
	if len(p.history) > maxHistory {
		p.compacted = p.history[len(p.history)-maxHistory-1].Revision
		p.history = slices.Clone(p.history[len(p.history)-maxHistory:])
	}
	p.broadcast()
}
