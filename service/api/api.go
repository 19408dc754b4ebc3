// Package api holds the wire types of the callers' HTTP interface.
package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"crocusseam/pkg/document"
	"crocusseam/pkg/submission"
)

// Paths of the callers' interface.
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
	// Attempt is 1 when this submission was never sent before, and more when it
	// is sent again. Only a refusal of attempt 1 can say NotRun without a claim.
	Attempt int `json:",omitempty"`
	Tasks   []Task
}

// Result is the result of one task.
type Result struct {
	Name   string
	Output []byte
}

// Answer is the whole answer to a submission: Complete with every task's result
// in the order of the submission, or Failed with a reason.
type Answer struct {
	Team    string
	ID      string `json:"Id"`
	Status  submission.Status
	Reason  submission.Reason `json:",omitempty"`
	Detail  string            `json:",omitempty"`
	Results []Result          `json:",omitempty"`
}

// Refusal says that a request was not served.
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

// ErrBody says that a body cannot be read as a submission.
type ErrInvalidBody struct {
	Detail string
}

func (e *ErrInvalidBody) Error() string { return e.Detail }

// DecodeSubmission reads a body. It returns *ErrBody if the body is no such
// JSON document: unknown fields, wrong types, or text behind it.
func DecodeSubmission(body []byte) (*submission.Submission, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var in Submission
	if err := decoder.Decode(&in); err != nil {
		return nil, &ErrInvalidBody{Detail: err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &ErrInvalidBody{Detail: "text follows the submission"}
	}
	return fromSubmission(&in), nil
}

func fromSubmission(in *Submission) *submission.Submission {
	s := &submission.Submission{
		Key: submission.Key{Team: in.Team, ID: in.ID}, Class: in.Class, Deadline: in.Deadline.UTC(),
		Repeatable: in.Repeatable, HomeDomain: in.HomeDomain, Attempt: in.Attempt,
		Tasks: make([]submission.Task, len(in.Tasks)),
	}
	for i, t := range in.Tasks {
		s.Tasks[i] = submission.Task{
			Name: t.Name, Kind: t.Kind, Payload: t.Payload, DeclaredRunTime: time.Duration(t.DeclaredRunTime),
			Processors: t.Processors, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators,
		}
	}
	return s
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

// EncodeInvalid converts a fault of a submission to a refusal. An invalid
// submission is invalid everywhere, so it has not run.
func EncodeInvalid(key submission.Key, err *submission.ErrInvalid) *Refusal {
	return &Refusal{
		Team: key.Team, ID: key.ID, Reason: submission.Invalid, NotRun: true,
		Detail: err.Error(), Field: err.Field, Value: err.Value,
	}
}

// StatusOf returns the HTTP status of a refusal.
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

// String shows a refusal in an error.
func (r *Refusal) String() string {
	return fmt.Sprintf("%s: %s (not run: %t)", r.Reason, r.Detail, r.NotRun)
}
