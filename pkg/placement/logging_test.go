package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/hazard"
	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// observedStart is a start as an endpoint sees it.
type observedStart struct {
	task     string
	run      int
	endpoint string
	token    uint64
	at       time.Time
}

// logLine is a line of an instance's log.
type logLine struct {
	instance string
	at       time.Time
	event    string
	fields   map[string]any
}

func (l *logLine) String() string {
	return fmt.Sprintf("%s %s %s %v", l.at.Format("05.0000"), l.instance, l.event, l.fields)
}

// names reports whether a line is about a run.
func (l *logLine) names(s *observedStart) bool {
	if l.fields["Task"] == s.task && l.fields["Run"] == int64(s.run) {
		return true
	}
	for _, key := range []string{"Runs", "Dropped"} {
		if list, ok := l.fields[key].([]any); ok && slices.Contains(list, any(fmt.Sprintf("%s run %d", s.task, s.run))) {
			return true
		}
	}
	return false
}

// recording is what the endpoints and the logs show of a simulation.
type recording struct {
	starts []observedStart
	lines  []logLine
}

func (r *recording) observe(w *model.World) {
	w.Config.Started = func(x *model.Endpoint, m *placement.Start) {
		id := m.Run.Task
		r.starts = append(r.starts, observedStart{fmt.Sprintf("%s.0.%d.%d", id.Job, id.Step, id.Index), m.Run.Number, x.Info.ID.Name, uint64(m.Token), w.Now})
	}
	w.Config.Log = func(n *model.Node, m placement.LogEvent) {
		encoder := zapcore.NewMapObjectEncoder()
		for _, f := range m.Fields {
			f.AddTo(encoder)
		}
		r.lines = append(r.lines, logLine{n.ID.Instance, w.Now, m.Event, encoder.Fields})
	}
}

// find returns the lines about a run that is returns true for.
func (r *recording) find(s *observedStart, is func(*logLine) bool) []*logLine {
	var list []*logLine
	for i := range r.lines {
		if l := &r.lines[i]; l.names(s) && is(l) {
			list = append(list, l)
		}
	}
	return list
}

// orders returns the lines that order a start at the endpoint and with the token that the
// endpoint has seen.
func (r *recording) orders(s *observedStart) []*logLine {
	return r.find(s, func(l *logLine) bool {
		return l.event == "start ordered" && l.fields["Endpoint"] == s.endpoint && l.fields["Token"] == s.token && l.fields["Home"] != "" && !l.at.After(s.at)
	})
}

// causes returns the lines that say, before a time, why a run has ended or counts as ended.
func (r *recording) causes(s *observedStart, before time.Time) []*logLine {
	return r.find(s, func(l *logLine) bool {
		explains := slices.Contains([]string{"stop ordered", "run ended", "run given up", "unknown run stopped", "unknown run ended", "job answered"}, l.event)
		cause, _ := l.fields["Cause"].(string)
		reason, _ := l.fields["Reason"].(string)
		return explains && cause+reason != "" && !l.at.After(before)
	})
}

// Guards against two runs of a task at once that can't be told apart by their causes: what an
// endpoint knows of them, the name of the task, the number of the run and the token, leads to
// the lines that order both starts and to the line that says why one of the runs counted as
// ended. The worlds lack a rule each, so that some task runs twice at once.
func TestLogExplainsTwoRunsOfATask(t *testing.T) {
	for _, c := range []struct {
		rule    placement.Rule
		strikes []hazard.Injection
		cause   string // why the run that was placed first counted as ended
	}{
		{placement.RuleOrphans, []hazard.Injection{
			strike(t, "home stops in plan", -400*time.Millisecond), strike(t, "other frozen for 3.2s", -time.Millisecond),
		}, "its holder is silent"},
		{placement.RuleKeptRefusals, []hazard.Injection{
			strike(t, "the caller's connection breaks", time.Millisecond), strike(t, "messages to home held up for 3.2s", time.Millisecond),
		}, "its caller has left"},
	} {
		t.Run(string(c.rule), func(t *testing.T) {
			t.Parallel()
			var r recording
			breaches := hazard.Simulate(hazard.Config{Prepare: func(w *model.World) {
				r.observe(w)
				for _, n := range w.Nodes {
					n.Prepare = func(control *placement.Control) { control.SwitchOff(c.rule) }
					n.Start()
				}
			}}, c.strikes)
			pairs := r.pairs(breaches)
			assert.Assert(t, len(pairs) > 0, "no task ran twice at once: %v", breaches)
			for _, p := range pairs {
				for _, s := range p {
					assert.Check(t, len(r.orders(&s)) > 0, "no line orders run %d of %s at %s with token %d", s.run, s.task, s.endpoint, s.token)
				}
				causes := append(r.causes(&p[0], p[1].at), r.causes(&p[1], p[1].at)...)
				assert.Check(t, slices.ContainsFunc(causes, func(l *logLine) bool {
					return strings.Contains(fmt.Sprint(l.fields["Cause"], l.fields["Reason"]), c.cause)
				}), "no line says of run %d or %d of %s, before the later start, that %s: %v", p[0].run, p[1].run, p[0].task, c.cause, causes)
			}
		})
	}
}

// pairs returns the starts of each task that breaches name, two each, the earlier one first.
func (r *recording) pairs(breaches []string) [][2]observedStart {
	var list [][2]observedStart
	for i := range r.starts {
		for j := range r.starts[:i] {
			earlier, later := r.starts[j], r.starts[i]
			if earlier.task == later.task && slices.ContainsFunc(breaches, func(text string) bool {
				return strings.Contains(text, earlier.endpoint) && strings.Contains(text, "and was started on "+later.endpoint)
			}) {
				list = append(list, [2]observedStart{earlier, later})
			}
		}
	}
	return list
}

// Guards against log events that are kept in memory without a bound until a step has ended.
func TestEventsOfAStepAreBounded(t *testing.T) {
	const tasks = 20_000
	c := placement.New(placement.Config{Domain: "d", Share: 1, Timing: placement.DefaultTiming()})
	now := time.Unix(1000, 0)
	c.Step(now, nil)
	inputs := make([]placement.Input, tasks)
	for i := range inputs {
		inputs[i] = placement.Submit{Handle: placement.Handle(i), Job: &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", i)), Steps: []workload.Step{{Count: 1}}}, CallerTimeout: time.Second}
	}
	effects, _ := c.Step(now, inputs)
	events := 0
	for _, e := range effects {
		if _, ok := e.(placement.LogEvent); ok {
			events++
		}
	}
	assert.Check(t, events > 0 && events <= 3000, "%d events", events)
	assert.Check(t, c.Overview().Counters.EventsLeftOut > 0)
}
