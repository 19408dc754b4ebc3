// Package reference is the yardstick for response times: a central scheduler
// that knows every true run time and speed and sends no message. It serves the
// smallest remaining job first, each task on the slot where it ends earliest.
package reference

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"crocusseam/pkg/routing"
)

// Job is a job of a recorded load.
type Job struct {
	Arrival time.Time
	Work    []time.Duration // true run times at speed 1
	Kinds   []string        // one for each task, or none
	// Domain restricts the job to one failure domain; "" means all.
	Domain string
}

// Endpoint is an endpoint with its true speed.
type Endpoint struct {
	Address netip.AddrPort
	Domain  string
	Slots   int
	Speed   float64
}

type task struct {
	job  int
	work time.Duration
}

type replay struct {
	jobs        []Job
	endpoints   []Endpoint
	busyUntil   [][]time.Time // ends by endpoint
	waiting     []map[int]time.Duration
	remaining   []time.Duration
	unstarted   []int
	finishedAt  []time.Time
	jobsInOrder []int // jobs with waiting tasks
}

// Replay returns the response time of each job.
func Replay(jobs []Job, endpoints []Endpoint) []time.Duration {
	r := &replay{
		jobs: jobs, endpoints: endpoints,
		busyUntil: make([][]time.Time, len(endpoints)), remaining: make([]time.Duration, len(jobs)),
		unstarted: make([]int, len(jobs)), finishedAt: make([]time.Time, len(jobs)), waiting: make([]map[int]time.Duration, len(jobs)),
	}
	arrivals := make([]int, len(jobs))
	for i := range jobs {
		arrivals[i] = i
		r.unstarted[i] = len(jobs[i].Work)
	}
	sort.SliceStable(arrivals, func(a, b int) bool { return jobs[arrivals[a]].Arrival.Before(jobs[arrivals[b]].Arrival) })
	for len(arrivals) > 0 || len(r.jobsInOrder) > 0 {
		now := r.nextEvent(arrivals)
		for len(arrivals) > 0 && !jobs[arrivals[0]].Arrival.After(now) {
			r.enqueue(arrivals[0])
			arrivals = arrivals[1:]
		}
		r.releaseSlots(now)
		r.assign(now)
	}
	responses := make([]time.Duration, len(jobs))
	for i := range jobs {
		responses[i] = r.finishedAt[i].Sub(jobs[i].Arrival)
	}
	return responses
}

func (r *replay) nextEvent(arrivals []int) time.Time {
	var next time.Time
	if len(arrivals) > 0 {
		next = r.jobs[arrivals[0]].Arrival
	}
	if len(r.jobsInOrder) == 0 {
		return next
	}
	for _, ends := range r.busyUntil {
		for _, e := range ends {
			if next.IsZero() || e.Before(next) {
				next = e
			}
		}
	}
	return next
}

func (r *replay) enqueue(i int) {
	r.waiting[i] = make(map[int]time.Duration, len(r.jobs[i].Work))
	for t, w := range r.jobs[i].Work {
		r.waiting[i][t] = w
		r.remaining[i] += w
	}
	r.jobsInOrder = append(r.jobsInOrder, i)
}

func (r *replay) releaseSlots(now time.Time) {
	for e := range r.busyUntil {
		r.busyUntil[e] = slices.DeleteFunc(r.busyUntil[e], func(end time.Time) bool { return !end.After(now) })
	}
}

func (r *replay) assign(now time.Time) {
	sort.SliceStable(r.jobsInOrder, func(a, b int) bool { return r.remaining[r.jobsInOrder[a]] < r.remaining[r.jobsInOrder[b]] })
	offers, index, free := r.offers()
	demands, tasks := r.demands(2*free + 64)
	policy := routing.New(routing.EarliestCompletion, 0)
	for _, p := range policy.Match(now, demands, offers) {
		e := index[p.Offer.Endpoint]
		t := tasks[p.Demand]
		r.busyUntil[e] = append(r.busyUntil[e], p.End)
		delete(r.waiting[t.job], int(p.Demand.Attempt.Number))
		r.remaining[t.job] -= t.work
		r.unstarted[t.job]--
		if p.End.After(r.finishedAt[t.job]) {
			r.finishedAt[t.job] = p.End
		}
	}
	r.jobsInOrder = slices.DeleteFunc(r.jobsInOrder, func(i int) bool { return r.unstarted[i] == 0 })
}

func (r *replay) offers() ([]*routing.Offer, map[netip.AddrPort]int, int) {
	shape := &routing.Shape{}
	index := make(map[netip.AddrPort]int, len(r.endpoints))
	var offers []*routing.Offer
	free := 0
	for i, e := range r.endpoints {
		index[e.Address] = i
		offers = append(offers, &routing.Offer{
			Endpoint: e.Address, Shape: shape, Speed: e.Speed, Slots: e.Slots, Busy: slices.Clone(r.busyUntil[i]),
		})
		free += e.Slots - len(r.busyUntil[i])
	}
	return offers, index, free
}

func (r *replay) demands(limit int) ([]*routing.Demand, map[*routing.Demand]task) {
	tasks := make(map[*routing.Demand]task)
	var demands []*routing.Demand
	for _, i := range r.jobsInOrder {
		if len(demands) >= limit {
			break
		}
		var own []*routing.Demand
		for t, w := range r.waiting[i] {
			d := &routing.Demand{Attempt: routing.Attempt{Number: uint64(t)}, Work: w}
			own = append(own, d)
			tasks[d] = task{i, w}
		}
		sort.Slice(own, func(a, b int) bool {
			if own[a].Work != own[b].Work {
				return own[a].Work > own[b].Work
			}
			return own[a].Attempt.Number < own[b].Attempt.Number
		})
		demands = append(demands, own...)
	}
	return demands, tasks
}
