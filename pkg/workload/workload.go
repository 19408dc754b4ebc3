// Package workload defines jobs, their tasks and the resources that the tasks
// need, the endpoints that run tasks, and the operator's configuration.
package workload

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"crocusseam/pkg/storage"
)

// Resources is an amount of the resources that endpoints have and tasks need.
type Resources struct {
	MilliCPU     int // thousandths of a processor
	MemoryMB     int
	Accelerators int
}

// Fits reports whether no resource exceeds the available amount.
func (r Resources) Fits(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMB <= available.MemoryMB && r.Accelerators <= available.Accelerators
}

// Add returns the sum of both amounts, resource by resource.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns the difference of both amounts, resource by resource. It may be
// negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// JobID identifies a job. The caller chooses it.
type JobID string

// Step is a set of identical tasks of a job.
type Step struct {
	Count    int
	Need     Resources
	Estimate time.Duration // expected run time of one task on a typical endpoint
	After    []int         // indices of earlier steps that must be done first
	Label    string        // label that the endpoint must have, or empty
	Rack     string        // rack of the task's data, or empty
}

// Job is what a caller submits.
type Job struct {
	ID    JobID
	Spec  string // passed to the endpoints unchanged
	Steps []Step
	// Ephemeral jobs are not stored; their callers wait for the answer until the
	// job has ended.
	Ephemeral bool
	// Unsupported names the features that the job asks for and that the system
	// does not offer.
	Unsupported []string
}

// Tasks returns the total number of tasks in all steps.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// LongestChain returns the estimated run time of the longest chain of dependent
// steps, the critical path. It is the run time of the job if no task has to wait
// for a free endpoint.
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
	MaxSpecBytes = 4000
	MaxSteps     = 100
	MaxTasks     = 1000
	// MaxAfter bounds the After entries of a step. More entries than a job has steps
	// name one of them again.
	MaxAfter = MaxSteps
)

// ErrInvalidJob names an invalid field of a job, its value and the reason.
type ErrInvalidJob struct {
	Field string
	Value any
	Cause string
}

func (e *ErrInvalidJob) Error() string {
	return fmt.Sprintf("job: %s is %v: %s", e.Field, e.Value, e.Cause)
}

// Validate checks the job against the limits and returns an *ErrInvalidJob for
// the first violation.
func (j *Job) Validate() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return SpecTooLong(len(j.Spec))
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return WrongNumberOfSteps(len(j.Steps))
	}
	for i := range j.Steps {
		if err := j.Steps[i].Validate(i); err != nil {
			return err
		}
	}
	if n := j.Tasks(); n > MaxTasks {
		return TooManyTasks(n)
	}
	return nil
}

// SpecTooLong returns the error for a specification of this length.
func SpecTooLong(bytes int) error {
	return &ErrInvalidJob{"the length of Spec", bytes, fmt.Sprintf("the most is %d bytes", MaxSpecBytes)}
}

// WrongNumberOfSteps returns the error for a job with this number of steps.
func WrongNumberOfSteps(n int) error {
	return &ErrInvalidJob{"the number of steps", n, fmt.Sprintf("1 to %d are allowed", MaxSteps)}
}

// TooManyTasks returns the error for a job with this number of tasks.
func TooManyTasks(n int) error {
	return &ErrInvalidJob{"the number of tasks", n, fmt.Sprintf("the most is %d", MaxTasks)}
}

// Validate checks the step with this index in its job against the limits.
func (s *Step) Validate(index int) error {
	field := func(name string) string { return fmt.Sprintf("step %d: %s", index, name) }
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return &ErrInvalidJob{field("Count"), s.Count, fmt.Sprintf("1 to %d are allowed", MaxTasks)}
	case s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0:
		return &ErrInvalidJob{field("Need"), s.Need, "no amount may be negative"}
	case s.Estimate < 0:
		return &ErrInvalidJob{field("Estimate"), s.Estimate, "it may not be negative"}
	}
	for n, a := range s.After {
		if err := ValidateAfter(index, n, a); err != nil {
			return err
		}
	}
	return nil
}

