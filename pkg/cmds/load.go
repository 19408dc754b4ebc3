package cmds

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"crocusseam/pkg/client"
	"crocusseam/pkg/document"
	"crocusseam/pkg/settings"
	"crocusseam/pkg/standin"
	"crocusseam/pkg/submission"
)

type loadOptions struct {
	Instances []settings.Address `long:"instance" description:"address of an entry instance; may be given several times"`
	Mix       string             `long:"mix" default:"capstone" choice:"capstone" choice:"ciclo-sul" description:"mix of jobs: many single tasks, or larger jobs"`
	Team      string             `long:"team" default:"capstone" description:"team to submit as"`
	Token     string             `long:"token" env:"CROCUS_TOKEN" description:"the team's token"`
	Rate      float64            `long:"rate" default:"50" description:"jobs a second"`
	Length    time.Duration      `long:"length" default:"10s" description:"how long jobs are submitted"`
	Burst     float64            `long:"burst" default:"1" description:"factor of the rate during the burst"`
	BurstAt   time.Duration      `long:"burst-at" default:"3s" description:"when the burst begins"`
	BurstFor  time.Duration      `long:"burst-for" default:"2s" description:"how long the burst lasts"`
	Deadline  time.Duration      `long:"deadline" default:"20s" description:"deadline of each job"`
	Seed      uint64             `long:"seed" default:"1" description:"seed of the load"`
	JSON      string             `long:"json" description:"file for the result as JSON"`
	CSV       string             `long:"csv" description:"file for the percentiles as CSV"`
	Plot      string             `long:"plot" description:"file for a plot of the percentiles as SVG"`
}

// loadResult is what crocus-load found.
type loadResult struct {
	Jobs        int
	Complete    int
	Failed      int
	Refused     int
	Unanswered  int
	Percentiles []percentile
}

type percentile struct {
	Percent float64
	Millis  float64
}

var percents = []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100}

// Bounds of the histogram, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	meanLoadWork      = 100 * time.Millisecond
)

// Load puts an open-loop load on running instances. A job's response counts
// from the time at which it was due, so that a stalled system is not spared.
func Load(args []string) int {
	var o loadOptions
	if status, proceed := parse(&o, "crocus-load", args); !proceed {
		return status
	}
	if len(o.Instances) == 0 {
		return fail(ExitUsage, errors.New("no --instance is given"))
	}
	if o.Rate <= 0 || o.Burst <= 0 || o.Length <= 0 {
		return fail(ExitUsage, errors.New("rate, burst and length are above 0"))
	}
	result := o.run()
	result.print()
	if err := result.write(o); err != nil {
		return fail(ExitFailed, err)
	}
	return ExitOK
}

func (o *loadOptions) run() *loadResult {
	addresses := make([]netip.AddrPort, len(o.Instances))
	for i, a := range o.Instances {
		addresses[i] = a.AddrPort
	}
	c := client.New(client.Config{Instances: addresses, Token: o.Token, Transport: &http.Transport{MaxIdleConnsPerHost: 256}})
	histogram := hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	result := &loadResult{}
	r := rand.New(rand.NewPCG(o.Seed, 5))
	var mu sync.Mutex
	var group errgroup.Group
	began := time.Now()
	run := strconv.FormatInt(began.UnixNano(), 36)
	for at := time.Duration(0); at < o.Length; at += o.gap(r, at) {
		due := began.Add(at)
		job := o.job(r, fmt.Sprintf("load-%s-%d", run, result.Jobs), due)
		first := result.Jobs
		result.Jobs++
		time.Sleep(time.Until(due))
		group.Go(func() error {
			ctx, cancel := context.WithDeadline(context.Background(), job.Deadline.Add(o.Deadline))
			defer cancel()
			answer, err := c.Submit(ctx, job, first)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			result.count(answer, err)
			if answer != nil && answer.Status == submission.Complete {
				return histogram.RecordValue(took.Microseconds())
			}
			return nil
		})
	}
	_ = group.Wait()
	for _, p := range percents {
		result.Percentiles = append(result.Percentiles, percentile{p, float64(histogram.ValueAtQuantile(p)) / 1000})
	}
	return result
}

