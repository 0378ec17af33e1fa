package admission

import (
	"container/heap"
	"math"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// shareDemandTime is the averaging time of the demand that is compared with a team's share. With 5 s a flood was found
	// later: the worst-served team's p95 was 1136 ms in the place of 980 ms (riga-gulf, 20 seeds).
	shareDemandTime = 3 * time.Second
	// reviewEvery is the least time between two reviews of the teams' shares.
	reviewEvery = 200 * time.Millisecond
	// surplusFactor is the multiple of its share above which a team's demand counts as a surplus, and leaveFactor the
	// multiple below which it no longer does. In between, the fair queue alone divides the pool. With 1.7, large
	// teams were at times held back without a flood: the skippers' p95 was 738 ms, with 2 it is 716 ms (riga-gulf, 60 seeds).
	surplusFactor = 2.0
	leaveFactor   = 1.1
	// spareFactor corrects the served work for the headroom that is kept free while a team has a surplus.
	spareFactor = 1.25
	// fullHeadroom is the part of the capacity that teams within their share must ask for before the whole headroom is kept.
	fullHeadroom = 0.2
	// minSurplusTime is the least time for which a team counts as having a surplus. The served work falls to what the headroom
	// leaves only after a while, so that the corrected capacity is too large before.
	minSurplusTime = 1500 * time.Millisecond
	// rampTime is the time after an idle pool's first work in which no surplus is found: served work lags demand then, so
	// that every large team seems to have one.
	rampTime = 2 * shareDemandTime
	// idleDemand in tokens a second is the demand below which a team is left out of the comparison.
	idleDemand = 1
	// minPart bounds the estimate of the capacity from a small part of the requests in progress.
	minPart = 0.01
)

// meter is a moving average of tokens a second over shareDemandTime.
type meter struct {
	last time.Time
	rate float64
}

func (m *meter) add(now time.Time, tokens int) {
	m.rate = m.at(now) + float64(tokens)/shareDemandTime.Seconds()
	m.last = now
}

func (m *meter) at(now time.Time) float64 {
	if m.rate == 0 {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/shareDemandTime.Seconds())
}

// member is a team's demand on a pool.
type member struct {
	team    *team
	demand  meter
	peers   float64 // moving average of the neighbours' demand on the pool
	now     float64 // demand at all gateways at the review
	surplus bool
	since   time.Time // when the surplus was found
}

// shares compares the demand of a pool's teams with their fair shares. A team with a surplus may only use what the headroom
// leaves, and waits behind all others.
type shares struct {
	teams    map[string]*team // the queue's
	members  map[string]*member
	served   meter   // admitted work of this gateway
	inFlight int     // requests in progress of all gateways
	part     float64 // moving average of this gateway's part of them
	surplus  int     // capacity for teams with a surplus, as configured
	kept     float64 // part of the headroom that is kept free
	limit    int     // requests in progress up to which teams with a surplus are admitted
	reviewed time.Time
	begun    time.Time // when work was first served after an idle time
	marked   int       // members with a surplus
}

func newShares(teams map[string]*team) shares {
	return shares{teams: teams, members: make(map[string]*member), surplus: unlimited, limit: unlimited}
}

func (s *shares) forget(team string) {
	if m := s.members[team]; m != nil && m.surplus {
		s.marked--
	}
	delete(s.members, team)
}

// note counts a request of a team. It returns true when the team has a surplus.
func (p *pool) note(t *team, now time.Time, tokens int) bool {
	m := p.shares.members[t.name]
	if m == nil {
		m = &member{team: t}
		p.shares.members[t.name] = m
	}
	m.demand.add(now, tokens)
	t.recent.add(now, tokens)
	return m.surplus
}

// review marks the teams whose demand is a surplus and sets their limit.
func (p *pool) review(now time.Time) {
	s := &p.shares
	if elapsed := now.Sub(s.reviewed); elapsed >= reviewEvery {
		s.reviewed = now
		s.update(p.inFlight, now, elapsed)
		if p.within > 0 || s.marked > 0 {
			p.mark(s.level(s.capacity(now)), now)
			s.kept = s.headroom(now)
		}
	}
	s.limit = p.concurrent
	if s.marked > 0 {
		kept := s.kept * float64(p.concurrent-min(p.concurrent, s.surplus))
		s.limit = max(1, p.concurrent-int(kept))
	}
}

