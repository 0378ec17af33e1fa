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
	// parentSilence is how long a parent may send nothing. A healthy one sends a message a second.
	parentSilence = 3 * time.Second
	// staleAge is the age in milliseconds above which another parent may be better supplied.
	staleAge = 4000
	// staleStay is how long a stale parent is kept, so that an outage of the platform, in which every parent is stale,
	// does not make processes switch all the time.
	staleStay = 10 * time.Second
	// digestPeriod bounds full snapshots that are asked for because digests differ.
	digestPeriod = 30 * time.Second
)

// Errors that end one subscription.
var (
	errSilent   = errors.New("config: parent is silent")
	errStaleAge = errors.New("config: parent's configuration is not confirmed by the platform")
	errDigest   = errors.New("config: a change was missed")
	errNoParent = errors.New("config: no parent is known")
)

// DialControllerFunc returns a connection to the gRPC server of a VM's controller and a function that releases it.
type DialControllerFunc func(vm apitypes.VM) (grpc.ClientConnInterface, func(), error)

// Subscriber keeps a holder current from a relay. It follows one parent and moves to the next when the parent fails, falls
// silent or is not supplied itself.
type Subscriber struct {
	vm, role  string
	holder    *SnapshotStore
	freshness *Freshness
	parents   func() []apitypes.VM
	dial      DialControllerFunc

	full       bool
	lastDigest time.Time
	parent     atomic.Pointer[string]
	lastHeard  atomic.Int64
	synced     atomic.Bool
	onLost     func()
}

// NewSubscriber returns a subscriber for the process with the given role ("gateway" or "controller") on a VM. parents returns
// the candidates, best first; it is called anew after each failure.
func NewSubscriber(vm, role string, h *SnapshotStore, f *Freshness, parents func() []apitypes.VM, dial DialControllerFunc) *Subscriber {
	return &Subscriber{vm: vm, role: role, holder: h, freshness: f, parents: parents, dial: dial, onLost: func() {}}
}

// OnStreamLost registers a function that is called when the stream from a parent is lost. Register before use.
func (s *Subscriber) OnStreamLost(f func()) { s.onLost = f }

// Parent returns the VM that the subscriber follows, or "".
func (s *Subscriber) Parent() string {
	if p := s.parent.Load(); p != nil {
		return *p
	}
	return ""
}

// Synced tells whether the holder has been level with a parent whose watch was live.
func (s *Subscriber) Synced() bool { return s.synced.Load() }

// SinceLastMessage returns the time since a parent's last message, or since Run began.
func (s *Subscriber) SinceLastMessage() time.Duration {
	return time.Since(time.Unix(0, s.lastHeard.Load()))
}

// Run follows parents until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	var b backoff
	s.lastHeard.Store(time.Now().UnixNano())
	for i := 0; ctx.Err() == nil; i++ {
		err := errNoParent
		if parents := s.parents(); len(parents) > 0 {
			started := time.Now()
			err = s.follow(ctx, parents[i%len(parents)])
			if time.Since(started) > maxBackoff {
				b.reset()
			}
		}
		if s.parent.Swap(nil) != nil {
			s.onLost()
		}
		if errors.Is(err, errDigest) {
			i--
		}
		if !b.wait(ctx) {
			break
		}
	}
	return ctx.Err()
}

// follow applies one parent's updates until it fails.
func (s *Subscriber) follow(ctx context.Context, vm apitypes.VM) error {
	conn, release, err := s.dial(vm)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(parentSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	from := s.holder.Current().Revision()
	if s.full {
		from, s.full = 0, false
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
		silence.Reset(parentSilence)
		if err := s.take(u, vm.Name); err != nil {
			return err
		}
		if u.AgeMs > staleAge && time.Since(started) > staleStay {
			return errStaleAge
		}
	}
}

// take applies one update. A parent's confirmation counts only once the holder is level with the parent, because it
// confirms the parent's configuration.
func (s *Subscriber) take(u *peerpb.ConfigUpdate, parent string) error {
	s.lastHeard.Store(time.Now().UnixNano())
	s.parent.Store(&parent)
	if err := ApplyUpdate(s.holder, u); err != nil {
		// The parent is older than what is in force. Nothing was changed; the parent may catch up.
		return nil
	}
	now := s.holder.Current()
	if now.Revision() != u.Revision {
		return nil
	}
	if now.Digest() != u.Digest && time.Since(s.lastDigest) > digestPeriod {
		s.lastDigest, s.full = time.Now(), true
		return errDigest
	}
	if u.Revision == 0 {
		return nil
	}
	s.freshness.Confirm(u.AgeMs)
	if u.AgeMs <= staleAge {
		s.synced.Store(true)
	}
	return nil
}
