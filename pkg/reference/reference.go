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
	jobs      []Job
	endpoints []Endpoint
	running   [][]time.Time // ends by endpoint
	waiting   []map[int]time.Duration
	remaining []time.Duration
	left      []int
	ends      []time.Time
	order     []int // jobs with waiting tasks
}

// Replay returns the response time of each job.
func Replay(jobs []Job, endpoints []Endpoint) []time.Duration {
	r := &replay{
		jobs: jobs, endpoints: endpoints,
		running: make([][]time.Time, len(endpoints)), remaining: make([]time.Duration, len(jobs)),
		left: make([]int, len(jobs)), ends: make([]time.Time, len(jobs)), waiting: make([]map[int]time.Duration, len(jobs)),
	}
	arrivals := make([]int, len(jobs))
	for i := range jobs {
		arrivals[i] = i
		r.left[i] = len(jobs[i].Work)
	}
	sort.SliceStable(arrivals, func(a, b int) bool { return jobs[arrivals[a]].Arrival.Before(jobs[arrivals[b]].Arrival) })
	for len(arrivals) > 0 || len(r.order) > 0 {
		now := r.nextEvent(arrivals)
		for len(arrivals) > 0 && !jobs[arrivals[0]].Arrival.After(now) {
			r.arrive(arrivals[0])
			arrivals = arrivals[1:]
		}
		r.free(now)
		r.assign(now)
	}
	responses := make([]time.Duration, len(jobs))
	for i := range jobs {
		responses[i] = r.ends[i].Sub(jobs[i].Arrival)
	}
	return responses
}

func (r *replay) nextEvent(arrivals []int) time.Time {
	var next time.Time
	if len(arrivals) > 0 {
		next = r.jobs[arrivals[0]].Arrival
	}
	if len(r.order) == 0 {
		return next
	}
	for _, ends := range r.running {
		for _, e := range ends {
			if next.IsZero() || e.Before(next) {
				next = e
			}
		}
	}
	return next
}

func (r *replay) arrive(i int) {
	r.waiting[i] = make(map[int]time.Duration, len(r.jobs[i].Work))
	for t, w := range r.jobs[i].Work {
		r.waiting[i][t] = w
		r.remaining[i] += w
	}
	r.order = append(r.order, i)
}

func (r *replay) free(now time.Time) {
	for e := range r.running {
		r.running[e] = slices.DeleteFunc(r.running[e], func(end time.Time) bool { return !end.After(now) })
	}
}

func (r *replay) assign(now time.Time) {
	sort.SliceStable(r.order, func(a, b int) bool { return r.remaining[r.order[a]] < r.remaining[r.order[b]] })
	offers, index, free := r.offers()
	demands, tasks := r.demands(2*free + 64)
	policy := routing.New(routing.EarliestCompletion, 0)
	for _, p := range policy.Match(now, demands, offers) {
		e := index[p.Offer.Endpoint]
		t := tasks[p.Demand]
		r.running[e] = append(r.running[e], p.End)
		delete(r.waiting[t.job], int(p.Demand.Attempt.Number))
		r.remaining[t.job] -= t.work
		r.left[t.job]--
		if p.End.After(r.ends[t.job]) {
			r.ends[t.job] = p.End
		}
	}
	r.order = slices.DeleteFunc(r.order, func(i int) bool { return r.left[i] == 0 })
}

func (r *replay) offers() ([]*routing.Offer, map[netip.AddrPort]int, int) {
	shape := &routing.Shape{}
	index := make(map[netip.AddrPort]int, len(r.endpoints))
	var offers []*routing.Offer
	free := 0
	for i, e := range r.endpoints {
		index[e.Address] = i
		offers = append(offers, &routing.Offer{
			Endpoint: e.Address, Shape: shape, Speed: e.Speed, Slots: e.Slots, Busy: slices.Clone(r.running[i]),
		})
		free += e.Slots - len(r.running[i])
	}
	return offers, index, free
}

func (r *replay) demands(limit int) ([]*routing.Demand, map[*routing.Demand]task) {
	tasks := make(map[*routing.Demand]task)
	var demands []*routing.Demand
	for _, i := range r.order {
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
