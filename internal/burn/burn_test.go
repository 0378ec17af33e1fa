package burn

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against buckets that retain counts older than 6 hours, lose recent counts, or grow without bound.
func TestRecorderKeepsSixHours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRecorder(0.95)
		r.Record("skippers", "logreader", false)
		time.Sleep(Buckets*time.Minute - time.Minute)
		r.Record("skippers", "logreader", true)
		s := r.Series()
		if len(s) != 1 || len(s[0].Points) != 2 {
			t.Fatalf("within 6 hours: %+v", s)
		}
		time.Sleep(time.Minute)
		if s = r.Series(); len(s) != 1 || len(s[0].Points) != 1 || s[0].Points[0].Good != 1 {
			t.Fatalf("after 6 hours: %+v", s)
		}
		time.Sleep(Buckets * time.Minute)
		r.Record("skippers", "logreader", true)
		if s = r.Series(); len(s[0].Points) != 1 || s[0].Points[0].Total != 1 {
			t.Fatalf("after a long pause: %+v", s)
		}
	})
}

// Guards against memory that grows with the number of teams, and against requests that are not counted when the limit is reached.
func TestRecorderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRecorder(0.95)
		for i := range MaxSeries + 10 {
			r.Record(fmt.Sprintf("team-%d", i), "r", true)
		}
		if n := len(r.series); n != MaxSeries {
			t.Errorf("%d series", n)
		}
		if n := r.series[seriesKey{OverflowName, OverflowName}].buckets; n[minuteOf(time.Now())%Buckets].total != 11 {
			t.Errorf("overflow not counted")
		}
		time.Sleep(Buckets * time.Minute)
		r.Record("new", "r", true)
		if n := len(r.series); n != 1 {
			t.Errorf("%d series after all others have expired", n)
		}
	})
}

// Guards against wrong burn rates, and against alerts that one window alone raises.
func TestRates(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	point := func(ago time.Duration, good, total uint64) Point {
		return Point{Start: minuteOf(at.Add(-ago)) * 60, Good: good, Total: total}
	}
	for _, c := range []struct {
		name      string
		objective float64
		points    []Point
		rates     [4]float64
		state     State
	}{
		{"no requests", 0.99, nil, [4]float64{}, StateOK},
		{"all good", 0.99, []Point{point(0, 9, 9)}, [4]float64{}, StateOK},
		{"exactly the budget", 0.9, []Point{point(time.Minute, 90, 100)}, [4]float64{1, 1, 1, 1}, StateOK},
		{"fast", 0.99, []Point{point(0, 80, 100)}, [4]float64{20, 20, 20, 20}, StateFast},
		{"ended 10 minutes ago", 0.99, []Point{point(10*time.Minute, 80, 100), point(0, 100, 100)},
			[4]float64{0, 10, 10, 10}, StateSlow},
		{"only the last minutes", 0.99, []Point{point(5*time.Hour, 10000, 10000), point(0, 80, 100)},
			[4]float64{20, 20, 20, 20. / 101}, StateFast},
		{"too old", 0.99, []Point{point(6*time.Hour, 0, 100)}, [4]float64{}, StateOK},
		{"edge of 5 minutes", 0.9, []Point{point(4*time.Minute, 0, 1), point(5*time.Minute, 1, 1)},
			[4]float64{10, 5, 5, 5}, StateOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			row := NewReport([]Series{{"a", "r", c.objective, c.points}}, at).Rows[0]
			for i := range c.rates {
				if math.Abs(row.Rates[i]-c.rates[i]) > 1e-9 {
					t.Errorf("rate over %s: %v, want %v", Windows[i].Name, row.Rates[i], c.rates[i])
				}
			}
			if row.State != c.state {
				t.Errorf("state %q, want %q", row.State, c.state)
			}
		})
	}
}

// Guards against counts of several gateways that are not summed, and against team and route names that are not escaped in HTML.
func TestMergeAndReports(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	start := minuteOf(at) * 60
	all := Merge([]Series{{"<b>", "r", 0.9, []Point{{start, 1, 2}}}},
		[]Series{{"<b>", "r", 0.9, []Point{{start - 60, 1, 1}, {start, 2, 2}}}, {"quiet", "r", 0.9, nil}})
	if len(all) != 2 || len(all[0].Points) != 2 || all[0].Points[1] != (Point{start, 3, 4}) {
		t.Fatalf("merged series: %+v", all)
	}
	var html, table bytes.Buffer
	report := NewReport(all, at)
	if err := report.WriteHTML(&html); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(html.String(), "<b>") || !strings.Contains(html.String(), "<polyline points=\"0.0,90.0 ") ||
		strings.Contains(html.String(), "http") {
		t.Error("unexpected HTML report:", html.String())
	}
	if err := report.WriteTable(&table); err != nil || !strings.Contains(table.String(), "<b>") {
		t.Errorf("unexpected text table, error %v:\n%s", err, table.String())
	}
}
