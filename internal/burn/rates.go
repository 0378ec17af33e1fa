package burn

import (
	"cmp"
	"slices"
	"time"
)

// Window is a period over which a burn rate is computed.
type Window struct {
	Name   string
	Length time.Duration
}

// Windows are the windows of the report, shortest first. An alert requires two of them: the long window shows that the burn is
// significant, the short one that it continues. The pairs and thresholds are those of chapter 5 of "The Site Reliability Workbook"
// (Beyer et al., 2018), for an objective over 30 days.
var Windows = [...]Window{{"5m", 5 * time.Minute}, {"30m", 30 * time.Minute}, {"1h", time.Hour}, {"6h", 6 * time.Hour}}

const (
	fastThreshold = 14.4 // over 5 min and 1 h: 2% of the budget in an hour
	slowThreshold = 6    // over 30 min and 6 h: 5% of the budget in 6 hours
)

// State is the alert state of one series.
type State string

const (
	StateOK   State = "ok"
	StateSlow State = "slow burn"
	StateFast State = "fast burn"
)

// Row holds the burn rates of one team and route.
type Row struct {
	Team      string  `json:"team"`
	Route     string  `json:"route"`
	Objective float64 `json:"objective"`
	Good      uint64  `json:"good"`
	Total     uint64  `json:"total"`
	// Rates holds the burn rate of each of Windows; 0 when the window has no requests.
	Rates [len(Windows)]float64 `json:"rates"`
	State State                 `json:"state"`
	// Points holds the counts for the plots of WriteHTML.
	Points []Point `json:"-"`
}

// Report holds the burn rates of all series at one time, sorted by the rate over 1 hour with the highest first.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// NewReport computes the burn rates of all series at a time.
func NewReport(all []Series, at time.Time) Report {
	r := Report{At: at, Rows: make([]Row, 0, len(all))}
	for _, s := range all {
		r.Rows = append(r.Rows, newRow(s, at))
	}
	slices.SortStableFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Rates[2], a.Rates[2]), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Route, b.Route))
	})
	return r
}

func newRow(s Series, at time.Time) Row {
	row := Row{Team: s.Team, Route: s.Route, Objective: s.Objective, Points: s.Points}
	for i, w := range Windows {
		row.Good, row.Total = sumWindow(s.Points, at, w.Length)
		row.Rates[i] = BurnRate(row.Good, row.Total, s.Objective)
	}
	switch {
	case row.Rates[0] >= fastThreshold && row.Rates[2] >= fastThreshold:
		row.State = StateFast
	case row.Rates[1] >= slowThreshold && row.Rates[3] >= slowThreshold:
		row.State = StateSlow
	default:
		row.State = StateOK
	}
	return row
}

// sumWindow sums the buckets of a window, which ends with the bucket of the given time.
func sumWindow(points []Point, at time.Time, length time.Duration) (good, total uint64) {
	last := minuteOf(at) * int64(BucketLength/time.Second)
	first := last - int64((length-BucketLength)/time.Second)
	for _, p := range points {
		if p.Start >= first && p.Start <= last {
			good += p.Good
			total += p.Total
		}
	}
	return good, total
}

// BurnRate returns the burn rate of a window, or 0 without requests. An objective above 0.9999 is treated as 0.9999, so that the rate
// stays finite for an objective of 1, which allows no misses.
func BurnRate(good, total uint64, objective float64) float64 {
	if total == 0 || good >= total {
		return 0
	}
	allowed := max(1-objective, 0.0001)
	return float64(total-good) / float64(total) / allowed
}
