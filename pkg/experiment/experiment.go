// Package experiment simulates patterns of load and faults in virtual time, with the
// same seeds for every version of the code. It compares the credit that the
// instances earn with that of a central scheduler with complete information.
package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Deployment returns a service with six instances and 48 endpoints of three speeds
// in four failure domains.
func Deployment(seed uint64) model.Config {
	config := model.Config{
		Seed: seed, Service: "booking", Timing: placement.DefaultTiming(), MaxAttempts: 3, Retention: 2 * time.Minute,
		InDomain: 200 * time.Microsecond, BetweenDomains: 500 * time.Microsecond, ToStore: 4 * time.Millisecond,
	}
	speeds := []float64{0.55, 1, 1.6}
	for i, instances := range []int{2, 2, 1, 1} {
		d := model.Domain{Name: fmt.Sprintf("domain-%c", 'a'+i), Instances: instances}
		for j := range 12 {
			capacity := workload.Resources{MilliCPU: 64000, MemoryMB: 262144}
			if j%3 == 2 {
				capacity.MilliCPU = 96000
			}
			d.Endpoints = append(d.Endpoints, model.EndpointConfig{Capacity: capacity, Speed: speeds[(i+j)%3]})
		}
		config.Domains = append(config.Domains, d)
	}
	return config
}

// UnequalDeployment returns a service with nine instances and 48 endpoints, of which each
// third runs tasks at less than half the speed of the others and has room for three tasks
// of Mix instead of two.
func UnequalDeployment(seed uint64) model.Config {
	return unequalDeployment(seed, 12, []int{3, 2, 2, 2})
}

// LargeUnequalDeployment is UnequalDeployment with 352 endpoints and 33 instances.
func LargeUnequalDeployment(seed uint64) model.Config {
	return unequalDeployment(seed, 88, []int{9, 8, 8, 8})
}

func unequalDeployment(seed uint64, endpointsPerDomain int, instances []int) model.Config {
	config := Deployment(seed)
	config.BetweenDomains = 1400 * time.Microsecond
	config.Domains = nil
	for i, n := range instances {
		d := model.Domain{Name: fmt.Sprintf("domain-%c", 'a'+i), Instances: n}
		for j := range endpointsPerDomain {
			e := model.EndpointConfig{Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 131072}, Speed: 1 / 0.7}
			if j%3 == 2 {
				e.Capacity.MilliCPU, e.Speed = 96000, 1/1.7
			}
			d.Endpoints = append(d.Endpoints, e)
		}
		config.Domains = append(config.Domains, d)
	}
	return config
}

// Load returns a load whose estimates are off by some 40%.
func Load(kinds []model.Kind, span time.Duration) model.Load {
	return model.Load{
		Kinds: kinds, Stretch: 1.6, Slack: 60 * time.Millisecond, ExtraTimeout: 1500 * time.Millisecond, Span: span,
		EstimateError: 0.4, TaskDeviation: 0.15,
	}
}

// UnevenLoad returns a load as of an uneven day: some tasks run seven times as long as
// expected, and demand swings in each domain, out of phase with the others.
func UnevenLoad(rate float64, span time.Duration) model.Load {
	l := Load(model.Mix(rate), span)
	l.EstimateError = 0.27 // a factor of 1.6 either way is drawn evenly there
	l.TailShare, l.TailFactor = 0.03, 7
	l.Swing, l.SwingPeriod = 0.55, 8*time.Second
	return l
}

// UnevenDeployment returns a service with nine instances and 48 endpoints of unequal speeds and
// sizes in four failure domains.
func UnevenDeployment(seed uint64) model.Config {
	config := Deployment(seed)
	config.Domains = nil
	for i, n := range []int{3, 2, 2, 2} {
		d := model.Domain{Name: fmt.Sprintf("domain-%c", 'a'+i), Instances: n}
		for j := range 12 {
			e := model.EndpointConfig{Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 131072}, Speed: []float64{1, 1, 1.3}[(i+j)%3]}
			if j/3%3 == 2 {
				e.Capacity.MilliCPU = 96000
			}
			d.Endpoints = append(d.Endpoints, e)
		}
		config.Domains = append(config.Domains, d)
	}
	return config
}

