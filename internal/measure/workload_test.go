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

// request is one generated request. The same requests are replayed for each compared rule.
type request struct {
	arrival           time.Duration // from the start of the run
	team              string
	pool              string
	priority          apitypes.Priority
	urgent            bool // belongs to an urgent stream, see stream
	promptTokens      int
	outputTokens      int
	prefix            []uint64 // hashes of the prompt's blocks
	gateway           int
	firstTokenTarget  time.Duration
	firstTokenTimeout time.Duration
	crashesEngine     bool // crashes each engine that runs it
}

// tokens returns the tokens for which the request is admitted: prompt and output.
func (r *request) tokens() int { return r.promptTokens + r.outputTokens }

// fingerprint returns the fingerprint of the request, with its arrival time in place of a body.
func (r *request) fingerprint() uint64 {
	return retry.Fingerprint(r.team, r.pool, fmt.Append(nil, r.arrival))
}

// stream is one team's stream of similar requests.
type stream struct {
	team      string
	pool      string
	perSecond float64
	priority  apitypes.Priority
	// urgent marks a stream whose figures the page lists separately, like those of the skippers.
	urgent            bool
	promptTokens      [2]int  // minimum and maximum
	outputTokens      [2]int  // minimum and maximum
	documents         int     // number of documents with which prompts start; 0 means that prompts share no start
	sharedFraction    float64 // fraction of the prompt that is the document
	firstTokenTarget  time.Duration
	firstTokenTimeout time.Duration
	// from and to bound the arrival times. A zero to means the whole run.
	from, to time.Duration
}

// generateRequests returns the requests of the streams in the order of arrival. The same seed gives the same requests.
func generateRequests(seed uint64, length time.Duration, gateways int, streams []stream) []*request {
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
			all = append(all, s.newRequest(rng, at, uint64(i), gateways))
		}
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.arrival, b.arrival) })
	return all
}

// newRequest returns one request of the stream, with random length, document and gateway.
func (s *stream) newRequest(rng *rand.Rand, at time.Duration, id uint64, gateways int) *request {
	r := &request{
		arrival: at, team: s.team, pool: s.pool, priority: s.priority, urgent: s.urgent, firstTokenTarget: s.firstTokenTarget, firstTokenTimeout: s.firstTokenTimeout,
		promptTokens: s.promptTokens[0] + rng.IntN(s.promptTokens[1]-s.promptTokens[0]+1), outputTokens: s.outputTokens[0] + rng.IntN(s.outputTokens[1]-s.outputTokens[0]+1),
		gateway: rng.IntN(gateways),
	}
	document, shared := rng.Uint64(), 0
	if s.documents > 0 {
		// Low numbers stand for recent documents, which are read more often: the square makes them more likely.
		document = uint64(math.Pow(rng.Float64(), 2) * float64(s.documents))
		// The length depends only on the document, so that its blocks are the same in each prompt.
		size := rand.New(rand.NewPCG(document, id)).Float64()
		r.promptTokens = s.promptTokens[0] + int(size*float64(s.promptTokens[1]-s.promptTokens[0]))
		shared = int(float64(r.promptTokens) * s.sharedFraction / balancer.TokensPerBlock)
	}
	blocks := r.promptTokens / balancer.TokensPerBlock
	r.prefix = make([]uint64, blocks)
	uniqueSeed := rng.Uint64()
	for b := range r.prefix {
		seed := uniqueSeed
		if b < shared {
			seed = document<<20 + id<<10 + 1
		}
		r.prefix[b] = seed*0x9e3779b97f4a7c15 + uint64(b)*0xbf58476d1ce4e5b9
	}
	return r
}

// deployment is a fleet with its usual workload.
type deployment struct {
	name        string
	pool        string // of the engines
	kind        engineKind
	engineCount int
	servicePool string   // pool of the plain service
	domains     []string // failure domains
	streams     []stream
}

const second = time.Second

