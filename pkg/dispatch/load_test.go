package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/reference"
	"crocusseam/pkg/submission"
)

// loadConfig describes a seeded load of jobs.
type loadConfig struct {
	seed        uint64
	share       float64 // of the total speed of all slots
	length      time.Duration
	maxTasks    int
	errorFactor float64 // declared run times are off by up to this factor
	repeatable  bool
	deadline    time.Duration
	class       string
	homeDomain  string // domain that Repeatable jobs name as home
	only        []string
}

// load is a generated load, with what became of it.
type load struct {
	jobs    []reference.Job
	subs    []*submission.Submission
	handles []dispatch.Handle
	nodes   []string
}

func (w *world) power() float64 {
	sum := 0.0
	for _, e := range w.endpoints {
		sum += e.speed * float64(e.slots)
	}
	return sum
}

// drawWork draws a run time between 50 ms and 1 s, and a few of seconds.
func drawWork(r *rand.Rand) time.Duration {
	if r.Float64() < 0.01 {
		return time.Second + time.Duration(r.Float64()*float64(2*time.Second))
	}
	x := math.Exp(r.NormFloat64()*0.6) * 0.25
	return time.Duration(math.Max(0.05, math.Min(1, x)) * float64(time.Second))
}

// drawTasks draws 1 to limit tasks; half of the jobs have one.
func drawTasks(r *rand.Rand, limit int) int {
	if limit == 1 || r.Float64() < 0.5 {
		return 1
	}
	return 1 + int(math.Pow(float64(limit), r.Float64()))*(limit-1)/limit
}

// offer schedules a load on the world from now on.
func (w *world) offer(c loadConfig) *load {
	r := rand.New(rand.NewPCG(c.seed, 5))
	l := &load{}
	power := w.power()
	names := append([]string(nil), w.names...)
	if c.only != nil {
		names = c.only
	}
	sort.Strings(names)
	// The mean work of a job follows from a sample, so that the share is met.
	sample := 0.0
	probe := rand.New(rand.NewPCG(99, 99))
	for range 20000 {
		for range drawTasks(probe, c.maxTasks) {
			sample += drawWork(probe).Seconds()
		}
	}
	rate := c.share * power / (sample / 20000)
	at := w.now
	for n := 0; ; n++ {
		at = at.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if at.Sub(w.now) > c.length {
			break
		}
		team := "capstone"
		if r.IntN(3) == 0 {
			team = "ciclo"
		}
		s := &submission.Submission{
			Key:   submission.Key{Team: team, ID: fmt.Sprintf("j%d-%d", c.seed, n)},
			Class: c.class, Deadline: at.Add(c.deadline), Repeatable: c.repeatable, Attempt: 1, HomeDomain: c.homeDomain,
		}
		job := reference.Job{Arrival: at}
		for i := range drawTasks(r, c.maxTasks) {
			work := drawWork(r)
			declared := work
			if c.errorFactor > 1 {
				declared = time.Duration(float64(work) * math.Exp((2*r.Float64()-1)*math.Log(c.errorFactor)))
			}
			s.Tasks = append(s.Tasks, submission.Task{
				Name: fmt.Sprint("t", i), Kind: "hold", Payload: []byte(work.String()), DeclaredRunTime: declared,
			})
			job.Work = append(job.Work, work)
		}
		node := names[r.IntN(len(names))]
		l.jobs = append(l.jobs, job)
		l.subs = append(l.subs, s)
		l.nodes = append(l.nodes, node)
		l.handles = append(l.handles, 0)
		w.after(at.Sub(w.now), func() { l.handles[n] = w.submitLive(node, s) })
	}
	return l
}

// submitLive submits at the node, or at the next one that is up.
func (w *world) submitLive(name string, s *submission.Submission) dispatch.Handle {
	for i, n := range w.names {
		if n == name {
			for k := range w.names {
				next := w.names[(i+k)%len(w.names)]
				if w.nodes[next].up && !w.nodes[next].stopped {
					return w.submit(next, s)
				}
			}
		}
	}
	return w.submit(name, s)
}