// gap draws the time to the next job.
func (o *loadOptions) gap(r *rand.Rand, at time.Duration) time.Duration {
	rate := o.Rate
	if at >= o.BurstAt && at < o.BurstAt+o.BurstFor {
		rate *= o.Burst
	}
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

// Sizes of the mixes' jobs.
const (
	capstoneSingles = 0.8 // seat holds and door checks of one task
	capstoneTasks   = 20
	cicloTasks      = 100
)

func (o *loadOptions) job(r *rand.Rand, id string, due time.Time) *submission.Submission {
	tasks := 1 + int(math.Pow(cicloTasks, r.Float64()))
	if o.Mix == "capstone" {
		tasks = 1
		if r.Float64() > capstoneSingles {
			tasks = 1 + r.IntN(capstoneTasks)
		}
	}
	s := &submission.Submission{
		Key: submission.Key{Team: o.Team, ID: id}, Deadline: due.Add(o.Deadline).UTC().Round(0), Attempt: 1,
	}
	for i := range tasks {
		work := time.Duration(float64(meanLoadWork) * (0.5 + r.ExpFloat64()))
		payload, err := json.Marshal(standin.Work{Work: document.Duration(work)})
		if err != nil {
			panic("a payload cannot be encoded: " + err.Error())
		}
		s.Tasks = append(s.Tasks, submission.Task{Name: fmt.Sprint("task-", i), Kind: "seat-hold", Payload: payload, DeclaredRunTime: work})
	}
	return s
}

func (r *loadResult) count(answer *submission.Answer, err error) {
	var refusal *submission.Refusal
	switch {
	case errors.As(err, &refusal):
		r.Refused++
	case err != nil:
		r.Unanswered++
	case answer.Status == submission.Complete:
		r.Complete++
	default:
		r.Failed++
	}
}

func (r *loadResult) print() {
	fmt.Printf("%d jobs: %d complete, %d failed, %d refused, %d unanswered\n", r.Jobs, r.Complete, r.Failed, r.Refused, r.Unanswered)
	for _, p := range r.Percentiles {
		fmt.Printf("  %6.1f%%  %10.1f ms\n", p.Percent, p.Millis)
	}
}

func (r *loadResult) write(o loadOptions) error {
	if o.JSON != "" {
		if err := writeReport(o.JSON, r); err != nil {
			return err
		}
	}
	if o.CSV != "" {
		if err := r.writeCSV(o.CSV); err != nil {
			return err
		}
	}
	if o.Plot != "" {
		return os.WriteFile(o.Plot, []byte(r.plot()), 0o644)
	}
	return nil
}

func (r *loadResult) writeCSV(path string) error {
	var b strings.Builder
	w := csv.NewWriter(&b)
	_ = w.Write([]string{"Percent", "Millis"})
	for _, p := range r.Percentiles {
		_ = w.Write([]string{fmt.Sprint(p.Percent), fmt.Sprint(p.Millis)})
	}
	w.Flush()
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// plot draws the percentiles as bars of logarithmic height.
func (r *loadResult) plot() string {
	const width, height, step, foot = 640.0, 320.0, 60.0, 40.0
	highest := math.Log10(1 + r.Percentiles[len(r.Percentiles)-1].Millis)
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %g %g" font-family="sans-serif" font-size="11">`, width, height+foot)
	for i, p := range r.Percentiles {
		h := (height - foot) * math.Log10(1+p.Millis) / math.Max(highest, 1e-9)
		x := 10 + float64(i)*step
		fmt.Fprintf(&b, `<rect x="%g" y="%g" width="44" height="%g" fill="#8fb3d9"/><text x="%g" y="%g">%.0f ms</text><text x="%g" y="%g">P%g</text>`,
			x, height-h, h, x, height-h-4, p.Millis, x, height+16, p.Percent)
	}
	b.WriteString("</svg>\n")
	return b.String()
}
