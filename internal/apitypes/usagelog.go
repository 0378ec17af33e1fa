package apitypes

import "slices"

// UsageLogName is the name of the only object of KindUsageLog.
const UsageLogName = "windows"

// UsageLog is the object usagelog/windows: the index of the usage windows that are stored on the platform. With thousands of teams,
// the windows of the 35 days of retention take some gigabytes, too much to list; callers find the names here and read the windows one
// by one.
type UsageLog struct {
	// Spans are in chronological order.
	Spans []WindowSpan `json:"spans"`
	// Open holds the starts, in Unix seconds, of the windows that are not reported yet.
	Open []int64 `json:"open,omitempty"`
}

// WindowSpan is a run of consecutive windows of the same length.
type WindowSpan struct {
	// First is the start of the first window in Unix seconds.
	First int64 `json:"first"`
	// Length is the length of each window in seconds.
	Length int64 `json:"length"`
	// Count is the number of windows.
	Count int64 `json:"count"`
}

// end returns the end of the last window in Unix seconds.
func (s WindowSpan) end() int64 { return s.First + s.Count*s.Length }

// NextWindowStart returns the start, in Unix seconds, of the next window of the given length in seconds: the first multiple of the
// length at or after the end of the newest window. It returns false when the log has no spans.
func (l *UsageLog) NextWindowStart(length int64) (int64, bool) {
	if len(l.Spans) == 0 {
		return 0, false
	}
	end := l.Spans[len(l.Spans)-1].end()
	return (end + length - 1) / length * length, true
}

// AddWindow adds a window, given by start and length in seconds. It must start at or after the end of the newest window.
func (l *UsageLog) AddWindow(start, length int64) {
	if n := len(l.Spans); n > 0 && l.Spans[n-1].Length == length && l.Spans[n-1].end() == start {
		l.Spans[n-1].Count++
		return
	}
	l.Spans = append(l.Spans, WindowSpan{First: start, Length: length, Count: 1})
}

// OldestWindowStart returns the start of the oldest window in Unix seconds, or false when there is none.
func (l *UsageLog) OldestWindowStart() (int64, bool) {
	if len(l.Spans) == 0 || l.Spans[0].Count == 0 {
		return 0, false
	}
	return l.Spans[0].First, true
}

// DropOldest removes the oldest window. The last span remains even when it has no windows left, so that NextWindowStart continues
// from its end. The log must have a window.
func (l *UsageLog) DropOldest() {
	s := &l.Spans[0]
	s.First += s.Length
	s.Count--
	if s.Count == 0 && len(l.Spans) > 1 {
		l.Spans = slices.Delete(l.Spans, 0, 1)
	}
}

// WindowStartsBetween returns the starts of the windows that start at or after from and before to, all in Unix seconds.
func (l *UsageLog) WindowStartsBetween(from, to int64) []int64 {
	var starts []int64
	for _, s := range l.Spans {
		first := s.First
		if from > first {
			first += (from - first + s.Length - 1) / s.Length * s.Length
		}
		for start := first; start < min(to, s.end()); start += s.Length {
			starts = append(starts, start)
		}
	}
	return starts
}
