package trial

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"crocusseam/pkg/document"
	"crocusseam/pkg/reference"
	"crocusseam/pkg/standin"
	"crocusseam/pkg/submission"
)

// LoadConfig describes a seeded, bounded load.
type LoadConfig struct {
	Seed   uint64
	Length time.Duration
	// Share is the offered work as a part of the speed of all slots.
	Share    float64
	MaxTasks int
	Deadline time.Duration
	Teams    []string
	Class    string
	// Repeatable is the share of jobs that are Repeatable.
	Repeatable float64
	// WrongBy is the factor by which declared run times are off at most.
	EstimateErrorFactor float64
}

// plannedJob is one job of a load.
type plannedJob struct {
	offset     time.Duration
	submission *submission.Submission
	work       []time.Duration
	instance   int // the first instance to ask, by turn
	resubmit   resubmission
}

type resubmission int

const (
	never resubmission = iota
	whileInFlight
	afterAnswer
)

const (
	resubmittedShare = 0.05 // in flight, and as many again after the answer
	workSpread       = 0.6
	workMedian       = 250 * time.Millisecond
	shortestWork     = 50 * time.Millisecond
	longestWork      = time.Second
	longTaskShare    = 0.01 // of several seconds
	sampledJobs      = 20_000
)

// drawWork draws a run time: most are between 50 ms and a second, a few last
// several seconds.
func drawWork(r *rand.Rand) time.Duration {
	if r.Float64() < longTaskShare {
		return longestWork + time.Duration(r.Float64()*float64(2*time.Second))
	}
	work := math.Exp(r.NormFloat64()*workSpread) * workMedian.Seconds()
	work = math.Max(shortestWork.Seconds(), math.Min(longestWork.Seconds(), work))
	return time.Duration(work * float64(time.Second))
}

// drawTasks draws how many tasks a job has: half of the jobs have one, the
// others up to the limit, small jobs being more frequent.
func drawTasks(r *rand.Rand, limit int) int {
	if limit == 1 || r.Float64() < 0.5 {
		return 1
	}
	return 1 + int(math.Pow(float64(limit), r.Float64()))*(limit-1)/limit
}

// meanJobWork estimates the mean work of a job from a fixed sample.
func meanJobWork(limit int) float64 {
	r := rand.New(rand.NewPCG(99, 99))
	sum := 0.0
	for range sampledJobs {
		for range drawTasks(r, limit) {
			sum += drawWork(r).Seconds()
		}
	}
	return sum / sampledJobs
}

// plan draws the jobs of a load. power is the speed of all slots together.
func plan(c LoadConfig, power float64, instances int) []*plannedJob {
	r := rand.New(rand.NewPCG(c.Seed, 5))
	rate := c.Share * power / meanJobWork(c.MaxTasks)
	var jobs []*plannedJob
	var at time.Duration
	for {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at > c.Length {
			return jobs
		}
		jobs = append(jobs, drawJob(c, r, at, len(jobs), instances))
	}
}

func drawJob(c LoadConfig, r *rand.Rand, at time.Duration, number, instances int) *plannedJob {
	j := &plannedJob{offset: at, instance: r.IntN(instances)}
	j.submission = &submission.Submission{
		Key:   submission.Key{Team: c.Teams[r.IntN(len(c.Teams))], ID: fmt.Sprintf("job-%d-%d", c.Seed, number)},
		Class: c.Class, Repeatable: r.Float64() < c.Repeatable, Attempt: 1,
	}
	for i := range drawTasks(r, c.MaxTasks) {
		work := drawWork(r)
		declared := work
		if c.EstimateErrorFactor > 1 {
			declared = time.Duration(float64(work) * math.Exp((2*r.Float64()-1)*math.Log(c.EstimateErrorFactor)))
		}
		payload, err := json.Marshal(standin.Work{Work: document.Duration(work)})
		if err != nil {
			panic("a payload cannot be encoded: " + err.Error())
		}
		j.work = append(j.work, work)
		j.submission.Tasks = append(j.submission.Tasks, submission.Task{
			Name: fmt.Sprintf("task-%d", i), Kind: "seat-hold", Payload: payload, DeclaredRunTime: declared,
		})
	}
	switch x := r.Float64(); {
	case x < resubmittedShare:
		j.resubmit = whileInFlight
	case x < 2*resubmittedShare:
		j.resubmit = afterAnswer
	}
	return j
}

// referenceJobs converts a load for the reference scheduler.
func referenceJobs(jobs []*plannedJob, began time.Time) []reference.Job {
	list := make([]reference.Job, len(jobs))
	for i, j := range jobs {
		list[i] = reference.Job{Arrival: began.Add(j.offset), Work: j.work}
	}
	return list
}
