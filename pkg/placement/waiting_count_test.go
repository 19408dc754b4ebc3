package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// waitingCounts are the numbers of waiting jobs that instances give beside what the endpoints
// have started.
type waitingCounts struct {
	world *model.World
	least float64  // share of the jobs that have not begun that must be counted
	low   []string // numbers below that
}

// countedAge is the age from which a job that has not begun must be counted.
const countedAge = 5 * time.Second

// ask compares the numbers of all instances that have been up for long enough.
func (c *waitingCounts) ask(upFor time.Duration) {
	w := c.world
	for _, n := range w.Nodes {
		if began := time.Unix(0, int64(n.ID.Incarnation)); !n.Up || n.Paused || w.Now.Sub(began) < upFor {
			continue
		}
		asked := w.Now
		w.Waiting(n, "job", func(a placement.Answer) {
			notBegun := 0
			for _, o := range w.Jobs {
				if !o.Started && o.Answer.Status == placement.Queued && asked.Sub(o.Answered) > countedAge {
					notBegun++
				}
			}
			if float64(a.Waiting) < c.least*float64(notBegun) {
				c.low = append(c.low, fmt.Sprintf("%s gives %d at %s, %d jobs have not begun", n.ID.Instance, a.Waiting, w.Elapsed(), notBegun))
			}
		})
	}
}

// backlogDeployment has four domains with one instance and one endpoint each, which runs one
// task of the backlog at a time.
func backlogDeployment(seed uint64) model.Config {
	config := deployment(seed)
	config.Domains = nil
	for i := range 4 {
		config.Domains = append(config.Domains, model.Domain{
			Name: fmt.Sprintf("domain-%c", 'a'+i), Instances: 1,
			Endpoints: []model.EndpointConfig{{Capacity: workload.Resources{MilliCPU: 8000, MemoryMB: 131072}, Speed: 1}},
		})
	}
	return config
}

// Guards against a number of waiting jobs that is far too low, whatever the delays of messages and
// of the store are, and whenever the home of the jobs, or another instance, is lost.
func TestWaitingJobsAreCountedThroughAnyLoss(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			draw := rand.New(rand.NewPCG(seed, 5))
			upTo := func(d time.Duration) time.Duration { return time.Duration(draw.Int64N(int64(d))) }
			config := backlogDeployment(seed)
			config.BetweenDomains = time.Millisecond + upTo(80*time.Millisecond)*time.Duration(draw.IntN(2))
			config.ToStore += upTo(20 * time.Millisecond)
			w := model.New(config)
			w.Run(4 * time.Second)
			home := w.Nodes[0]
			l := load([]model.Kind{{Name: "job", Tasks: 1, Work: 2 * time.Second, MilliCPU: 7000, Stored: true}}, 0)
			for i := range 100 {
				at := home
				if draw.IntN(4) == 0 {
					at = w.Nodes[i%4]
				}
				w.SubmitTo(at, &l, &l.Kinds[0])
			}
			counts := &waitingCounts{world: w, least: 0.5}
			counts.watch(6*time.Second + upTo(2*time.Second))
			w.Store.AnswerDelay = upTo(1500*time.Millisecond) * time.Duration(draw.IntN(2))
			lost := []*model.Node{home, home, w.Nodes[1]}[draw.IntN(3)]
			if draw.IntN(2) == 0 { // the sessions are not reset
				for _, n := range w.Nodes {
					w.Silence(n, lost)
				}
				counts.watch(upTo(500 * time.Millisecond))
			}
			lost.Kill()
			counts.watch(300*time.Millisecond + upTo(4*time.Second))
			lost.Start()
			counts.watch(upTo(3 * time.Second))
			if draw.IntN(2) == 0 {
				lost.Kill()
				counts.watch(300*time.Millisecond + upTo(3*time.Second))
				lost.Start()
			}
			counts.watch(6 * time.Second)
			if len(counts.low) > 0 {
				t.Errorf("%d numbers are too low, the first: %s; the last: %s", len(counts.low), counts.low[0], counts.low[len(counts.low)-1])
			}
			assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
		})
	}
}

// backlog submits a hundred stored jobs of one task each to an instance, of which each endpoint of
// backlogDeployment runs one at a time.
func backlog(w *model.World, home *model.Node) *waitingCounts {
	l := load([]model.Kind{{Name: "job", Tasks: 1, Work: 2 * time.Second, MilliCPU: 7000, Stored: true}}, 0)
	for range 100 {
		w.SubmitTo(home, &l, &l.Kinds[0])
	}
	return &waitingCounts{world: w, least: 0.5}
}

// watch asks all instances again and again for a while.
func (c *waitingCounts) watch(span time.Duration) {
	w := c.world
	for end := w.Now.Add(span); w.Now.Before(end); w.Run(20 * time.Millisecond) {
		c.ask(3 * time.Second)
	}
}

// Guards against a number of waiting jobs that drops each time their runs are sent to holders,
// before these report that the runs wait.
func TestJobsAreCountedUntilTheirStartsAreKnown(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		config := backlogDeployment(seed)
		config.BetweenDomains = 120 * time.Millisecond
		config.Domains[0].Endpoints = nil // so that no run waits at the home itself
		w := model.New(config)
		w.Run(5 * time.Second)
		counts := backlog(w, w.Nodes[0])
		counts.watch(15 * time.Second)
		assert.Check(t, len(counts.low) == 0, "%d numbers are too low, the first: %v", len(counts.low), counts.low[:min(1, len(counts.low))])
	})
}

// Guards against jobs that count as begun because they waited at an instance that was lost.
func TestJobsThatWaitedAtALostHolderAreCounted(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		config := backlogDeployment(seed)
		config.Domains[1].Endpoints[0].Capacity.MilliCPU = 56000
		w := model.New(config)
		w.Run(4 * time.Second)
		counts := backlog(w, w.Nodes[0])
		counts.watch(6 * time.Second)
		w.Nodes[1].Kill()
		w.Run(2 * time.Second)
		w.Nodes[1].Start()
		w.Run(2 * time.Second)
		counts.least = 1
		counts.watch(2 * time.Second)
		assert.Check(t, len(counts.low) == 0, "%d numbers are too low, the first: %v", len(counts.low), counts.low[:min(1, len(counts.low))])
	})
}

// BenchmarkCounts measures how a home with many waiting jobs answers a crowd that asks for their number.
func BenchmarkCounts(b *testing.B) {
	const jobs, requests = 6000, 500
	w := model.New(deployment(1))
	w.Run(4 * time.Second)
	for k := range jobs {
		j := &workload.Job{ID: workload.JobID(fmt.Sprintf("000e%012x", k)), Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCPU: 27000}, Estimate: time.Minute}}}
		w.Submit(w.Nodes[0], j, clientRoute, time.Hour)
		if k%200 == 0 {
			w.Run(50 * time.Millisecond)
		}
	}
	w.Run(5 * time.Second)
	for b.Loop() {
		for range requests {
			w.Waiting(w.Nodes[0], clientRoute.Name, func(a placement.Answer) { assert.Assert(b, a.Waiting > jobs/2) })
		}
		w.Run(time.Millisecond)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*requests), "µs/request")
}
