package placement

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/workload"
)

// Tables of stored jobs. All rows of a job are in the same partition, so that one commit
// can write them.
const (
	jobsTable  = "jobs"  // what was submitted, while the job is open
	openTable  = "open"  // the progress of open jobs, which have no recorded outcome
	endedTable = "ended" // the outcomes of ended jobs
)

// storedPartitions are the partitions of the tables. The first digit of a job's id is its
// partition.
const storedPartitions = "0123456789abcdef"

func partitionOf(id workload.JobID) string { return strings.ToLower(string(id[:1])) }

func partitionPrefix(table, part string) string { return table + ":" + part + "/" }

func storedKey(table string, id workload.JobID) string {
	return partitionPrefix(table, partitionOf(id)) + string(id)
}

// jobOfKey returns the job whose row has this key.
func jobOfKey(key string) workload.JobID {
	return workload.JobID(key[strings.LastIndexByte(key, '/')+1:])
}

// JobRow is what was submitted. No row contains a time, as the clocks of instances start
// at different times.
type JobRow struct {
	Job   *workload.Job
	Route workload.Route
}

// OpenRow is the progress of an open job. Its version is the fencing token of the home:
// a home that was replaced can no longer write it.
type OpenRow struct {
	Route    string
	Digest   string
	Home     instance.ID
	Round    int
	Sequence uint64 // counts the writes of this home
	Started  bool
	Memory   int64    `json:",omitempty"` // of the open job, as its home estimates it; missing in rows of earlier versions
	Done     [][]byte // for each step one bit for each task
	Failures []TaskFailures
}

// TaskFailures are the failed runs of a task.
type TaskFailures struct {
	Step  int
	Index int
	Count int
	Runs  []int // their numbers; missing in rows of earlier versions
}

// EndedRow is the outcome of a job.
type EndedRow struct {
	Route  string
	Digest string
	Status Status
	Reason string
	// Home is the home of a job that another instance has cancelled; nil if the home has
	// written the row.
	Home *instance.ID `json:",omitempty"`
}

func encodeStored(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic("a row of a stored job cannot be encoded: " + err.Error())
	}
	return value
}

func decodeStored[R any](row *storage.Row) (R, error) {
	var r R
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, fmt.Errorf("row %q of a stored job: %w", row.Key, err)
	}
	return r, nil
}

// digestOf returns a digest of a job, to detect that another job is submitted under the
// same id.
func digestOf(j *workload.Job) string {
	sum := sha256.Sum256(encodeStored(j))
	return hex.EncodeToString(sum[:16])
}

// openRow returns the value of the row that keeps a job's progress while the job is open,
// that is, until its outcome is recorded. Another instance that adopts the job continues
// from this row.
func (j *job) openRow(home instance.ID) OpenRow {
	s := j.stored
	row := OpenRow{Route: j.route.Name, Digest: s.digest, Home: home, Round: s.round, Sequence: s.sequence, Started: j.started, Memory: j.memory, Done: make([][]byte, len(j.steps))}
	for i := range j.steps {
		row.Done[i] = make([]byte, (len(j.steps[i])+7)/8)
		for k := range j.steps[i] {
			t := &j.steps[i][k]
			if t.phase == done {
				row.Done[i][k/8] |= 1 << (k % 8)
			}
			if n := len(t.failedRuns); n > 0 && t.phase != done {
				row.Failures = append(row.Failures, TaskFailures{Step: i, Index: k, Count: n, Runs: t.failedRuns})
			}
		}
	}
	return row
}

// restore sets the tasks of an adopted job from its row. A task that is not done is
// marked as lost, because a run of it may be going on somewhere; such a run has ended by
// endedAt if no holder knows the endpoint that has it.
func (j *job) restore(row *OpenRow, endedAt time.Time) error {
	if len(row.Done) != len(j.steps) {
		return fmt.Errorf("row of job %s has %d steps, but the job has %d", j.ID, len(row.Done), len(j.steps))
	}
	j.started = row.Started
	for i := range j.steps {
		if len(row.Done[i])*8 < len(j.steps[i]) {
			return fmt.Errorf("row of job %s: step %d has %d bytes for %d tasks", j.ID, i, len(row.Done[i]), len(j.steps[i]))
		}
		for k := range j.steps[i] {
			t := &j.steps[i][k]
			t.runNumber = row.Round * runsPerRound
			j.setPhase(t, lost)
			t.endedBy = endedAt
			if row.Done[i][k/8]&(1<<(k%8)) != 0 {
				j.setPhase(t, done)
				j.remaining--
			}
		}
	}
	for _, f := range row.Failures {
		if f.Step < 0 || f.Step >= len(j.steps) || f.Index < 0 || f.Index >= len(j.steps[f.Step]) {
			return fmt.Errorf("row of job %s names task %d of step %d, which the job does not have", j.ID, f.Index, f.Step)
		}
		n := max(f.Count, len(f.Runs))
		if n > runsPerRound {
			return fmt.Errorf("row of job %s: task %d of step %d has %d failed runs", j.ID, f.Index, f.Step, n)
		}
		runs := make([]int, n) // 0 stands for a run without a known number
		copy(runs, f.Runs)
		j.steps[f.Step][f.Index].failedRuns = runs
	}
	return nil
}

// runsPerRound exceeds the number of runs of a task that one home starts, so that the
// run numbers of a later home are higher.
const runsPerRound = 1000