// update brings the moving averages up to date and drops idle members.
func (s *shares) update(inFlight int, now time.Time, elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/shareDemandTime.Seconds())
	if s.served.at(now) < idleDemand {
		s.begun = now
	}
	part := float64(inFlight) / float64(max(1, inFlight, s.inFlight))
	if s.part == 0 {
		s.part = part
	}
	s.part += weight * (part - s.part)
	for name, m := range s.members {
		m.update(now, weight)
		if m.now < idleDemand && !m.surplus {
			delete(s.members, name)
		}
	}
}

// update sets the member's demand at all gateways. Neighbours report a team's demand on all pools together; this gateway's own
// division is taken for theirs.
func (m *member) update(now time.Time, weight float64) {
	own, total := m.demand.at(now), m.team.recent.at(now)
	peers := m.team.peers.TokensPerSecond
	if total > 0 {
		peers *= own / total
	}
	m.peers += weight * (peers - m.peers)
	m.now = own + m.peers
}

// capacity estimates the work that all gateways together can have served, from this gateway's part of the requests in
// progress. All gateways find about the same figure, however unequally they are served: a gateway that judged by its own
// work alone took what the others left free, and so never found a surplus.
func (s *shares) capacity(now time.Time) float64 {
	served := s.served.at(now) / max(s.part, minPart)
	if s.marked > 0 {
		served *= spareFactor
	}
	return served
}

// headroom returns the part of the headroom that is kept. It is less than 1 when teams within their share ask for little, so
// that a team that is nearly alone may use nearly the whole pool. Teams that only use other gateways count as within.
func (s *shares) headroom(now time.Time) float64 {
	within := 0.0
	for _, m := range s.members {
		if !m.surplus {
			within += m.now
		}
	}
	for name, t := range s.teams {
		if s.members[name] == nil {
			within += t.peers.TokensPerSecond
		}
	}
	return min(1, within/max(1, fullHeadroom*s.capacity(now)))
}

// level returns the demand for each unit of weight up to which all demand can be served (max-min fairness).
func (s *shares) level(capacity float64) float64 {
	level := 0.0
	for {
		left, weights := capacity, 0.0
		for _, m := range s.members {
			if m.now > level*m.team.weight {
				weights += m.team.weight
			} else {
				left -= m.now
			}
		}
		if weights == 0 {
			return math.Inf(1)
		}
		// The level rises with each team that stays below it, until no more do.
		next := left / weights
		if next <= level*(1+1e-9) {
			return level
		}
		level = next
	}
}

// mark finds the teams whose demand is a surplus. Teams join them only while requests within their share wait: once the
// headroom keeps these free of waiting, nobody else has to give way.
func (p *pool) mark(level float64, now time.Time) {
	for _, m := range p.shares.members {
		share := level * m.team.weight
		switch {
		case m.surplus && now.Sub(m.since) >= minSurplusTime && m.now <= leaveFactor*share:
			p.setSurplus(m, false)
		case !m.surplus && p.within > 0 && now.Sub(p.shares.begun) >= rampTime && m.now > surplusFactor*share:
			m.since = now
			p.setSurplus(m, true)
		}
	}
}

// setSurplus moves a team's flows to the classes above or within the share.
func (p *pool) setSurplus(m *member, surplus bool) {
	m.surplus = surplus
	from, to := 0, apitypes.PriorityClasses
	if surplus {
		p.shares.marked++
	} else {
		p.shares.marked--
		from, to = to, from
	}
	for i := range apitypes.PriorityClasses {
		p.moveFlow(m.team.name, from+i, to+i)
	}
}

// moveFlow moves a team's flow to another class, where it starts at that class's virtual time.
func (p *pool) moveFlow(name string, from, to int) {
	a, b := &p.classes[from], &p.classes[to]
	f := a.flows[name]
	if f == nil {
		return
	}
	delete(a.flows, name)
	b.flows[name] = f
	f.finish, f.start = b.virtual, b.virtual
	if f.waiting.Len() == 0 {
		return
	}
	heap.Remove(&a.active, f.index)
	a.tokens -= f.tokens
	a.weights -= f.team.weight
	if len(a.active) == 0 {
		a.weights, a.credit = 0, 0
	}
	heap.Push(&b.active, f)
	b.tokens += f.tokens
	b.weights += f.team.weight
	for e := f.waiting.Front(); e != nil; e = e.Next() {
		e.Value.(*waiter).class = to
	}
	if to >= apitypes.PriorityClasses {
		p.within -= f.waiting.Len()
	} else {
		p.within += f.waiting.Len()
	}
}
