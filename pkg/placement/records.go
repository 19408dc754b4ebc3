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

// Tables of stored jobs. All rows of a job are of one part, so that one commit
// covers them.
const (
	jobsTable  = "jobs"  // what was submitted, while the job is open
	openTable  = "open"  // the progress of open jobs
	endedTable = "ended" // what became of the others
)

// storedParts are the parts of the tables: the first digit of a job's id.
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

// JobRow is what was submitted. No row holds a time, as the clocks of instances
// have different zeros.
type JobRow struct {
	Job   *workload.Job
	Route workload.Route
}

// OpenRow is the progress of an open job. Its version fences the home: a home
// that was replaced cannot write it any more.
type OpenRow struct {
	Route    string
	Digest   string
	Home     instance.ID
	Round    int
	Sequence uint64 // of this home's writes
	Started  bool
	Done     [][]byte // a bit for each task of each step
	Failures []TaskFailures
}

// TaskFailures counts the failed runs of a task.
type TaskFailures struct {
	Step  int
	Index int
	Count int
}

// EndedRow is what became of a job.
type EndedRow struct {
	Route  string
	Digest string
	Status Status
	Reason string
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

// digestOf tells jobs of one id apart.
func digestOf(j *workload.Job) string {
	sum := sha256.Sum256(encodeStored(j))
	return hex.EncodeToString(sum[:16])
}

// openRow returns the row of a job's progress.
func (j *job) openRow(home instance.ID) OpenRow {
	s := j.stored
	row := OpenRow{Route: j.route.Name, Digest: s.digest, Home: home, Round: s.round, Sequence: s.sequence, Started: j.started, Done: make([][]byte, len(j.steps))}
	for i := range j.steps {
		row.Done[i] = make([]byte, (len(j.steps[i])+7)/8)
		for k := range j.steps[i] {
			t := &j.steps[i][k]
			if t.phase == done {
				row.Done[i][k/8] |= 1 << (k % 8)
			}
			if t.failedRuns > 0 && t.phase != done {
				row.Failures = append(row.Failures, TaskFailures{Step: i, Index: k, Count: t.failedRuns})
			}
		}
	}
	return row
}

// restore sets the tasks of an adopted job to what its row says. Whether a task
// that is not done runs somewhere is not known; at an endpoint that nobody
// answers for it has ended at that time.
func (j *job) restore(row *OpenRow, endedAt time.Time) error {
	if len(row.Done) != len(j.steps) {
		return fmt.Errorf("row of job %s has %d steps, the job %d", j.ID, len(row.Done), len(j.steps))
	}
	j.started = row.Started
	for i := range j.steps {
		if len(row.Done[i])*8 < len(j.steps[i]) {
			return fmt.Errorf("row of job %s: step %d has %d bytes for %d tasks", j.ID, i, len(row.Done[i]), len(j.steps[i]))
		}
		for k := range j.steps[i] {
			t := &j.steps[i][k]
			t.runNumber = row.Round * runsPerRound
			t.phase, t.endedBy = lost, endedAt
			if row.Done[i][k/8]&(1<<(k%8)) != 0 {
				t.phase = done
				j.remaining--
			}
		}
	}
	for _, f := range row.Failures {
		if f.Step < 0 || f.Step >= len(j.steps) || f.Index < 0 || f.Index >= len(j.steps[f.Step]) {
			return fmt.Errorf("row of job %s names task %d of step %d", j.ID, f.Index, f.Step)
		}
		j.steps[f.Step][f.Index].failedRuns = f.Count
	}
	return nil
}

// runsPerRound is more than the runs that one home starts of a task, so that the
// numbers of a later home are higher.
const runsPerRound = 1000
