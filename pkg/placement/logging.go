package placement

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

// Events of one step beyond these numbers are left out, as all of them are kept until the step has ended.
const (
	maxStepEvents   = 1000
	maxStepWarnings = 3000
	maxNamesInLine  = 20 // of runs
)

// logEvent logs an event at level info, of which the log may leave some out when there are
// many in a second.
func (c *Control) logEvent(event string, fields ...zap.Field) {
	if c.logged++; c.logged > maxStepEvents {
		c.counters.EventsLeftOut++ // the log would leave it out too
		return
	}
	c.emit(LogEvent{Event: event, Fields: fields})
}

// logWarning logs an event that explains why a run has ended before its time, or why this
// instance takes it for ended. The log leaves out such events last.
func (c *Control) logWarning(event string, fields ...zap.Field) {
	if c.logged++; c.logged > maxStepWarnings {
		c.counters.EventsLeftOut++
		return
	}
	c.emit(LogEvent{Event: event, Level: zapcore.WarnLevel, Fields: fields})
}

func jobField(id workload.JobID) zap.Field { return zap.String("Job", string(id)) }

const maxLogFields = 14 // usual number of fields of a line about a run

// runFields returns the fields that every line about a run begins with. Task is the name
// that the endpoints know the task by.
func runFields(id workload.Run, fields ...zap.Field) []zap.Field {
	all := make([]zap.Field, 0, maxLogFields)
	all = append(all, jobField(id.Task.Job), zap.Stringer("Task", taskName(id.Task)), zap.Int("Step", id.Task.Step), zap.Int("Index", id.Task.Index), zap.Int("Run", id.Number))
	return append(all, fields...)
}

// taskName formats the name of a task only when its line is written.
type taskName workload.TaskID

func (t taskName) String() string { return workload.TaskID(t).Name() }

// logFields returns the fields of a line about a run at its holder.
func (r *run) logFields(fields ...zap.Field) []zap.Field {
	all := runFields(r.id, zap.Stringer("Home", r.home))
	if e := r.endpoint; e != nil {
		all = append(all, zap.String("Endpoint", e.info.ID.Name), zap.Uint64("Token", uint64(e.token)))
	}
	return append(all, fields...)
}

// logFields returns the fields of a line about an ended run at its holder.
func (r *endedRun) logFields(fields ...zap.Field) []zap.Field {
	all := runFields(r.message.Run, zap.Stringer("Home", r.home))
	if r.message.Endpoint != "" {
		all = append(all, zap.String("Endpoint", r.message.Endpoint), zap.Uint64("Token", uint64(r.token)))
	}
	return append(all, fields...)
}

// logFields returns the fields of a line about a held endpoint.
func (e *endpoint) logFields(fields ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.String("Endpoint", e.info.ID.Name), zap.Uint64("Token", uint64(e.token))}, fields...)
}

// logRunEnded logs the end of a run at its holder. It is a warning if the run has ended before
// its time or may not have ended.
func (c *Control) logRunEnded(r *run) {
	m := r.endMessage
	fields := r.logFields(zap.Stringer("How", m.How), zap.Duration("Elapsed", m.Elapsed), zap.Duration("Estimate", r.request.Estimate), zap.String("Cause", m.Detail))
	if r.endpoint != nil {
		fields = append(fields, zap.Bool("Listed", r.listed))
	}
	if m.MayStartLater {
		fields = append(fields, zap.Bool("MayStartLater", true))
	}
	switch m.How {
	case workload.Done, workload.Failed, workload.NeverRan:
		c.logEvent("run ended", fields...)
	default:
		c.logWarning("run ended", fields...)
	}
}

// endCause returns why a run ended as its endpoint reports it: who has asked for its stop,
// or that its lease was over there.
func (r *run) endCause(how workload.How) string {
	switch {
	case r.stopCause != "":
		return r.stopCause
	case how == workload.Stopped:
		return "stopped by another holder"
	case how == workload.Lapsed:
		return "the endpoint ended it at the end of its lease"
	}
	return ""
}

// formerEnd says what this instance knows of a run at a held endpoint that it does not take for
// running there.
func (c *Control) formerEnd(id workload.Run) string {
	r, ok := c.holder.ended.Get(id)
	switch {
	case !ok:
		return "it was started by an earlier holder"
	case r.message.Detail == "":
		return "it has ended here as " + r.message.How.String()
	}
	return "it has ended here as " + r.message.How.String() + ": " + r.message.Detail
}

// logUnexpectedEnds logs the ends in a report of runs that were not running here, once each:
// runs of an earlier holder, and those that this instance has taken for ended otherwise.
func (c *Control) logUnexpectedEnds(e *endpoint, ended []workload.EndedRun) {
	for i := range ended {
		end := &ended[i]
		if end.Sequence <= e.lastLoggedEnd {
			continue
		}
		e.lastLoggedEnd = end.Sequence
		if e.runs.Has(end.Run) {
			continue
		}
		if r, ok := c.holder.ended.Get(end.Run); ok && r.message.How == end.How {
			continue
		}
		c.logWarning("unknown run ended", runFields(end.Run, e.logFields(zap.Stringer("How", end.How), zap.Int64("Sequence", end.Sequence), zap.String("Cause", c.formerEnd(end.Run)))...)...)
	}
}

// logGivenUp logs that a home does not rely on a run any more that it has placed, which has
// certainly ended after a time. Without a report of its holder, m is nil.
func (c *Control) logGivenUp(id workload.Run, holder instance.ID, m *RunEnded, certainAfter time.Duration, cause string) {
	fields := runFields(id, zap.Stringer("Holder", holder))
	if m != nil {
		fields = append(fields, zap.String("Endpoint", m.Endpoint), zap.Stringer("How", m.How))
	}
	c.logWarning("run given up", append(fields, zap.Duration("CertainAfter", certainAfter), zap.String("Cause", cause))...)
}

// droppedRun is a run that a home has asked its holder to stop.
type droppedRun struct {
	run    workload.Run
	holder instance.ID
}

// logJobEnd logs the end of a job at its home. It is a warning if runs of the job were dropped.
func (c *Control) logJobEnd(event string, dropped []droppedRun, fields ...zap.Field) {
	fields = append(fields, zap.Int("RunsDropped", len(dropped)))
	if len(dropped) == 0 {
		c.logEvent(event, fields...)
		return
	}
	var runs []workload.Run
	var holders []string
	for _, d := range dropped {
		runs = append(runs, d.run)
		if name := d.holder.String(); !slices.Contains(holders, name) {
			holders = append(holders, name)
		}
	}
	c.logWarning(event, append(fields, zap.Strings("Holders", holders), zap.Strings("Dropped", runNames(runs)))...)
}

// runNames returns the names of the first maxNamesInLine runs.
func runNames(runs []workload.Run) []string {
	names := make([]string, min(len(runs), maxNamesInLine))
	for i := range names {
		names[i] = runs[i].Name()
	}
	return names
}

// placedNames writes the first maxNamesInLine runs of a placement request.
type placedNames struct{ request *PlaceRequest }

func (n placedNames) MarshalLogArray(out zapcore.ArrayEncoder) error {
	for _, t := range n.request.Tasks[:min(len(n.request.Tasks), maxNamesInLine)] {
		id := workload.Run{Task: workload.TaskID{Job: n.request.Job, Step: n.request.Step, Index: t.Index}, Number: t.Number}
		out.AppendString(id.Name())
	}
	return nil
}
