// Package burn records how many requests met their service-level target and computes the burn rate of the error budget.
//
// Requests are counted per team and route in one-minute buckets over the last 6 hours. The burn rate of a window is the
// share of requests that missed the target divided by the share that the objective allows: at rate 1 the budget lasts
// exactly its period, at rate 14.4 a 30-day budget lasts 50 hours.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// BucketLength is the period that one bucket covers.
	BucketLength = time.Minute
	// Buckets is the number of buckets of a series; they cover 6 hours.
	Buckets = 360
	// MaxSeries bounds the memory of a recorder: 8,192 series of 360 buckets of 8 bytes are 24 MB.
	// It covers 3,500 teams with two routes each.
	MaxSeries = 8192
	// OverflowName is the team and route under which requests of further teams and routes are counted when MaxSeries is reached.
	OverflowName = "other"
	// DefaultObjective is the share of requests that must meet the target: 95 in 100.
	DefaultObjective = 0.95
)

// Point holds the counts of one bucket. Start is the start of the bucket in Unix seconds.
type Point struct {
	Start int64  `json:"start"`
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Series holds the points of one team and route, oldest first. Empty buckets are omitted.
type Series struct {
	Team      string  `json:"team"`
	Route     string  `json:"route"`
	Objective float64 `json:"objective"`
	Points    []Point `json:"points"`
}

type seriesKey struct{ team, route string }

// bucket counts the requests of one minute. 32 bits suffice: 2^32 requests a minute are far above the load of a gateway.
type bucket struct{ good, total uint32 }

// ring holds the buckets of one series. The bucket of minute m since the Unix epoch is at index m modulo Buckets.
type ring struct {
	buckets [Buckets]bucket
	// newestMinute is the latest minute with a request, in minutes since the Unix epoch.
	newestMinute int64
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

// Record counts one request that ended now. good reports whether it met its target.
func (r *Recorder) Record(team, route string, good bool) {
	now := minuteOf(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.ringFor(seriesKey{team, route}, now)
	s.advance(now)
	b := &s.buckets[now%Buckets]
	b.total++
	if good {
		b.good++
	}
}

// ringFor returns the ring of a key and creates it if needed. When the recorder is full, it first drops expired series, then falls back to
// the overflow series.
func (r *Recorder) ringFor(k seriesKey, now int64) *ring {
	if s, ok := r.series[k]; ok {
		return s
	}
	if len(r.series) >= MaxSeries-1 {
		r.dropExpired(now)
	}
	if len(r.series) >= MaxSeries-1 {
		k = seriesKey{OverflowName, OverflowName}
		if s, ok := r.series[k]; ok {
			return s
		}
	}
	s := &ring{newestMinute: now}
	r.series[k] = s
	return s
}

// dropExpired drops the series whose buckets are all older than 6 hours.
func (r *Recorder) dropExpired(now int64) {
	for k, s := range r.series {
		if now-s.newestMinute >= Buckets {
			delete(r.series, k)
		}
	}
}

// advance clears the buckets of the minutes after newestMinute up to now. After the clock was set back it clears nothing, and requests
// are added to the bucket of the earlier minute.
func (s *ring) advance(now int64) {
	if now-s.newestMinute >= Buckets {
		s.buckets = [Buckets]bucket{}
	} else {
		for m := s.newestMinute + 1; m <= now; m++ {
			s.buckets[m%Buckets] = bucket{}
		}
	}
	s.newestMinute = max(s.newestMinute, now)
}

// Series returns the series that have requests in the last 6 hours, sorted by team and route.
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
	for m := max(s.newestMinute, now) - Buckets + 1; m <= s.newestMinute; m++ {
		if b := s.buckets[m%Buckets]; b.total > 0 {
			points = append(points, Point{Start: m * int64(BucketLength/time.Second), Good: uint64(b.good), Total: uint64(b.total)})
		}
	}
	return points
}

// Merge sums the series of several gateways by team, route and bucket, and uses the highest objective of each team and route.
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