// ValidateAfter checks the After entry with this number, from 0, of the step with this index.
func ValidateAfter(step, number, entry int) error {
	switch {
	case number >= MaxAfter:
		return &ErrInvalidJob{fmt.Sprintf("step %d: the number of After", step), number + 1, fmt.Sprintf("the most is %d", MaxAfter)}
	case entry < 0 || entry >= step:
		return &ErrInvalidJob{fmt.Sprintf("step %d: After", step), entry, "only earlier steps are allowed"}
	}
	return nil
}

// TaskID identifies a task by its job, the index of its step and its index in the
// step.
type TaskID struct {
	Job   JobID
	Step  int
	Index int
}

// Name returns the name of the task on the platform's interfaces. Its second part numbers the
// occurrences of timed jobs, which are not offered.
func (t TaskID) Name() string {
	return string(t.Job) + ".0." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// Run identifies one start of a task. The runs of a task have rising numbers,
// from 1.
type Run struct {
	Task   TaskID
	Number int
}

// Name returns the name of the run's task and the number of the run.
func (r Run) Name() string { return r.Task.Name() + " run " + strconv.Itoa(r.Number) }

// How is the outcome of a run.
type How int

// Outcomes of a run.
const (
	Done     How = iota + 1
	Failed       // the task or the endpoint failed
	Stopped      // a stop order ended it
	Lapsed       // its lease expired
	NeverRan     // it certainly never started, and cannot start any more
	Outdated     // the endpoint had already received this run or a later one of the task
	Unknown      // no report gave its outcome; it may still be running
)

var howNames = [...]string{"", "Done", "Failed", "Stopped", "Lapsed", "NeverRan", "Outdated", "Unknown"}

func (h How) String() string {
	if h < 0 || int(h) >= len(howNames) {
		return fmt.Sprintf("How(%d)", int(h))
	}
	return howNames[h]
}

// EndpointID identifies one incarnation of an endpoint.
type EndpointID struct {
	Name string
	Born int64 // start of the incarnation, in milliseconds since 1970
}

// Endpoint is an endpoint's description of itself.
type Endpoint struct {
	ID       EndpointID
	Service  string
	Address  netip.AddrPort
	Domain   string
	Labels   []string
	Capacity Resources
	Draining bool
	// ColdUntil is when the endpoint stops being cold (slow after its start), on its own clock;
	// 0 if it is not cold, or ColdEndUnknown.
	ColdUntil time.Duration
	// Version orders the states of the entry: it is a version of its row with this content,
	// or 0 if that is not known. It is not part of the content.
	Version uint64
}

// ColdEndUnknown is the ColdUntil of an endpoint that is cold and does not say until when.
const ColdEndUnknown time.Duration = -1

// coldEndTolerance is the difference up to which two ends of a cold phase count as the same: an
// entry gives the time left and the clock in rounded figures.
const coldEndTolerance = 20 * time.Millisecond

func sameColdEnd(a, b time.Duration) bool {
	if a <= 0 || b <= 0 {
		return a == b
	}
	return (a - b).Abs() <= coldEndTolerance
}

const (
	maxLabels   = 100     // of an endpoint
	maxCapacity = 1 << 40 // of any resource of an endpoint; sums of them do not overflow
)

// ErrInvalidEndpoint names an invalid field of an endpoint, its value and the reason.
type ErrInvalidEndpoint struct {
	Field string
	Value any
	Cause string
}

func (e *ErrInvalidEndpoint) Error() string {
	return fmt.Sprintf("endpoint: %s is %.100v: %s", e.Field, e.Value, e.Cause)
}

// Validate checks the endpoint against the limits and returns an *ErrInvalidEndpoint for
// the first violation. An endpoint may be described by another writer. Its name and domain
// become keys of rows, so one that cannot be a key would spoil the commits and scans in
// which others take part.
func (e *Endpoint) Validate() error {
	texts := []struct{ field, text string }{{"Name", e.ID.Name}, {"Domain", e.Domain}, {"Service", e.Service}}
	for _, t := range texts {
		if t.text == "" || len(t.text) > storage.MaxNameBytes {
			return &ErrInvalidEndpoint{t.field, t.text, fmt.Sprintf("1 to %d bytes are allowed", storage.MaxNameBytes)}
		}
	}
	c := e.Capacity
	switch {
	case strings.Contains(e.Domain, "/"):
		return &ErrInvalidEndpoint{"Domain", e.Domain, "a slash ends the domain in a key"}
	case !e.Address.IsValid() || e.Address.Port() == 0:
		return &ErrInvalidEndpoint{"Address", e.Address, "an address and a port are needed"}
	case min(c.MilliCPU, c.MemoryMB, c.Accelerators) < 0 || max(c.MilliCPU, c.MemoryMB, c.Accelerators) > maxCapacity:
		return &ErrInvalidEndpoint{"Capacity", c, fmt.Sprintf("0 to %d are allowed", maxCapacity)}
	case len(e.Labels) > maxLabels:
		return &ErrInvalidEndpoint{"the number of labels", len(e.Labels), fmt.Sprintf("the most is %d", maxLabels)}
	}
	for _, l := range e.Labels {
		if len(l) > storage.MaxNameBytes {
			return &ErrInvalidEndpoint{"a label", l, fmt.Sprintf("the most is %d bytes", storage.MaxNameBytes)}
		}
	}
	return nil
}

// Equal reports whether both descriptions are the same.
func (e *Endpoint) Equal(other *Endpoint) bool {
	return e.ID == other.ID && e.Service == other.Service && e.Address == other.Address && e.Domain == other.Domain &&
		e.Capacity == other.Capacity && e.Draining == other.Draining && slices.Equal(e.Labels, other.Labels) &&
		sameColdEnd(e.ColdUntil, other.ColdUntil)
}

// HasLabel reports whether the endpoint has a label. Every endpoint has the empty
// label.
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
	Sequence int64 // rises within one incarnation of the endpoint
	Run      Run
	How      How
}

