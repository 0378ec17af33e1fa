package node

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/discovery"
	"crocusglade.example/crocusglade/internal/httpresponse"
	"crocusglade.example/crocusglade/internal/netdial"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/vmlink"
)

const (
	// storeWatchers is the number of VMs that watch the store directly. The others watch these VMs, so that the calls to the store
	// don't grow with the number of VMs.
	storeWatchers = 3
	// maxWatcherAge is the age of what a VM has read up to which other VMs watch it.
	maxWatcherAge = 1800 * time.Millisecond
	// maxAgeAfterFailure is the same for a VM whose own read from the store has just failed. A copy that is older may have failed like its own.
	maxAgeAfterFailure = 1300 * time.Millisecond
	// relayPath is the path prefix at which a VM serves its watch caches to other VMs; the kind follows.
	relayPath = "/follow/"
	// maxRelayBytes bounds a response of another VM.
	maxRelayBytes = 16 << 20
	// relayFailureBackoff is how long a VM reads nothing from another one after a failed read from it.
	relayFailureBackoff = 3 * time.Second
	// maxBehindTries is how often a list is read from a VM that is behind this one, behindRetryDelay the time between two of these reads.
	maxBehindTries   = 3
	behindRetryDelay = 100 * time.Millisecond
	// storeFailureBackoff is how long a VM watches other VMs after a failed read from the store, if one has a recent copy.
	storeFailureBackoff = 5 * time.Second
	// relayPollWait is how long a poll of another VM waits for changes, relayPollSlack how much longer it may take.
	relayPollWait  = time.Second
	relayPollSlack = 600 * time.Millisecond
)

// watchRank is the place of a VM in the order in which VMs are chosen to watch the store for the others. All VMs choose the same ones, and a
// stopped one is replaced by a single VM. The fastest links come first, because all other VMs read through them.
type watchRank struct {
	linkMbps float64
	hash     uint64
}

func newWatchRank(vm string, linkMbps float64) watchRank {
	return watchRank{linkMbps, xxhash.Sum64String(vm)}
}

// compare returns a negative number if r comes before other.
func (r watchRank) compare(other watchRank) int {
	return cmp.Or(cmp.Compare(other.linkMbps, r.linkMbps), cmp.Compare(r.hash, other.hash))
}

// watchSource returns the source from which this VM reads a kind.
func (n *Node) watchSource(kind string) discovery.Source {
	relay, ok := n.selectRelay(kind)
	n.watchesStore.Store(kind, !ok)
	if !ok {
		return storeSource{node: n, kind: kind}
	}
	return relaySource{node: n, link: relay.link}
}

// selectRelay returns the VM from which this VM reads a kind, and false if it reads from the store: if fewer than storeWatchers VMs that come
// before it in rank do. After a failure of the store it reads from any VM that still can. It never reads from a VM that reads from another
// one: two that read from each other would both take old objects for recent ones.
func (n *Node) selectRelay(kind string) (vmAddress, bool) {
	if bootclock.Since(lastFailure(&n.storeFailedAt, kind)) < storeFailureBackoff {
		watchers := n.recentWatchers(kind, maxAgeAfterFailure)
		return n.preferred(watchers), len(watchers) > 0
	}
	own := newWatchRank(n.VM, n.LinkMbps)
	earlier := slices.DeleteFunc(n.recentWatchers(kind, maxWatcherAge), func(vm vmAddress) bool { return vm.rank.compare(own) >= 0 })
	if len(earlier) < storeWatchers {
		return vmAddress{}, false
	}
	slices.SortFunc(earlier, func(a, b vmAddress) int { return a.rank.compare(b.rank) })
	return n.preferred(earlier[:storeWatchers]), true
}

// preferred returns the VM of a list that this VM reads from. It stays the same while others come and go.
func (n *Node) preferred(list []vmAddress) vmAddress {
	if len(list) == 0 {
		return vmAddress{}
	}
	weight := func(vm vmAddress) uint64 { return xxhash.Sum64String(n.VM + "\x00" + vm.name) }
	return slices.MaxFunc(list, func(a, b vmAddress) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.name, b.name))
	})
}

// neverFailed stands for the time of the last failure when there was none.
const neverFailed = bootclock.Instant(-1 << 62)

// lastFailure returns the time of the last failed read with a key, or neverFailed.
func lastFailure(failures *sync.Map, key any) bootclock.Instant {
	if failedAt, ok := failures.Load(key); ok {
		return failedAt.(bootclock.Instant)
	}
	return neverFailed
}

// relayKey identifies the reads of a kind from the VM at a link address.
type relayKey struct{ kind, link string }

// recentWatchers returns the other serving VMs that read a kind from the store, whose copy is at most maxAge old and from which no read failed
// lately.
func (n *Node) recentWatchers(kind string, maxAge time.Duration) []vmAddress {
	var watchers []vmAddress
	for _, vm := range n.link.LivePeers() {
		status, known := vm.Watches[kind]
		if !known || !status.FromStore || !vm.Serving || vm.Draining || time.Duration(status.AgeMS)*time.Millisecond > maxAge ||
			bootclock.Since(lastFailure(&n.relayFailedAt, relayKey{kind, vm.LinkAddress})) < relayFailureBackoff {
			continue
		}
		watchers = append(watchers, vmAddress{vm.Name, vm.LinkAddress, newWatchRank(vm.Name, vm.LinkMbps)})
	}
	return watchers
}

