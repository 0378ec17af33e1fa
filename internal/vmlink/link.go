package vmlink

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/metering"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
)

const (
	// basePeriod is the time between two datagrams to the same VM in a small deployment.
	basePeriod = 60 * time.Millisecond
	// periodPerVM lets the period grow with the number of VMs, so that a VM sends and receives about 270 datagrams a second at 33
	// VMs, and about 500 at any number.
	periodPerVM = 2 * time.Millisecond
	// usageEvery is the number of datagrams of which one carries usage counts, echoEvery the same for echoes.
	usageEvery = 4
	echoEvery  = 4
	// usageVMs is the number of VMs, the first by name, that are told usage counts: those that compete for the duties.
	usageVMs = 5
	// silentAfter is the time without a datagram after which a VM doesn't count as serving, as a number of periods and at least
	// silentMin.
	silentAfter = 8
	silentMin   = 700 * time.Millisecond
	// forgetAfter is the time without a datagram after which a VM is no longer written to, unless the store lists it.
	forgetAfter = 20 * time.Second
	// maxDatagram is the largest payload of a UDP datagram.
	maxDatagram = 65000
	// toldWindows is the number of windows before the present one whose counts are told.
	toldWindows = 3
	// maxNewsReads bounds the prompts told in one datagram.
	maxNewsReads = 256
)

// Config configures a link.
type Config struct {
	VM, Incarnation, Domain string
	// Front and Link are this VM's addresses for callers and for VMs.
	Front, Link string
	Catalog     *catalog.Holder
	Fleet       *placement.Fleet
	Meter       *metering.Meter
	Ledger      *metering.Ledger
	Quarantine  *retry.Quarantine
	TrueTime    *MedianClock
	// FetchCatalog reads the configuration of the VM with a link address. It is called when a VM has a newer one.
	FetchCatalog func(ctx context.Context, link string) error
	Log          zerolog.Logger
}

// peer is another VM.
type peer struct {
	news PeerStatus
	link string
	addr *net.UDPAddr
	// heard is when the last datagram came; zero if none did.
	heard bootclock.Instant
	// listed is true while the store lists the VM.
	listed bool
	// echo is the SentAt of its newest datagram.
	echo int64
	up   bool
}

// PeerStatus is what another VM said of itself last.
type PeerStatus struct {
	Name, Incarnation, Domain, Front, Link string
	Serving, Draining                      bool
	// ConfirmedMS is how many milliseconds before its last news the VM's configuration was confirmed, or -1.
	ConfirmedMS int64
	Revision    uint64
}

// Link exchanges news with all other VMs.
type Link struct {
	Config

	mu       sync.Mutex
	peers    map[string]*peer // by link address
	draining bool
	fetching bool
	// changing holds the endpoints that this VM knows to take no work for a time.
	changing map[string]bootclock.Instant
	sent     int
	conn     net.PacketConn
}

// New returns a link. Run does the work.
func New(c Config) *Link {
	return &Link{Config: c, peers: make(map[string]*peer), changing: make(map[string]bootclock.Instant)}
}

// SetListedAddresses replaces the link addresses that the store lists.
func (l *Link) SetListedAddresses(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		p.listed = false
	}
	for _, a := range addresses {
		l.addLocked(a).listed = true
	}
}

// AddSeedAddress adds a link address that may be that of a VM.
func (l *Link) AddSeedAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLocked(address)
}

func (l *Link) addLocked(address string) *peer {
	if p := l.peers[address]; p != nil {
		return p
	}
	p := &peer{link: address}
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		l.Log.Error().Str("address", address).Err(err).Msg("address of a VM can't be read")
		return p
	}
	p.addr = addr
	if address != l.Link {
		l.peers[address] = p
	}
	return p
}

// firstNamesLocked returns the last of the first names of VMs that are up, this VM included.
func (l *Link) firstNamesLocked() string {
	names := []string{l.VM}
	for _, p := range l.peers {
		if p.up {
			names = append(names, p.news.Name)
		}
	}
	sort.Strings(names)
	return names[min(len(names), usageVMs)-1]
}

// AnnounceDrain makes this VM tell the others that it takes no new callers, at once.
func (l *Link) AnnounceDrain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.tell()
}

// AnnounceUnavailableEndpoint tells the other VMs, at once, that an endpoint takes no work for a time: it changes its role,
// or isn't at its address.
func (l *Link) AnnounceUnavailableEndpoint(endpoint string, d time.Duration) {
	until := bootclock.Now().Add(d)
	l.mu.Lock()
	known := l.changing[endpoint] > bootclock.Now()
	l.changing[endpoint] = max(l.changing[endpoint], until)
	l.mu.Unlock()
	l.Fleet.Avoid(endpoint, d)
	if !known {
		l.tell()
	}
}

