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
	"crocusglade.example/crocusglade/internal/httpresponse"
	"crocusglade.example/crocusglade/internal/netdial"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// storeWatchers is the number of VMs that watch the store directly. The others watch these VMs, so that the calls to the store
	// don't grow with the number of VMs.
	storeWatchers = 3
	// maxWatcherAge is the age of the last confirmation of a VM's configuration up to which other VMs watch it.
	maxWatcherAge = 1800 * time.Millisecond
	// relayPath is the path prefix at which a VM serves its watch caches to other VMs; the kind follows.
	relayPath = "/follow/"
	// maxRelayBytes bounds a response of another VM.
	maxRelayBytes = 16 << 20
	// relayFailureBackoff is how long a VM reads directly from the store after a failed read from another VM.
	relayFailureBackoff = 3 * time.Second
	// storeFailureBackoff is how long a VM watches other VMs after a failed read from the store.
	storeFailureBackoff = 5 * time.Second
)

// watchRank returns a hash of a VM's name. The VMs with the lowest hashes watch the store: all VMs choose the same ones, and a
// stopped one is replaced by a single VM.
func watchRank(vm string) uint64 { return xxhash.Sum64String(vm) }

// watchSource returns the source from which this VM reads a kind: the store if fewer than storeWatchers VMs of lower rank have a
// recently confirmed configuration, and one of those VMs otherwise. After a failure of the store it is any VM with a recently
// confirmed configuration.
func (n *Node) watchSource(kind string) discovery.Source {
	store := storeSource{node: n, kind: kind}
	lowerRanked, confirmed := n.confirmedVMs()
	storeFailed, relayFailed := lastFailure(&n.storeFailedAt, kind), lastFailure(&n.relayFailedAt, kind)
	if bootclock.Since(storeFailed) < storeFailureBackoff && storeFailed > relayFailed && len(confirmed) > 0 {
		return relaySource{node: n, link: confirmed[watchRank(n.VM)%uint64(len(confirmed))].link}
	}
	if len(lowerRanked) < storeWatchers || bootclock.Since(relayFailed) < relayFailureBackoff {
		return store
	}
	return relaySource{node: n, link: lowerRanked[watchRank(n.VM)%storeWatchers].link}
}

// neverFailed stands for the time of the last failure when there was none.
const neverFailed = bootclock.Instant(-1 << 62)

// lastFailure returns the time of the last failed read of a kind, or neverFailed.
func lastFailure(failures *sync.Map, kind string) bootclock.Instant {
	if failedAt, ok := failures.Load(kind); ok {
		return failedAt.(bootclock.Instant)
	}
	return neverFailed
}

// confirmedVMs returns the other serving VMs with a recently confirmed configuration, ordered by rank: those that rank before this
// VM, and all.
func (n *Node) confirmedVMs() (lowerRanked, all []vmAddress) {
	for _, vm := range n.link.LivePeers() {
		recent := vm.ConfirmedMS >= 0 && time.Duration(vm.ConfirmedMS)*time.Millisecond < maxWatcherAge
		if vm.Serving && !vm.Draining && recent {
			all = append(all, vmAddress{vm.Name, vm.LinkAddress})
		}
	}
	sort.Slice(all, func(i, j int) bool { return watchRank(all[i].name) < watchRank(all[j].name) })
	for _, vm := range all {
		if watchRank(vm.name) < watchRank(n.VM) {
			lowerRanked = append(lowerRanked, vm)
		}
	}
	return lowerRanked, all
}

// storeSource reads from the store and records failures.
type storeSource struct {
	node *Node
	kind string
}

// String names the source in logs.
func (s storeSource) String() string { return "store" }

func (s storeSource) source() discovery.StoreSource {
	return discovery.StoreSource{Store: s.node.Store}
}

// recordFailure records the time of a failed read. A compacted history isn't a failure of the store.
func (s storeSource) recordFailure(err error) {
	if err != nil && !errors.Is(err, objectstore.ErrCompacted) {
		s.node.storeFailedAt.Store(s.kind, bootclock.Now())
	}
}

