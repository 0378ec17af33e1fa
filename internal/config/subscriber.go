package config

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// parentTimeout is how long a parent may send no message. A working parent sends at least one a second.
	parentTimeout = 3 * time.Second
	// staleAgeMS is the configuration age in milliseconds above which a parent is stale. Another parent may be in contact with the
	// platform.
	staleAgeMS = 4000
	// staleParentGrace is how long a subscriber stays with a stale parent. During an outage of the platform all parents are stale,
	// and without the grace period subscribers would switch parents continuously.
	staleParentGrace = 10 * time.Second
	// minDigestResyncPeriod is the shortest time between two full snapshots that are requested because digests differ.
	minDigestResyncPeriod = 30 * time.Second
)

// Errors that end one subscription.
var (
	errParentTimeout  = errors.New("config: parent sent no message within the timeout")
	errStaleParent    = errors.New("config: parent's configuration is stale")
	errDigestMismatch = errors.New("config: digest differs from the parent's at the same revision")
	errNoParent       = errors.New("config: no parent in the VM list")
)

// DialControllerFunc returns a connection to the gRPC server of a VM's controller, and a function that releases the connection.
type DialControllerFunc func(vm apitypes.VM) (grpc.ClientConnInterface, func(), error)

// Subscriber keeps a snapshot store up to date from a relay. It subscribes to one parent and moves to the next when the parent fails,
// sends no messages or has a stale configuration.
type Subscriber struct {
	vm, role  string
	snapshots *SnapshotStore
	freshness *Freshness
	parents   func() []apitypes.VM
	dial      DialControllerFunc

	// needsFull makes the next subscription request a full snapshot, because the digests differ.
	needsFull        bool
	lastDigestResync time.Time
	parent           atomic.Pointer[string]
	lastMessageAt    atomic.Int64
	synced           atomic.Bool
	onStreamLost     func()
}

// NewSubscriber returns a subscriber for the process with the given role ("gateway" or "controller") on a VM. parents returns the
// candidates, best first; it is called again after each failure.
func NewSubscriber(vm, role string, snapshots *SnapshotStore, freshness *Freshness, parents func() []apitypes.VM, dial DialControllerFunc) *Subscriber {
	return &Subscriber{vm: vm, role: role, snapshots: snapshots, freshness: freshness, parents: parents, dial: dial, onStreamLost: func() {}}
}

// OnStreamLost registers a function that is called when the stream from a parent ends after at least one message. Register it before
// Run.
func (s *Subscriber) OnStreamLost(f func()) { s.onStreamLost = f }

// Parent returns the name of the VM that the subscriber receives updates from, or "".
func (s *Subscriber) Parent() string {
	if p := s.parent.Load(); p != nil {
		return *p
	}
	return ""
}

// Synced reports whether the configuration has once reached the revision of a parent that was not stale.
func (s *Subscriber) Synced() bool { return s.synced.Load() }

// SinceLastMessage returns the time since the last message from any parent, or since Run was called.
func (s *Subscriber) SinceLastMessage() time.Duration {
	return time.Since(time.Unix(0, s.lastMessageAt.Load()))
}

// Run subscribes to one parent after the other until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	var b backoff
	s.lastMessageAt.Store(time.Now().UnixNano())
	for i := 0; ctx.Err() == nil; i++ {
		err := errNoParent
		if parents := s.parents(); len(parents) > 0 {
			started := time.Now()
			err = s.receiveFrom(ctx, parents[i%len(parents)])
			if time.Since(started) > maxBackoff {
				b.reset()
			}
		}
		if s.parent.Swap(nil) != nil {
			s.onStreamLost()
		}
		if errors.Is(err, errDigestMismatch) {
			i--
		}
		if !b.wait(ctx) {
			break
		}
	}
	return ctx.Err()
}

// receiveFrom applies the updates of one parent until the stream fails or the parent is stale.
func (s *Subscriber) receiveFrom(ctx context.Context, vm apitypes.VM) error {
	conn, release, err := s.dial(vm)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	receiveTimer := time.AfterFunc(parentTimeout, func() { cancel(errParentTimeout) })
	defer receiveTimer.Stop()
	from := s.snapshots.Current().Revision()
	if s.needsFull {
		from, s.needsFull = 0, false
	}
	stream, err := peerpb.NewConfigClient(conn).Subscribe(ctx, &peerpb.ConfigRequest{FromRevision: from, Vm: s.vm, Role: s.role})
	if err != nil {
		return err
	}
	started := time.Now()
	for {
		u, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		receiveTimer.Reset(parentTimeout)
		if err := s.handleUpdate(u, vm.Name); err != nil {
			return err
		}
		if u.AgeMs > staleAgeMS && time.Since(started) > staleParentGrace {
			return errStaleParent
		}
	}
}

// handleUpdate applies one update. The age in it confirms the parent's configuration, so it counts only once this process has the
// parent's revision.
func (s *Subscriber) handleUpdate(u *peerpb.ConfigUpdate, parent string) error {
	s.lastMessageAt.Store(time.Now().UnixNano())
	s.parent.Store(&parent)
	if err := ApplyUpdate(s.snapshots, u); err != nil {
		// The parent's snapshot is older than the configuration in force. Nothing changed; a later message may be newer.
		return nil
	}
	current := s.snapshots.Current()
	if current.Revision() != u.Revision {
		return nil
	}
	if current.Digest() != u.Digest && time.Since(s.lastDigestResync) > minDigestResyncPeriod {
		s.lastDigestResync, s.needsFull = time.Now(), true
		return errDigestMismatch
	}
	if u.Revision == 0 {
		return nil
	}
	s.freshness.Confirm(u.AgeMs)
	if u.AgeMs <= staleAgeMS {
		s.synced.Store(true)
	}
	return nil
}
