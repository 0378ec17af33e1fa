package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/retry"
)

// request is one recorded request. The same record is replayed for each rule that is compared.
type request struct {
	at       time.Duration
	team     string
	pool     string
	priority apitypes.Priority
	skipper  bool
	prompt   int
	output   int
	prefix   []uint64
	gateway  int
	target   time.Duration // first-token target
	patience time.Duration // deadline of the first token
	crashes  bool          // kills the engine that runs it
}

func (r *request) tokens() int { return r.prompt + r.output }

func (r *request) fingerprint() uint64 {
	return retry.Fingerprint(r.team, r.pool, fmt.Append(nil, r.at))
}

// stream is one team's stream of similar requests.
type stream struct {
	team      string
	pool      string
	perSecond float64
	priority  apitypes.Priority
	skipper   bool
	prompt    [2]int  // from, to
	output    [2]int  // from, to
	documents int     // documents whose start is shared by several prompts; 0 means no shared start
	shared    float64 // share of the prompt that is the document
	target    time.Duration
	patience  time.Duration
	// from and to bound the stream; to 0 means the whole run.
	from, to time.Duration
}

// record makes the seeded requests of the streams, in order of time.
func record(seed uint64, length time.Duration, gateways int, streams []stream) []*request {
	var all []*request
	for i, s := range streams {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
		end := length
		if s.to > 0 {
			end = min(end, s.to)
		}
		for at := s.from; ; {
			at += seconds(rng.ExpFloat64() / s.perSecond)
			if at >= end {
				break
			}
			all = append(all, s.request(rng, at, uint64(i), gateways))
		}
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	return all
}

func (s *stream) request(rng *rand.Rand, at time.Duration, id uint64, gateways int) *request {
	r := &request{
		at: at, team: s.team, pool: s.pool, priority: s.priority, skipper: s.skipper, target: s.target, patience: s.patience,
		prompt: s.prompt[0] + rng.IntN(s.prompt[1]-s.prompt[0]+1), output: s.output[0] + rng.IntN(s.output[1]-s.output[0]+1),
		gateway: rng.IntN(gateways),
	}
	document, shared := rng.Uint64(), 0
	if s.documents > 0 {
		// Recent documents are read more often: the square draws low numbers more often.
		document = uint64(math.Pow(rng.Float64(), 2) * float64(s.documents))
		// The length of a document is fixed, so that its blocks are the same in each prompt.
		size := rand.New(rand.NewPCG(document, id)).Float64()
		r.prompt = s.prompt[0] + int(size*float64(s.prompt[1]-s.prompt[0]))
		shared = int(float64(r.prompt) * s.shared / balancer.BlockTokens)
	}
	blocks := r.prompt / balancer.BlockTokens
	r.prefix = make([]uint64, blocks)
	own := rng.Uint64()
	for b := range r.prefix {
		seed := own
		if b < shared {
			seed = document<<20 + id<<10 + 1
		}
		r.prefix[b] = seed*0x9e3779b97f4a7c15 + uint64(b)*0xbf58476d1ce4e5b9
	}
	return r
}

// deployment is a fleet with its usual work.
type deployment struct {
	name    string
	pool    string
	kind    engineKind
	engines int
	service string
	domains []string
	streams []stream
}

const second = time.Second

// rigaGulf is the Rope Harvest Division's: urgent summaries for skippers, many short clerk lookups, landing declarations.
func rigaGulf() deployment {
	d := deployment{
		name: "riga-gulf", pool: "logreader", engines: 10, service: "quayside", domains: []string{"engure", "salacgriva", "roja"},
		kind: engineKind{prefillRate: 8000, slots: 16, streamRate: 40},
	}
	summary := func(team string, rate float64) stream {
		return stream{team: team, pool: d.pool, perSecond: rate, priority: apitypes.PriorityUrgent, skipper: true, prompt: [2]int{1000, 3000},
			output: [2]int{100, 250}, documents: 60, shared: 0.7, target: 340 * time.Millisecond, patience: 2 * second}
	}
	lookup := func(team string, rate float64, p apitypes.Priority) stream {
		return stream{team: team, pool: d.pool, perSecond: rate, priority: p, prompt: [2]int{200, 900}, output: [2]int{20, 80},
			documents: 20, shared: 0.4, target: 340 * time.Millisecond, patience: 4 * second}
	}
	d.streams = []stream{
		summary("fleet-north", 9), summary("fleet-south", 6), summary("fleet-islands", 2),
		lookup("clerks-riga", 16, apitypes.PriorityNormal), lookup("clerks-parnu", 10, apitypes.PriorityNormal),
		lookup("buyers", 6, apitypes.PriorityNormal), lookup("audit", 4, apitypes.PriorityBatch), lookup("harbour", 3, apitypes.PriorityNormal),
		{team: "buyers", pool: d.service, perSecond: 4, priority: apitypes.PriorityNormal, target: 340 * time.Millisecond, patience: 4 * second},
	}
	return d
}

// lkWest is the Royalty Office's: long dossiers that are read several times, answered in a few words.
func lkWest() deployment {
	d := deployment{
		name: "lk-west", pool: "dossier-llm", engines: 12, service: "royalty-app", domains: []string{"lk-west-a", "lk-west-b", "lk-west-c"},
		kind: engineKind{prefillRate: 10000, slots: 16, streamRate: 40},
	}
	dossier := func(team string, rate float64, p apitypes.Priority) stream {
		return stream{team: team, pool: d.pool, perSecond: rate, priority: p, prompt: [2]int{3000, 8000}, output: [2]int{5, 30},
			documents: 30, shared: 0.8, target: 1200 * time.Millisecond, patience: 6 * second}
	}
	for i, rate := range []float64{6, 5, 3, 2, 2, 1.5, 1, 1} {
		team := []string{"clerks", "auction-galle", "auction-kandy", "heirs", "tax", "museum", "audit", "archive"}[i]
		priority := apitypes.PriorityNormal
		if i >= 6 {
			priority = apitypes.PriorityBatch
		}
		d.streams = append(d.streams, dossier(team, rate, priority))
	}
	d.streams = append(d.streams, stream{team: "clerks", pool: d.service, perSecond: 5, priority: apitypes.PriorityNormal,
		target: 340 * time.Millisecond, patience: 4 * second})
	return d
}

// flooded adds a flood by one team to a deployment: its requests come at the given multiple for the given time.
func (d deployment) flooded(team string, times float64, from, to time.Duration) deployment {
	d.streams = slices.Clone(d.streams)
	for _, s := range d.streams {
		if s.team == team && s.pool == d.pool {
			s.perSecond *= times
			s.from, s.to = from, to
			d.streams = append(d.streams, s)
			break
		}
	}
	return d
}

// scaled multiplies all rates.
func (d deployment) scaled(times float64) deployment {
	d.streams = slices.Clone(d.streams)
	for i := range d.streams {
		d.streams[i].perSecond *= times
	}
	return d
}
