package routing

import (
	"math/rand/v2"
	"time"
)

// random is a baseline policy that assigns each demand to a random endpoint, with
// equal probability for all usable ones that have a free slot.
type random struct {
	source *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{source: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

func (p *random) Match(now time.Time, demands []*Demand, offers []*Offer) []TaskPair {
	return matchInTurn(now, demands, offers, func(usable []*Offer) *Offer {
		return usable[p.source.IntN(len(usable))]
	})
}

// roundRobin is a baseline policy that assigns the demands to the usable endpoints
// in turn.
type roundRobin struct {
	turn int
}

func (p *roundRobin) Match(now time.Time, demands []*Demand, offers []*Offer) []TaskPair {
	return matchInTurn(now, demands, offers, func(usable []*Offer) *Offer {
		p.turn++
		return usable[p.turn%len(usable)]
	})
}

// matchInTurn assigns the demands in their order, each to the offer that pick
// chooses among those that are usable for it.
func matchInTurn(now time.Time, demands []*Demand, offers []*Offer, pick func([]*Offer) *Offer) []TaskPair {
	var pairs []TaskPair
	for _, d := range demands {
		usable := usableOffers(d, offers)
		if len(usable) == 0 {
			continue
		}
		o := pick(usable)
		end := now.Add(time.Duration(float64(d.Work) / o.Speed))
		o.Busy = append(o.Busy, end)
		pairs = append(pairs, TaskPair{Demand: d, Offer: o, End: end})
	}
	return pairs
}

// usableOffers returns the offers with a free slot that the demand may use.
func usableOffers(d *Demand, offers []*Offer) []*Offer {
	var usable []*Offer
	for _, o := range offers {
		if o.Free() > 0 && mayUse(d, o, offers) {
			usable = append(usable, o)
		}
	}
	return usable
}
