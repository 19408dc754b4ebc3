package submission

import (
	"fmt"
	"strings"
	"time"
)

// Limits bounds a submission.
type Limits struct {
	MaxTasks        int
	MaxPayloadBytes int
	MaxNameLength   int
	MaxRunTime      time.Duration
	MaxDeadline     time.Duration
}

// DefaultLimits returns the limits that apply unless the settings change them.
func DefaultLimits() Limits {
	return Limits{
		MaxTasks:        1000,
		MaxPayloadBytes: 256 << 10,
		MaxNameLength:   128,
		MaxRunTime:      10 * time.Minute,
		MaxDeadline:     time.Hour,
	}
}

// ErrInvalid names an invalid field of a submission, its value and the allowed
// values.
type ErrInvalid struct {
	Field   string
	Value   string
	Allowed string
}

func (e *ErrInvalid) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", e.Field, e.Value, e.Allowed)
}

// Validate checks a submission by itself, without the environment document. It
// returns *ErrInvalid for the first violation.
func (l Limits) Validate(s *Submission, now time.Time) error {
	if err := l.CheckName("Team", s.Team); err != nil {
		return err
	}
	if err := l.CheckName("Id", s.ID); err != nil {
		return err
	}
	if s.Attempt < 0 {
		return &ErrInvalid{"Attempt", fmt.Sprint(s.Attempt), "0 or more"}
	}
	if s.Deadline.IsZero() {
		return &ErrInvalid{"Deadline", `""`, "a time such as 2026-05-04T10:00:00Z"}
	}
	if s.Deadline.Sub(now) > l.MaxDeadline {
		return &ErrInvalid{"Deadline", s.Deadline.Format(time.RFC3339), "at most " + l.MaxDeadline.String() + " ahead"}
	}
	if len(s.Tasks) == 0 || len(s.Tasks) > l.MaxTasks {
		return l.WrongNumberOfTasks(len(s.Tasks))
	}
	return l.validateTasks(s.Tasks)
}

// WrongNumberOfTasks returns the error for a submission with this number of tasks.
func (l Limits) WrongNumberOfTasks(n int) error {
	return &ErrInvalid{"Tasks", fmt.Sprintf("a list of %d", n), fmt.Sprintf("1 to %d tasks", l.MaxTasks)}
}

func (l Limits) validateTasks(tasks []Task) error {
	names := make(map[string]int, len(tasks))
	for i := range tasks {
		t := &tasks[i]
		path := fmt.Sprintf("Tasks[%d].", i)
		if err := l.validateTask(path, t); err != nil {
			return err
		}
		if j, taken := names[t.Name]; taken {
			return &ErrInvalid{path + "Name", fmt.Sprintf("%q", t.Name), fmt.Sprintf("a name that Tasks[%d] does not have", j)}
		}
		names[t.Name] = i
	}
	return nil
}

func (l Limits) validateTask(path string, t *Task) error {
	if err := l.CheckName(path+"Name", t.Name); err != nil {
		return err
	}
	if err := l.CheckName(path+"Kind", t.Kind); err != nil {
		return err
	}
	if len(t.Payload) > l.MaxPayloadBytes {
		return &ErrInvalid{path + "Payload", fmt.Sprintf("%d bytes long", len(t.Payload)), fmt.Sprintf("at most %d bytes", l.MaxPayloadBytes)}
	}
	if t.DeclaredRunTime <= 0 || t.DeclaredRunTime > l.MaxRunTime {
		return &ErrInvalid{path + "DeclaredRunTime", t.DeclaredRunTime.String(), "more than 0s, at most " + l.MaxRunTime.String()}
	}
	if t.Processors < 0 {
		return &ErrInvalid{path + "Processors", fmt.Sprint(t.Processors), "0 or more"}
	}
	if t.MemoryBytes < 0 {
		return &ErrInvalid{path + "MemoryBytes", fmt.Sprint(t.MemoryBytes), "0 or more"}
	}
	if t.Accelerators < 0 {
		return &ErrInvalid{path + "Accelerators", fmt.Sprint(t.Accelerators), "0 or more"}
	}
	return nil
}

// CheckName checks a name or an id and returns *ErrInvalid if it is not allowed.
func (l Limits) CheckName(field, name string) error {
	allowed := fmt.Sprintf("1 to %d letters, digits, '-', '_', '.' or ':'", l.MaxNameLength)
	if name == "" || len(name) > l.MaxNameLength || strings.ContainsFunc(name, isInvalidNameRune) {
		return &ErrInvalid{field, fmt.Sprintf("%.160q", name), allowed}
	}
	return nil
}

func isInvalidNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("-_.:", r)
}
