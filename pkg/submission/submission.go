// Package submission defines the jobs that callers submit and the answers that they
// get.
package submission

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"time"
)

// Key identifies a submission by the team and an id that the caller chose.
type Key struct {
	Team string
	ID   string
}

func (k Key) String() string { return k.Team + "/" + k.ID }

// Digest is a hash that identifies the contents of a submission.
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
	// Attempt is 1 when a caller sends this submission for the first time, higher
	// for a resubmission, and 0 if the caller doesn't say.
	Attempt int
	Tasks   []Task
}

// Digest returns the digest of all fields of the submission except Attempt.
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

// Status says whether the job of an answer completed.
type Status string

// The statuses. An answer is complete or failed, never partial.
const (
	Complete Status = "Complete"
	Failed   Status = "Failed"
)

// Reason says why a job failed or a request was refused.
type Reason string

// Reasons of failed answers.
const (
	// TaskFailed says that an endpoint ran a task and reported its failure.
	TaskFailed Reason = "TaskFailed"
	// OutcomeUnknown says that a task may have started and that its outcome is not
	// known.
	OutcomeUnknown Reason = "OutcomeUnknown"
	// DeadlineExceeded says that the deadline passed before the job was complete.
	DeadlineExceeded Reason = "DeadlineExceeded"
	// Cancelled says that the caller or an operator cancelled the job.
	Cancelled Reason = "Cancelled"
)

// Reasons of refusals.
const (
	Invalid             Reason = "Invalid"        // a field of the request is missing or has a value that is not allowed
	Unauthorized        Reason = "Unauthorized"   // the token does not permit the request
	DigestDiffers       Reason = "DigestDiffers"  // the key was claimed for a submission with other contents
	DeadlinePassed      Reason = "DeadlinePassed" // the deadline passed before any task was started
	NoWorkerFits        Reason = "NoWorkerFits"   // no endpoint of the environment document can run one of the tasks
	Overloaded          Reason = "Overloaded"     // the job would wait too long
	QuotaExceeded       Reason = "QuotaExceeded"
	Leaving             Reason = "Leaving"             // the instance is leaving
	PlatformUnavailable Reason = "PlatformUnavailable" // a service of the platform failed or did not answer in time
	ClaimedElsewhere    Reason = "ClaimedElsewhere"    // another instance has, or may have, claimed the submission
	NotFound            Reason = "NotFound"            // no such submission is known
	NotServing          Reason = "NotServing"          // the instance does not serve this submission, or has no document yet
)

// Result is the output of one task.
type Result struct {
	Name   string
	Output []byte
}

// Answer is the answer to an accepted submission. Results are present only if the
// job is complete, in the order of the submission's tasks.
type Answer struct {
	Status  Status
	Reason  Reason
	Detail  string
	Results []Result
}

// Refusal says why an instance did not serve a request. NotRun is true only if no
// instance has started a task of the submission.
type Refusal struct {
	Reason     Reason
	NotRun     bool
	RetryAfter time.Duration
	Detail     string
}

// Reply is the response to a caller: either an answer or a refusal.
type Reply struct {
	Answer  *Answer
	Refusal *Refusal
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s: %s (not run: %t)", r.Reason, r.Detail, r.NotRun)
}
