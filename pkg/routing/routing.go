// Package routing provides policies that assign tasks to endpoints, and models that
// predict run times and endpoint speeds.
package routing

import (
	"net/netip"
	"time"
)

// Attempt identifies one attempt at a task: the home of its job, the incarnation
// of that instance, and a number that the home never reuses.
type Attempt struct {
	Home        string
	Incarnation uint64
	Number      uint64
}

// Demand is a task that is waiting for a slot.
type Demand struct {
	Attempt      Attempt
	Team         string
	Kind         string
	Work         time.Duration // expected run time at speed 1
	Processors   int
	MemoryBytes  int64
	Accelerators int
	Repeatable   bool
	Avoid        []netip.AddrPort // endpoints of earlier attempts
}

// Shape describes the kinds of tasks that an endpoint serves and the resources that
// one of them can use there.
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

// HasKind reports whether the endpoint serves tasks of this kind. A shape without
// kinds serves all of them.
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

// Offer describes an endpoint to a policy for one call of Match. Busy holds the
// expected end times of the tasks that occupy its slots; Slots-len(Busy) slots are
// free.
type Offer struct {
	Endpoint netip.AddrPort
	Holder   string
	Shape    *Shape
	Speed    float64 // run time at speed 1 divided by run time here
	Slots    int
	Busy     []time.Time
	Index    int           // for the caller's use, to find its own record of the offer
	Latency  time.Duration // of the network, one way from the holder's domain
	Probe    bool          // only Repeatable tasks may run here, to test the endpoint
}

// Free returns the number of free slots.
func (o *Offer) Free() int { return o.Slots - len(o.Busy) }

// Pair assigns a demand to an offer.
type Pair[D, O any] struct {
	Demand D
	Offer  O
	End    time.Time // expected end of the task
}

// Policy assigns demands to offers. Match receives the demands in order of
// priority. It adds each assigned demand to the Busy list of its offer, so that an
// offer never gets more demands than it has free slots. Demands that are not in
// the returned pairs keep waiting.
type Policy[D, O any] interface {
	Match(now time.Time, demands []D, offers []O) []Pair[D, O]
}

// TaskPolicy is a policy that assigns tasks to endpoints.
type TaskPolicy = Policy[*Demand, *Offer]

// TaskPair assigns a task to an endpoint.
type TaskPair = Pair[*Demand, *Offer]

// PolicyName is the name of a policy in the environment document.
type PolicyName string

// The policies. Random and RoundRobin are baselines: each instance assigns tasks
// in order of arrival, and only to the endpoints that it holds.
const (
	EarliestCompletion PolicyName = "EarliestCompletion"
	Random             PolicyName = "Random"
	RoundRobin         PolicyName = "RoundRobin"
)

// IsLocal reports whether each instance matches its own tasks with its own
// endpoints under this policy, without a common lead.
func (n PolicyName) IsLocal() bool { return n == Random || n == RoundRobin }

// New returns the policy with this name, or nil if there is none. The default is
// EarliestCompletion. The seed is for Random.
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

// mayUse reports whether the demand may run at the offer. A demand may use an
// endpoint of an earlier attempt only if no offer of another endpoint fits it.
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
