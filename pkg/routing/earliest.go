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
type earliestCompletion struct{}

// view is an offer during one round. Times are in nanoseconds from now.
type view struct {
	offer *Offer
	slow  float64 // run time here divided by run time at speed 1
	hop   float64
	free  int
	ends  endHeap // expected ends of the busy and reserved slots
}

// next returns when the first slot is free.
func (v *view) next() float64 {
	if v.free > 0 {
		return 0
	}
	return max(v.ends[0], 0)
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
	views, free := newViews(now, offers)
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
			v.ends[0] = end
			heap.Fix(&v.ends, 0)
			continue
		}
		v.free--
		heap.Push(&v.ends, end)
		free--
		at := now.Add(time.Duration(end))
		v.offer.Busy = append(v.offer.Busy, at)
		pairs = append(pairs, TaskPair{Demand: d, Offer: v.offer, End: at})
	}
	return pairs
}

func newViews(now time.Time, offers []*Offer) ([]view, int) {
	views := make([]view, 0, len(offers))
	free := 0
	for _, o := range offers {
		if o.Slots <= 0 {
			continue
		}
		v := view{offer: o, slow: 1 / o.Speed, hop: float64(o.Hop), free: max(o.Free(), 0), ends: make(endHeap, len(o.Busy), len(o.Busy)+max(o.Free(), 0))}
		for i, b := range o.Busy {
			v.ends[i] = float64(b.Sub(now))
		}
		heap.Init(&v.ends)
		free += v.free
		views = append(views, v)
	}
	return views, free
}

// pickEarliest returns the offer where the demand ends first, and that end.
func pickEarliest(d *Demand, views []view, offers []*Offer) (best *view, end float64) {
	work := float64(d.Work)
	for i := range views {
		v := &views[i]
		e := v.next() + v.hop + work*v.slow
		if best != nil && e >= end {
			continue
		}
		if mayUse(d, v.offer, offers) {
			best, end = v, e
		}
	}
	return best, end
}