// observeEra records the era of a revision that another VM has read.
func (n *Node) observeEra(revision uint64) {
	n.Store.Eras().Observe(objectstore.Revision(revision).Era(), bootclock.Now())
}

// readsStore reports whether this VM's last source of a kind was the store.
func (n *Node) readsStore(kind string) bool {
	fromStore, _ := n.watchesStore.Load(kind)
	return fromStore == true
}

// watchStatus returns how this VM follows the kinds that it has read.
func (n *Node) watchStatus() map[string]vmlink.WatchStatus {
	status := make(map[string]vmlink.WatchStatus, len(n.watchCaches))
	for kind, cache := range n.watchCaches {
		if age, ok := cache.Age(); ok {
			status[kind] = vmlink.WatchStatus{AgeMS: age.Milliseconds() + 1, FromStore: n.readsStore(kind)}
		}
	}
	return status
}

// entryExchange reports departures of endpoints to other VMs only while this VM reads the endpoints from the store: the others have them from
// one that does, and would repeat the report once for each VM.
type entryExchange struct{ node *Node }

// Departures implements vmlink.EntryExchange.
func (x entryExchange) Departures() []discovery.Departure {
	if !x.node.readsStore(x.node.Kinds.Endpoints) {
		return nil
	}
	return x.node.registry.Departures()
}

// MergeDepartures implements vmlink.EntryExchange.
func (x entryExchange) MergeDepartures(list []discovery.Departure) {
	if len(list) > 0 {
		x.node.registry.MergeDepartures(list)
	}
}

// storeSource reads from the store and records whether lists fail.
type storeSource struct {
	node *Node
	kind string
}

// String names the source in logs.
func (s storeSource) String() string { return "store" }

func (s storeSource) source() discovery.StoreSource {
	return discovery.StoreSource{Store: s.node.Store}
}

// PollTimes implements discovery.Source.
func (s storeSource) PollTimes() (wait, slack time.Duration) { return s.source().PollTimes() }

// List implements discovery.Source.
func (s storeSource) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, bootclock.Instant, error) {
	items, revision, asOf, err := s.source().List(ctx, kind)
	if err != nil {
		s.node.storeFailedAt.Store(s.kind, bootclock.Now())
	} else {
		s.node.storeFailedAt.Delete(s.kind)
	}
	return items, revision, asOf, err
}

// Poll implements discovery.Source. A failure isn't recorded: watches are cut while the store works, and the VMs that could be read instead
// have lost theirs too. The list that follows shows whether the store fails.
func (s storeSource) Poll(ctx context.Context, kind string, after uint64, wait time.Duration) ([]apitypes.Event, uint64, bootclock.Instant, error) {
	return s.source().Poll(ctx, kind, after, wait)
}

type vmAddress struct {
	name, link string
	rank       watchRank
}

// relaySource reads from the watch cache of another VM.
type relaySource struct {
	node *Node
	link string
}

// String names the source in logs.
func (r relaySource) String() string { return "vm " + r.link }

var relayClient = &http.Client{Transport: httpresponse.NewTransport(&http.Transport{DialContext: netdial.NewDialer(vmCallTimeout/2, vmCallTimeout).DialContext,
	DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second})}

// errBehind means that another VM has read less of the store than this one.
var errBehind = errors.New("the copy of the other VM is older than this VM's; read from another one")

// List implements discovery.Source. It waits for a VM that is behind this one for a moment, and fails then: with an older list, this VM would
// send work to endpoints of which it knows that they left.
func (r relaySource) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, bootclock.Instant, error) {
	own := r.node.watchCaches[kind].Revision()
	for try := 1; ; try++ {
		s, asOf, err := r.read(ctx, kind, nil)
		switch {
		case err != nil:
			return nil, 0, 0, err
		case s.Revision >= own:
			return s.Items, s.Revision, asOf, nil
		case try == maxBehindTries || !ctxtime.Sleep(ctx, behindRetryDelay):
			r.recordFailure(kind)
			return nil, 0, 0, errors.Wrapf(errBehind, "revision %d, this VM has %d", s.Revision, own)
		}
	}
}

// PollTimes implements discovery.Source.
func (r relaySource) PollTimes() (wait, slack time.Duration) { return relayPollWait, relayPollSlack }

// recordFailure records the time of a failed read.
func (r relaySource) recordFailure(kind string) {
	r.node.relayFailedAt.Store(relayKey{kind, r.link}, bootclock.Now())
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
			r.recordFailure(kind)
		}
		return nil, 0, err
	}
	r.node.observeEra(s.Revision)
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

// serveRelay serves this VM's watch caches to other VMs while it reads from the store.
func (n *Node) serveRelay(c echo.Context) error {
	kind := c.Param("kind")
	cache := n.watchCaches[kind]
	if cache == nil {
		return c.NoContent(http.StatusNotFound)
	}
	if !n.readsStore(kind) {
		return c.NoContent(http.StatusServiceUnavailable)
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
