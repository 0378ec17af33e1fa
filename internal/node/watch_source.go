package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/discovery"
	"crocusglade.example/crocusglade/internal/netdial"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// watchers is the number of VMs that follow the store themselves. The others follow them, so that the calls to the store
	// don't grow with the number of VMs.
	watchers = 3
	// watcherProof is the age of a watcher's confirmed configuration up to which others follow it.
	watcherProof = 1800 * time.Millisecond
	// relayPath is where a VM gives what it follows to other VMs.
	relayPath = "/follow/"
	// maxRelayBytes bounds an answer of another VM.
	maxRelayBytes = 16 << 20
	// relayRetry is how long a VM reads from the store itself after a failure of the VM that it followed.
	relayRetry = 3 * time.Second
	// storeRetry is how long a VM follows others after a failure of the store.
	storeRetry = 5 * time.Second
)

// watchRank orders VMs by a hash of their names, so that all VMs choose the same watchers and a stopped one is replaced by one.
func watchRank(vm string) uint64 { return xxhash.Sum64String(vm) }

// source returns where this VM reads a kind: the store for the first VMs in rank that can prove their configuration, the relay of
// one of those for the others. A VM that the store turns away follows any VM that has proof.
func (n *Node) source(kind string) discovery.Source {
	store := ownStore{node: n, kind: kind}
	ahead, others := n.freshVMs()
	storeFailed, relayFailed := lastFailure(&n.storeFailed, kind), lastFailure(&n.relayFailed, kind)
	if bootclock.Since(storeFailed) < storeRetry && storeFailed > relayFailed && len(others) > 0 {
		return relaySource{node: n, link: others[watchRank(n.VM)%uint64(len(others))].link}
	}
	if len(ahead) < watchers || bootclock.Since(relayFailed) < relayRetry {
		return store
	}
	return relaySource{node: n, link: ahead[watchRank(n.VM)%watchers].link}
}

// never is the instant of failures that didn't happen.
const never = bootclock.Instant(-1 << 62)

// lastFailure returns when reading a kind failed last.
func lastFailure(failures *sync.Map, kind string) bootclock.Instant {
	if at, ok := failures.Load(kind); ok {
		return at.(bootclock.Instant)
	}
	return never
}

// freshVMs returns the VMs that can prove their configuration, in the order of their rank: those before this VM, and all.
func (n *Node) freshVMs() (ahead, all []vmAddress) {
	for _, vm := range n.link.LivePeers() {
		fresh := vm.ConfirmedMS >= 0 && time.Duration(vm.ConfirmedMS)*time.Millisecond < watcherProof
		if vm.Serving && !vm.Draining && fresh {
			all = append(all, vmAddress{vm.Name, vm.Link})
		}
	}
	sort.Slice(all, func(i, j int) bool { return watchRank(all[i].vm) < watchRank(all[j].vm) })
	for _, vm := range all {
		if watchRank(vm.vm) < watchRank(n.VM) {
			ahead = append(ahead, vm)
		}
	}
	return ahead, all
}

// ownStore reads from the store and notes failures.
type ownStore struct {
	node *Node
	kind string
}

func (s ownStore) source() discovery.StoreSource { return discovery.StoreSource{Store: s.node.Store} }

func (s ownStore) note(err error) {
	if err != nil && !errors.Is(err, objectstore.ErrCompacted) {
		s.node.storeFailed.Store(s.kind, bootclock.Now())
	}
}

// List implements discovery.Source.
func (s ownStore) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, bootclock.Instant, error) {
	items, revision, at, err := s.source().List(ctx, kind)
	s.note(err)
	return items, revision, at, err
}

// Poll implements discovery.Source.
func (s ownStore) Poll(ctx context.Context, kind string, after uint64, wait time.Duration) ([]apitypes.Event, uint64, bootclock.Instant, error) {
	events, revision, at, err := s.source().Poll(ctx, kind, after, wait)
	s.note(err)
	return events, revision, at, err
}

type vmAddress struct{ vm, link string }

// relaySource reads from another VM.
type relaySource struct {
	node *Node
	link string
}

var relayClient = &http.Client{Transport: &http.Transport{DialContext: netdial.NewDialer(vmCallTimeout/2, vmCallTimeout).DialContext,
	DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}

// List implements discovery.Source.
func (r relaySource) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, bootclock.Instant, error) {
	s, at, err := r.read(ctx, kind, nil)
	if err != nil {
		return nil, 0, 0, err
	}
	return s.Items, s.Revision, at, nil
}

// Poll implements discovery.Source.
func (r relaySource) Poll(ctx context.Context, kind string, after uint64, wait time.Duration) ([]apitypes.Event, uint64, bootclock.Instant, error) {
	s, at, err := r.read(ctx, kind, url.Values{"after": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}})
	if err != nil {
		return nil, 0, 0, err
	}
	return s.Events, s.Revision, at, nil
}

// read reads from the other VM. Its age counts back from the answer's arrival less the longest time that the answer can have
// taken: the age was taken after the call was sent, and after the wait if nothing changed.
func (r relaySource) read(ctx context.Context, kind string, query url.Values) (*discovery.Snapshot, bootclock.Instant, error) {
	sent := bootclock.Now()
	s, err := r.get(ctx, kind, query)
	if err != nil {
		if !errors.Is(err, objectstore.ErrCompacted) {
			r.node.relayFailed.Store(kind, bootclock.Now())
		}
		return nil, 0, err
	}
	at := sent
	if wait, ok := query["wait_ms"]; ok && len(s.Events) == 0 {
		ms, err := strconv.Atoi(wait[0])
		if err == nil && bootclock.Since(sent) >= time.Duration(ms)*time.Millisecond {
			at = sent.Add(time.Duration(ms) * time.Millisecond)
		}
	}
	return s, at.Add(-time.Duration(s.AgeMS) * time.Millisecond), nil
}

func (r relaySource) get(ctx context.Context, kind string, query url.Values) (*discovery.Snapshot, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.link+relayPath+kind+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "relay of a VM")
	}
	resp, err := relayClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "relay of a VM")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return nil, objectstore.ErrCompacted
	default:
		return nil, errors.Wrapf(objectstore.ErrUnavailable, "relay of a VM: status %d", resp.StatusCode)
	}
	var s discovery.Snapshot
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxRelayBytes)).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "relay of a VM can't be read")
	}
	return &s, nil
}

// serveRelay answers followers on other VMs.
func (n *Node) serveRelay(c echo.Context) error {
	relay := n.relays[c.Param("kind")]
	if relay == nil {
		return c.NoContent(http.StatusNotFound)
	}
	var s *discovery.Snapshot
	var err error
	if after := c.QueryParam("after"); after != "" {
		revision, parseErr := strconv.ParseUint(after, 10, 64)
		ms, waitErr := strconv.Atoi(c.QueryParam("wait_ms"))
		if parseErr != nil || waitErr != nil || ms < 0 {
			return c.NoContent(http.StatusBadRequest)
		}
		s, err = relay.WaitForChanges(c.Request().Context(), revision, time.Duration(ms)*time.Millisecond)
	} else {
		s, err = relay.Snapshot()
	}
	switch {
	case errors.Is(err, objectstore.ErrCompacted):
		return c.NoContent(http.StatusGone)
	case err != nil:
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, s)
}
