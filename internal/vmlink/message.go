// Package vmlink tells the VMs of a deployment what each of them knows: that it serves, which configuration it has and how
// recently it was confirmed, what it has sent to endpoints, and its usage counts.
//
// StatusMessage is sent in datagrams, because each one replaces the one before: a lost one is made good by the next, and a silent VM
// holds nobody up.
package vmlink

import (
	"time"

	"crocusglade.example/crocusglade/internal/metering"
	"crocusglade.example/crocusglade/internal/placement"
)

// StatusMessage is what a VM tells the others. Fields have numbers in place of names on the wire, so numbers must not be reused.
type StatusMessage struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Domain      string `cbor:"3,keyasint"`
	// Front is the address at which callers reach the VM, Link the one at which VMs do.
	Front string `cbor:"4,keyasint"`
	Link  string `cbor:"5,keyasint"`
	// SentAt is the sender's boot clock in nanoseconds. Echo holds the newest SentAt received from each VM,
	// by incarnation.
	SentAt int64            `cbor:"6,keyasint"`
	Echo   map[string]int64 `cbor:"7,keyasint,omitempty"`
	// Serving is false until the VM has a configuration and while it drains.
	Serving  bool `cbor:"8,keyasint"`
	Draining bool `cbor:"9,keyasint,omitempty"`
	// Revision is the store's revision of the configuration in force; ConfirmedMS is how many milliseconds before SentAt the
	// store was known to have no newer one, or -1.
	Revision    uint64 `cbor:"10,keyasint,omitempty"`
	ConfirmedMS int64  `cbor:"11,keyasint"`
	// TrueTimeMS is the sender's estimate of Unix time.
	TrueTimeMS int64                    `cbor:"12,keyasint"`
	Work       map[string]EndpointWork  `cbor:"13,keyasint,omitempty"`
	Reads      []EndpointRead           `cbor:"14,keyasint,omitempty"`
	Usage      map[int64]map[string]int `cbor:"15,keyasint,omitempty"`
	Blocked    []uint64                 `cbor:"16,keyasint,omitempty"`
	// UnavailableEndpoints holds the endpoints that take no work for a time, with the remaining milliseconds.
	UnavailableEndpoints map[string]int64 `cbor:"18,keyasint,omitempty"`
	// Unreachable holds the endpoints that accept no connection from the sender, with the milliseconds since it found that.
	Unreachable map[string]int64 `cbor:"19,keyasint,omitempty"`
	// Demand is the demand for prompt reading by service, in tokens a second.
	Demand map[string]float64 `cbor:"17,keyasint,omitempty"`
}

// EndpointWork is what a VM has at one endpoint.
type EndpointWork struct {
	Unread  int `cbor:"1,keyasint,omitempty"`
	Running int `cbor:"2,keyasint,omitempty"`
}

// EndpointRead is a prompt that a VM has sent to an engine.
type EndpointRead struct {
	Endpoint string     `cbor:"1,keyasint"`
	Parts    []ReadPart `cbor:"2,keyasint"`
}

// ReadPart is one shared part of such a prompt.
type ReadPart struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

func encodeWork(work map[string]placement.EndpointWork) map[string]EndpointWork {
	out := make(map[string]EndpointWork, len(work))
	for id, p := range work {
		out[id] = EndpointWork{Unread: p.UnreadTokens, Running: p.Running}
	}
	return out
}

func decodeWork(work map[string]EndpointWork) map[string]placement.EndpointWork {
	out := make(map[string]placement.EndpointWork, len(work))
	for id, w := range work {
		out[id] = placement.EndpointWork{UnreadTokens: w.Unread, Running: w.Running}
	}
	return out
}

func encodeUnreachable(found map[string]time.Duration) map[string]int64 {
	out := make(map[string]int64, len(found))
	for id, ago := range found {
		out[id] = ago.Milliseconds()
	}
	return out
}

func decodeUnreachable(found map[string]int64) map[string]time.Duration {
	out := make(map[string]time.Duration, len(found))
	for id, ms := range found {
		out[id] = time.Duration(max(ms, 0)) * time.Millisecond
	}
	return out
}

// EncodeReads returns reads as they are told to other VMs.
func EncodeReads(reads []placement.PromptRead) []EndpointRead {
	out := make([]EndpointRead, 0, len(reads))
	for _, r := range reads {
		parts := make([]ReadPart, 0, len(r.Parts))
		for _, p := range r.Parts {
			parts = append(parts, ReadPart{ID: p.ID, Tokens: p.Tokens})
		}
		out = append(out, EndpointRead{Endpoint: r.Endpoint, Parts: parts})
	}
	return out
}

// DecodeReads is the reverse of EncodeReads.
func DecodeReads(reads []EndpointRead) []placement.PromptRead {
	out := make([]placement.PromptRead, 0, len(reads))
	for _, r := range reads {
		parts := make([]placement.Part, 0, len(r.Parts))
		for _, p := range r.Parts {
			parts = append(parts, placement.Part{ID: p.ID, Tokens: p.Tokens})
		}
		out = append(out, placement.PromptRead{Endpoint: r.Endpoint, Parts: parts})
	}
	return out
}

// encodeUsage returns the counts of windows from the given one.
func encodeUsage(windows map[metering.Window]metering.Counts, from metering.Window) map[int64]map[string]int {
	out := make(map[int64]map[string]int, len(windows))
	for w, counts := range windows {
		if w < from {
			continue
		}
		teams := make(map[string]int, len(counts))
		for team, n := range counts {
			teams[team] = int(n)
		}
		out[int64(w)] = teams
	}
	return out
}

func decodeUsage(windows map[int64]map[string]int) map[metering.Window]metering.Counts {
	out := make(map[metering.Window]metering.Counts, len(windows))
	for w, teams := range windows {
		counts := make(metering.Counts, len(teams))
		for team, n := range teams {
			counts[team] = uint64(max(n, 0))
		}
		out[metering.Window(w)] = counts
	}
	return out
}
