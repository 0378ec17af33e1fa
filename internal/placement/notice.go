package placement

import (
	"fmt"
	"strings"
	"time"

	"crocusglade.example/crocusglade/internal/catalog"
)

const (
	// noticeMemory is how long the announcement of an endpoint that the store no longer lists is kept: its entry may come back, for
	// example after an outage of the store.
	noticeMemory = 10 * time.Minute
	// rampTime is the time after a pause in which an endpoint gets its full load back, and rampStart the number of requests in progress
	// that this VM may have there at its start.
	rampTime  = time.Second
	rampStart = 2
	// rampRetry is how long a request waits for a place at an endpoint whose load returns.
	rampRetry = 30 * time.Millisecond
	// maxUnavailableNamed bounds the endpoints named in a log line.
	maxUnavailableNamed = 4
)

// Notice is what a response of an endpoint says about the endpoint itself.
type Notice struct {
	// Leaving is true if the endpoint stops soon and must get no new work.
	Leaving bool
	// Pause is how long the endpoint wants nothing from this VM, 0 if it set no time.
	Pause time.Duration
	// InvalidPause is the value of a pause that was ignored or shortened; empty if there was none.
	InvalidPause string
}

// Kinds of notices, for metrics.
const (
	NoticeLeaving      = "leaving"
	NoticePause        = "pause"
	NoticeInvalidPause = "invalid_pause"
)

// incarnation identifies one start of an endpoint.
type incarnation struct {
	id          string
	startedAtMS int64
}

// notices holds what one incarnation of an endpoint has said about itself.
type notices struct {
	// leavingSince is when it first announced that it leaves; zero if it didn't. own is true if it told this VM.
	leavingSince time.Time
	own          bool
	// pausedAt is when it last asked for a pause, notBefore the end of all its pauses.
	pausedAt, notBefore time.Time
	// loggedInvalid is set once an invalid pause was logged.
	loggedInvalid bool
	// seenAt is when the store last listed the incarnation, or when it last sent a notice.
	seenAt time.Time
}

func incarnationOf(e *catalog.Endpoint) incarnation { return incarnation{e.ID, e.StartedAtMS} }

// noticesOf returns the notices of an endpoint's incarnation and adds a record if there is none.
func (f *Fleet) noticesOf(e *catalog.Endpoint) *notices {
	key := incarnationOf(e)
	n := f.notices[key]
	if n == nil {
		n = &notices{}
		f.notices[key] = n
	}
	n.seenAt = time.Now()
	return n
}

// RecordNotice records what a response to this VM said about the endpoint that sent it. e is the endpoint as it was when the request was
// sent, so that the notice of an earlier incarnation doesn't count against a later one.
func (f *Fleet) RecordNotice(e *catalog.Endpoint, n Notice) {
	if n == (Notice{}) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	state, now := f.noticesOf(e), time.Now()
	if n.Leaving {
		f.recordLeaving(e, state, true)
	}
	if n.InvalidPause != "" && !state.loggedInvalid {
		state.loggedInvalid = true
		f.OnNotice(NoticeInvalidPause)
		f.Log.Warn().Str("endpoint", e.ID).Str("service", e.Service).Str("value", n.InvalidPause).Int64("used_ms", n.Pause.Milliseconds()).
			Msg("endpoint asked for a pause with an invalid time (logged once)")
	}
	if n.Pause <= 0 {
		return
	}
	if !now.Before(state.notBefore) {
		f.OnNotice(NoticePause)
		f.Log.Info().Str("endpoint", e.ID).Str("service", e.Service).Int64("pause_ms", n.Pause.Milliseconds()).Msg("endpoint asked for a pause")
	}
	state.pausedAt = now
	if until := now.Add(n.Pause); until.After(state.notBefore) {
		state.notBefore = until
	}
}

// RecordPeerLeaving records that an endpoint told another VM that it leaves.
func (f *Fleet) RecordPeerLeaving(id string, startedAtMS int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil && e.StartedAtMS == startedAtMS {
		f.recordLeaving(&e.Endpoint, f.noticesOf(&e.Endpoint), false)
	}
}

