package retry

import "time"

// answerTimes holds the times of the last answers of a bounded number of parts. It forgets those that were set longest ago.
type answerTimes struct {
	// recent holds what was set last. When it has half of the limit, it replaces older.
	recent, older map[Part]time.Time
	half          int
}

func newAnswerTimes(limit int) *answerTimes {
	return &answerTimes{recent: make(map[Part]time.Time), half: max(limit/2, 1)}
}

func (a *answerTimes) set(part Part, at time.Time) {
	if _, ok := a.recent[part]; !ok && len(a.recent) >= a.half {
		a.recent, a.older = make(map[Part]time.Time), a.recent
	}
	a.recent[part] = at
}

func (a *answerTimes) get(part Part) (time.Time, bool) {
	if at, ok := a.recent[part]; ok {
		return at, true
	}
	at, ok := a.older[part]
	return at, ok
}
