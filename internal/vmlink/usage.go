package vmlink

import (
	"context"
	"net"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/metering"
)

const (
	// usageReceivers is the number of VMs, the first ones by name, that receive usage counts besides the holder of the duties lease. They
	// compete for the lease first, and keep the counts of VMs that stop.
	usageReceivers = 5
	// Usage counts are sent every periodsPerUsage periods of the status messages, but at least every maxUsageInterval: two reports of a
	// window's final counts arrive before the window is sealed.
	periodsPerUsage  = 4
	maxUsageInterval = 600 * time.Millisecond
	// usagePartBytes is the approximate size of the counts in one datagram. Larger datagrams are sent in fragments, and the loss of one
	// of them loses the datagram.
	usagePartBytes = 1100
	// usageDatagram is the first byte of a datagram with a UsageMessage. No encoded StatusMessage starts with it.
	usageDatagram = 0x02
)

// UsageMessage is a part of a VM's request counts; see metering.Report.
type UsageMessage struct {
	Incarnation string `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
	Part        int    `cbor:"3,keyasint"`
	Parts       int    `cbor:"4,keyasint"`
	Current     int64  `cbor:"5,keyasint"`
	// Counts holds the counts by window and team.
	Counts map[int64]map[string]uint64 `cbor:"6,keyasint,omitempty"`
}

func encodeReport(r *metering.Report) ([]byte, error) {
	m := UsageMessage{Incarnation: r.Incarnation, Sequence: r.Sequence, Part: r.Part, Parts: r.Parts, Current: int64(r.Current),
		Counts: make(map[int64]map[string]uint64, len(r.Counts))}
	for w, counts := range r.Counts {
		m.Counts[int64(w)] = counts
	}
	data, err := cbor.Marshal(&m)
	return append([]byte{usageDatagram}, data...), err
}

func decodeReport(data []byte) (*metering.Report, error) {
	var m UsageMessage
	if err := cbor.Unmarshal(data[1:], &m); err != nil {
		return nil, err
	}
	r := &metering.Report{Incarnation: m.Incarnation, Sequence: m.Sequence, Part: m.Part, Parts: m.Parts, Current: metering.Window(m.Current),
		Counts: make(map[metering.Window]metering.Counts, len(m.Counts))}
	for w, counts := range m.Counts {
		r.Counts[metering.Window(w)] = counts
	}
	return r, nil
}

// SetDutyToken sets the fencing token of the duties lease while this VM holds it, 0 otherwise, and notifies the other VMs immediately, so
// that they send their usage counts to this VM.
func (l *Link) SetDutyToken(token uint64) {
	l.mu.Lock()
	l.dutyToken, l.highestDutyToken = token, max(l.highestDutyToken, token)
	l.mu.Unlock()
	l.broadcast()
}

// HighestDutyToken returns the highest fencing token of the duties lease that this VM has had, or that another one told of.
func (l *Link) HighestDutyToken() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highestDutyToken
}

// usageTargets returns the addresses of the VMs that receive usage counts: those that hold the duties lease as far as this VM knows, and
// the first usageReceivers live VMs by name.
func (l *Link) usageTargets() []net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := []string{l.VM}
	for _, p := range l.peers {
		if p.live {
			names = append(names, p.status.Name)
		}
	}
	sort.Strings(names)
	last := names[min(len(names), usageReceivers)-1]
	var targets []net.Addr
	for _, p := range l.peers {
		if p.live && (p.status.DutyToken != 0 || p.status.Name <= last) {
			targets = append(targets, p.addr)
		}
	}
	return targets
}

// usageDatagrams returns this VM's current usage counts as datagrams, and merges them into its own ledger.
func (l *Link) usageDatagrams() [][]byte {
	windows, current := l.Meter.Recent()
	l.Ledger.MergeCounts(l.Incarnation, windows, current)
	var datagrams [][]byte
	for _, r := range l.Meter.Report(l.Incarnation, usagePartBytes) {
		data, err := encodeReport(&r)
		if err != nil {
			l.Log.Error().Err(err).Msg("encoding usage counts failed")
			return nil
		}
		datagrams = append(datagrams, data)
	}
	return datagrams
}

// sendUsage sends this VM's usage counts to the VMs that receive them.
func (l *Link) sendUsage() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	datagrams, targets := l.usageDatagrams(), l.usageTargets()
	if conn == nil {
		return
	}
	for _, t := range targets {
		for _, data := range datagrams {
			_, _ = conn.WriteTo(data, t) // the next report replaces a lost one
		}
	}
}

// usageInterval returns the time between two reports of usage counts.
func (l *Link) usageInterval() time.Duration {
	return min(periodsPerUsage*l.period(), maxUsageInterval)
}

func (l *Link) usageLoop(ctx context.Context) {
	for ctxtime.Sleep(ctx, l.usageInterval()) {
		l.sendUsage()
	}
}

// receiveUsage decodes and merges usage counts of another VM.
func (l *Link) receiveUsage(data []byte, from net.Addr) {
	r, err := decodeReport(data)
	if err != nil {
		l.Log.Warn().Str("from", from.String()).Err(err).Msg("decoding a datagram with usage counts failed")
		return
	}
	l.Ledger.MergeReport(r)
}

// PeersSince returns the status of the other VMs that this VM has heard of since an instant, ordered by name. They may not be live.
func (l *Link) PeersSince(since bootclock.Instant) []PeerStatus {
	return l.selectPeers(func(p *peer) bool { return p.receivedAt >= since })
}
