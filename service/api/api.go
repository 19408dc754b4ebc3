// Package api defines the paths and JSON types of the HTTP interface for callers.
package api

import (
	"fmt"
	"net/http"
	"time"

	"crocusseam/pkg/document"
	"crocusseam/pkg/submission"
)

// Paths of the HTTP interface.
const (
	PathSubmissions = "/v1/submissions"
	PathSubmission  = "/v1/submissions/:team/:id"
	PathHealth      = "/v1/health"
	PathReady       = "/v1/ready"
	PathStatus      = "/v1/status"
)

// Task is a task of a submission.
type Task struct {
	Name            string
	Kind            string
	Payload         []byte
	DeclaredRunTime document.Duration
	Processors      int   `json:",omitempty"`
	MemoryBytes     int64 `json:",omitempty"`
	Accelerators    int   `json:",omitempty"`
}

// Submission is the body of a POST to PathSubmissions.
type Submission struct {
	Team       string
	ID         string `json:"Id"`
	Class      string `json:",omitempty"`
	Deadline   time.Time
	Repeatable bool   `json:",omitempty"`
	HomeDomain string `json:",omitempty"`
	// Attempt is 1 when the caller sends the submission for the first time, and
	// higher when it resubmits. Without a claim, only a refusal of attempt 1 can
	// say NotRun.
	Attempt int `json:",omitempty"`
	Tasks   []Task
}

// Result is the output of one task.
type Result struct {
	Name   string
	Output []byte
}

// Answer is the final answer to a submission: Complete, with every task's result in
// the order of the submission, or Failed, with a reason.
type Answer struct {
	Team    string
	ID      string `json:"Id"`
	Status  submission.Status
	Reason  submission.Reason `json:",omitempty"`
	Detail  string            `json:",omitempty"`
	Results []Result          `json:",omitempty"`
}

// Refusal reports why a request was not served. NotRun states that no task of the
// submission has run.
type Refusal struct {
	Team       string `json:",omitempty"`
	ID         string `json:"Id,omitempty"`
	Reason     submission.Reason
	NotRun     bool
	RetryAfter document.Duration
	Detail     string
	Field      string `json:",omitempty"`
	Value      string `json:",omitempty"`
}

// EncodeSubmission converts a submission to its form on the wire.
func EncodeSubmission(s *submission.Submission) *Submission {
	out := &Submission{
		Team: s.Team, ID: s.ID, Class: s.Class, Deadline: s.Deadline, Repeatable: s.Repeatable,
		HomeDomain: s.HomeDomain, Attempt: s.Attempt, Tasks: make([]Task, len(s.Tasks)),
	}
	for i, t := range s.Tasks {
		out.Tasks[i] = Task{
			Name: t.Name, Kind: t.Kind, Payload: t.Payload, DeclaredRunTime: document.Duration(t.DeclaredRunTime),
			Processors: t.Processors, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators,
		}
	}
	return out
}

// EncodeAnswer converts an answer to its form on the wire.
func EncodeAnswer(key submission.Key, a *submission.Answer) *Answer {
	out := &Answer{Team: key.Team, ID: key.ID, Status: a.Status, Reason: a.Reason, Detail: a.Detail}
	for _, r := range a.Results {
		out.Results = append(out.Results, Result(r))
	}
	return out
}

// DecodeAnswer converts an answer from its form on the wire.
func DecodeAnswer(in *Answer) *submission.Answer {
	a := &submission.Answer{Status: in.Status, Reason: in.Reason, Detail: in.Detail}
	for _, r := range in.Results {
		a.Results = append(a.Results, submission.Result(r))
	}
	return a
}

// EncodeRefusal converts a refusal to its form on the wire.
func EncodeRefusal(key submission.Key, r *submission.Refusal) *Refusal {
	return &Refusal{
		Team: key.Team, ID: key.ID, Reason: r.Reason, NotRun: r.NotRun,
		RetryAfter: document.Duration(r.RetryAfter), Detail: r.Detail,
	}
}

// EncodeInvalid converts a validation error to a refusal. Every instance rejects the
// same submission, so it has not run anywhere.
func EncodeInvalid(key submission.Key, err *submission.ErrInvalid) *Refusal {
	return &Refusal{
		Team: key.Team, ID: key.ID, Reason: submission.Invalid, NotRun: true,
		Detail: err.Error(), Field: err.Field, Value: err.Value,
	}
}

// HTTPStatus returns the HTTP status of a refusal with the given reason.
func HTTPStatus(reason submission.Reason) int {
	switch reason {
	case submission.Invalid, submission.NoWorkerFits:
		return http.StatusBadRequest
	case submission.Unauthorized:
		return http.StatusUnauthorized
	case submission.DigestDiffers, submission.ClaimedElsewhere:
		return http.StatusConflict
	case submission.NotFound:
		return http.StatusNotFound
	case submission.DeadlinePassed:
		return http.StatusGone
	case submission.Overloaded, submission.QuotaExceeded:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// String formats a refusal for error messages.
func (r *Refusal) String() string {
	return fmt.Sprintf("%s: %s (not run: %t)", r.Reason, r.Detail, r.NotRun)
}
