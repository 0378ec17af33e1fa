package vmlink

import (
	"context"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/discovery"
	"crocusglade.example/crocusglade/internal/metering"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
)

const (
	// basePeriod is the time between two datagrams to the same VM in a deployment of up to 5 VMs.
	basePeriod = 60 * time.Millisecond
	// periodPerVM is added to the period for each further VM, so that the rate of datagrams stays bounded: a VM sends and receives
	// about 270 datagrams a second with 33 VMs, and never more than about 500.
	periodPerVM = 2 * time.Millisecond
	// One in datagramsPerEcho datagrams carries echoes.
	datagramsPerEcho = 4
	// silentPeriods is the number of periods without a datagram after which a VM no longer counts as live. The time is at least
	// minSilentTime.
	silentPeriods = 8
	minSilentTime = 700 * time.Millisecond
	// peerExpiry is the time without a datagram after which a VM is removed from the peers, unless the store lists it.
	peerExpiry = 20 * time.Second
	// listedExpiry is the time without a datagram after which a VM that the store lists no longer counts as one of the deployment. The store
	// keeps the entries of VMs that were replaced.
	listedExpiry = 10 * time.Minute
	// maxDatagramBytes bounds the payload of a UDP datagram.
	maxDatagramBytes = 65000
	// maxMessageReads bounds the prompt reads in one datagram.
	maxMessageReads = 256
)

// Config configures a link.
type Config struct {
	VM, Incarnation, Domain string
	// CallerAddress and LinkAddress are this VM's addresses for callers and for other VMs.
	CallerAddress, LinkAddress string
	// LinkMbps is the bandwidth of this VM's link in Mbit/s; 0 if unknown.
	LinkMbps float64
	Catalog  *catalog.Holder
	// Eras learns the eras of the store that other VMs know; nil if nobody else asks for them.
	Eras        *objectstore.Eras
	Fleet       *placement.Fleet
	Meter       *metering.Meter
	Ledger      *metering.Ledger
	Quarantine  *retry.Quarantine
	Parts       *retry.PartQuarantine
	MedianClock *MedianClock
	Quota       QuotaExchange
	Entries     EntryExchange
	// KeepsAllStreams reports whether another VM has to know all streams.
	KeepsAllStreams func(PeerStatus) bool
	Streams         StreamExchange
	// Watches returns how this VM follows the kinds of objects of the store, without those that it has not read yet.
	Watches func() map[string]WatchStatus
	// FetchCatalog fetches and applies the configuration of the VM at a link address. It is called when that VM has a newer one.
	FetchCatalog func(ctx context.Context, link string) error
	Log          zerolog.Logger
}

// EntryExchange tells other VMs of endpoints that left, and learns it from them. discovery.Registry implements it.
type EntryExchange interface {
	Departures() []discovery.Departure
	MergeDepartures([]discovery.Departure)
}

// peer is the state of another VM, or of an address at which one may run.
type peer struct {
	status PeerStatus
	link   string
	addr   *net.UDPAddr
	// receivedAt is when the last datagram arrived; zero if none did.
	receivedAt bootclock.Instant
	// listed is true while the store lists the VM. addedAt is when the address became known.
	listed  bool
	addedAt bootclock.Instant
	// lastSentAt is the SentAt of its newest datagram.
	lastSentAt int64
	// delay tells how long its datagrams are under way. statusAsOf is the instant by this VM's clock at which the newest one was sent.
	delay      delayEstimate
	statusAsOf bootclock.Instant
	// live is true while datagrams arrive.
	live bool
}

// PeerStatus is another VM's status in its newest datagram. CallerAddress and LinkAddress are its addresses for callers and for other
// VMs.
type PeerStatus struct {
	Name, Incarnation, Domain, CallerAddress, LinkAddress string
	Serving, Draining                                     bool
	// ConfirmedMS is how many milliseconds before that datagram the VM's configuration was confirmed as current, or -1.
	ConfirmedMS int64
	// Config is the edition of the VM's configuration.
	Config catalog.Edition
	// DutyToken is the fencing token of the duties lease if the VM holds it, 0 otherwise.
	DutyToken uint64
	// Watches holds how the VM follows the kinds of objects of the store.
	Watches map[string]WatchStatus
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 if unknown.
	LinkMbps float64
}

