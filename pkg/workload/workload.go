// Package workload describes jobs whose tasks need processors, memory and
// accelerators, and the endpoints that run them.
package workload

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"crocusseam/pkg/storage"
)

// Resources is an amount of what an endpoint has and a task needs.
type Resources struct {
	MilliCPU     int // thousandths of a processor
	MemoryMB     int
	Accelerators int
}

// Fits reports whether the amount is available in room.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// Add returns the sum of two amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns the amount less another one.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// JobID is the caller's name for a job.
type JobID string

// Step is a set of equal tasks of a job.
type Step struct {
	Count    int
	Need     Resources
	Estimate time.Duration // of one task, at the speed of a usual endpoint
	After    []int         // earlier steps that must be done first
	Label    string        // that the endpoint must have, or empty
	Rack     string        // where the data lies, or empty
}

// Job is what a caller submits.
type Job struct {
	ID    JobID
	Spec  string // passed to the endpoints as it is
	Steps []Step
	// Ephemeral jobs are answered when they have ended and are not stored.
	Ephemeral bool
	// Unsupported names what the job asks for and the system does not offer.
	Unsupported []string
}

// Tasks returns the number of tasks of all steps.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// LongestChain is the estimated time of the job with an endpoint free for each
// of its tasks.
func (j *Job) LongestChain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Limits of a job.
const (
	maxSpecBytes = 4000
	maxSteps     = 100
	maxTasks     = 1000
)

// ErrJob says which field of a job is not valid.
type ErrInvalidJob struct {
	Field string
	Value any
	Cause string
}

func (e *ErrInvalidJob) Error() string {
	return fmt.Sprintf("job: %s is %v: %s", e.Field, e.Value, e.Cause)
}

// Validate checks the job against the limits.
func (j *Job) Validate() error {
	switch {
	case len(j.Spec) > maxSpecBytes:
		return &ErrInvalidJob{"the length of Spec", len(j.Spec), fmt.Sprintf("the most is %d bytes", maxSpecBytes)}
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return &ErrInvalidJob{"the number of steps", len(j.Steps), fmt.Sprintf("1 to %d are allowed", maxSteps)}
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
	}
	if n := j.Tasks(); n > maxTasks {
		return &ErrInvalidJob{"the number of tasks", n, fmt.Sprintf("the most is %d", maxTasks)}
	}
	return nil
}

func (s *Step) validate(index int) error {
	field := func(name string) string { return fmt.Sprintf("step %d: %s", index, name) }
	switch {
	case s.Count < 1 || s.Count > maxTasks:
		return &ErrInvalidJob{field("Count"), s.Count, fmt.Sprintf("1 to %d are allowed", maxTasks)}
	case s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0:
		return &ErrInvalidJob{field("Need"), s.Need, "no amount may be negative"}
	case s.Estimate < 0:
		return &ErrInvalidJob{field("Estimate"), s.Estimate, "it may not be negative"}
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return &ErrInvalidJob{field("After"), a, "only earlier steps are allowed"}
		}
	}
	return nil
}

// TaskID names a task.
type TaskID struct {
	Job   JobID
	Step  int
	Index int
}

// Run is one start of a task. Numbers begin at 1 and rise.
type Run struct {
	Task   TaskID
	Number int
}

// How says how a run ended.
type How int

// Ends of a run. NeverRan is certain; Unknown may still be running.
const (
	Done     How = iota + 1
	Failed       // by its own fault or the endpoint's
	Stopped      // on an order
	Lapsed       // its lease ran out
	NeverRan     // it was not started and cannot start any more
	Outdated     // the endpoint has seen a run with a number that is not lower
	Unknown      // its end was not seen
)

var howNames = [...]string{"", "Done", "Failed", "Stopped", "Lapsed", "NeverRan", "Outdated", "Unknown"}

func (h How) String() string {
	if h < 0 || int(h) >= len(howNames) {
		return fmt.Sprintf("How(%d)", int(h))
	}
	return howNames[h]
}

// EndpointID names one life of an endpoint.
type EndpointID struct {
	Name string
	Born int64 // milliseconds since 1970
}

// Endpoint is an endpoint as it describes itself.
type Endpoint struct {
	ID       EndpointID
	Service  string
	Address  netip.AddrPort
	Domain   string
	Labels   []string
	Capacity Resources
	Draining bool
}

// Equal reports whether two endpoints describe themselves alike.
func (e *Endpoint) Equal(other *Endpoint) bool {
	return e.ID == other.ID && e.Service == other.Service && e.Address == other.Address && e.Domain == other.Domain &&
		e.Capacity == other.Capacity && e.Draining == other.Draining && slices.Equal(e.Labels, other.Labels)
}

// HasLabel reports whether the endpoint carries a label; every one carries the
// empty one.
func (e *Endpoint) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// RunningRun is a run that an endpoint reports as running.
type RunningRun struct {
	Run     Run
	Percent int
}

// EndedRun is a run that an endpoint reports as ended.
type EndedRun struct {
	Sequence int64 // rises in one life of the endpoint
	Run      Run
	How      How
}

// Report is what an endpoint says runs and has ended there.
type Report struct {
	Clock   time.Duration // of the endpoint, since its own zero
	Running []RunningRun
	Ended   []EndedRun
}

// Route sends a caller's requests to a service.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Timeout     time.Duration // for callers that do not say how long they wait
	Slack       time.Duration // added to the stretched run time in the objective
	Stretch     float64       // objective as a multiple of the longest chain
	Priority    int           // 0 goes first
	MaxAttempts int
	// Unsupported names what the route asks for and the system does not offer.
	Unsupported []string
}

// Objective is the time within which a job should be answered.
func (r *Route) Objective(j *Job) time.Duration {
	return time.Duration(float64(j.LongestChain())*r.Stretch) + r.Slack
}

// Configuration is the operator's configuration. Versions only rise.
type Configuration struct {
	Version uint64
	Routes  []Route
	Limits  Limits
}

// Limits bound callers' requests.
type Limits struct {
	BodyBytes int64 // of one request; 0 leaves the usual limit
}

// Token is a fencing token: the version of the row by which an endpoint is held.
type Token = storage.Version