func (f *Fleet) recordLeaving(e *catalog.Endpoint, state *notices, own bool) {
	state.own = state.own || own
	if !state.leavingSince.IsZero() {
		return
	}
	state.leavingSince = time.Now()
	if known := f.endpoints[e.ID]; known != nil && known.StartedAtMS == e.StartedAtMS {
		known.Draining = true
	}
	f.OnNotice(NoticeLeaving)
	f.Log.Info().Str("endpoint", e.ID).Str("service", e.Service).Bool("own", own).Msg("endpoint announced that it leaves")
}

// LeavingEndpoint names an incarnation of an endpoint that leaves.
type LeavingEndpoint struct {
	ID          string
	StartedAtMS int64
}

// LeavingEndpoints returns the endpoints that told this VM that they leave, as long as the store lists them as ready.
func (f *Fleet) LeavingEndpoints() []LeavingEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []LeavingEndpoint
	for _, e := range f.ordered {
		if !e.listedDraining && e.notices.own {
			list = append(list, LeavingEndpoint{e.ID, e.StartedAtMS})
		}
	}
	return list
}

// MayReceive reports whether an endpoint may be sent anything now: it hasn't announced that it leaves, and hasn't asked for a pause.
// Selections of endpoints ask it themselves; calls with a target of their own must ask before they are sent.
func (f *Fleet) MayReceive(e *catalog.Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.notices[incarnationOf(e)]
	return n == nil || n.leavingSince.IsZero() && !time.Now().Before(n.notBefore)
}

// accepts reports whether the endpoint may be sent a request now.
func (e *endpoint) accepts(now time.Time) bool {
	return !e.Draining && !now.Before(e.notices.notBefore)
}

// acceptsMore is like accepts, and limits the requests in progress while the load returns after a pause, so that the requests that waited
// for its end don't arrive at once.
func (e *endpoint) acceptsMore(now time.Time) bool {
	if !e.accepts(now) {
		return false
	}
	elapsed := now.Sub(e.notices.notBefore)
	if e.notices.notBefore.IsZero() || elapsed >= rampTime {
		return true
	}
	return e.ownWork.Running < rampStart+int(float64(max(e.Slots, 1))*elapsed.Seconds()/rampTime.Seconds())
}

// NextFree returns the time until an endpoint of a service can run a request, 0 if one can now. It returns false if the filter
// allows none apart from those that leave.
func (f *Fleet) NextFree(service, model string, filter Filter) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, best, found := time.Now(), time.Duration(0), false
	if f.services[service] == nil {
		return 0, false
	}
	for _, e := range f.ordered {
		if e.Service != service || e.Role == catalog.Prefill || e.Draining || !filter.allows(e) || !e.HasModel(model) {
			continue
		}
		wait := max(e.notices.notBefore.Sub(now), 0)
		if wait == 0 && !e.acceptsMore(now) {
			wait = rampRetry
		}
		if !found || wait < best {
			best, found = wait, true
		}
	}
	return best, found
}

// DescribeUnavailable names, for the log, the endpoints of a service that leave or pause, with the age of the news.
func (f *Fleet) DescribeUnavailable(service string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	now := time.Now()
	for _, e := range f.ordered {
		if e.Service != service {
			continue
		}
		switch n := e.notices; {
		case !n.leavingSince.IsZero():
			list = append(list, fmt.Sprintf("%s leaves (announced %d ms ago)", e.ID, now.Sub(n.leavingSince).Milliseconds()))
		case now.Before(n.notBefore):
			list = append(list, fmt.Sprintf("%s pauses for %d ms (asked %d ms ago)", e.ID, n.notBefore.Sub(now).Milliseconds(), now.Sub(n.pausedAt).Milliseconds()))
		}
	}
	if more := len(list) - maxUnavailableNamed; more > 0 {
		list = append(list[:maxUnavailableNamed], fmt.Sprintf("%d more", more))
	}
	return strings.Join(list, ", ")
}

// pruneNotices removes the notices of incarnations that the store has not listed for noticeMemory.
func (f *Fleet) pruneNotices() {
	now := time.Now()
	for key, n := range f.notices {
		if now.Sub(n.seenAt) > noticeMemory && now.After(n.notBefore) {
			delete(f.notices, key)
		}
	}
}
