package admission

import (
	"container/heap"
	"math"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// fairShareAverageTime is the averaging time of the demand that is compared with a team's fair share. With 5 s, a flood was
	// detected later: the p95 of the worst-served team was 1136 ms instead of 980 ms (riga-gulf, 20 seeds).
	fairShareAverageTime = 3 * time.Second
	// reviewInterval is the minimum time between two comparisons of the teams' demand with their fair shares.
	reviewInterval = 200 * time.Millisecond
	// surplusEnterFactor is the multiple of its fair share above which a team's demand counts as a surplus, surplusExitFactor the
	// multiple at or below which it no longer does. In between, fair queuing alone divides the pool. An enter factor of 1.7 at times
	// delayed large teams without a flood: the p95 of the skippers team was 738 ms; with 2 it is 716 ms (riga-gulf, 60 seeds).
	surplusEnterFactor = 2.0
	surplusExitFactor  = 1.1
	// headroomCorrection scales the admitted work up to the pool's capacity while some teams have a surplus: the headroom reserved
	// then is part of the capacity but admits less work.
	headroomCorrection = 1.25
	// fullHeadroomDemand is the fraction of the capacity that the demand of teams within their share must reach before the whole
	// headroom is reserved.
	fullHeadroomDemand = 0.2
	// minSurplusTime is the minimum time for which a team counts as having a surplus. The admitted work falls to what the headroom
	// leaves only gradually, so that the capacity estimate with headroomCorrection is too high until then.
	minSurplusTime = 1500 * time.Millisecond
	// rampUpTime is the time after an idle pool's first work during which no team is marked as having a surplus: admitted work lags
	// demand then, so that every large team seems to have one.
	rampUpTime = 2 * fairShareAverageTime
	// idleTokensPerSecond is the demand below which a team is left out of the comparison.
	idleTokensPerSecond = 1
	// minInFlightFraction is the smallest fraction of the requests in progress from which the capacity is extrapolated.
	minInFlightFraction = 0.01
)

// tokenRate is an exponential moving average of tokens per second over fairShareAverageTime.
type tokenRate struct {
	updatedAt time.Time
	rate      float64
}

func (r *tokenRate) add(now time.Time, tokens int) {
	r.rate = r.rateAt(now) + float64(tokens)/fairShareAverageTime.Seconds()
	r.updatedAt = now
}

func (r *tokenRate) rateAt(now time.Time) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * math.Exp(-now.Sub(r.updatedAt).Seconds()/fairShareAverageTime.Seconds())
}

// teamDemand is a team's demand on a pool in tokens per second.
type teamDemand struct {
	team         *team
	local        tokenRate // demand at this gateway
	peerAverage  float64   // moving average of the demand at peer gateways
	total        float64   // demand at all gateways at the last review
	surplus      bool
	surplusSince time.Time
}

// fairShares compares the demand of a pool's teams with their fair shares. A team with a surplus may use only what the headroom
// leaves, and its requests have a lower priority than those of all teams within their share.
type fairShares struct {
	teams            map[string]*team // shared with the queue
	demands          map[string]*teamDemand
	admitted         tokenRate // work admitted by this gateway
	inFlight         int       // requests in progress of all gateways
	inFlightFraction float64   // moving average of this gateway's fraction of inFlight
	surplusCapacity  int       // capacity for teams with a surplus, as configured
	reservedFraction float64   // fraction of the headroom that is reserved for teams within their share
	surplusLimit     int       // requests in progress up to which teams with a surplus are admitted
	reviewedAt       time.Time
	busySince        time.Time // when work was first admitted after an idle time
	surplusTeams     int       // number of teams with a surplus
}

func newFairShares(teams map[string]*team) fairShares {
	return fairShares{teams: teams, demands: make(map[string]*teamDemand), surplusCapacity: unlimited, surplusLimit: unlimited}
}

func (s *fairShares) removeTeam(team string) {
	if d := s.demands[team]; d != nil && d.surplus {
		s.surplusTeams--
	}
	delete(s.demands, team)
}

// recordDemand adds a request to its team's demand. It returns true when the team has a surplus.
func (p *pool) recordDemand(t *team, now time.Time, tokens int) bool {
	d := p.shares.demands[t.name]
	if d == nil {
		d = &teamDemand{team: t}
		p.shares.demands[t.name] = d
	}
	d.local.add(now, tokens)
	t.allPoolsDemand.add(now, tokens)
	return d.surplus
}

// reviewShares updates which teams have a surplus, and the limit of requests in progress for them.
func (p *pool) reviewShares(now time.Time) {
	s := &p.shares
	if elapsed := now.Sub(s.reviewedAt); elapsed >= reviewInterval {
		s.reviewedAt = now
		s.updateAverages(p.inFlight, now, elapsed)
		if p.waitingWithinShare > 0 || s.surplusTeams > 0 {
			p.updateSurplus(s.fairLevel(s.estimateCapacity(now)), now)
			s.reservedFraction = s.headroomFraction(now)
		}
	}
	s.surplusLimit = p.maxInFlight
	if s.surplusTeams > 0 {
		reserved := s.reservedFraction * float64(p.maxInFlight-min(p.maxInFlight, s.surplusCapacity))
		s.surplusLimit = max(1, p.maxInFlight-int(reserved))
	}
}