// ChangeSpeeds lets each quarter of the endpoints in turn run tasks slower by a factor, for two
// seconds of four.
func ChangeSpeeds(factor float64) func(*model.World) {
	return func(w *model.World) {
		scale := func(turn int, factor float64) {
			for i := turn; i < len(w.Endpoints); i += 4 {
				w.Endpoints[i].SetSpeed(w.Endpoints[i].Speed() * factor)
			}
		}
		for turn := range 4 {
			w.Run(2 * time.Second)
			scale(turn, 1/factor)
			w.Run(2 * time.Second)
			scale(turn, factor)
		}
	}
}

// FailingJobs adds jobs that fail at every endpoint.
func FailingJobs(w *model.World) {
	jobs := model.Kind{Name: "failing", PerSec: 16, Tasks: 2, Work: 200 * time.Millisecond, MilliCPU: 27000, Priority: 1, Fails: true}
	w.StartLoad(Load([]model.Kind{jobs}, 16*time.Second))
	w.Run(16 * time.Second)
}

// CrashingEndpoints lets an eighth of the endpoints crash in each second. They return 0.3 s later and
// fail everything for another 1.5 s.
func CrashingEndpoints(w *model.World) {
	for turn := range 16 {
		for i := range len(w.Endpoints) / 8 {
			x := w.Endpoints[(turn*7+i*8)%len(w.Endpoints)]
			x.Crash()
			x.FailsAll = true
			w.After(300*time.Millisecond, x.Restart)
			w.After(1800*time.Millisecond, func() { x.FailsAll = false })
		}
		w.Run(time.Second)
	}
}

// FailingEndpoints lets each fourth of the endpoints fail everything for two seconds of four.
func FailingEndpoints(w *model.World) {
	for turn := range 4 {
		fail := func(fails bool) {
			for i := turn; i < len(w.Endpoints); i += 4 {
				w.Endpoints[i].FailsAll = fails
			}
		}
		fail(true)
		w.Run(2 * time.Second)
		fail(false)
		w.Run(2 * time.Second)
	}
}

// Pattern is a load, relative to model.Mix, and the faults or extra load during it.
type Pattern struct {
	Name   string
	Rate   float64
	Inject func(*model.World) // runs the world while the load lasts, and injects the faults
	// Deployment returns the deployment of a seed; Deployment of this package if nil.
	Deployment func(seed uint64) model.Config
	// ResendAfter is when callers whose connection broke submit their job again; 0 for never.
	ResendAfter time.Duration
}

const (
	warmUp       = 4 * time.Second  // until all endpoints have holders
	loadDuration = 10 * time.Second // how long jobs are submitted
	settleTime   = 20 * time.Second // until all jobs have ended

	usualEndpoints = 48 // of the deployments that the rates of the patterns are made for
)

