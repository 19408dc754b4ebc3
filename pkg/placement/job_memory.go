package placement

import (
	"unsafe"

	"go.uber.org/zap"

	"crocusseam/pkg/workload"
)

// jobMemory is the estimated memory of open jobs, against the limits of the configuration.
//
// This keeps an invariant: the memory of a job counts from the moment at which the job is
// put into the table of open jobs, or its adoption begins, until it is removed from the
// table or the adoption has ended. So a limit that is reached ends with the jobs.
type jobMemory struct {
	stored    int64 // of open stored jobs
	adopting  int64 // of jobs whose adoption is in progress
	ephemeral int64 // of open ephemeral jobs, which wait for their answer
}

const (
	// jobEntryBytes is what a job takes in the tables of jobs, handles and registrations.
	jobEntryBytes = 400
	jobBytes      = int64(unsafe.Sizeof(job{})+unsafe.Sizeof(workload.Job{})+unsafe.Sizeof(storedState{})) + jobEntryBytes
	stepBytes     = int64(unsafe.Sizeof(workload.Step{}) + unsafe.Sizeof([]task{}) + unsafe.Sizeof(phaseCounts{}))
	taskBytes     = int64(unsafe.Sizeof(task{}))
	// maxEstimate bounds what a row may say, so that sums do not overflow.
	maxEstimate   = 1 << 30
	afterBytes    = int64(unsafe.Sizeof(int(0)))
	runBytes      = 1 << 10 // of a run at its holder, without its request
	endedRunBytes = 768
	placedBytes   = 768     // of a placement request, without its specification
	droppedBytes  = 1 << 10 // of a run of a closed job, at its former home
)

// estimateMemory returns about how much memory an open job takes at its home.
func estimateMemory(j *workload.Job) int64 {
	n := jobBytes + int64(len(j.ID)+len(j.Spec)) + int64(j.Tasks())*taskBytes
	for i := range j.Steps {
		s := &j.Steps[i]
		n += stepBytes + int64(len(s.After))*afterBytes + int64(len(s.Label)+len(s.Rack))
	}
	return n
}

// estimateMemory returns about how much memory the job of a row takes once it is adopted.
// Rows of earlier versions do not tell it; then the job has the longest specification and
// as many tasks as the row has bits for.
func (r *OpenRow) estimateMemory() int64 {
	if r.Memory > 0 {
		return min(r.Memory, maxEstimate)
	}
	n := jobBytes + workload.MaxSpecBytes
	for _, done := range r.Done {
		n += stepBytes + int64(len(done))*8*taskBytes
	}
	return n
}

// addJob puts a job into the table of open jobs.
func (c *Control) addJob(j *job) {
	c.home.jobs.Put(j.ID, j)
	*c.memoryOf(j) += j.memory
}

// removeJob removes a job from the table of open jobs. A refused job is not in it.
func (c *Control) removeJob(j *job) {
	if known, ok := c.home.jobs.Get(j.ID); !ok || known != j {
		return
	}
	c.home.jobs.Delete(j.ID)
	*c.memoryOf(j) -= j.memory
}

func (c *Control) memoryOf(j *job) *int64 {
	if j.Ephemeral {
		return &c.home.memory.ephemeral
	}
	return &c.home.memory.stored
}

// JobMemory returns the estimated memory of stored jobs and of runs, those that have ended lately too. Ephemeral jobs count with
// their callers' requests.
func (c *Control) JobMemory() int64 {
	m := &c.home.memory
	return m.stored + m.adopting + c.holder.runMemory + c.endedMemory() + c.droppedMemory()
}

func (c *Control) endedMemory() int64 { return int64(c.holder.ended.Len()) * endedRunBytes }

func (c *Control) droppedMemory() int64 { return int64(c.home.dropped) * droppedBytes }

// memoryOfRun returns about how much memory one of the runs of a placement request takes at its holder, with
// its part of the request.
func (p *PlaceRequest) memoryOfRun() int64 {
	request := placedBytes + len(p.Spec) + len(p.Label) + len(p.Rack)
	return runBytes + int64(request/len(p.Tasks))
}

// memoryOfRun returns how much memory a run of a job takes at most at its holder. It has a request of its own if
// no other task is placed there with it.
func (j *job) memoryOfRun() int64 { return runBytes + placedBytes + int64(len(j.Spec)) }

// memoryFor reports whether a new job may be opened within the limits of memory. A single job
// is, whatever its size.
func (c *Control) memoryFor(j *job) bool {
	m := &c.home.memory
	open, limit, counter := m.stored+m.adopting, c.config.MaxStoredBytes, &c.counters.StoredOverMemory
	if j.Ephemeral {
		open, limit, counter = m.ephemeral, c.config.MaxOpenBytes, &c.counters.OpenOverMemory
	}
	if j.large() && c.config.SmallJobsShare > 0 {
		limit -= limit / int64(c.config.SmallJobsShare)
	}
	if limit == 0 || open == 0 || open+j.memory <= limit {
		return true
	}
	*counter++
	c.logEvent("no memory for a job", jobField(j.ID), zap.Bool("Stored", !j.Ephemeral), zap.Int64("Bytes", j.memory), zap.Int64("OpenBytes", open), zap.Int64("MaxBytes", limit))
	return false
}

// adoptable returns how many of the first jobs may be adopted within the limits of number and
// memory. One job may, whatever its size, if none is open.
func (c *Control) adoptable(orphans []orphanJob) int {
	m := &c.home.memory
	room := max(0, c.config.MaxStoredJobs-c.home.jobs.Len()-len(c.adoption.inProgress))
	open := m.stored + m.adopting
	for i := range orphans {
		bytes := orphans[i].row.estimateMemory()
		if i >= room {
			return i
		}
		if c.config.MaxStoredBytes > 0 && open > 0 && open+bytes > c.config.MaxStoredBytes {
			c.counters.AdoptionsOverMemory++
			return i
		}
		open += bytes
	}
	return len(orphans)
}
