// Package burn counts the jobs that miss their class's objective, and reports from
// that how fast each team uses up its error budget.
package burn

import (
	"sort"
	"sync"
	"time"
)

// Bucket is the length of the time interval that one Count covers.
const Bucket = time.Minute

// Count holds the jobs of one team and class in one bucket, and how many of them
// missed the objective.
type Count struct {
	Team   string
	Class  string
	Start  time.Time
	Jobs   int64
	Missed int64
	// SumNanos is the sum of the response times, in nanoseconds.
	SumNanos int64
}

// Sheet holds the counts of one incarnation of an instance, as stored in the
// platform's table. It stays there after the incarnation has ended, so that reports
// still include its jobs.
type Sheet struct {
	Instance    string
	Incarnation uint64
	Counts      []Count
}

type countKey struct {
	team  string
	class string
	start time.Time
}

// Recorder counts the jobs of one incarnation of an instance. It is safe for
// concurrent use.
type Recorder struct {
	mu          sync.Mutex
	instance    string
	incarnation uint64
	counts      map[countKey]*Count
	dirty       bool // counts have changed since the last call of Sheet
}

// NewRecorder returns an empty recorder.
func NewRecorder(instance string, incarnation uint64) *Recorder {
	return &Recorder{instance: instance, incarnation: incarnation, counts: make(map[countKey]*Count)}
}

// Observe counts a job that took the time elapsed and met its objective or not.
func (r *Recorder) Observe(team, class string, elapsed time.Duration, met bool, now time.Time) {
	key := countKey{team, class, now.UTC().Round(0).Truncate(Bucket)}
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.counts[key]
	if !ok {
		c = &Count{Team: team, Class: class, Start: key.start}
		r.counts[key] = c
	}
	c.Jobs++
	c.SumNanos += int64(elapsed)
	if !met {
		c.Missed++
	}
	r.dirty = true
}

// Sheet returns the counts of the last window and whether Observe has added any
// since the last call. It deletes older counts.
func (r *Recorder) Sheet(now time.Time, window time.Duration) (Sheet, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Sheet{Instance: r.instance, Incarnation: r.incarnation}
	for key, c := range r.counts {
		if now.Sub(key.start) > window {
			delete(r.counts, key)
			continue
		}
		s.Counts = append(s.Counts, *c)
	}
	sortCounts(s.Counts)
	changed := r.dirty
	r.dirty = false
	return s, changed
}

// MarkUnsaved makes the next call of Sheet report a change. The caller uses it
// after it failed to store a sheet.
func (r *Recorder) MarkUnsaved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty = true
}

// sortCounts sorts by start, team and class.
func sortCounts(counts []Count) {
	sort.Slice(counts, func(i, j int) bool {
		a, b := counts[i], counts[j]
		if !a.Start.Equal(b.Start) {
			return a.Start.Before(b.Start)
		}
		if a.Team != b.Team {
			return a.Team < b.Team
		}
		return a.Class < b.Class
	})
}
