// Package experiment plays patterns of load and faults in virtual time, with the
// same seeds for every version of the code, and compares what callers get with
// what a central scheduler that knows everything would give them.
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

// Deployment is a service of 48 endpoints of three speeds in four failure
// domains.
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

// Load is a load with estimates that are off by 40%.
func Load(kinds []model.Kind, span time.Duration) model.Load {
	return model.Load{
		Kinds: kinds, Stretch: 1.6, Slack: 60 * time.Millisecond, ExtraTimeout: 1500 * time.Millisecond, Span: span,
		EstimateError: 0.4, TaskDeviation: 0.15,
	}
}

// Pattern is a load with trouble.
type Pattern struct {
	Name   string
	Rate   float64
	Inject func(*model.World) // plays the time of the load
}

const (
	warmUp       = 4 * time.Second  // until all endpoints are held
	loadDuration = 10 * time.Second // of a load
	settleTime   = 10 * time.Second // until everything has ended
)

// Patterns are the ones that are played.
var Patterns = []Pattern{
	{"calm", 0.6, noFaults},
	{"full", 1.0, noFaults},
	{"burst", 1.0, func(w *model.World) {
		w.Run(3 * time.Second)
		w.StartLoad(Load(model.Mix(0.5), 4*time.Second))
		w.Run(loadDuration)
	}},
	{"burst of long jobs", 0.9, func(w *model.World) {
		w.Run(3 * time.Second)
		w.StartLoad(Load(model.Mix(0.9)[1:2], 4*time.Second))
		w.Run(loadDuration)
	}},
	{"instances killed", 0.8, func(w *model.World) {
		w.Run(2 * time.Second)
		w.Nodes[0].Kill()
		w.Run(2 * time.Second)
		w.Nodes[5].Kill()
		w.Run(2 * time.Second)
		w.Nodes[0].Start()
		w.Run(5 * time.Second)
	}},
	{"instances stopped in turn", 0.8, func(w *model.World) {
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
	{"instances stopped while the store is slow", 0.8, func(w *model.World) {
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
	{"domain cut off", 0.8, func(w *model.World) {
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
	{"endpoints hang", 0.8, func(w *model.World) {
		w.Run(2 * time.Second)
		for i := range 5 {
			w.Endpoints[i*9].Hangs = true
		}
		w.Run(loadDuration)
	}},
	{"endpoints fail everything", 0.8, func(w *model.World) {
		w.Run(2 * time.Second)
		for i := range 5 {
			w.Endpoints[i*9].FailsAll = true
		}
		w.Run(loadDuration)
	}},
	{"store away", 0.8, func(w *model.World) {
		w.Run(2 * time.Second)
		w.Store.Unavailable = true
		w.Run(5 * time.Second)
		w.Store.Unavailable = false
		w.Run(4 * time.Second)
	}},
}

func noFaults(w *model.World) { w.Run(loadDuration) }

// Result is what one pattern gave with one seed.
type Result struct {
	Pattern   string
	Seed      uint64
	Jobs      int
	Credit    float64
	Reference float64 // of the central scheduler, without faults
	Refused   int
	TimedOut  int
	Breaches  int
}

// Run plays a pattern with a seed.
func Run(p Pattern, seed uint64) Result {
	w := model.New(Deployment(seed))
	w.Run(warmUp)
	w.StartLoad(Load(model.Mix(p.Rate), loadDuration))
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

// Read reads results that Write has written.
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

// Summary is the mean of a pattern's results, and of those of an earlier version
// with the same seeds.
type Summary struct {
	Pattern   string
	Credit    float64
	Reference float64
	Before    float64 // 0 without an earlier version
	Worst     float64 // difference to the earlier version of a single seed
	Breaches  int
}

// Summarize pairs results with those of an earlier version by pattern and seed.
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
