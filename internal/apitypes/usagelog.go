package apitypes

import "slices"

// UsageLogName is the name of the only object of KindUsageLog.
const UsageLogName = "windows"

// UsageLog is the object usagelog/windows: which usage windows are kept. Windows of 35 days hold some gigabytes with thousands of teams, so
// they can't be listed; they are read by name.
type UsageLog struct {
	// Spans are in order of time.
	Spans []WindowSpan `json:"spans"`
	// Open holds the starts of windows that are not reported yet.
	Open []int64 `json:"open,omitempty"`
}

// WindowSpan is a number of windows without gaps.
type WindowSpan struct {
	// First is the start of the first window in Unix seconds.
	First int64 `json:"first"`
	// Length is the length of each window in seconds.
	Length int64 `json:"length"`
	Count  int64 `json:"count"`
}

func (s WindowSpan) end() int64 { return s.First + s.Count*s.Length }

// NextWindowStart returns the start of the first window of a length that begins when all others have ended. It returns
// false when there is none yet.
func (l *UsageLog) NextWindowStart(length int64) (int64, bool) {
	if len(l.Spans) == 0 {
		return 0, false
	}
	end := l.Spans[len(l.Spans)-1].end()
	return (end + length - 1) / length * length, true
}

// AddWindow adds a window that starts after all others.
func (l *UsageLog) AddWindow(start, length int64) {
	if n := len(l.Spans); n > 0 && l.Spans[n-1].Length == length && l.Spans[n-1].end() == start {
		l.Spans[n-1].Count++
		return
	}
	l.Spans = append(l.Spans, WindowSpan{First: start, Length: length, Count: 1})
}

// OldestWindowStart returns the start of the first window, or false when there is none.
func (l *UsageLog) OldestWindowStart() (int64, bool) {
	if len(l.Spans) == 0 || l.Spans[0].Count == 0 {
		return 0, false
	}
	return l.Spans[0].First, true
}

// DropOldest removes the first window. The last span stays, with no windows, so that NextWindowStart goes on.
func (l *UsageLog) DropOldest() {
	s := &l.Spans[0]
	s.First += s.Length
	s.Count--
	if s.Count == 0 && len(l.Spans) > 1 {
		l.Spans = slices.Delete(l.Spans, 0, 1)
	}
}

// WindowStartsBetween returns the starts of the windows that start from one time to before another, in Unix seconds.
func (l *UsageLog) WindowStartsBetween(from, to int64) []int64 {
	var out []int64
	for _, s := range l.Spans {
		first := s.First
		if from > first {
			first += (from - first + s.Length - 1) / s.Length * s.Length
		}
		for start := first; start < min(to, s.end()); start += s.Length {
			out = append(out, start)
		}
	}
	return out
}
