package routing

import (
	"container/heap"
	"time"
)

// earliestCompletion assigns each demand, in order of priority, to the slot on
// which it is expected to end first. That slot may still be busy, as a fast
// endpoint that is free soon can beat a slow one that is free now. In that case
// the demand reserves the slot against demands of lower priority and keeps
// waiting; the next call of Match decides again (late binding).
type earliestCompletion struct {
	states []offerState // kept between calls to reuse their memory
}

// offerState is the state of an offer during one call of Match. Times are in
// nanoseconds from now.
type offerState struct {
	offer         *Offer
	runTimeFactor float64 // run time here divided by run time at speed 1
	latency       float64
	free          int
	busyUntil     endHeap // expected end times of the busy and reserved slots
}

// nextFree returns when the first slot is expected to be free.
func (s *offerState) nextFree() float64 {
	if s.free > 0 {
		return 0
	}
	return max(s.busyUntil[0], 0)
}

// endHeap is a heap of end times, the earliest first.
type endHeap []float64

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an end time, as heap.Interface requires.
func (h *endHeap) Push(x any) { *h = append(*h, x.(float64)) }

// Pop removes the last element, as heap.Interface requires.
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (p *earliestCompletion) Match(now time.Time, demands []*Demand, offers []*Offer) []TaskPair {
	states, free := p.prepare(now, offers)
	var pairs []TaskPair
	for _, d := range demands {
		if free <= 0 {
			break
		}
		s, end := pickEarliest(d, states, offers)
		if s == nil {
			continue
		}
		if s.free == 0 {
			s.busyUntil[0] = end
			heap.Fix(&s.busyUntil, 0)
			continue
		}
		s.free--
		heap.Push(&s.busyUntil, end)
		free--
		at := now.Add(time.Duration(end))
		s.offer.Busy = append(s.offer.Busy, at)
		pairs = append(pairs, TaskPair{Demand: d, Offer: s.offer, End: at})
	}
	return pairs
}

// prepare returns the state of each offer that has slots, and the number of free
// slots in total.
func (p *earliestCompletion) prepare(now time.Time, offers []*Offer) ([]offerState, int) {
	for len(p.states) < len(offers) {
		p.states = append(p.states, offerState{})
	}
	count, free := 0, 0
	for _, o := range offers {
		if o.Slots <= 0 {
			continue
		}
		s := &p.states[count]
		count++
		s.offer, s.runTimeFactor, s.latency, s.free = o, 1/o.Speed, float64(o.Latency), max(o.Free(), 0)
		s.busyUntil = s.busyUntil[:0]
		for _, b := range o.Busy {
			s.busyUntil = append(s.busyUntil, float64(b.Sub(now)))
		}
		heap.Init(&s.busyUntil)
		free += s.free
	}
	return p.states[:count], free
}

// pickEarliest returns the offer on which the demand is expected to end first, and
// its end time there. It returns nil if the demand may use none of the offers.
func pickEarliest(d *Demand, states []offerState, offers []*Offer) (best *offerState, end float64) {
	work := float64(d.Work)
	for i := range states {
		s := &states[i]
		e := s.nextFree() + s.latency + work*s.runTimeFactor
		if best != nil && e >= end {
			continue
		}
		if mayUse(d, s.offer, offers) {
			best, end = s, e
		}
	}
	return best, end
}
