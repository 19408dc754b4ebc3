package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/storage"
)

// sweep is the removal of outcomes whose retention is over from the own partitions, one page of rows after the other.
//
// This keeps an invariant: what an instance reads at a time does not grow with the number of outcomes, that is, with the
// jobs that callers have stored within the retention.
type sweep struct {
	due    time.Time
	parts  []string          // that are still to be swept; the first one is in progress
	from   string            // key from which its next page is read
	newest storage.Version   // of its rows so far
	old    storage.Version   // up to which its rows are removed
	marks  map[string][]mark // partition -> marks of its outcomes, oldest first
}

// mark records that all rows up to a version existed at a time.
type mark struct {
	at      time.Time
	version storage.Version
}

const (
	sweepPeriod   = 20 * time.Second       // between the beginnings of two sweeps
	sweepPageRows = 500                    // the store answers with as many at most
	maxSweep      = storage.MaxEntries / 2 // rows removed by one commit; each takes a condition and a removal
)

// runSweep begins a sweep of the own partitions when that is due.
func (c *Control) runSweep() {
	s := &c.sweep
	if len(s.parts) > 0 || c.now.Before(s.due) {
		return
	}
	s.due = c.now.Add(sweepPeriod)
	s.parts = c.ownPartitions()
	c.sweepPartition()
}

// sweepPartition begins with the first of the partitions that are still to be swept.
func (c *Control) sweepPartition() {
	s := &c.sweep
	if len(s.parts) == 0 {
		return
	}
	s.from, s.newest, s.old = partitionPrefix(endedTable, s.parts[0]), 0, s.takeOldMark(s.parts[0], c.now.Add(-c.config.Retention))
	c.sweepPage()
}

// sweepPage reads the next rows of the partition and removes the old ones.
func (c *Control) sweepPage() {
	s := &c.sweep
	last := partitionPrefix(endedTable, s.parts[0]) + "g" // ids are hexadecimal
	c.scanPage(s.from, last, sweepPageRows, func(m ScanDone) {
		if m.Err != nil {
			c.endPartition()
			return
		}
		var old []storage.Write
		for i := range m.Rows {
			r := &m.Rows[i]
			s.newest = max(s.newest, r.Version)
			if r.Version <= s.old {
				old = append(old, storage.Write{Key: r.Key, Delete: true, Expect: r.Version})
			}
		}
		c.removeOutcomes(old, func() {
			if len(m.Rows) < sweepPageRows {
				s.marks[s.parts[0]] = append(s.marks[s.parts[0]], mark{c.now, s.newest})
				c.endPartition()
				return
			}
			s.from = m.Rows[len(m.Rows)-1].Key + "\x00"
			c.sweepPage()
		})
	})
}

func (c *Control) endPartition() {
	c.sweep.parts = c.sweep.parts[1:]
	c.sweepPartition()
}

// removeOutcomes removes rows, one commit after the other. Those of a commit that fails stay for the next sweep.
func (c *Control) removeOutcomes(old []storage.Write, done func()) {
	if len(old) == 0 {
		done()
		return
	}
	n := min(len(old), maxSweep)
	c.commit(Commit{Writes: old[:n]}, func(m CommitDone) {
		c.logEvent("old outcomes removed", zap.String("Part", c.sweep.parts[0]), zap.Int("Jobs", n), zap.Uint64("UptoVersion", uint64(c.sweep.old)), zap.Error(m.Err))
		c.removeOutcomes(old[n:], done)
	})
}

// takeOldMark returns the version of the newest mark of a partition that is not after a time, or 0 if there is none, and
// forgets the marks up to it.
func (s *sweep) takeOldMark(part string, upTo time.Time) storage.Version {
	var old storage.Version
	marks := s.marks[part]
	for len(marks) > 0 && !marks[0].at.After(upTo) {
		old = marks[0].version
		marks = marks[1:]
	}
	s.marks[part] = marks
	return old
}