// Patterns lists the patterns of an experiment.
var Patterns = []Pattern{
	{Name: "calm", Rate: 0.6, Inject: noFaults},
	{Name: "full", Rate: 1.0, Inject: noFaults},
	{Name: "burst", Rate: 1.0, Inject: burst(0.5)},
	{Name: "burst of long jobs", Rate: 0.9, Inject: func(w *model.World) {
		w.Run(3 * time.Second)
		w.StartLoad(Load(model.Mix(0.9)[1:2], 4*time.Second))
		w.Run(loadDuration)
	}},
	{Name: "instances killed", Rate: 0.8, Inject: func(w *model.World) {
		w.Run(2 * time.Second)
		w.Nodes[0].Kill()
		w.Run(2 * time.Second)
		w.Nodes[5].Kill()
		w.Run(2 * time.Second)
		w.Nodes[0].Start()
		w.Run(5 * time.Second)
	}},
	{Name: "instances stopped in turn", Rate: 0.8, Inject: func(w *model.World) {
		for _, n := range w.Nodes[:4] {
			w.Run(2 * time.Second)
			n.BeginPlannedStop()
			w.After(5500*time.Millisecond, func() {
				n.Kill()
				n.Start()
			})
		}
		w.Run(8 * time.Second)
	}},
	{Name: "instances stopped while the store is slow", Rate: 0.8, Inject: func(w *model.World) {
		w.Store.AnswerDelay = 700 * time.Millisecond
		for _, n := range w.Nodes[:3] {
			w.Run(2 * time.Second)
			n.BeginPlannedStop()
			w.After(5500*time.Millisecond, func() {
				n.Kill()
				n.Start()
			})
		}
		w.Run(8 * time.Second)
	}},
	{Name: "domain cut off", Rate: 0.8, Inject: func(w *model.World) {
		others := []string{"domain-b", "domain-c", "domain-d", "store"}
		w.Run(2 * time.Second)
		for _, o := range others {
			w.Cut("domain-a", o, true)
		}
		w.Run(5 * time.Second)
		for _, o := range others {
			w.Cut("domain-a", o, false)
		}
		w.Run(4 * time.Second)
	}},
	{Name: "endpoints hang", Rate: 0.8, Inject: func(w *model.World) {
		w.Run(2 * time.Second)
		for i := range 5 {
			w.Endpoints[i*9].Hangs = true
		}
		w.Run(loadDuration)
	}},
	{Name: "endpoints fail everything", Rate: 0.8, Inject: func(w *model.World) {
		w.Run(2 * time.Second)
		for i := range 5 {
			w.Endpoints[i*9].FailsAll = true
		}
		w.Run(loadDuration)
	}},
	{Name: "store away", Rate: 0.8, Inject: func(w *model.World) {
		w.Run(2 * time.Second)
		w.Store.Unavailable = true
		w.Run(5 * time.Second)
		w.Store.Unavailable = false
		w.Run(4 * time.Second)
	}},
	{Name: "unequal endpoints", Rate: 1.0, Deployment: UnequalDeployment, Inject: noFaults},
	{Name: "burst on unequal endpoints", Rate: 1.0, Deployment: UnequalDeployment, Inject: burst(0.6)},
	{Name: "long jobs on slow endpoints", Rate: 1.0, Deployment: UnequalDeployment, Inject: longJobsOnSlowEndpoints},
	{Name: "long jobs on many slow endpoints", Rate: 7.3, Deployment: LargeUnequalDeployment, Inject: longJobsOnSlowEndpoints},
	{Name: "all instances lose power", Rate: 1.0, Deployment: UnequalDeployment, ResendAfter: 1300 * time.Millisecond, Inject: func(w *model.World) {
		w.Run(3 * time.Second)
		for _, n := range w.Nodes {
			n.Kill()
			w.After(1100*time.Millisecond, n.Start)
		}
		w.Run(7 * time.Second)
	}},
}

// burst adds a share of the usual load for four seconds.
func burst(rate float64) func(*model.World) {
	return func(w *model.World) {
		w.Run(3 * time.Second)
		w.StartLoad(Load(model.Mix(rate), 4*time.Second))
		w.Run(loadDuration)
	}
}

// longJobsOnSlowEndpoints triples the long jobs while two endpoints of seven run five
// times slower.
func longJobsOnSlowEndpoints(w *model.World) {
	w.Run(2 * time.Second)
	long := model.Mix(2 * float64(len(w.Endpoints)) / usualEndpoints)[1:2]
	w.StartLoad(Load(long, 4*time.Second))
	w.Run(2 * time.Second)
	slow := func(factor float64) {
		for i := 0; i < len(w.Endpoints)*2/7; i++ {
			x := w.Endpoints[i*7/2]
			x.SetSpeed(x.Speed() / factor)
		}
	}
	slow(5)
	w.Run(6 * time.Second)
	slow(1.0 / 5)
}

// noFaults runs the world until the load ends.
func noFaults(w *model.World) { w.Run(loadDuration) }

