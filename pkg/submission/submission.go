// Package submission holds what callers submit and what they get back.
package submission

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"time"
)

// Key names a submission: the team and the id that the caller chose.
type Key struct {
	Team string
	ID   string
}

func (k Key) String() string { return k.Team + "/" + k.ID }

// Digest identifies the body of a submission.
type Digest [sha256.Size]byte

func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Task is one task of a job.
type Task struct {
	Name            string
	Kind            string
	Payload         []byte
	DeclaredRunTime time.Duration
	Processors      int
	MemoryBytes     int64
	Accelerators    int
}

// Submission is a job as its caller submitted it.
type Submission struct {
	Key
	Class      string
	Deadline   time.Time
	Repeatable bool
	HomeDomain string
	// Attempt is 1 for the first time a caller sends this submission and more
	// for a resubmission; 0 leaves it unsaid.
	Attempt int
	Tasks   []Task
}

// Digest returns the digest of everything in the submission but Attempt.
func (s *Submission) Digest() Digest {
	h := sha256.New()
	writeString(h, s.Team)
	writeString(h, s.ID)
	writeString(h, s.Class)
	writeInt(h, s.Deadline.UnixNano())
	writeBool(h, s.Repeatable)
	writeString(h, s.HomeDomain)
	for _, t := range s.Tasks {
		writeString(h, t.Name)
		writeString(h, t.Kind)
		writeString(h, string(t.Payload))
		writeInt(h, int64(t.DeclaredRunTime))
		writeInt(h, int64(t.Processors))
		writeInt(h, t.MemoryBytes)
		writeInt(h, int64(t.Accelerators))
	}
	var d Digest
	h.Sum(d[:0])
	return d
}

func writeString(h hash.Hash, text string) {
	writeInt(h, int64(len(text)))
	h.Write([]byte(text))
}

func writeInt(h hash.Hash, number int64) {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], uint64(number))
	h.Write(buf[:])
}

func writeBool(h hash.Hash, b bool) {
	if b {
		writeInt(h, 1)
		return
	}
	writeInt(h, 0)
}

// Status is the state of an answer.
type Status string

// An answer is complete or failed, never partial.
const (
	Complete Status = "Complete"
	Failed   Status = "Failed"
)

// Reason says why a job failed or a request was refused.
type Reason string

// Reasons of failed answers.
const (
	// TaskFailed: an endpoint ran a task and reported its failure.
	TaskFailed Reason = "TaskFailed"
	// OutcomeUnknown: a task may have started and its end is not known.
	OutcomeUnknown Reason = "OutcomeUnknown"
	// DeadlineExceeded: the deadline passed before the job was complete.
	DeadlineExceeded Reason = "DeadlineExceeded"
	// Cancelled: the caller or an operator cancelled the job.
	Cancelled Reason = "Cancelled"
)

// Reasons of refusals.
const (
	Invalid             Reason = "Invalid"
	Unauthorized        Reason = "Unauthorized"
	DigestDiffers       Reason = "DigestDiffers"
	DeadlinePassed      Reason = "DeadlinePassed"
	NoWorkerFits        Reason = "NoWorkerFits"
	Overloaded          Reason = "Overloaded"
	QuotaExceeded       Reason = "QuotaExceeded"
	Leaving             Reason = "Leaving"
	PlatformUnavailable Reason = "PlatformUnavailable"
	ClaimedElsewhere    Reason = "ClaimedElsewhere"
	NotFound            Reason = "NotFound"
	NotServing          Reason = "NotServing"
)

// Result is the output of one task.
type Result struct {
	Name   string
	Output []byte
}

// Answer is the whole answer to a submission. Results are in the order of the
// submission's tasks and present only in a complete answer.
type Answer struct {
	Status  Status
	Reason  Reason
	Detail  string
	Results []Result
}

// Refusal says that a request was not served. NotRun is true only if no task of
// the submission was started, here or elsewhere.
type Refusal struct {
	Reason     Reason
	NotRun     bool
	RetryAfter time.Duration
	Detail     string
}

// Reply is what a caller gets: an answer or a refusal.
type Reply struct {
	Answer  *Answer
	Refusal *Refusal
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s: %s (not run: %t)", r.Reason, r.Detail, r.NotRun)
}