// Report is an endpoint's list of its running and ended runs.
type Report struct {
	Clock   time.Duration // the endpoint's clock, counted from a zero of its own
	Running []RunningRun
	Ended   []EndedRun // the oldest that are not acknowledged, up to MaxReportedEnds
}

// MaxReportedEnds is the platform's limit for the ended runs in one report.
const MaxReportedEnds = 500

// Truncated reports whether further runs may have ended that the report does not list. A
// run that it does not list at all may then be one of them.
func (r *Report) Truncated() bool { return len(r.Ended) >= MaxReportedEnds }

// Route assigns callers' requests to a service, by host and path prefix, and says
// how their jobs are run.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Timeout     time.Duration // for requests that give no timeout
	Slack       time.Duration // constant part of the objective, see Objective
	Stretch     float64       // factor of the longest chain in the objective
	Priority    int           // 0 is the highest
	MaxAttempts int
	// Unsupported names the features that the route asks for and that the system
	// does not offer.
	Unsupported []string
}

// Objective returns the time within which a job should be answered.
func (r *Route) Objective(j *Job) time.Duration {
	return time.Duration(float64(j.LongestChain())*r.Stretch) + r.Slack
}

// Configuration is the operator's configuration. A newer one has a higher version.
type Configuration struct {
	Version uint64
	Routes  []Route
	Limits  Limits
	// Services are those that say something of their endpoints.
	Services []Service
	// Skipped are the errors of parts that were left out.
	Skipped []error
}

// Service describes the endpoints of a service.
type Service struct {
	Name       string
	ColdStart  time.Duration // how long they are cold after a start
	ColdPerSec float64       // starts a second that a cold one sustains; 0 means no limit
}

// Service returns what the configuration says of a service.
func (c *Configuration) Service(name string) Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return c.Services[i]
		}
	}
	return Service{Name: name}
}

// Limits bounds callers' requests.
type Limits struct {
	BodyBytes int64 // maximum for one request; 0 selects the default
}

// Token is a fencing token: the version of the table row of an endpoint's hold.
type Token = storage.Version