// Link exchanges status messages with all other VMs. Its methods may be called concurrently.
type Link struct {
	Config

	mu       sync.Mutex
	peers    map[string]*peer // by link address
	draining bool
	fetching bool
	// unavailable holds the endpoints that this VM announced as unavailable, until the given instant.
	unavailable  map[string]bootclock.Instant
	messageCount int
	conn         net.PacketConn
	// dutyToken is the fencing token of the duties lease while this VM holds it, 0 otherwise.
	dutyToken uint64
	// highestDutyToken is the highest fencing token of the duties lease that this VM or another one told of.
	highestDutyToken uint64
	// announcedAt is when AnnounceStatus last sent a message.
	announcedAt time.Time
	// omittedReads counts the prompt reads that were left out of messages, which were too large with them.
	omittedReads atomic.Int64
}

// New returns a link. It sends and receives nothing before Run.
func New(c Config) *Link {
	if c.Eras == nil {
		c.Eras = &objectstore.Eras{}
	}
	return &Link{Config: c, peers: make(map[string]*peer), unavailable: make(map[string]bootclock.Instant)}
}

// SetListedAddresses replaces the link addresses listed in the store.
func (l *Link) SetListedAddresses(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		p.listed = false
	}
	for _, a := range addresses {
		l.peerLocked(a).listed = true
	}
}

// AddSeedAddress adds a link address at which a VM may run.
func (l *Link) AddSeedAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerLocked(address)
}

// peerLocked returns the peer with a link address and adds it if it is new. The peer of an invalid address, or of this VM's own
// address, is returned but not added.
func (l *Link) peerLocked(address string) *peer {
	if p := l.peers[address]; p != nil {
		return p
	}
	p := &peer{link: address, addedAt: bootclock.Now()}
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		l.Log.Error().Str("address", address).Err(err).Msg("link address of a VM is invalid")
		return p
	}
	p.addr = addr
	if address != l.LinkAddress {
		l.peers[address] = p
	}
	return p
}

// AnnounceDrain notifies the other VMs immediately that this VM accepts no new callers.
func (l *Link) AnnounceDrain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.broadcast()
	l.sendUsage()
}

// AnnounceUnavailableEndpoint notifies the other VMs immediately that an endpoint takes no work for the duration d, because it
// changes its role or isn't at its address.
func (l *Link) AnnounceUnavailableEndpoint(endpoint string, d time.Duration) {
	until := bootclock.Now().Add(d)
	l.mu.Lock()
	announced := l.unavailable[endpoint] > bootclock.Now()
	l.unavailable[endpoint] = max(l.unavailable[endpoint], until)
	l.mu.Unlock()
	l.Fleet.Avoid(endpoint, d)
	if !announced {
		l.broadcast()
	}
}

// Run sends and receives status messages until ctx ends. It returns an error if the address can't be listened on.
func (l *Link) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", l.LinkAddress)
	if err != nil {
		return errors.Wrap(err, "listen for other VMs (check that the internal port is free)")
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	go l.sendLoop(ctx)
	go l.usageLoop(ctx)
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			l.Log.Warn().Err(err).Msg("receiving a datagram failed")
			ctxtime.Sleep(ctx, basePeriod)
			continue
		}
		l.receive(ctx, buf[:n], from)
	}
}

func (l *Link) sendLoop(ctx context.Context) {
	for ctxtime.Sleep(ctx, l.period()) {
		l.broadcast()
		l.markSilentPeers()
	}
}

// period returns the time between two datagrams to the same VM.
func (l *Link) period() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.periodLocked()
}

func (l *Link) periodLocked() time.Duration {
	return basePeriod + time.Duration(max(len(l.peers)-4, 0))*periodPerVM
}

// broadcast sends this VM's status message to all peers.
func (l *Link) broadcast() {
	msg, targets, conn := l.buildMessage()
	if conn == nil || len(targets) == 0 {
		return
	}
	data, ok := l.encodeMessage(msg)
	if !ok {
		return
	}
	for _, t := range targets {
		_, _ = conn.WriteTo(data, t) // the next datagram replaces a lost one
	}
}

