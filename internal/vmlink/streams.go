package vmlink

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"crocusglade.example/crocusglade/internal/continuation"
)

const (
	// streamsDatagram is the first byte of a datagram with streams. No encoded StatusMessage starts with it.
	streamsDatagram = 0x03
	// streamKeepers is the number of VMs, besides the one that began it, that keep a stream.
	streamKeepers = 3
	// maxStreamsPerDatagram keeps datagrams with streams below the size at which they are sent in fragments.
	maxStreamsPerDatagram = 16
)

// StreamExchange tells other VMs of the streams that endpoints began and of the software versions in service, and learns it from them.
// continuation.Tracker implements it.
type StreamExchange interface {
	SeenVersions() []continuation.SeenVersion
	MergeSeenVersions([]continuation.SeenVersion)
	Learn([]continuation.Stream)
}

// SoftwareVersion is a continuation.SeenVersion.
type SoftwareVersion struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	AgeMS   int64  `cbor:"3,keyasint,omitempty"`
}

// begunStream is a continuation.Stream.
type begunStream struct {
	Key         uint64 `cbor:"1,keyasint"`
	Service     string `cbor:"2,keyasint"`
	Version     string `cbor:"3,keyasint,omitempty"`
	Endpoint    string `cbor:"4,keyasint,omitempty"`
	StartedAtMS int64  `cbor:"5,keyasint,omitempty"`
}

func encodeVersions(list []continuation.SeenVersion) []SoftwareVersion {
	out := make([]SoftwareVersion, 0, len(list))
	for _, v := range list {
		out = append(out, SoftwareVersion{v.Service, v.Version, v.Age.Milliseconds()})
	}
	return out
}

func decodeVersions(list []SoftwareVersion) []continuation.SeenVersion {
	out := make([]continuation.SeenVersion, 0, len(list))
	for _, v := range list {
		out = append(out, continuation.SeenVersion{Service: v.Service, Version: v.Version, Age: age(v.AgeMS)})
	}
	return out
}

// keepers returns at most n live VMs in the order in which they are chosen to keep a stream, by rendezvous hashing of the names.
func (l *Link) keepers(k continuation.Key, n int) []*peer {
	type candidate struct {
		*peer
		weight uint64
	}
	var list []candidate
	key := strconv.FormatUint(uint64(k), 16)
	l.mu.Lock()
	for _, p := range l.peers {
		if p.live {
			list = append(list, candidate{p, xxhash.Sum64String(p.status.Name + "\x00" + key)})
		}
	}
	l.mu.Unlock()
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.link, b.link)) })
	var keepers []*peer
	for _, c := range list[:min(len(list), n)] {
		keepers = append(keepers, c.peer)
	}
	return keepers
}

// StreamKeepers returns the link addresses of at most n live VMs that may know a stream, the likeliest first.
func (l *Link) StreamKeepers(k continuation.Key, n int) []string {
	var links []string
	for _, p := range l.keepers(k, n) {
		links = append(links, p.link)
	}
	return links
}

// TellStreams sends streams to the VMs that keep them, and, if all is set, to those that have to know all streams.
func (l *Link) TellStreams(streams []continuation.Stream, all bool) {
	l.mu.Lock()
	conn := l.conn
	var keepAll []*peer
	for _, p := range l.peers {
		if all && p.live && l.KeepsAllStreams(p.status) {
			keepAll = append(keepAll, p)
		}
	}
	l.mu.Unlock()
	byTarget := make(map[*peer][]begunStream)
	for _, s := range streams {
		targets := keepAll
		for _, p := range l.keepers(s.Key, streamKeepers) {
			if !slices.Contains(keepAll, p) {
				targets = append(targets[:len(targets):len(targets)], p)
			}
		}
		for _, p := range targets {
			byTarget[p] = append(byTarget[p], begunStream{uint64(s.Key), s.Service, s.Version, s.Endpoint, s.StartedAtMS})
		}
	}
	if conn == nil {
		return
	}
	for p, list := range byTarget {
		for part := range slices.Chunk(list, maxStreamsPerDatagram) {
			data, err := cbor.Marshal(part)
			if err != nil {
				l.Log.Error().Err(err).Msg("encoding streams failed")
				return
			}
			_, _ = conn.WriteTo(append([]byte{streamsDatagram}, data...), p.addr) // the other keepers make up for a lost one
		}
	}
}

// receiveStreams decodes streams that another VM sent.
func (l *Link) receiveStreams(data []byte, from net.Addr) {
	var list []begunStream
	if err := cbor.Unmarshal(data[1:], &list); err != nil {
		l.Log.Warn().Str("from", from.String()).Err(err).Msg("decoding a datagram with streams failed")
		return
	}
	streams := make([]continuation.Stream, 0, len(list))
	for _, s := range list {
		streams = append(streams, continuation.Stream{Key: continuation.Key(s.Key), Service: s.Service, Version: s.Version, Endpoint: s.Endpoint, StartedAtMS: s.StartedAtMS})
	}
	l.Streams.Learn(streams)
}

// AnnounceStatus sends this VM's status to all others at once, if the last announcement is at least a period ago.
func (l *Link) AnnounceStatus() {
	l.mu.Lock()
	recent := time.Since(l.announcedAt) < basePeriod
	if !recent {
		l.announcedAt = time.Now()
	}
	l.mu.Unlock()
	if !recent {
		l.broadcast()
	}
}
