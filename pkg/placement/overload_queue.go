package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Overload control at a holder: the order of its queue, what it gives back, and the waits that it
// advertises.

const (
	// startRateTime is the time over which the rate of starts is averaged.
	startRateTime = 400 * time.Millisecond
	// packedShare is the share of the processors that tasks of half an endpoint's size occupy:
	// what is left beside them fits no other.
	packedShare = 0.85
	// minAvailableShare is the least share of the capacity that a priority is taken to have.
	minAvailableShare = 0.02
	// starvationBound is how long a run waits at most behind more urgent ones, as long as runs that
	// have waited for so long take less than starvedShare of the capacity, averaged over starvedTime.
	starvationBound = 300 * time.Millisecond
	starvedShare    = 0.015
	starvedTime     = 2 * time.Second
	// maxWaitSeconds bounds an expected wait.
	maxWaitSeconds = 60
)

// startRate is the decaying sum of the work that was started.
type startRate struct {
	span time.Duration // over which it decays
	work float64       // in thousandths of a processor times seconds
	at   time.Time
}

// add adds work and returns the rate of starts, in thousandths of a processor.
func (s *startRate) add(now time.Time, work float64) float64 {
	s.work = s.work*math.Exp(-float64(now.Sub(s.at))/float64(s.span)) + work
	s.at = now
	return s.work / s.span.Seconds()
}

// noteStarted adds a started run to the rate of its priority.
func (c *Control) noteStarted(r *run) {
	p := r.request.Priority
	rate, ok := c.overload.starts.Get(p)
	if !ok {
		rate = &startRate{span: startRateTime, at: c.now}
		c.overload.starts.Put(p, rate)
	}
	work := cpuTime(r.request.Need, r.request.expected())
	rate.add(c.now, work)
	if r.urgency.starved {
		c.counters.Starved++
		c.overload.starved.add(c.now, work)
	}
}

// urgency is what the order of a queue rests on, the cheapest to delay last.
type urgency struct {
	starved      bool // it goes before all others
	priority     int
	missesTarget int           // 0: can meet its objective, 1: its caller's deadline, 2: neither
	laxity       time.Duration // time left until then beyond the work
	work         float64
}

func (u urgency) compare(v urgency) int {
	if u.starved != v.starved {
		if u.starved {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(u.priority, v.priority), cmp.Compare(u.missesTarget, v.missesTarget), cmp.Compare(u.laxity, v.laxity), cmp.Compare(u.work, v.work))
}

// urgencyOf returns the urgency of a queued run.
func (c *Control) urgencyOf(r *run) urgency {
	needed := time.Duration(float64(r.request.expected()) / c.fastSpeed(r.request.Service))
	u := urgency{priority: r.request.Priority, laxity: r.objective.Sub(c.now) - needed, work: cpuTime(r.request.Need, r.request.expected())}
	if u.laxity < 0 {
		u.missesTarget, u.laxity = 1, r.expiry.Sub(c.now)-needed
	}
	if u.laxity < 0 {
		u.missesTarget = 2
	}
	return u
}

// sortByUrgency sorts the queue by the cost of further delay.
func (c *Control) sortByUrgency() {
	for _, r := range c.holder.queue {
		r.urgency = c.urgencyOf(r)
	}
	if r := c.starvedRun(); r != nil {
		r.urgency.starved = true
	}
	slices.SortStableFunc(c.holder.queue, func(a, b *run) int { return a.urgency.compare(b.urgency) })
}

// starvedRun returns the queued run that has waited for the longest time behind more urgent ones, if
// that is starvationBound and starved runs have not used up their share of the capacity.
func (c *Control) starvedRun() *run {
	if c.overload.starved.add(c.now, 0) >= starvedShare*c.holder.throughput {
		return nil
	}
	var oldest *run
	for _, r := range c.holder.queue {
		if r.state == queued && !r.request.Stored && r.urgency.missesTarget == 0 && c.now.Sub(r.arrivedAt) >= starvationBound && (oldest == nil || r.arrivedAt.Before(oldest.arrivedAt)) {
			oldest = r
		}
	}
	return oldest
}

// cannotEndInTime reports whether a queued run is given back to its home, as it can no longer end
// before its caller's deadline even at a fast endpoint.
func (c *Control) cannotEndInTime(r *run) bool {
	if r.request.Stored || r.request.Estimate <= 0 {
		return false
	}
	needed := time.Duration(float64(r.request.expected()) / c.fastSpeed(r.request.Service))
	return c.now.Add(needed + hopelessCheckSlack).After(r.expiry)
}

// overloadWaits returns the expected waits of tasks by priority. They follow from all work that is
// queued, late or not, and from the capacity that the starts of more urgent work leave; shortest is
// the wait of a task that starts before all others.
func (c *Control) overloadWaits(shortest time.Duration) Waits {
	work := make(map[int]float64)
	for _, r := range c.holder.queue {
		if r.state == queued {
			work[r.request.Priority] += cpuTime(r.request.Need, r.request.expected())
		}
	}
	priorities := make([]int, 0, len(work))
	for p := range work {
		priorities = append(priorities, p)
	}
	for p := range c.overload.starts.All() {
		if _, ok := work[p]; !ok {
			priorities = append(priorities, p)
		}
	}
	slices.Sort(priorities)
	waits := Waits{{Priority: math.MinInt32, Wait: shortest}}
	capacity := c.holder.throughput * packedShare
	left, ahead := capacity, 0.0
	for _, p := range priorities {
		ahead += work[p]
		wait := shortest
		if ahead > 0 && capacity > 0 {
			wait += time.Duration(min(ahead/max(left, capacity*minAvailableShare), maxWaitSeconds) * float64(time.Second))
			starved := starvationBound + time.Duration(min(work[p]/(capacity*starvedShare), maxWaitSeconds)*float64(time.Second))
			wait = min(wait, starved)
		}
		waits = append(waits, PriorityWait{Priority: p, Wait: wait})
		if rate, ok := c.overload.starts.Get(p); ok {
			left -= rate.add(c.now, 0)
		}
	}
	return waits
}
