// Package burn counts how fast the error budgets of service levels are used up.
package burn

import (
	"sort"
	"sync"
	"time"
)

// Bucket is the resolution of the counts in time.
const Bucket = time.Minute

// Count is the number of jobs in one bucket, and how many missed the objective.
type Count struct {
	Team   string
	Class  string
	Start  time.Time
	Jobs   int64
	Missed int64
	// SumNanos is the sum of the response times, in nanoseconds.
	SumNanos int64
}

// Sheet is what one instance has counted in one incarnation. Sheets of instances
// that are gone stay in the platform's table until their buckets are too old.
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

// Recorder counts the jobs of an instance. It is safe for concurrent use.
type Recorder struct {
	mu          sync.Mutex
	instance    string
	incarnation uint64
	counts      map[countKey]*Count
	dirty       bool
}

// NewRecorder returns an empty recorder.
func NewRecorder(instance string, incarnation uint64) *Recorder {
	return &Recorder{instance: instance, incarnation: incarnation, counts: make(map[countKey]*Count)}
}

// Observe counts a job.
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

// Sheet returns the counts of the last window and whether they have changed
// since the last call. Older counts are dropped.
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

// MarkUnsaved makes the next Sheet count as changed, after a failed write.
func (r *Recorder) MarkUnsaved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty = true
}

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
