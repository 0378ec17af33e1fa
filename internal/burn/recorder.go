// Package burn records how many requests met their service-level target and computes how fast the error budget burns.
//
// Requests are counted per team and route in one-minute buckets over the last 6 hours. The burn rate of a window is the
// share of requests that missed the target divided by the share that the objective allows: at rate 1 the budget lasts
// exactly its period, at 14.4 a 30-day budget is gone in 50 hours.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// BucketLength is the length of a bucket.
	BucketLength = time.Minute
	// Buckets is the number of kept buckets: 6 hours.
	Buckets = 360
	// MaxSeries bounds the memory of a recorder: 8,192 series of 360 buckets of 8 bytes are 24 MB.
	// It covers 3,500 teams with two routes each.
	MaxSeries = 8192
	// OverflowName is the team and route of requests that come when MaxSeries is reached.
	OverflowName = "other"
	// DefaultObjective is the share of requests that are to meet the target, as in "for 95 in 100".
	DefaultObjective = 0.95
)

// Point is one bucket. Start is its begin in Unix seconds.
type Point struct {
	Start int64  `json:"start"`
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Series holds the points of one team and route, oldest first, without empty buckets.
type Series struct {
	Team      string  `json:"team"`
	Route     string  `json:"route"`
	Objective float64 `json:"objective"`
	Points    []Point `json:"points"`
}

type seriesKey struct{ team, route string }

// bucket counts one minute. 2^32 requests a minute are far above the load of a gateway.
type bucket struct{ good, total uint32 }

// ring holds the buckets of one series; minute m is at index m modulo Buckets.
type ring struct {
	buckets [Buckets]bucket
	// last is the newest minute with a request, in minutes since the Unix epoch.
	last int64
}

// Recorder counts requests. Its methods may be called concurrently.
type Recorder struct {
	mu        sync.Mutex
	objective float64
	series    map[seriesKey]*ring
}

// NewRecorder returns an empty recorder for an objective between 0 and 1, both excluded.
func NewRecorder(objective float64) *Recorder {
	return &Recorder{objective: objective, series: make(map[seriesKey]*ring)}
}

// Record counts one request that ended now; good says that it met its target.
func (r *Recorder) Record(team, route string, good bool) {
	now := minuteOf(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.find(seriesKey{team, route}, now)
	s.advance(now)
	b := &s.buckets[now%Buckets]
	b.total++
	if good {
		b.good++
	}
}

// find returns the ring of a key. When the recorder is full it first drops series whose buckets are all too old.
func (r *Recorder) find(k seriesKey, now int64) *ring {
	if s, ok := r.series[k]; ok {
		return s
	}
	if len(r.series) >= MaxSeries-1 {
		r.dropOld(now)
	}
	if len(r.series) >= MaxSeries-1 {
		k = seriesKey{OverflowName, OverflowName}
		if s, ok := r.series[k]; ok {
			return s
		}
	}
	s := &ring{last: now}
	r.series[k] = s
	return s
}

func (r *Recorder) dropOld(now int64) {
	for k, s := range r.series {
		if now-s.last >= Buckets {
			delete(r.series, k)
		}
	}
}

// advance clears the buckets between the newest minute and now. A clock that steps back adds to the bucket of its minute.
func (s *ring) advance(now int64) {
	if now-s.last >= Buckets {
		s.buckets = [Buckets]bucket{}
	} else {
		for m := s.last + 1; m <= now; m++ {
			s.buckets[m%Buckets] = bucket{}
		}
	}
	s.last = max(s.last, now)
}

// Series returns all series with their points of the last 6 hours, sorted by team and route.
func (r *Recorder) Series() []Series {
	now := minuteOf(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Series, 0, len(r.series))
	for k, s := range r.series {
		points := s.points(now)
		if len(points) > 0 {
			all = append(all, Series{Team: k.team, Route: k.route, Objective: r.objective, Points: points})
		}
	}
	sortSeries(all)
	return all
}

func (s *ring) points(now int64) []Point {
	var points []Point
	for m := max(s.last, now) - Buckets + 1; m <= s.last; m++ {
		if b := s.buckets[m%Buckets]; b.total > 0 {
			points = append(points, Point{Start: m * int64(BucketLength/time.Second), Good: uint64(b.good), Total: uint64(b.total)})
		}
	}
	return points
}

// Merge sums series of several gateways by team, route and bucket. The highest objective of a team and route applies.
func Merge(lists ...[]Series) []Series {
	merged := make(map[seriesKey]*Series)
	for _, list := range lists {
		for _, s := range list {
			k := seriesKey{s.Team, s.Route}
			if merged[k] == nil {
				merged[k] = &Series{Team: s.Team, Route: s.Route}
			}
			merged[k].Objective = max(merged[k].Objective, s.Objective)
			merged[k].Points = mergePoints(merged[k].Points, s.Points)
		}
	}
	all := make([]Series, 0, len(merged))
	for _, s := range merged {
		all = append(all, *s)
	}
	sortSeries(all)
	return all
}

func mergePoints(a, b []Point) []Point {
	both := slices.SortedStableFunc(slices.Values(slices.Concat(a, b)),
		func(x, y Point) int { return cmp.Compare(x.Start, y.Start) })
	var sum []Point
	for _, p := range both {
		if n := len(sum); n > 0 && sum[n-1].Start == p.Start {
			sum[n-1].Good += p.Good
			sum[n-1].Total += p.Total
			continue
		}
		sum = append(sum, p)
	}
	return sum
}

func sortSeries(all []Series) {
	slices.SortFunc(all, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Route, b.Route))
	})
}

func minuteOf(t time.Time) int64 { return t.Unix() / int64(BucketLength/time.Second) }
