package trial

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"crocusseam/pkg/client"
	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/reference"
	"crocusseam/pkg/standin"
	"crocusseam/pkg/submission"
)

// Report is the result of a trial. docs/MEASURES.md defines its figures.
type Report struct {
	Submissions            int
	Resubmissions          int
	Complete               int
	Failed                 int
	NotRun                 int
	OutcomeUnknown         int
	TaskStarts             int
	DoubleStarts           int
	PartialAnswers         int
	MisdeliveredAnswers    int
	FalseRefusals          int
	LostAnswers            int
	StartsAfterLeaving     int
	CutOffByPlannedStop    int
	BusyRefusals           int64
	WastedMessages         uint64
	WastedPerStart         float64
	WastedByKind           map[string]uint64
	ResponseToIdealP50     float64
	ResponseToIdealP99     float64
	ResponseToReferenceP50 float64
	ResponseToReferenceP99 float64
	ResponseP50Millis      float64
	ResponseP99Millis      float64
	PlatformWritesPerSec   float64
	PlatformReadsPerSec    float64
	FailedByReason         map[string]int
	Violations             []string
}

// Broken reports whether an invariant broke.
func (r *Report) Broken() bool {
	return r.DoubleStarts+r.PartialAnswers+r.MisdeliveredAnswers+r.FalseRefusals+r.LostAnswers+
		r.StartsAfterLeaving+r.CutOffByPlannedStop > 0
}

// judge compares what callers got with what the endpoints' ledger says.
func (e *environment) evaluate(jobs []*plannedJob, began time.Time) *Report {
	r := &Report{WastedByKind: map[string]uint64{}, FailedByReason: map[string]int{}, CutOffByPlannedStop: e.cutOff, BusyRefusals: e.endpoints.Refused()}
	ledger := e.endpoints.Ledger()
	r.TaskStarts = len(ledger)
	starts := make(map[submission.Key][]standin.Start)
	for _, s := range ledger {
		key := submission.Key{Team: s.Team, ID: s.ID}
		starts[key] = append(starts[key], s)
		if time.Duration(s.AfterLeaving) > leavingGrace {
			r.StartsAfterLeaving++
		}
	}
	for _, rec := range e.records {
		r.checkRecord(rec, starts[rec.job.submission.Key])
	}
	r.measureResponses(e, jobs, began)
	r.countWaste(e.counters)
	writes, reads := e.platform.Operations()
	elapsed := time.Since(began).Seconds()
	r.PlatformWritesPerSec = float64(writes) / elapsed
	r.PlatformReadsPerSec = float64(reads) / elapsed
	return r
}

