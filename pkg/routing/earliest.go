package routing

import (
	"container/heap"
	"time"
)

// earliestCompletion gives each demand, in order of priority, the slot on
// which it is expected to end first. That may be a slot that is still busy: a
// fast endpoint that is free soon beats a slow one that is free now. Then the
// demand reserves that slot against the demands behind it and goes on waiting,
// and is decided anew in the next round (late binding).
type earliestCompletion struct {
	states []offerState // kept between rounds to reuse their memory
}

// view is an offer during one round. Times are in nanoseconds from now.
type offerState struct {
	offer         *Offer
	runTimeFactor float64 // run time here divided by run time at speed 1
	latency       float64
	free          int
	busyUntil     endHeap // expected ends of the busy and reserved slots
}

// next returns when the first slot is free.
func (v *offerState) nextFree() float64 {
	if v.free > 0 {
		return 0
	}
	return max(v.busyUntil[0], 0)
}

// endHeap is a heap of ends, the earliest first.
type endHeap []float64

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push and Pop implement heap.Interface; a round only fixes its heaps.
func (h *endHeap) Push(x any) { *h = append(*h, x.(float64)) }

// Pop removes the last end.
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (p *earliestCompletion) Match(now time.Time, demands []*Demand, offers []*Offer) []TaskPair {
	views, free := p.prepare(now, offers)
	var pairs []TaskPair
	for _, d := range demands {
		if free <= 0 {
			break
		}
		v, end := pickEarliest(d, views, offers)
		if v == nil {
			continue
		}
		if v.free == 0 {
			v.busyUntil[0] = end
			heap.Fix(&v.busyUntil, 0)
			continue
		}
		v.free--
		heap.Push(&v.busyUntil, end)
		free--
		at := now.Add(time.Duration(end))
		v.offer.Busy = append(v.offer.Busy, at)
		pairs = append(pairs, TaskPair{Demand: d, Offer: v.offer, End: at})
	}
	return pairs
}

// prepare makes a view of each offer and counts the free slots.
func (p *earliestCompletion) prepare(now time.Time, offers []*Offer) ([]offerState, int) {
	for len(p.states) < len(offers) {
		p.states = append(p.states, offerState{})
	}
	count, free := 0, 0
	for _, o := range offers {
		if o.Slots <= 0 {
			continue
		}
		v := &p.states[count]
		count++
		v.offer, v.runTimeFactor, v.latency, v.free = o, 1/o.Speed, float64(o.Latency), max(o.Free(), 0)
		v.busyUntil = v.busyUntil[:0]
		for _, b := range o.Busy {
			v.busyUntil = append(v.busyUntil, float64(b.Sub(now)))
		}
		heap.Init(&v.busyUntil)
		free += v.free
	}
	return p.states[:count], free
}

// pickEarliest returns the offer where the demand ends first, and that end.
func pickEarliest(d *Demand, views []offerState, offers []*Offer) (best *offerState, end float64) {
	work := float64(d.Work)
	for i := range views {
		v := &views[i]
		e := v.nextFree() + v.latency + work*v.runTimeFactor
		if best != nil && e >= end {
			continue
		}
		if mayUse(d, v.offer, offers) {
			best, end = v, e
		}
	}
	return best, end
}