// updateAverages updates the moving averages and removes idle teams.
func (s *fairShares) updateAverages(inFlight int, now time.Time, elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/fairShareAverageTime.Seconds())
	if s.admitted.rateAt(now) < idleTokensPerSecond {
		s.busySince = now
	}
	fraction := float64(inFlight) / float64(max(1, inFlight, s.inFlight))
	if s.inFlightFraction == 0 {
		s.inFlightFraction = fraction
	}
	s.inFlightFraction += weight * (fraction - s.inFlightFraction)
	for name, d := range s.demands {
		d.update(now, weight)
		if d.total < idleTokensPerSecond && !d.surplus {
			delete(s.demands, name)
		}
	}
}

// update sets the team's demand at all gateways. Peers report a team's demand summed over all pools; it is divided among the pools in the
// same ratio as the demand at this gateway.
func (d *teamDemand) update(now time.Time, weight float64) {
	ownPool, allPools := d.local.rateAt(now), d.team.allPoolsDemand.rateAt(now)
	peers := d.team.peerDemand.TokensPerSecond
	if allPools > 0 {
		peers *= ownPool / allPools
	}
	d.peerAverage += weight * (peers - d.peerAverage)
	d.total = ownPool + d.peerAverage
}

// estimateCapacity estimates the tokens per second that the pool can serve for all gateways together. It extrapolates the work admitted
// here by this gateway's fraction of the requests in progress, so that all gateways compute about the same value however unequally they use
// the pool. A gateway that considered only its own work would use what the others leave free and never detect a surplus.
func (s *fairShares) estimateCapacity(now time.Time) float64 {
	capacity := s.admitted.rateAt(now) / max(s.inFlightFraction, minInFlightFraction)
	if s.surplusTeams > 0 {
		capacity *= headroomCorrection
	}
	return capacity
}

// headroomFraction returns the fraction of the headroom to reserve. It is below 1 when the demand of teams within their share is low, so
// that a team that is nearly alone may use nearly the whole pool. Teams that use only other gateways count as within their share.
func (s *fairShares) headroomFraction(now time.Time) float64 {
	withinShare := 0.0
	for _, d := range s.demands {
		if !d.surplus {
			withinShare += d.total
		}
	}
	for name, t := range s.teams {
		if s.demands[name] == nil {
			withinShare += t.peerDemand.TokensPerSecond
		}
	}
	return min(1, withinShare/max(1, fullHeadroomDemand*s.estimateCapacity(now)))
}

// fairLevel returns the max-min fair level: the demand per unit of weight up to which the pool can serve every team. It is infinite when
// the capacity covers all demand.
func (s *fairShares) fairLevel(capacity float64) float64 {
	level := 0.0
	for {
		remaining, weightSum := capacity, 0.0
		for _, d := range s.demands {
			if d.total > level*d.team.weight {
				weightSum += d.team.weight
			} else {
				remaining -= d.total
			}
		}
		if weightSum == 0 {
			return math.Inf(1)
		}
		// Teams below the level leave capacity to the others, which raises the level until no further team falls below it.
		next := remaining / weightSum
		if next <= level*(1+1e-9) {
			return level
		}
		level = next
	}
}

// updateSurplus updates which teams have a surplus. A team is marked only while requests of teams within their share wait: once the headroom
// prevents such waiting, no further team needs to be restricted.
func (p *pool) updateSurplus(level float64, now time.Time) {
	for _, d := range p.shares.demands {
		share := level * d.team.weight
		switch {
		case d.surplus && now.Sub(d.surplusSince) >= minSurplusTime && d.total <= surplusExitFactor*share:
			p.setSurplus(d, false)
		case !d.surplus && p.waitingWithinShare > 0 && now.Sub(p.shares.busySince) >= rampUpTime && d.total > surplusEnterFactor*share:
			d.surplusSince = now
			p.setSurplus(d, true)
		}
	}
}

// setSurplus marks or unmarks a team and moves its flows to the classes for requests above or within the fair share.
func (p *pool) setSurplus(d *teamDemand, surplus bool) {
	d.surplus = surplus
	from, to := 0, apitypes.PriorityClasses
	if surplus {
		p.shares.surplusTeams++
	} else {
		p.shares.surplusTeams--
		from, to = to, from
	}
	for i := range apitypes.PriorityClasses {
		p.moveFlow(d.team.name, from+i, to+i)
	}
}

// moveFlow moves a team's flow to another class. The flow starts there at the class's virtual time.
func (p *pool) moveFlow(name string, from, to int) {
	source, target := &p.classes[from], &p.classes[to]
	f := source.flows[name]
	if f == nil {
		return
	}
	delete(source.flows, name)
	target.flows[name] = f
	f.finish, f.start = target.virtualTime, target.virtualTime
	if f.waiting.Len() == 0 {
		return
	}
	heap.Remove(&source.active, f.heapIndex)
	source.waitingTokens -= f.waitingTokens
	source.weightSum -= f.team.weight
	if len(source.active) == 0 {
		source.weightSum, source.credit = 0, 0
	}
	heap.Push(&target.active, f)
	target.waitingTokens += f.waitingTokens
	target.weightSum += f.team.weight
	for e := f.waiting.Front(); e != nil; e = e.Next() {
		e.Value.(*waiter).class = to
	}
	if to >= apitypes.PriorityClasses {
		p.waitingWithinShare -= f.waiting.Len()
	} else {
		p.waitingWithinShare += f.waiting.Len()
	}
}
