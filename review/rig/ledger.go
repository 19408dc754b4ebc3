package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// taskRun is one run of a task, as its worker has seen it.
type taskRun struct {
	worker string
	key    runKey
	fence  uint64
	start  time.Time
	end    time.Time // zero while it runs
	how    string
	noted  bool // seenUpto has reached the end, and no lease lapsed in between
}

// ledger is the record of what was sent, answered and run.
type ledger struct {
	mu    sync.Mutex
	began time.Time
	lines []string
	runs  []*taskRun
	index map[string]*taskRun // by worker and run
}

// record is the ledger of the case that runs, for a case that is ended early.
var record atomic.Pointer[ledger]

func newLedger() *ledger {
	l := &ledger{began: time.Now(), index: make(map[string]*taskRun)}
	record.Store(l)
	return l
}

func (l *ledger) write(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeAt(time.Now(), format, args...)
}

func (l *ledger) writeAt(at time.Time, format string, args ...any) {
	l.lines = append(l.lines, fmt.Sprintf("%9.4f ", at.Sub(l.began).Seconds())+fmt.Sprintf(format, args...))
}

func (l *ledger) runStarted(worker string, key runKey, fence uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &taskRun{worker: worker, key: key, fence: fence, start: at}
	l.runs = append(l.runs, r)
	l.index[fmt.Sprint(worker, key)] = r
	l.writeAt(at, "worker %s starts %s run %d, fencing token %d", worker, key.task, key.run, fence)
}

func (l *ledger) runEnded(worker string, key runKey, how string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.index[fmt.Sprint(worker, key)]; r != nil {
		r.end, r.how = at, how
	}
	l.writeAt(at, "worker %s ends %s run %d: %s", worker, key.task, key.run, how)
}

func (l *ledger) endNoted(worker string, key runKey, lapsed bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.index[fmt.Sprint(worker, key)]; r != nil {
		r.noted = !lapsed
	}
	l.writeAt(at, "worker %s: the end of %s run %d is taken note of, lease lapsed in between: %v", worker, key.task, key.run, lapsed)
}

// tasks returns the runs of each task in the order of their starts.
func (l *ledger) tasks() map[string][]*taskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	tasks := make(map[string][]*taskRun)
	for _, r := range l.runs {
		c := *r
		tasks[r.key.task] = append(tasks[r.key.task], &c)
	}
	for _, runs := range tasks {
		sort.SliceStable(runs, func(a, b int) bool { return runs[a].start.Before(runs[b].start) })
	}
	return tasks
}

func (l *ledger) at(t time.Time) float64 { return t.Sub(l.began).Seconds() }

// twice returns the breaches of TWICE for jobs that are kept: two runs at the same time,
// and starts after an end `done` that was taken note of.
func (l *ledger) twice() []string {
	var breaches []string
	for task, runs := range l.tasks() {
		for i, later := range runs {
			for _, earlier := range runs[:i] {
				switch {
				case earlier.how == "done" && earlier.noted && later.start.After(earlier.end):
					breaches = append(breaches, fmt.Sprintf("TWICE: %s run %d on %s ended done at %.3f s, which was taken note of, and run %d started on %s at %.3f s",
						task, earlier.key.run, earlier.worker, l.at(earlier.end), later.key.run, later.worker, l.at(later.start)))
				case earlier.end.IsZero() || later.start.Before(earlier.end):
					breaches = append(breaches, fmt.Sprintf("TWICE: %s run %d on %s and run %d on %s run at the same time, at %.3f s",
						task, earlier.key.run, earlier.worker, later.key.run, later.worker, l.at(later.start)))
				}
			}
		}
	}
	sort.Strings(breaches)
	return breaches
}

// overBudget returns the breaches of BUDGET: starts after maxAttempts ends `failed` that
// were taken note of.
func (l *ledger) overBudget(maxAttempts int) []string {
	var breaches []string
	for task, runs := range l.tasks() {
		for _, later := range runs {
			failed := 0
			for _, earlier := range runs {
				if earlier.how == "failed" && earlier.noted && earlier.end.Before(later.start) {
					failed++
				}
			}
			if failed >= maxAttempts {
				breaches = append(breaches, fmt.Sprintf("BUDGET: %s run %d started on %s at %.3f s, after %d runs had ended failed (maxAttempts is %d)",
					task, later.key.run, later.worker, l.at(later.start), failed, maxAttempts))
			}
		}
	}
	sort.Strings(breaches)
	return breaches
}

// save writes the record to a file, in the order of time.
func (l *ledger) save(path string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.SliceStable(l.lines, func(a, b int) bool { return strings.Compare(l.lines[a][:9], l.lines[b][:9]) < 0 })
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, line := range l.lines {
		_, _ = fmt.Fprintln(w, line)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
