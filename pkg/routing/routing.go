// Package routing decides which endpoint runs which task.
package routing

import (
	"net/netip"
	"time"
)

// Attempt identifies one attempt at one task: the instance that is its home,
// the incarnation of that instance, and a number that the home never reuses.
type Attempt struct {
	Home        string
	Incarnation uint64
	Number      uint64
}

// Demand is a task that waits for a slot.
type Demand struct {
	Attempt      Attempt
	Team         string
	Kind         string
	Work         time.Duration // expected run time at speed 1
	Processors   int
	MemoryBytes  int64
	Accelerators int
	Repeatable   bool
	Avoid        []netip.AddrPort
}

// Shape is what an endpoint can hold.
type Shape struct {
	Kinds        []string
	Processors   int
	MemoryBytes  int64
	Accelerators int
}

// Fits reports whether an endpoint of this shape can ever run the demand.
func (s *Shape) Fits(d *Demand) bool {
	if d.Processors > s.Processors || d.MemoryBytes > s.MemoryBytes || d.Accelerators > s.Accelerators {
		return false
	}
	return s.HasKind(d.Kind)
}

// HasKind reports whether the endpoint serves tasks of this kind.
func (s *Shape) HasKind(kind string) bool {
	if len(s.Kinds) == 0 {
		return true
	}
	for _, k := range s.Kinds {
		if k == kind {
			return true
		}
	}
	return false
}

// Offer is an endpoint's part in one round of matching. Busy holds the
// expected ends of what occupies its slots; Slots-len(Busy) slots are free.
type Offer struct {
	Endpoint netip.AddrPort
	Holder   string
	Shape    *Shape
	Speed    float64 // run time at speed 1 divided by run time here
	Slots    int
	Busy     []time.Time
	Index    int           // the caller's, to find its own record of the offer
	Latency  time.Duration // one way from the owner's domain
	Probe    bool          // only a Repeatable task may try it
}

// Free returns the number of free slots.
func (o *Offer) Free() int { return o.Slots - len(o.Busy) }

// Pair assigns a demand to an offer.
type Pair[D, O any] struct {
	Demand D
	Offer  O
	End    time.Time // expected
}

// Policy assigns demands, which come in order of priority, to offers. It
// changes the offers' Busy lists, so that an offer never gets more demands
// than it has free slots. Demands without a pair go on waiting.
type Policy[D, O any] interface {
	Match(now time.Time, demands []D, offers []O) []Pair[D, O]
}

// TaskPolicy matches tasks and endpoints.
type TaskPolicy = Policy[*Demand, *Offer]

// TaskPair is a task with its endpoint.
type TaskPair = Pair[*Demand, *Offer]

// PolicyName names a policy in the environment document.
type PolicyName string

// The policies. Random and RoundRobin are baselines: each instance uses only
// the endpoints that it holds, in order of arrival.
const (
	EarliestCompletion PolicyName = "EarliestCompletion"
	Random             PolicyName = "Random"
	RoundRobin         PolicyName = "RoundRobin"
)

// IsLocal reports whether instances with this policy match on their own.
func (n PolicyName) IsLocal() bool { return n == Random || n == RoundRobin }

// New returns the policy of that name, or nil if there is none.
func New(name PolicyName, seed uint64) TaskPolicy {
	switch name {
	case EarliestCompletion, "":
		return &earliestCompletion{}
	case Random:
		return newRandom(seed)
	case RoundRobin:
		return &roundRobin{}
	}
	return nil
}

func avoids(d *Demand, endpoint netip.AddrPort) bool {
	for _, a := range d.Avoid {
		if a == endpoint {
			return true
		}
	}
	return false
}

// mayUse reports whether the demand may run at the offer. A demand avoids the
// endpoints of its earlier attempts while another one would do.
func mayUse(d *Demand, o *Offer, offers []*Offer) bool {
	if !o.Shape.Fits(d) || (o.Probe && !d.Repeatable) {
		return false
	}
	if !avoids(d, o.Endpoint) {
		return true
	}
	for _, other := range offers {
		if other.Shape.Fits(d) && !avoids(d, other.Endpoint) {
			return false
		}
	}
	return true
}