// Result is the outcome of one pattern with one seed.
type Result struct {
	Pattern   string
	Seed      uint64
	Jobs      int
	Credit    float64 // earned share of the worth of all jobs
	Reference float64 // credit of the central scheduler, without faults
	Refused   int
	TimedOut  int
	Breaches  int
}

// Run simulates a pattern with a seed.
func Run(p Pattern, seed uint64) Result {
	deployment := p.Deployment
	if deployment == nil {
		deployment = Deployment
	}
	w := model.New(deployment(seed))
	w.Run(warmUp)
	l := Load(model.Mix(p.Rate), loadDuration)
	l.ResendAfter = p.ResendAfter
	w.StartLoad(l)
	p.Inject(w)
	w.Run(settleTime)
	r := Result{Pattern: p.Name, Seed: seed, Jobs: len(w.Jobs), Credit: w.Credit(), Reference: w.Reference(), Breaches: len(w.CheckFinal())}
	for _, o := range w.Jobs {
		switch o.Answer.Status {
		case placement.Refused:
			r.Refused++
		case placement.TimedOut:
			r.TimedOut++
		}
	}
	return r
}

var columns = []string{"Pattern", "Seed", "Jobs", "Credit", "Reference", "Refused", "TimedOut", "Breaches"}

// Write writes results as CSV.
func Write(w io.Writer, results []Result) error {
	out := csv.NewWriter(w)
	rows := [][]string{columns}
	for _, r := range results {
		rows = append(rows, []string{
			r.Pattern, strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Jobs), fmt.Sprintf("%.4f", r.Credit), fmt.Sprintf("%.4f", r.Reference),
			strconv.Itoa(r.Refused), strconv.Itoa(r.TimedOut), strconv.Itoa(r.Breaches),
		})
	}
	return out.WriteAll(rows)
}

// Read reads results in the format of Write.
func Read(r io.Reader) ([]Result, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	if len(rows) == 0 || !slices.Equal(rows[0], columns) {
		return nil, fmt.Errorf("read results: the first line is not %v", columns)
	}
	var results []Result
	for i, row := range rows[1:] {
		result := Result{Pattern: row[0]}
		_, err := fmt.Sscan(fmt.Sprint(row[1], " ", row[2], " ", row[3], " ", row[4], " ", row[5], " ", row[6], " ", row[7]),
			&result.Seed, &result.Jobs, &result.Credit, &result.Reference, &result.Refused, &result.TimedOut, &result.Breaches)
		if err != nil {
			return nil, fmt.Errorf("read results: line %d: %w", i+2, err)
		}
		results = append(results, result)
	}
	return results, nil
}

// Summary holds the means of a pattern's results over the seeds, compared with those
// of an earlier version of the code with the same seeds.
type Summary struct {
	Pattern   string
	Credit    float64
	Reference float64
	Before    float64 // credit of the earlier version, 0 without one
	Worst     float64 // greatest loss of credit of a single seed, 0 or negative
	Breaches  int     // sum over the seeds
}

// Summarize summarizes results by pattern. It compares them with the results of an
// earlier version, which may be empty.
func Summarize(results, before []Result) []Summary {
	earlier := make(map[string]float64)
	for _, r := range before {
		earlier[fmt.Sprint(r.Pattern, r.Seed)] = r.Credit
	}
	var list []Summary
	for _, p := range Patterns {
		s := Summary{Pattern: p.Name}
		n := 0.0
		for _, r := range results {
			if r.Pattern != p.Name {
				continue
			}
			n++
			s.Credit += r.Credit
			s.Reference += r.Reference
			s.Breaches += r.Breaches
			if e, ok := earlier[fmt.Sprint(r.Pattern, r.Seed)]; ok {
				s.Before += e
				s.Worst = min(s.Worst, r.Credit-e)
			}
		}
		if n == 0 {
			continue
		}
		s.Credit, s.Reference, s.Before = s.Credit/n, s.Reference/n, s.Before/n
		list = append(list, s)
	}
	return list
}