// Run exchanges news until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", l.Link)
	if err != nil {
		return errors.Wrap(err, "listen for other VMs (check that the internal port is free)")
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	go l.sendLoop(ctx)
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			l.Log.Warn().Err(err).Msg("receiving news of other VMs failed")
			ctxtime.Sleep(ctx, basePeriod)
			continue
		}
		l.receive(ctx, buf[:n], from)
	}
}

func (l *Link) sendLoop(ctx context.Context) {
	for ctxtime.Sleep(ctx, l.period()) {
		l.tell()
		l.checkSilent()
	}
}

func (l *Link) period() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return basePeriod + time.Duration(max(len(l.peers)-4, 0))*periodPerVM
}

// tell sends this VM's news to all others.
func (l *Link) tell() {
	news, targets, conn := l.compose()
	if conn == nil || len(targets) == 0 {
		return
	}
	usage := news.Usage
	news.Usage = nil
	plain, ok := l.encode(news)
	if !ok {
		return
	}
	withUsage := plain
	if news.Usage = usage; usage != nil {
		if withUsage, ok = l.encode(news); !ok {
			return
		}
	}
	for _, t := range targets {
		data := plain
		if t.usage {
			data = withUsage
		}
		_, _ = conn.WriteTo(data, t.addr) // a lost datagram is made good by the next
	}
}

// encode encodes news in a datagram. The largest parts are left out if they don't fit: usage comes again, and reads that others
// don't hear of cost a transfer at worst.
func (l *Link) encode(n *StatusMessage) ([]byte, bool) {
	data, err := cbor.Marshal(n)
	if err == nil && len(data) > maxDatagram {
		n.Reads, n.Usage = nil, nil
		data, err = cbor.Marshal(n)
	}
	if err != nil {
		l.Log.Error().Err(err).Msg("news for other VMs can't be encoded")
		return nil, false
	}
	return data, true
}

// target is a VM that news goes to.
type target struct {
	addr *net.UDPAddr
	// usage is set for VMs that are told usage counts.
	usage bool
}