// figures are what a run is judged by.
type loadStats struct {
	jobs, complete, failed, refused, open int
	p50, p99                              float64 // response to reference
	ideal50, ideal99                      float64
	wasted                                float64 // messages per start
	starts                                int
	busy                                  int
	missed                                int // deadline misses among accepted jobs
	byKind                                map[string]uint64
	failingShare                          float64 // of the starts, 2 s after the fault
	goodput                               float64
	violations                            []string
}

func (f loadStats) String() string {
	return fmt.Sprintf("jobs %d complete %d failed %d refused %d open %d | to reference P50 %.3f P99 %.3f | to ideal P50 %.2f P99 %.2f | wasted/start %.4f busy %d starts %d missed %d %v",
		f.jobs, f.complete, f.failed, f.refused, f.open, f.p50, f.p99, f.ideal50, f.ideal99, f.wasted, f.busy, f.starts, f.missed, f.violations)
}

func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(p*float64(len(values))))]
}

func (w *world) referenceEndpoints() []reference.Endpoint {
	var list []reference.Endpoint
	for _, d := range w.document.Domains {
		for _, a := range d.Groups[0].Endpoints {
			e := w.endpoints[a]
			list = append(list, reference.Endpoint{Address: a, Domain: d.Name, Slots: e.slots, Speed: e.speed})
		}
	}
	return list
}

func (w *world) counters() dispatch.Counters {
	var sum dispatch.Counters
	for _, name := range w.names {
		n := w.nodes[name].control.Counters()
		sum.Add(&n)
	}
	return sum
}

// judgeLoad compares a finished load with the reference, for the jobs that
// arrived in [from, to) of the load.
func (w *world) evaluateLoad(l *load, endpoints []reference.Endpoint, from time.Time) loadStats {
	f := loadStats{jobs: len(l.jobs), starts: w.ledger.startCount, busy: w.ledger.busy, violations: w.violations()}
	responses := make([]time.Duration, len(l.jobs))
	if endpoints != nil {
		responses = reference.Replay(l.jobs, endpoints)
	}
	fastest, power := 0.0, 0.0
	for _, e := range endpoints {
		fastest = max(fastest, e.Speed)
		power += float64(e.Slots)
	}
	var ours, theirs []time.Duration
	var ratios []float64
	for i := range l.jobs {
		record, ok := w.ledger.replies[l.handles[i]]
		switch {
		case !ok:
			f.open++
			continue
		case record.reply.Refusal != nil:
			f.refused++
			continue
		case record.reply.Answer.Status != submission.Complete:
			f.failed++
			if record.reply.Answer.Reason == submission.DeadlineExceeded {
				f.missed++
			}
			continue
		}
		f.complete++
		if l.jobs[i].Arrival.Before(from) {
			continue
		}
		took := record.at.Sub(l.jobs[i].Arrival)
		ours = append(ours, took)
		theirs = append(theirs, responses[i])
		ratios = append(ratios, float64(took)/float64(ideal(l.jobs[i].Work, fastest, power/4)))
	}
	f.p50 = float64(percentile(ours, 0.5)) / float64(percentile(theirs, 0.5))
	f.p99 = float64(percentile(ours, 0.99)) / float64(percentile(theirs, 0.99))
	sort.Float64s(ratios)
	if len(ratios) > 0 {
		f.ideal50 = ratios[len(ratios)/2]
		f.ideal99 = ratios[len(ratios)*99/100]
	}
	n := w.counters()
	f.byKind = n.WastedByKind()
	wasted := 0
	for _, count := range f.byKind {
		wasted += int(count)
	}
	f.wasted = float64(wasted) / float64(max(1, f.starts))
	return f
}

// ideal is what physics allows: the longest task on the fastest endpoint, or all
// work over all slots of a domain, and a round trip.
func ideal(work []time.Duration, fastest, slots float64) time.Duration {
	var longest, total time.Duration
	for _, w := range work {
		longest = max(longest, w)
		total += w
	}
	physical := max(float64(longest)/fastest, float64(total)/slots)
	return time.Duration(physical) + 200*time.Microsecond
}
