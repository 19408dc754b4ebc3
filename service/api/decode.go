package api

import (
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"crocusseam/pkg/jsonscan"
	"crocusseam/pkg/submission"
)

const (
	// DecodeFactor bounds what DecodeSubmission allocates, as a multiple of the bytes of the
	// body. The shortest task, {"Name":"a","Kind":"b"} and a comma, has 24 bytes and takes 88.
	// Invalid UTF-8 trebles its bytes.
	DecodeFactor = 5
	// DecodeRefusalBytes bounds what DecodeSubmission allocates for a body that it refuses,
	// whatever its length: the error. It adds to the multiple if a Payload is not base64.
	DecodeRefusalBytes = 1024
)

// maxTimeBytes bounds the text of a time or duration, as errors of package time repeat it.
const maxTimeBytes = 100

// ErrInvalidBody reports that a body is not the JSON form of a submission.
type ErrInvalidBody struct {
	Detail string
}

func (e *ErrInvalidBody) Error() string { return e.Detail }

// DecodeSubmission parses a body. A first pass checks the whole body, apart from the base64
// of payloads, and counts what the second one allocates. It returns *submission.ErrInvalid
// for too many tasks or a task without a name or kind, and *ErrInvalidBody for malformed
// JSON, unknown fields, wrong types, or text after the submission.
func DecodeSubmission(body []byte, limits submission.Limits) (*submission.Submission, error) {
	check := decoder{scan: jsonscan.New(body), limits: limits}
	var checked submission.Submission
	check.decode(&checked)
	if err := check.scan.Err(); err != nil {
		return nil, invalidBody(err)
	}
	build := decoder{scan: jsonscan.New(body), limits: limits, build: true}
	s := &submission.Submission{Tasks: make([]submission.Task, 0, check.tasks)}
	build.decode(s)
	if err := build.scan.Err(); err != nil {
		return nil, invalidBody(err)
	}
	s.Deadline = s.Deadline.UTC()
	return s, nil
}

func invalidBody(err error) error {
	var invalid *submission.ErrInvalid
	if errors.As(err, &invalid) {
		return err
	}
	return &ErrInvalidBody{Detail: err.Error()}
}

// decoder reads a body once, either to check and count (build is false) or to build a
// submission from a body that was checked.
type decoder struct {
	scan     jsonscan.Scanner
	limits   submission.Limits
	build    bool
	hasTasks bool
	tasks    int
}

func (d *decoder) decode(sub *submission.Submission) {
	s := &d.scan
	if s.Null() {
		s.End()
		return
	}
	for more := s.Begin('{'); more; more = s.More('{') {
		switch key := s.Key(); {
		case key.Is("Team"):
			d.text(&sub.Team)
		case key.Is("Id"):
			d.text(&sub.ID)
		case key.Is("Class"):
			d.text(&sub.Class)
		case key.Is("Deadline"):
			d.time(&sub.Deadline)
		case key.Is("Repeatable"):
			s.Bool(&sub.Repeatable)
		case key.Is("HomeDomain"):
			d.text(&sub.HomeDomain)
		case key.Is("Attempt"):
			s.Int(&sub.Attempt)
		case key.Is("Tasks"):
			d.taskList(sub)
		default:
			d.unknown(key)
		}
	}
	s.End()
}

func (d *decoder) unknown(key jsonscan.Text) {
	if d.scan.Err() != nil {
		return
	}
	name := "with a long name"
	if key.Len() <= 40 {
		name = fmt.Sprintf("%q", key.String())
	}
	d.scan.Fail(fmt.Errorf("unknown field %s", name))
}

// taskList reads the tasks. A second list is refused, as encoding/json would merge both.
func (d *decoder) taskList(sub *submission.Submission) {
	s := &d.scan
	if d.hasTasks {
		s.Invalid("the tasks are given twice")
		return
	}
	d.hasTasks = true
	if s.Null() {
		return
	}
	for more := s.Begin('['); more; more = s.More('[') {
		if d.tasks == d.limits.MaxTasks {
			s.Fail(d.limits.WrongNumberOfTasks(d.tasks + 1))
			return
		}
		var t submission.Task
		d.task(&t)
		if d.build {
			sub.Tasks = append(sub.Tasks, t)
		}
		d.tasks++
	}
}

func (d *decoder) task(t *submission.Task) {
	s := &d.scan
	name, kind := 0, 0
	if !s.Null() {
		for more := s.Begin('{'); more; more = s.More('{') {
			switch key := s.Key(); {
			case key.Is("Name"):
				d.textWithLength(&t.Name, &name)
			case key.Is("Kind"):
				d.textWithLength(&t.Kind, &kind)
			case key.Is("Payload"):
				d.payload(t)
			case key.Is("DeclaredRunTime"):
				d.duration(&t.DeclaredRunTime)
			case key.Is("Processors"):
				s.Int(&t.Processors)
			case key.Is("MemoryBytes"):
				s.Int64(&t.MemoryBytes)
			case key.Is("Accelerators"):
				s.Int(&t.Accelerators)
			default:
				d.unknown(key)
			}
		}
	}
	switch {
	case s.Err() != nil:
	case name == 0:
		s.Fail(d.limits.CheckName(fmt.Sprintf("Tasks[%d].Name", d.tasks), ""))
	case kind == 0:
		s.Fail(d.limits.CheckName(fmt.Sprintf("Tasks[%d].Kind", d.tasks), ""))
	}
}

func (d *decoder) text(value *string) {
	var length int
	d.textWithLength(value, &length)
}

// textWithLength reads a string and its length, or a null, which leaves both as they are.
func (d *decoder) textWithLength(value *string, length *int) {
	if d.scan.Null() {
		return
	}
	text := d.scan.Text()
	*length = text.Len()
	if d.build {
		*value = text.String()
	}
}

func (d *decoder) payload(t *submission.Task) {
	if d.scan.Null() {
		t.Payload = nil
		return
	}
	text := d.scan.Text()
	if !d.build {
		return
	}
	encoded, ok := text.ASCII()
	if !ok {
		encoded = []byte(text.String())
	}
	t.Payload = make([]byte, base64.StdEncoding.DecodedLen(len(encoded)))
	n, err := base64.StdEncoding.Decode(t.Payload, encoded)
	if err != nil {
		d.scan.Fail(fmt.Errorf("payload of task %d: %w", d.tasks, err))
	}
	t.Payload = t.Payload[:n]
}

// time reads a time in the format of RFC 3339, or a null, which leaves the value as it is.
func (d *decoder) time(value *time.Time) {
	raw := d.scan.Raw()
	if len(raw) > maxTimeBytes {
		d.scan.Invalid("a time in the format of RFC 3339 is expected")
	}
	if d.scan.Err() == nil {
		d.scan.Fail(value.UnmarshalJSON(raw))
	}
}

func (d *decoder) duration(value *time.Duration) {
	text := d.scan.Text()
	if text.Len() > maxTimeBytes {
		d.scan.Invalid(`a duration such as "1.5s" is expected`)
	}
	if d.scan.Err() != nil {
		return
	}
	parsed, err := time.ParseDuration(text.String())
	if err != nil {
		d.scan.Fail(fmt.Errorf("%q is no duration such as \"1.5s\"", text.String()))
		return
	}
	*value = parsed
}