func (l *Link) compose() (*StatusMessage, []target, net.PacketConn) {
	work, reads := l.Fleet.CollectWork()
	if len(reads) > maxNewsReads {
		reads = reads[len(reads)-maxNewsReads:]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	news := &StatusMessage{VM: l.VM, Incarnation: l.Incarnation, Domain: l.Domain, Front: l.Front, Link: l.Link,
		Draining: l.draining, Work: encodeWork(work), Reads: EncodeReads(reads), Demand: l.Fleet.MeasureDemand(),
		Unreachable: encodeUnreachable(l.Fleet.UnreachableEndpoints()), ConfirmedMS: -1}
	for fingerprint := range l.Quarantine.Entries() {
		news.Blocked = append(news.Blocked, fingerprint)
	}
	if l.sent%usageEvery == 0 || l.draining {
		windows := l.Meter.Recent()
		l.Ledger.MergeCounts(l.Incarnation, windows)
		news.Usage = encodeUsage(windows, l.Meter.Current()-toldWindows)
	}
	l.sent++
	now := bootclock.Now()
	news.UnavailableEndpoints = make(map[string]int64, len(l.changing))
	for id, until := range l.changing {
		if until <= now {
			delete(l.changing, id)
			continue
		}
		news.UnavailableEndpoints[id] = until.Sub(now).Milliseconds()
	}
	if l.sent%echoEvery == 0 {
		news.Echo = make(map[string]int64, len(l.peers))
	}
	first := l.firstNamesLocked()
	targets := make([]target, 0, len(l.peers))
	for a, p := range l.peers {
		if !p.listed && now.Sub(p.heard) > forgetAfter && p.heard != 0 {
			delete(l.peers, a)
			continue
		}
		targets = append(targets, target{addr: p.addr, usage: p.news.Name == "" || p.news.Name <= first})
		if p.echo != 0 && news.Echo != nil {
			news.Echo[p.news.Incarnation] = p.echo
		}
	}
	if c := l.Catalog.Current(); c != nil {
		news.Revision, news.Serving = c.Revision, !l.draining
		if at, ok := l.Catalog.ConfirmedAt(); ok {
			news.ConfirmedMS = now.Sub(at).Milliseconds() + 1
		}
	}
	news.TrueTimeMS = l.TrueTime.LocalEstimate().UnixMilli()
	news.SentAt = int64(now)
	return news, targets, l.conn
}

// receive takes in another VM's news.
func (l *Link) receive(ctx context.Context, data []byte, from net.Addr) {
	var n StatusMessage
	if err := cbor.Unmarshal(data, &n); err != nil {
		l.Log.Warn().Str("from", from.String()).Err(err).Msg("datagram of a VM can't be read")
		return
	}
	if n.Link == "" || n.Link == l.Link {
		return
	}
	l.mu.Lock()
	p := l.addLocked(n.Link)
	if n.Incarnation == p.news.Incarnation && n.SentAt <= p.echo {
		l.mu.Unlock()
		return // overtaken by a newer datagram
	}
	wasUp := p.up
	p.heard, p.echo, p.up = bootclock.Now(), n.SentAt, true
	p.news = PeerStatus{Name: n.VM, Incarnation: n.Incarnation, Domain: n.Domain, Front: n.Front, Link: n.Link, Serving: n.Serving,
		Draining: n.Draining, ConfirmedMS: n.ConfirmedMS, Revision: n.Revision}
	l.mu.Unlock()
	if !wasUp {
		l.Log.Info().Str("dependency", "vm").Str("peer", n.VM).Str("incarnation", n.Incarnation).Msg("dependency regained")
	}
	l.Fleet.SetPeerWork(n.VM, decodeWork(n.Work), DecodeReads(n.Reads))
	l.Fleet.SetPeerDemand(n.VM, n.Demand)
	l.Fleet.SetPeerUnreachable(n.VM, decodeUnreachable(n.Unreachable))
	for id, ms := range n.UnavailableEndpoints {
		l.Fleet.Avoid(id, time.Duration(ms)*time.Millisecond)
	}
	l.TrueTime.RecordPeerEstimate(n.VM, time.UnixMilli(n.TrueTimeMS))
	if len(n.Usage) > 0 {
		l.Ledger.MergeCounts(n.Incarnation, decodeUsage(n.Usage))
	}
	for _, fingerprint := range n.Blocked {
		if !l.Quarantine.Blocked(fingerprint) {
			l.Quarantine.Add(fingerprint, time.Minute)
		}
	}
	l.proof(ctx, &n)
}

// proof takes another VM's confirmation of the configuration, or its newer configuration. The confirmation's time is counted
// from this VM's own clock by way of the echo, so a datagram that was held up proves nothing more than it did when it was sent.
func (l *Link) proof(ctx context.Context, n *StatusMessage) {
	if n.ConfirmedMS < 0 {
		return
	}
	if echo, ok := n.Echo[l.Incarnation]; ok && echo != 0 {
		l.Catalog.Confirm(n.Revision, bootclock.Instant(echo).Add(-time.Duration(n.ConfirmedMS)*time.Millisecond))
	}
	current := l.Catalog.Current()
	if current != nil && current.Revision >= n.Revision {
		return
	}
	l.mu.Lock()
	busy := l.fetching
	l.fetching = true
	l.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			l.mu.Lock()
			l.fetching = false
			l.mu.Unlock()
		}()
		if err := l.FetchCatalog(ctx, n.Link); err != nil {
			l.Log.Warn().Str("peer", n.VM).Err(err).Msg("newer configuration of a VM can't be read")
			ctxtime.Sleep(ctx, basePeriod)
		}
	}()
}

// checkSilent notes VMs that have fallen silent, and forgets their work.
func (l *Link) checkSilent() {
	limit := l.silentLimit()
	l.mu.Lock()
	var silent []*peer
	now := bootclock.Now()
	for _, p := range l.peers {
		if p.up && now.Sub(p.heard) > limit {
			p.up = false
			silent = append(silent, p)
		}
	}
	l.mu.Unlock()
	for _, p := range silent {
		l.Fleet.SetPeerWork(p.news.Name, nil, nil)
		l.Fleet.SetPeerDemand(p.news.Name, nil)
		l.TrueTime.Forget(p.news.Name)
		l.Log.Warn().Str("dependency", "vm").Str("peer", p.news.Name).Int64("silent_ms", limit.Milliseconds()).Msg("dependency lost")
	}
}

func (l *Link) silentLimit() time.Duration { return max(l.period()*silentAfter, silentMin) }

// LivePeers returns the VMs that were heard of lately.
func (l *Link) LivePeers() []PeerStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []PeerStatus
	for _, p := range l.peers {
		if p.up {
			list = append(list, p.news)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Size returns the number of VMs, this one included, that were heard of lately.
func (l *Link) Size() int { return len(l.LivePeers()) + 1 }