// rigaGulf is the deployment riga-gulf: urgent summaries for skippers, many short lookups by clerks, and landing declarations.
func rigaGulf() deployment {
	d := deployment{
		name: "riga-gulf", pool: "logreader", engineCount: 10, servicePool: "quayside", domains: []string{"engure", "salacgriva", "roja"},
		kind: engineKind{prefillRate: 8000, slots: 16, streamRate: 40},
	}
	summary := func(team string, rate float64) stream {
		return stream{team: team, pool: d.pool, perSecond: rate, priority: apitypes.PriorityUrgent, urgent: true, promptTokens: [2]int{1000, 3000},
			outputTokens: [2]int{100, 250}, documents: 60, sharedFraction: 0.7, firstTokenTarget: 340 * time.Millisecond, firstTokenTimeout: 2 * second}
	}
	lookup := func(team string, rate float64, p apitypes.Priority) stream {
		return stream{team: team, pool: d.pool, perSecond: rate, priority: p, promptTokens: [2]int{200, 900}, outputTokens: [2]int{20, 80},
			documents: 20, sharedFraction: 0.4, firstTokenTarget: 340 * time.Millisecond, firstTokenTimeout: 4 * second}
	}
	d.streams = []stream{
		summary("fleet-north", 9), summary("fleet-south", 6), summary("fleet-islands", 2),
		lookup("clerks-riga", 16, apitypes.PriorityNormal), lookup("clerks-parnu", 10, apitypes.PriorityNormal),
		lookup("buyers", 6, apitypes.PriorityNormal), lookup("audit", 4, apitypes.PriorityBatch), lookup("harbour", 3, apitypes.PriorityNormal),
		{team: "buyers", pool: d.servicePool, perSecond: 4, priority: apitypes.PriorityNormal, firstTokenTarget: 340 * time.Millisecond, firstTokenTimeout: 4 * second},
	}
	return d
}

// lkWest is the deployment lk-west: long dossiers, which are read several times and answered in a few words.
func lkWest() deployment {
	d := deployment{
		name: "lk-west", pool: "dossier-llm", engineCount: 12, servicePool: "royalty-app", domains: []string{"lk-west-a", "lk-west-b", "lk-west-c"},
		kind: engineKind{prefillRate: 10000, slots: 16, streamRate: 40},
	}
	dossier := func(team string, rate float64, p apitypes.Priority) stream {
		return stream{team: team, pool: d.pool, perSecond: rate, priority: p, promptTokens: [2]int{3000, 8000}, outputTokens: [2]int{5, 30},
			documents: 30, sharedFraction: 0.8, firstTokenTarget: 1200 * time.Millisecond, firstTokenTimeout: 6 * second}
	}
	for i, rate := range []float64{6, 5, 3, 2, 2, 1.5, 1, 1} {
		team := []string{"clerks", "auction-galle", "auction-kandy", "heirs", "tax", "museum", "audit", "archive"}[i]
		priority := apitypes.PriorityNormal
		if i >= 6 {
			priority = apitypes.PriorityBatch
		}
		d.streams = append(d.streams, dossier(team, rate, priority))
	}
	d.streams = append(d.streams, stream{team: "clerks", pool: d.servicePool, perSecond: 5, priority: apitypes.PriorityNormal,
		firstTokenTarget: 340 * time.Millisecond, firstTokenTimeout: 4 * second})
	return d
}

// flooded returns the deployment with a flood by one team: a second stream like its own at a multiple of the rate, between the
// given times.
func (d deployment) flooded(team string, multiplier float64, from, to time.Duration) deployment {
	d.streams = slices.Clone(d.streams)
	for _, s := range d.streams {
		if s.team == team && s.pool == d.pool {
			s.perSecond *= multiplier
			s.from, s.to = from, to
			d.streams = append(d.streams, s)
			break
		}
	}
	return d
}

// scaled returns the deployment with all request rates multiplied by a factor.
func (d deployment) scaled(factor float64) deployment {
	d.streams = slices.Clone(d.streams)
	for i := range d.streams {
		d.streams[i].perSecond *= factor
	}
	return d
}
