package experiment

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// overloadCapacity is the rate of model.Mix that takes all processors of Deployment: its 112 places
// for tasks run at a mean speed of 1.05.
const overloadCapacity = 1.49

// LargeOverloadDeployment returns Deployment with 350 endpoints and 33 instances.
func LargeOverloadDeployment(seed uint64) model.Config {
	config := Deployment(seed)
	speeds := []float64{0.6, 1, 1.6}
	config.Domains = nil
	for i, instances := range []int{9, 8, 8, 8} {
		d := model.Domain{Name: fmt.Sprintf("domain-%c", 'a'+i), Instances: instances}
		for j := range 350 / 4 {
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

// LargeOverloadFactor is the capacity of LargeOverloadDeployment as a multiple of that of Deployment.
const LargeOverloadFactor = 816.0 / 112

// OverloadKinds returns the kinds of jobs of docs/HARD-LOAD.md, at a multiple of the capacity of
// Deployment.
func OverloadKinds(load float64) []model.Kind {
	kinds := model.Mix(load * overloadCapacity)
	for i := range kinds {
		kinds[i].Exact, kinds[i].Spread = true, 0
	}
	return kinds
}

// OverloadLoad returns a load with the callers and the estimates of docs/HARD-LOAD.md.
func OverloadLoad(kinds []model.Kind, span time.Duration) model.Load {
	l := Load(kinds, span)
	l.Deadline, l.EstimateError, l.EstimateFactor = 1500*time.Millisecond, 0, 1.6
	return l
}

// KindResult counts how the jobs of one kind ended, by the terms of their callers.
type KindResult struct {
	Jobs     int
	InTime   int // completed within the objective
	Late     int // completed later, within the deadline
	Refused  int
	Untried  int           // timed out without a start
	TimedOut int           // timed out after a start
	Worst    time.Duration // mean time of the worst tenth until their answer; of jobs without credit, their deadline
	Wasted   float64       // processor seconds of jobs without credit
}

// lateShare is the credit of a job that is completed after its objective.
const lateShare = 0.2

// Credit returns the share of the jobs that was earned.
func (r *KindResult) Credit() float64 {
	return (float64(r.InTime) + lateShare*float64(r.Late)) / max(1, float64(r.Jobs))
}

// Add adds the results of another world.
func (r *KindResult) Add(o *KindResult) {
	if jobs := r.Jobs + o.Jobs; jobs > 0 {
		r.Worst = time.Duration((float64(r.Worst)*float64(r.Jobs) + float64(o.Worst)*float64(o.Jobs)) / float64(jobs))
	}
	r.Jobs += o.Jobs
	r.InTime += o.InTime
	r.Late += o.Late
	r.Refused += o.Refused
	r.Untried += o.Untried
	r.TimedOut += o.TimedOut
	r.Wasted += o.Wasted
}

func (r *KindResult) String() string {
	share := 100 / max(1, float64(r.Jobs))
	return fmt.Sprintf("%6d jobs: credit %.3f; in time %.1f%%, late %.1f%%, refused %.1f%%, 504 untried %.1f%%, 504 tried %.1f%%; worst tenth %s; wasted %.0f processor seconds",
		r.Jobs, r.Credit(), share*float64(r.InTime), share*float64(r.Late), share*float64(r.Refused), share*float64(r.Untried), share*float64(r.TimedOut), r.Worst.Round(time.Millisecond), r.Wasted)
}

// ByKind returns the results of the jobs of a world that were submitted from a time on. The
// results under the empty name are of all jobs.
func ByKind(w *model.World, from time.Time) map[string]*KindResult {
	results := map[string]*KindResult{"": {}}
	times := make(map[string][]time.Duration)
	for _, id := range slices.Sorted(maps.Keys(w.Jobs)) { // floating-point sums depend on the order
		o := w.Jobs[id]
		if o.Submitted.Before(from) {
			continue
		}
		if results[o.Kind] == nil {
			results[o.Kind] = &KindResult{}
		}
		for _, kind := range []string{o.Kind, ""} {
			results[kind].add(o)
			times[kind] = append(times[kind], timeOf(o))
		}
	}
	for kind, list := range times {
		slices.Sort(list)
		worst := list[len(list)*9/10:]
		for _, t := range worst {
			results[kind].Worst += t / time.Duration(len(worst))
		}
	}
	return results
}

// timeOf returns how long the caller of a job waited for its result.
func timeOf(o *model.Outcome) time.Duration {
	if o.Answer.Status == placement.Completed {
		return min(o.Answered.Sub(o.Submitted), o.Deadline)
	}
	return o.Deadline
}

func (r *KindResult) add(o *model.Outcome) {
	r.Jobs++
	switch {
	case o.InTime():
		r.InTime++
		return
	case o.Answer.Status == placement.Completed && o.Answered.Sub(o.Submitted) <= o.Deadline:
		r.Late++
		return
	case o.Answer.Status == placement.Refused:
		r.Refused++
	case o.Answer.Status == placement.TimedOut && !o.Started:
		r.Untried++
	default:
		r.TimedOut++
	}
	r.Wasted += o.ProcessorSeconds
}