// List implements discovery.Source.
func (s storeSource) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, bootclock.Instant, error) {
	items, revision, asOf, err := s.source().List(ctx, kind)
	s.recordFailure(err)
	return items, revision, asOf, err
}

// Poll implements discovery.Source.
func (s storeSource) Poll(ctx context.Context, kind string, after uint64, wait time.Duration) ([]apitypes.Event, uint64, bootclock.Instant, error) {
	events, revision, asOf, err := s.source().Poll(ctx, kind, after, wait)
	s.recordFailure(err)
	return events, revision, asOf, err
}

type vmAddress struct{ name, link string }

// relaySource reads from the watch cache of another VM.
type relaySource struct {
	node *Node
	link string
}

// String names the source in logs.
func (r relaySource) String() string { return "vm " + r.link }

var relayClient = &http.Client{Transport: httpresponse.NewTransport(&http.Transport{DialContext: netdial.NewDialer(vmCallTimeout/2, vmCallTimeout).DialContext,
	DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second})}

// List implements discovery.Source.
func (r relaySource) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, bootclock.Instant, error) {
	s, asOf, err := r.read(ctx, kind, nil)
	if err != nil {
		return nil, 0, 0, err
	}
	return s.Items, s.Revision, asOf, nil
}

// Poll implements discovery.Source.
func (r relaySource) Poll(ctx context.Context, kind string, after uint64, wait time.Duration) ([]apitypes.Event, uint64, bootclock.Instant, error) {
	s, asOf, err := r.read(ctx, kind, url.Values{"after": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}})
	if err != nil {
		return nil, 0, 0, err
	}
	return s.Events, s.Revision, asOf, nil
}

// read reads from the other VM and returns the instant of this VM's clock at which the snapshot was current. The snapshot's age
// counts back from the time at which the request was sent, because the other VM took the age after that. It counts back from the end
// of the wait if nothing changed, because the age was taken after the wait.
func (r relaySource) read(ctx context.Context, kind string, query url.Values) (*discovery.Snapshot, bootclock.Instant, error) {
	sent := bootclock.Now()
	s, err := r.fetch(ctx, kind, query)
	if err != nil {
		if !errors.Is(err, objectstore.ErrCompacted) {
			r.node.relayFailedAt.Store(kind, bootclock.Now())
		}
		return nil, 0, err
	}
	asOf := sent
	if wait, ok := query["wait_ms"]; ok && len(s.Events) == 0 {
		ms, err := strconv.Atoi(wait[0])
		if err == nil && bootclock.Since(sent) >= time.Duration(ms)*time.Millisecond {
			asOf = sent.Add(time.Duration(ms) * time.Millisecond)
		}
	}
	return s, asOf.Add(-time.Duration(s.AgeMS) * time.Millisecond), nil
}

// fetch sends one request. It returns objectstore.ErrCompacted if the VM no longer has the requested changes.
func (r relaySource) fetch(ctx context.Context, kind string, query url.Values) (*discovery.Snapshot, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.link+relayPath+kind+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "watch another VM")
	}
	resp, err := relayClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "watch another VM")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return nil, objectstore.ErrCompacted
	default:
		return nil, errors.Wrapf(objectstore.ErrUnavailable, "watch another VM: status %d", resp.StatusCode)
	}
	var s discovery.Snapshot
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxRelayBytes)).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "decode watch response of another VM")
	}
	return &s, nil
}

// serveRelay serves this VM's watch caches to other VMs.
func (n *Node) serveRelay(c echo.Context) error {
	cache := n.watchCaches[c.Param("kind")]
	if cache == nil {
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
		s, err = cache.WaitForChanges(c.Request().Context(), revision, time.Duration(ms)*time.Millisecond)
	} else {
		s, err = cache.Snapshot()
	}
	switch {
	case errors.Is(err, objectstore.ErrCompacted):
		return c.NoContent(http.StatusGone)
	case err != nil:
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, s)
}