// encodeMessage encodes a message as a datagram. Prompt reads, the largest part, are left out if the message is too large: a missing one
// costs at most a cache transfer.
func (l *Link) encodeMessage(msg *StatusMessage) ([]byte, bool) {
	data, err := cbor.Marshal(msg)
	if err == nil && len(data) > maxDatagramBytes {
		if l.omittedReads.Add(int64(len(msg.Reads))) == int64(len(msg.Reads)) {
			l.Log.Warn().Int("bytes", len(data)).Int("reads", len(msg.Reads)).Msg("status message is too large, leaving out prompt reads (logged once)")
		}
		msg.Reads = nil
		data, err = cbor.Marshal(msg)
	}
	if err != nil || len(data) > maxDatagramBytes {
		l.Log.Error().Int("bytes", len(data)).Err(err).Msg("encoding the status message failed")
		return nil, false
	}
	return data, true
}

// OmittedReads returns the number of prompt reads that were left out of status messages because these were too large.
func (l *Link) OmittedReads() int64 { return l.omittedReads.Load() }

// buildMessage returns this VM's status message and its targets. It removes peers and unavailable endpoints that have expired. The
// connection is nil before Run.
func (l *Link) buildMessage() (*StatusMessage, []net.Addr, net.PacketConn) {
	work, reads := l.Fleet.CollectWork()
	parts := l.Parts.Report()
	quotas := l.Quota.Report()
	departures, watches, versions := l.Entries.Departures(), l.Watches(), l.Streams.SeenVersions()
	if len(reads) > maxMessageReads {
		reads = reads[len(reads)-maxMessageReads:]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	msg := &StatusMessage{VM: l.VM, Incarnation: l.Incarnation, Domain: l.Domain, Front: l.CallerAddress, Link: l.LinkAddress,
		Draining: l.draining, DutyToken: l.dutyToken, HighestDutyToken: l.highestDutyToken, Work: encodeWork(work), Reads: EncodeReads(reads), Demand: l.Fleet.MeasureDemand(),
		Unreachable: encodeUnreachable(l.Fleet.UnreachableEndpoints()), ConfirmedMS: -1, Watches: watches, LinkMbps: l.LinkMbps, Versions: encodeVersions(versions)}
	msg.encodeParts(parts)
	msg.Quotas = encodeQuotas(quotas)
	for _, e := range l.Fleet.LeavingEndpoints() {
		msg.Leaving = append(msg.Leaving, LeavingEndpoint(e))
	}
	for _, d := range departures {
		msg.Departures = append(msg.Departures, Departure(d))
	}
	for fingerprint := range l.Quarantine.Entries() {
		msg.Quarantined = append(msg.Quarantined, fingerprint)
	}
	l.messageCount++
	now := bootclock.Now()
	msg.UnavailableEndpoints = make(map[string]int64, len(l.unavailable))
	for id, until := range l.unavailable {
		if until <= now {
			delete(l.unavailable, id)
			continue
		}
		msg.UnavailableEndpoints[id] = until.Sub(now).Milliseconds()
	}
	if l.messageCount%datagramsPerEcho == 0 {
		msg.Echo = make(map[string]int64, len(l.peers))
	}
	targets := make([]net.Addr, 0, len(l.peers))
	for address, p := range l.peers {
		if !p.listed && now.Sub(p.receivedAt) > peerExpiry && p.receivedAt != 0 {
			delete(l.peers, address)
			continue
		}
		targets = append(targets, p.addr)
		if p.lastSentAt != 0 && msg.Echo != nil {
			msg.Echo[p.status.Incarnation] = p.lastSentAt
		}
	}
	if c := l.Catalog.Current(); c != nil {
		msg.Revision, msg.ConfigVersion, msg.Serving = c.Revision, c.Version, !l.draining
		if confirmedAt, ok := l.Catalog.ConfirmedAt(); ok {
			msg.ConfirmedMS = now.Sub(confirmedAt).Milliseconds() + 1
		}
	}
	if era, since := l.Eras.Newest(); era > 0 {
		msg.Era, msg.EraAgeMS = era, max(now.Sub(since).Milliseconds(), 0)
	}
	msg.EstimatedTimeMS = l.MedianClock.LocalEstimate().UnixMilli()
	msg.SentAt = int64(now)
	return msg, targets, l.conn
}

// receive decodes and applies a status message of another VM. It ignores this VM's own messages and those older than the newest one.
func (l *Link) receive(ctx context.Context, data []byte, from net.Addr) {
	if len(data) > 0 && data[0] == usageDatagram {
		l.receiveUsage(data, from)
		return
	}
	if len(data) > 0 && data[0] == streamsDatagram {
		l.receiveStreams(data, from)
		return
	}
	var msg StatusMessage
	if err := cbor.Unmarshal(data, &msg); err != nil {
		l.Log.Warn().Str("from", from.String()).Err(err).Msg("decoding a datagram failed")
		return
	}
	if msg.Link == "" || msg.Link == l.LinkAddress {
		return
	}
	l.mu.Lock()
	p := l.peerLocked(msg.Link)
	if msg.Incarnation == p.status.Incarnation && msg.SentAt <= p.lastSentAt {
		l.mu.Unlock()
		return // a newer datagram has arrived before
	}
	// Before anything that the message says of the store: the rest of this VM must not take it for older than it is.
	l.Eras.Observe(msg.Era, bootclock.Now().Add(-age(msg.EraAgeMS)))
	wasLive := p.live
	l.highestDutyToken = max(l.highestDutyToken, msg.DutyToken, msg.HighestDutyToken)
	if msg.Incarnation != p.status.Incarnation {
		p.delay = delayEstimate{}
	}
	statusAsOf := p.delay.sentAt(bootclock.Instant(msg.SentAt), bootclock.Now())
	p.receivedAt, p.lastSentAt, p.live = bootclock.Now(), msg.SentAt, true
	p.status = PeerStatus{Name: msg.VM, Incarnation: msg.Incarnation, Domain: msg.Domain, CallerAddress: msg.Front, LinkAddress: msg.Link, Serving: msg.Serving,
		Draining: msg.Draining, ConfirmedMS: msg.ConfirmedMS, Config: msg.configEdition(), DutyToken: msg.DutyToken, Watches: msg.Watches, LinkMbps: msg.LinkMbps}
	l.mu.Unlock()
	if !wasLive {
		l.Log.Info().Str("dependency", "vm").Str("peer", msg.VM).Str("incarnation", msg.Incarnation).Msg("dependency regained")
	}
	l.Fleet.SetPeerWork(msg.VM, decodeWork(msg.Work), DecodeReads(msg.Reads))
	l.Fleet.SetPeerDemand(msg.VM, msg.Demand)
	l.Fleet.SetPeerUnreachable(msg.VM, decodeUnreachable(msg.Unreachable))
	for id, ms := range msg.UnavailableEndpoints {
		l.Fleet.Avoid(id, time.Duration(ms)*time.Millisecond)
	}
	l.MedianClock.RecordPeerEstimate(msg.VM, time.UnixMilli(msg.EstimatedTimeMS))
	for _, fingerprint := range msg.Quarantined {
		if !l.Quarantine.Blocked(fingerprint) {
			l.Quarantine.Add(fingerprint, time.Minute)
		}
	}
	for _, e := range msg.Leaving {
		l.Fleet.RecordPeerLeaving(e.ID, e.StartedAtMS)
	}
	departures := make([]discovery.Departure, 0, len(msg.Departures))
	for _, d := range msg.Departures {
		departures = append(departures, discovery.Departure(d))
	}
	l.Entries.MergeDepartures(departures)
	l.Parts.MergeReport(msg.decodeParts())
	l.Streams.MergeSeenVersions(decodeVersions(msg.Versions))
	l.Quota.MergeReport(msg.VM, msg.Incarnation, decodeQuotas(msg.Quotas))
	l.mu.Lock()
	p.statusAsOf = statusAsOf // what it knows is merged now
	l.mu.Unlock()
	l.handleConfirmation(ctx, &msg)
}

// handleConfirmation applies another VM's confirmation of the configuration, and fetches its configuration if that is newer. The time
// of the confirmation is computed from the echo of this VM's own clock, so that a delayed datagram doesn't make the configuration
// look more recent than it is.
func (l *Link) handleConfirmation(ctx context.Context, msg *StatusMessage) {
	if msg.ConfirmedMS < 0 {
		return
	}
	if echo, ok := msg.Echo[l.Incarnation]; ok && echo != 0 {
		l.Catalog.Confirm(msg.Revision, bootclock.Instant(echo).Add(-time.Duration(msg.ConfirmedMS)*time.Millisecond))
	}
	current := l.Catalog.Current()
	if current != nil && !msg.configEdition().Supersedes(current.Edition()) {
		return
	}
	l.mu.Lock()
	alreadyFetching := l.fetching
	l.fetching = true
	l.mu.Unlock()
	if alreadyFetching {
		return
	}
	go func() {
		defer func() {
			l.mu.Lock()
			l.fetching = false
			l.mu.Unlock()
		}()
		if err := l.FetchCatalog(ctx, msg.Link); err != nil {
			l.Log.Warn().Str("peer", msg.VM).Err(err).Msg("fetching the newer configuration of a VM failed")
			ctxtime.Sleep(ctx, basePeriod)
		}
	}()
}

// markSilentPeers marks VMs as not live after the silent timeout, and removes their work, demand and clock estimate.
func (l *Link) markSilentPeers() {
	timeout := l.silentTimeout()
	l.mu.Lock()
	var silent []*peer
	now := bootclock.Now()
	for _, p := range l.peers {
		if p.live && now.Sub(p.receivedAt) > timeout {
			p.live = false
			silent = append(silent, p)
		}
	}
	l.mu.Unlock()
	for _, p := range silent {
		l.Fleet.SetPeerWork(p.status.Name, nil, nil)
		l.Fleet.SetPeerDemand(p.status.Name, nil)
		l.MedianClock.Forget(p.status.Name)
		l.Quota.Forget(p.status.Name)
		l.Log.Warn().Str("dependency", "vm").Str("peer", p.status.Name).Int64("silent_ms", timeout.Milliseconds()).Msg("dependency lost")
	}
}

func (l *Link) silentTimeout() time.Duration { return max(l.period()*silentPeriods, minSilentTime) }

// LivePeers returns the status of the other VMs that are live, ordered by name.
func (l *Link) LivePeers() []PeerStatus { return l.selectPeers(func(p *peer) bool { return p.live }) }

// selectPeers returns the status of the peers for which accept returns true, ordered by name.
func (l *Link) selectPeers(accept func(*peer) bool) []PeerStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []PeerStatus
	for _, p := range l.peers {
		if p.receivedAt != 0 && accept(p) {
			list = append(list, p.status)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Size returns the number of live VMs, this one included.
func (l *Link) Size() int { return len(l.LivePeers()) + 1 }

// KnownVMs returns the number of VMs of the deployment, this one included: those that were heard within peerExpiry, and those that the store
// lists and that were heard, or listed first, within listedExpiry.
func (l *Link) KnownVMs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownVMsLocked()
}

func (l *Link) knownVMsLocked() int {
	known, now := 1, bootclock.Now()
	for _, p := range l.peers {
		if p.receivedAt != 0 && now.Sub(p.receivedAt) < peerExpiry || p.listed && now.Sub(max(p.receivedAt, p.addedAt)) < listedExpiry {
			known++
		}
	}
	return known
}

// OwnsProbe reports whether this VM is the one of the live VMs that probes a blocked prompt part, by rendezvous hashing of the names.
func (l *Link) OwnsProbe(part retry.Part) bool {
	own := probeRank(l.VM, part)
	for _, p := range l.LivePeers() {
		if h := probeRank(p.Name, part); h > own || h == own && p.Name < l.VM {
			return false
		}
	}
	return true
}

func probeRank(vm string, part retry.Part) uint64 {
	return xxhash.Sum64String(vm + "\x00" + part.Service + "\x00" + part.ID)
}
