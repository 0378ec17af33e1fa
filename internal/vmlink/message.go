// Package vmlink exchanges status messages between the VMs of a deployment: whether a VM serves, which configuration it has and how
// recently that was confirmed, its work at the endpoints, and its usage counts.
//
// A StatusMessage and a UsageMessage are sent as UDP datagrams, because each one replaces the one before: the next datagram makes up for
// a lost one, and a VM that doesn't respond blocks no other.
package vmlink

import (
	"time"

	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
)

// StatusMessage is the status that a VM sends to the others. Fields have numbers instead of names on the wire, so the numbers of
// removed fields must not be reused.
type StatusMessage struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Domain      string `cbor:"3,keyasint"`
	// Front is the VM's address for callers, Link its address for other VMs.
	Front string `cbor:"4,keyasint"`
	Link  string `cbor:"5,keyasint"`
	// SentAt is the sender's boot clock in nanoseconds. Echo holds the newest SentAt that the sender received from each VM, by
	// incarnation.
	SentAt int64            `cbor:"6,keyasint"`
	Echo   map[string]int64 `cbor:"7,keyasint,omitempty"`
	// Serving is false until the VM has a configuration and while it drains.
	Serving  bool `cbor:"8,keyasint"`
	Draining bool `cbor:"9,keyasint,omitempty"`
	// Revision is the objectstore.Revision of the configuration in force. ConfirmedMS is how many milliseconds before SentAt the store
	// was last known to have no newer one, or -1 if that was never known.
	Revision    uint64 `cbor:"10,keyasint,omitempty"`
	ConfirmedMS int64  `cbor:"11,keyasint"`
	// EstimatedTimeMS is the sender's estimate of Unix time.
	EstimatedTimeMS int64 `cbor:"12,keyasint"`
	// Work is the sender's unfinished work by endpoint, Reads the prompts that it sent to engines since its last message.
	Work  map[string]EndpointWork `cbor:"13,keyasint,omitempty"`
	Reads []EndpointCachedPrefix  `cbor:"14,keyasint,omitempty"`
	// DutyToken is the fencing token of the duties lease if the sender holds it.
	DutyToken uint64 `cbor:"20,keyasint,omitempty"`
	// Quarantined holds the fingerprints of the requests in quarantine.
	Quarantined []uint64 `cbor:"16,keyasint,omitempty"`
	// UnavailableEndpoints holds the endpoints that temporarily take no work, with the remaining time in milliseconds.
	UnavailableEndpoints map[string]int64 `cbor:"18,keyasint,omitempty"`
	// Unreachable holds the endpoints that accept no connection from the sender, with the milliseconds since it detected that.
	Unreachable map[string]int64 `cbor:"19,keyasint,omitempty"`
	// PartCrashes, PartProofs and PartBlocks report prompt parts that may crash engines; see retry.PartReport.
	PartCrashes []PartCrash `cbor:"21,keyasint,omitempty"`
	PartProofs  []PartProof `cbor:"22,keyasint,omitempty"`
	PartBlocks  []PartBlock `cbor:"23,keyasint,omitempty"`
	// Leaving holds the endpoints that told the sender that they leave, as long as the store lists them as ready.
	Leaving []LeavingEndpoint `cbor:"24,keyasint,omitempty"`
	// Departures holds the endpoints that left according to the entries that the sender has read from the store.
	Departures []Departure `cbor:"26,keyasint,omitempty"`
	// Watches holds how the sender follows the kinds of objects of the store, by kind.
	Watches map[string]WatchStatus `cbor:"27,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the sender's link in Mbit/s.
	LinkMbps float64 `cbor:"28,keyasint,omitempty"`
	// Versions holds the software versions of services that the sender has seen.
	Versions []SoftwareVersion `cbor:"29,keyasint,omitempty"`
	// ConfigVersion is the operator's version of the configuration in force.
	ConfigVersion uint64 `cbor:"30,keyasint,omitempty"`
	// Era is the newest era of the store that the sender knows; see objectstore.Revision. EraAgeMS is how many milliseconds before SentAt it is
	// known to have begun already.
	Era      uint64 `cbor:"31,keyasint,omitempty"`
	EraAgeMS int64  `cbor:"32,keyasint,omitempty"`
	// HighestDutyToken is the highest fencing token of the duties lease that the sender knows of.
	HighestDutyToken uint64 `cbor:"33,keyasint,omitempty"`
	// Demand is the sender's demand for prompt processing by service, in tokens per second.
	Demand map[string]float64 `cbor:"17,keyasint,omitempty"`
	// Quotas reports the cost that the sender granted to teams with a quota; see quota.TeamReport.
	Quotas []TeamQuota `cbor:"25,keyasint,omitempty"`
}

// configEdition returns the edition of the sender's configuration.
func (m *StatusMessage) configEdition() catalog.Edition {
	return catalog.Edition{Revision: m.Revision, Version: m.ConfigVersion}
}

// LeavingEndpoint names one start of an endpoint that leaves.
type LeavingEndpoint struct {
	ID          string `cbor:"1,keyasint"`
	StartedAtMS int64  `cbor:"2,keyasint"`
}

// WatchStatus says how a VM follows the objects of a kind.
type WatchStatus struct {
	// AgeMS is how many milliseconds ago the store was known to hold nothing newer than what the VM has read.
	AgeMS int64 `cbor:"1,keyasint"`
	// FromStore is true if the VM reads from the store, and false if it reads from another VM.
	FromStore bool `cbor:"2,keyasint,omitempty"`
}

// Departure is a discovery.Departure.
type Departure struct {
	Endpoint    string `cbor:"1,keyasint"`
	Revision    uint64 `cbor:"2,keyasint"`
	StartedAtMS int64  `cbor:"3,keyasint,omitempty"`
	Drains      bool   `cbor:"4,keyasint,omitempty"`
}

// EndpointWork is the unfinished work of a VM at one endpoint: the prompt tokens not yet processed and the requests running.
type EndpointWork struct {
	Unread  int `cbor:"1,keyasint,omitempty"`
	Running int `cbor:"2,keyasint,omitempty"`
}

// EndpointCachedPrefix is a prompt that a VM has sent to an engine, which then has its parts in the cache.
type EndpointCachedPrefix struct {
	Endpoint string       `cbor:"1,keyasint"`
	Parts    []PromptPart `cbor:"2,keyasint"`
}

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

func encodeWork(work map[string]placement.EndpointWork) map[string]EndpointWork {
	out := make(map[string]EndpointWork, len(work))
	for id, w := range work {
		out[id] = EndpointWork{Unread: w.PrefillTokens, Running: w.Running}
	}
	return out
}

func decodeWork(work map[string]EndpointWork) map[string]placement.EndpointWork {
	out := make(map[string]placement.EndpointWork, len(work))
	for id, w := range work {
		out[id] = placement.EndpointWork{PrefillTokens: w.Unread, Running: w.Running}
	}
	return out
}

func encodeUnreachable(ages map[string]time.Duration) map[string]int64 {
	out := make(map[string]int64, len(ages))
	for id, age := range ages {
		out[id] = age.Milliseconds()
	}
	return out
}

func decodeUnreachable(ages map[string]int64) map[string]time.Duration {
	out := make(map[string]time.Duration, len(ages))
	for id, ms := range ages {
		out[id] = time.Duration(max(ms, 0)) * time.Millisecond
	}
	return out
}

// EncodeReads converts prompt reads to their wire format.
func EncodeReads(reads []placement.CachedPrefix) []EndpointCachedPrefix {
	out := make([]EndpointCachedPrefix, 0, len(reads))
	for _, r := range reads {
		parts := make([]PromptPart, 0, len(r.Parts))
		for _, p := range r.Parts {
			parts = append(parts, PromptPart{ID: p.ID, Tokens: p.Tokens})
		}
		out = append(out, EndpointCachedPrefix{Endpoint: r.Endpoint, Parts: parts})
	}
	return out
}

// DecodeReads converts prompt reads from their wire format.
func DecodeReads(reads []EndpointCachedPrefix) []placement.CachedPrefix {
	out := make([]placement.CachedPrefix, 0, len(reads))
	for _, r := range reads {
		parts := make([]placement.Part, 0, len(r.Parts))
		for _, p := range r.Parts {
			parts = append(parts, placement.Part{ID: p.ID, Tokens: p.Tokens})
		}
		out = append(out, placement.CachedPrefix{Endpoint: r.Endpoint, Parts: parts})
	}
	return out
}

// SharedPart is a prompt part of a service's requests.
type SharedPart struct {
	Service string `cbor:"11,keyasint"`
	ID      string `cbor:"12,keyasint"`
}

// PartCrash is an engine crash that counts against a prompt part at a position in its prompt.
type PartCrash struct {
	SharedPart
	Crash uint64 `cbor:"2,keyasint"`
	Depth int    `cbor:"3,keyasint,omitempty"`
	AgeMS int64  `cbor:"4,keyasint,omitempty"`
}

// PartProof is an answer that proved a prompt part sound.
type PartProof struct {
	SharedPart
	AgeMS int64 `cbor:"2,keyasint,omitempty"`
}

// PartBlock is a blocked prompt part, with the time since its last crash and until its next probe.
type PartBlock struct {
	SharedPart
	LastCrashAgeMS int64 `cbor:"2,keyasint,omitempty"`
	UntilProbeMS   int64 `cbor:"3,keyasint,omitempty"`
	// Crashes holds the crashes that the part explains, CrashAgesMS the milliseconds since each of them.
	Crashes     []uint64 `cbor:"4,keyasint,omitempty"`
	CrashAgesMS []int64  `cbor:"5,keyasint,omitempty"`
}

// encodeParts adds a report about prompt parts to the message.
func (m *StatusMessage) encodeParts(r retry.PartReport) {
	for _, c := range r.Crashes {
		m.PartCrashes = append(m.PartCrashes, PartCrash{SharedPart: SharedPart(c.Part), Crash: c.Crash, Depth: c.Depth, AgeMS: c.Age.Milliseconds()})
	}
	for _, p := range r.Proofs {
		m.PartProofs = append(m.PartProofs, PartProof{SharedPart: SharedPart(p.Part), AgeMS: p.Age.Milliseconds()})
	}
	for _, b := range r.Blocks {
		block := PartBlock{SharedPart: SharedPart(b.Part), LastCrashAgeMS: b.LastCrashAge.Milliseconds(), UntilProbeMS: b.UntilProbe.Milliseconds()}
		for _, c := range b.Explains {
			block.Crashes = append(block.Crashes, c.Crash)
			block.CrashAgesMS = append(block.CrashAgesMS, c.Age.Milliseconds())
		}
		m.PartBlocks = append(m.PartBlocks, block)
	}
}

// decodeParts returns the report about prompt parts in the message.
func (m *StatusMessage) decodeParts() retry.PartReport {
	var r retry.PartReport
	for _, c := range m.PartCrashes {
		r.Crashes = append(r.Crashes, retry.ReportedCrash{Part: retry.Part(c.SharedPart), Crash: c.Crash, Depth: c.Depth, Age: age(c.AgeMS)})
	}
	for _, p := range m.PartProofs {
		r.Proofs = append(r.Proofs, retry.ReportedProof{Part: retry.Part(p.SharedPart), Age: age(p.AgeMS)})
	}
	for _, b := range m.PartBlocks {
		block := retry.ReportedBlock{Part: retry.Part(b.SharedPart), LastCrashAge: age(b.LastCrashAgeMS), UntilProbe: age(b.UntilProbeMS)}
		for i, crash := range b.Crashes {
			at := block.LastCrashAge // a VM of an earlier version sends no ages
			if i < len(b.CrashAgesMS) {
				at = age(b.CrashAgesMS[i])
			}
			block.Explains = append(block.Explains, retry.ExplainedCrash{Crash: crash, Age: at})
		}
		r.Blocks = append(r.Blocks, block)
	}
	return r
}

// maxAge bounds the times in a message, so that they can be computed with.
const maxAge = 24 * time.Hour

// age converts a number of milliseconds that another VM sent.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}
