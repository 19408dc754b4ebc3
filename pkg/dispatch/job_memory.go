package dispatch

import (
	"fmt"
	"slices"
	"time"
	"unsafe"

	"crocusseam/pkg/submission"
)

const (
	// jobEntryBytes is what a job takes in tables, and in the request that waits for its answer.
	jobEntryBytes = 3 << 10
	// answeredTaskBytes is what a task of an answered job takes besides its texts.
	answeredTaskBytes = int64(unsafe.Sizeof(submission.Task{}) + unsafe.Sizeof(taskState{}))
	// openTaskBytes adds its attempt, and what the lead and the holder have of it.
	openTaskBytes = answeredTaskBytes + int64(unsafe.Sizeof(attempt{})+unsafe.Sizeof(PlaceRequest{})) + 512
	// smallJobBytes is the most memory of a job that may use all of MaxOpenBytes. Larger ones may use
	// half.
	smallJobBytes = 64 << 10
	// memoryRetryAfter is the Retry-After of a submission for which there is no memory.
	memoryRetryAfter = time.Second
)

// estimateMemory returns about how much memory an accepted submission takes.
func estimateMemory(s *submission.Submission) int64 { return estimateTasks(s, openTaskBytes) }

func estimateTasks(s *submission.Submission, taskBytes int64) int64 {
	n := jobEntryBytes + int64(len(s.Tasks))*taskBytes
	for i := range s.Tasks {
		t := &s.Tasks[i]
		n += int64(len(t.Name) + len(t.Kind) + cap(t.Payload))
	}
	return n
}

// admitMemory refuses a submission if the accepted ones take as much memory as they may. A single
// one is accepted, whatever its size.
//
// This keeps an invariant: the memory of a job counts from its acceptance until removeJob, also after its
// answer, as long as the answer is kept.
func (c *Control) admitMemory(h Handle, s *submission.Submission) bool {
	limit, n := c.config.MaxOpenBytes, estimateMemory(s)
	if n > smallJobBytes {
		limit /= 2
	}
	if c.config.MaxOpenBytes == 0 || c.home.memory == 0 || c.home.memory+n <= limit {
		return true
	}
	c.counters.OverMemory++
	c.refuse(h, s, submission.Overloaded, memoryRetryAfter, fmt.Sprintf("accepted submissions take %d bytes of memory and this one %d; allowed: %d", c.home.memory, n, limit))
	return false
}

// setMemory sets the memory that a job counts as.
func (c *Control) setMemory(j *job, bytes int64) {
	c.home.memory += bytes - j.memory
	j.memory = bytes
}

// memoryIsShort reports whether answered jobs are forgotten early, so that others are accepted.
func (c *Control) memoryIsShort() bool {
	return c.config.MaxOpenBytes > 0 && c.home.memory > c.config.MaxOpenBytes/2
}

// countAnswered counts a job that is answered as what is kept of it. The payloads of a large one are released.
func (c *Control) countAnswered(j *job) {
	if current, ok := c.home.jobs.Get(j.key); !ok || current != j {
		return
	}
	var answerBytes int64
	if j.reply.Answer != nil {
		answerBytes = int64(outputBytes(j.reply.Answer.Results))
	}
	if j.sub == nil {
		c.setMemory(j, jobEntryBytes+answerBytes)
		return
	}
	if j.memory > smallJobBytes {
		kept := *j.sub
		kept.Tasks = slices.Clone(kept.Tasks)
		for i := range kept.Tasks {
			kept.Tasks[i].Payload = nil
		}
		j.sub = &kept
	}
	c.setMemory(j, estimateTasks(j.sub, answeredTaskBytes)+answerBytes)
}

// removeJob forgets a job, unless another one has taken its place.
func (c *Control) removeJob(j *job) {
	if current, ok := c.home.jobs.Get(j.key); ok && current == j {
		c.home.jobs.Delete(j.key)
		c.setMemory(j, 0)
	}
}