func (r *Report) addViolation(format string, args ...any) {
	const longestList = 20
	if len(r.Violations) < longestList {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

func (r *Report) checkRecord(rec *record, starts []standin.Start) {
	s := rec.job.submission
	r.Submissions++
	if rec.resubmitted {
		r.Resubmissions++
	}
	switch {
	case rec.answer == nil:
		r.checkUnanswered(rec)
	case rec.answer.Status == submission.Complete:
		r.Complete++
	default:
		r.Failed++
		r.FailedByReason[string(rec.answer.Reason)]++
		if rec.answer.Reason == submission.OutcomeUnknown {
			r.OutcomeUnknown++
		}
	}
	for _, a := range []*submission.Answer{rec.answer, rec.again} {
		if a != nil {
			r.checkAnswer(s, a)
		}
	}
	for _, x := range rec.exchanges {
		if x.Refusal != nil && x.Refusal.NotRun && slices.ContainsFunc(starts, func(st standin.Start) bool { return st.At.Before(x.Ended) }) {
			r.FalseRefusals++
			r.addViolation("%s: said to be not run by %s, but it ran", s.Key, x.Instance)
		}
	}
	r.checkStarts(s, starts)
}

func (r *Report) checkUnanswered(rec *record) {
	last := lastRefusal(rec.exchanges)
	if last != nil && last.NotRun {
		r.NotRun++
		return
	}
	r.LostAnswers++
	r.addViolation("%s: no answer: %v", rec.job.submission.Key, rec.err)
}

func lastRefusal(exchanges []client.Exchange) *submission.Refusal {
	if len(exchanges) == 0 {
		return nil
	}
	return exchanges[len(exchanges)-1].Refusal
}

func (r *Report) checkAnswer(s *submission.Submission, a *submission.Answer) {
	if a.Status != submission.Complete {
		if len(a.Results) > 0 {
			r.PartialAnswers++
			r.addViolation("%s: a failed answer with results", s.Key)
		}
		return
	}
	if len(a.Results) != len(s.Tasks) {
		r.PartialAnswers++
		r.addViolation("%s: %d results for %d tasks", s.Key, len(a.Results), len(s.Tasks))
		return
	}
	for i, t := range s.Tasks {
		if a.Results[i].Name != t.Name || string(a.Results[i].Output) != s.ID+"/"+t.Name {
			r.MisdeliveredAnswers++
			r.addViolation("%s: task %s has the result %q", s.Key, t.Name, a.Results[i].Output)
			return
		}
	}
}

// judgeStarts counts double starts: the same attempt again, another claim's
// start, or any second start of a job that is not Repeatable.
func (r *Report) checkStarts(s *submission.Submission, starts []standin.Start) {
	type attempt struct {
		task string
		try  int
	}
	seen := make(map[attempt]bool)
	first := make(map[string]string)
	for _, st := range starts {
		token, started := first[st.Task]
		if (started && (token != st.Token || !s.Repeatable)) || seen[attempt{st.Task, st.Try}] {
			r.DoubleStarts++
			r.addViolation("%s: task %s started again (try %d)", s.Key, st.Task, st.Try)
		}
		first[st.Task] = st.Token
		seen[attempt{st.Task, st.Try}] = true
	}
}

// judgeResponses compares the response times of completed jobs that arrived
// after the warm-up with the ideal and the reference.
func (r *Report) measureResponses(e *environment, jobs []*plannedJob, began time.Time) {
	endpoints := e.referenceEndpoints()
	replayed := reference.Replay(referenceJobs(jobs, began), endpoints)
	var ours, theirs []time.Duration
	var ratios []float64
	for i, rec := range e.records {
		if rec.answer == nil || rec.answer.Status != submission.Complete || rec.job.offset < warmUp {
			continue
		}
		took := rec.answered.Sub(rec.arrived)
		ours = append(ours, took)
		theirs = append(theirs, replayed[i])
		ratios = append(ratios, float64(took)/float64(idealResponse(rec.job.work, endpoints)))
	}
	if len(ours) == 0 {
		return
	}
	slices.Sort(ours)
	slices.Sort(theirs)
	slices.Sort(ratios)
	r.ResponseToReferenceP50 = float64(at(ours, 50)) / float64(at(theirs, 50))
	r.ResponseToReferenceP99 = float64(at(ours, 99)) / float64(at(theirs, 99))
	r.ResponseToIdealP50 = at(ratios, 50)
	r.ResponseToIdealP99 = at(ratios, 99)
	r.ResponseP50Millis = at(ours, 50).Seconds() * 1000
	r.ResponseP99Millis = at(ours, 99).Seconds() * 1000
}

func at[T any](sorted []T, percent int) T { return sorted[len(sorted)*percent/100] }

// roundTrips are one of a caller and one of an endpoint, on loopback.
const roundTripTime = 200 * time.Microsecond

// ideal is what physics allows for a job of one domain.
func idealResponse(work []time.Duration, endpoints []reference.Endpoint) time.Duration {
	var longest, total time.Duration
	for _, w := range work {
		longest = max(longest, w)
		total += w
	}
	fastest, slots := 0.0, 0
	for _, p := range endpoints {
		fastest = max(fastest, p.Speed)
		if p.Domain == endpoints[0].Domain {
			slots += p.Slots
		}
	}
	return time.Duration(max(float64(longest)/fastest, float64(total)/float64(slots))) + roundTripTime
}

func (r *Report) countWaste(counters []dispatch.Counters) {
	for i := range counters {
		for kind, n := range counters[i].WastedByKind() {
			r.WastedByKind[kind] += n
			r.WastedMessages += n
		}
	}
	r.WastedPerStart = float64(r.WastedMessages) / float64(max(r.TaskStarts, 1))
}

// Print writes the report as a table for people.
func (r *Report) Print(w io.Writer) {
	line := func(name string, value any, note string) {
		_, _ = fmt.Fprintf(w, "  %-26s %12v  %s\n", name, value, note)
	}
	_, _ = fmt.Fprintln(w, "What callers got")
	line("Submissions", r.Submissions, fmt.Sprintf("and %d sent again on purpose", r.Resubmissions))
	line("Complete", r.Complete, "")
	line("Failed", r.Failed, reasons(r.FailedByReason))
	line("NotRun", r.NotRun, "refused, truthfully")
	_, _ = fmt.Fprintln(w, "What must be 0, by the endpoints' ledger")
	line("DoubleStarts", r.DoubleStarts, fmt.Sprintf("of %d task starts", r.TaskStarts))
	line("PartialAnswers", r.PartialAnswers, "")
	line("MisdeliveredAnswers", r.MisdeliveredAnswers, "")
	line("FalseRefusals", r.FalseRefusals, "")
	line("LostAnswers", r.LostAnswers, "")
	line("StartsAfterLeaving", r.StartsAfterLeaving, "later than 3 s after the endpoint began to leave")
	line("CutOffByPlannedStop", r.CutOffByPlannedStop, "")
	_, _ = fmt.Fprintln(w, "How well it went")
	line("Response P50 / P99", fmt.Sprintf("%.0f/%.0f ms", r.ResponseP50Millis, r.ResponseP99Millis), "of complete jobs after the warm-up")
	line("To the reference P50 / P99", fmt.Sprintf("%.3f/%.3f", r.ResponseToReferenceP50, r.ResponseToReferenceP99), "1 is a central scheduler that knows everything")
	line("To the ideal P50 / P99", fmt.Sprintf("%.2f/%.2f", r.ResponseToIdealP50, r.ResponseToIdealP99), "1 is what physics allows an empty system")
	line("Wasted messages per start", fmt.Sprintf("%.4f", r.WastedPerStart), wastedKinds(r.WastedByKind))
	line("Platform writes, reads /s", fmt.Sprintf("%.0f, %.0f", r.PlatformWritesPerSec, r.PlatformReadsPerSec), "")
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(w, "  BROKEN:", v)
	}
}

func reasons(counts map[string]int) string {
	var parts []string
	for reason, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", reason, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func wastedKinds(counts map[string]uint64) string {
	var parts []string
	for kind, n := range counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", kind, n))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
