package routing

import "time"

// earliestCompletion gives each demand, in order of priority, the slot on
// which it is expected to end first. That may be a slot that is still busy: a
// fast endpoint that is free soon beats a slow one that is free now. Then the
// demand reserves that slot against the demands behind it and goes on waiting,
// and is decided anew in the next round (late binding).
type earliestCompletion struct{}

func (p *earliestCompletion) Match(now time.Time, demands []*Demand, offers []*Offer) []TaskPair {
	free := 0
	for _, o := range offers {
		free += max(o.Free(), 0)
	}
	var pairs []TaskPair
	for _, d := range demands {
		if free <= 0 {
			break
		}
		best, end, busy := pickEarliest(now, d, offers)
		if best == nil {
			continue
		}
		if busy >= 0 {
			best.Busy[busy] = end
			continue
		}
		best.Busy = append(best.Busy, end)
		free--
		pairs = append(pairs, TaskPair{Demand: d, Offer: best, End: end})
	}
	return pairs
}

// pickEarliest returns the offer where the demand ends first, that end, and
// the index in Busy of the slot to wait for, or -1 if a slot is free now.
func pickEarliest(now time.Time, d *Demand, offers []*Offer) (best *Offer, end time.Time, busy int) {
	for _, o := range offers {
		if o.Slots <= 0 || !mayUse(d, o, offers) {
			continue
		}
		start, index := nextFree(now, o)
		e := start.Add(o.Hop + time.Duration(float64(d.Work)/o.Speed))
		if best == nil || e.Before(end) {
			best, end, busy = o, e, index
		}
	}
	return best, end, busy
}

func nextFree(now time.Time, o *Offer) (time.Time, int) {
	if o.Free() > 0 {
		return now, -1
	}
	index := 0
	for i, b := range o.Busy {
		if b.Before(o.Busy[index]) {
			index = i
		}
	}
	if o.Busy[index].Before(now) {
		return now, index
	}
	return o.Busy[index], index
}
