// Package rollout is the operators' side of the document's way into force:
// every change is one conditional write to the rollout row.
package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/document"
	"crocusseam/pkg/storage"
)

// Environment is one environment's table.
type Environment struct {
	Name  string
	Table storage.Table
}

// ErrVersion says that the environment has another version than was expected.
type ErrVersion struct {
	Environment string
	Expected    uint64
	Actual      dispatch.Revision
	Changes     []document.Change
}

func (e *ErrVersion) Error() string {
	text := fmt.Sprintf("%s has version %d, applied by %s at %s, not the expected version %d",
		e.Environment, e.Actual.Version, e.Actual.By, e.Actual.At.Format(time.RFC3339), e.Expected)
	for _, c := range e.Changes {
		text += "\n  " + c.String()
	}
	return text
}

// ErrBusy says that another version is on its way into force.
type ErrBusy struct {
	Environment string
	Staged      dispatch.Revision
}

func (e *ErrBusy) Error() string {
	return fmt.Sprintf("%s is bringing version %d, applied by %s, into force; wait for its end", e.Environment, e.Staged.Version, e.Staged.By)
}

// ErrRejected says that an instance could not accept the version.
type ErrRejected struct {
	Environment string
	Rejection   dispatch.Rejection
}

func (e *ErrRejected) Error() string {
	return fmt.Sprintf("%s: instance %s rejected version %d: %s", e.Environment, e.Rejection.Instance, e.Rejection.Revision.Version, e.Rejection.Reason)
}

// ErrNeverRan says that an environment never had these bytes in force.
type ErrNeverRan struct {
	Environment string
	Digest      string
}

func (e *ErrNeverRan) Error() string {
	return fmt.Sprintf("%s never ran the document %.12s; apply it there first", e.Environment, e.Digest)
}

// State is the rollout row with its version in the table.
type State struct {
	dispatch.Rollout
	Row storage.Version
}

// Load reads the rollout row. An environment without one has version 0.
func (e *Environment) Load(ctx context.Context) (State, error) {
	row, err := e.Table.Get(ctx, dispatch.RolloutKey)
	if err != nil {
		return State{}, eris.Wrapf(err, "read the rollout of %s", e.Name)
	}
	s := State{Row: row.Version}
	if row.Version == 0 {
		return s, nil
	}
	return s, eris.Wrapf(json.Unmarshal(row.Value, &s.Rollout), "read the rollout of %s", e.Name)
}

// Document returns the bytes of a document.
func (e *Environment) Document(ctx context.Context, digest string) ([]byte, error) {
	if digest == "" {
		return nil, nil
	}
	row, err := e.Table.Get(ctx, dispatch.DocumentKey(digest))
	if err != nil {
		return nil, eris.Wrapf(err, "read document %.12s of %s", digest, e.Name)
	}
	if document.Digest(row.Value) != digest {
		return nil, eris.Errorf("document %.12s of %s is missing or has other bytes", digest, e.Name)
	}
	return row.Value, nil
}

// Plan validates a document and lists what would change.
func (e *Environment) Plan(ctx context.Context, text []byte) (State, []document.Change, error) {
	if _, err := document.Parse(text); err != nil {
		return State{}, nil, err
	}
	s, err := e.Load(ctx)
	if err != nil {
		return s, nil, err
	}
	old, err := e.Document(ctx, s.Active.Digest)
	if err != nil {
		return s, nil, err
	}
	changes, err := document.Diff(old, text)
	return s, changes, err
}

// Apply stages a document as the next version. The first document of an
// environment is in force at once. It returns *document.ErrDocument,
// *ErrVersion or *ErrBusy if it does not.
func (e *Environment) Apply(ctx context.Context, text []byte, expected uint64, by string) (dispatch.Revision, error) {
	if _, err := document.Parse(text); err != nil {
		return dispatch.Revision{}, err
	}
	s, err := e.Load(ctx)
	if err != nil {
		return dispatch.Revision{}, err
	}
	if s.Active.Version != expected {
		return dispatch.Revision{}, e.versionError(ctx, s, expected)
	}
	if s.Staged != nil {
		return dispatch.Revision{}, &ErrBusy{e.Name, *s.Staged}
	}
	next := s.Rollout
	revision := dispatch.Revision{Version: s.nextVersion(), Digest: document.Digest(text), By: by, At: time.Now().UTC()}
	next.Rejected = nil
	if s.Row == 0 {
		revision.StartAt = revision.At
		next.Active = revision
		next.History = []dispatch.Revision{revision}
	} else {
		next.Staged = &revision
	}
	return revision, e.commit(ctx, s, next, text, expected)
}

// nextVersion is higher than every version that was ever named.
func (s *State) nextVersion() uint64 {
	highest := s.Active.Version
	if s.Rejected != nil {
		highest = max(highest, s.Rejected.Revision.Version)
	}
	return highest + 1
}

// commitTries bounds how often a commit with a lost answer is repeated.
const maxCommitAttempts = 5

// commit writes the document and the rollout row, on condition that nobody has
// changed the row. A lost answer leads to the same commit again.
func (e *Environment) commit(ctx context.Context, s State, next dispatch.Rollout, text []byte, expected uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode the rollout")
	}
	writes := []storage.Write{
		{Key: dispatch.DocumentKey(document.Digest(text)), Value: text, Expect: storage.AnyVersion},
		{Key: dispatch.RolloutKey, Value: value, Expect: s.Row},
	}
	for range maxCommitAttempts {
		_, err = e.Table.Commit(ctx, writes)
		var uncertain *storage.ErrUncertain
		if !errors.As(err, &uncertain) {
			break
		}
	}
	var conflict *storage.ErrConflict
	if !errors.As(err, &conflict) {
		return eris.Wrapf(err, "write the rollout of %s", e.Name)
	}
	if string(conflict.Rows[0].Value) == string(value) {
		return nil // an earlier try took effect
	}
	now, err := e.Load(ctx)
	if err != nil {
		return err
	}
	if now.Staged != nil && now.Active.Version == expected {
		return &ErrBusy{e.Name, *now.Staged}
	}
	return e.versionError(ctx, now, expected)
}

// versionError tells who has changed what since the expected version.
func (e *Environment) versionError(ctx context.Context, s State, expected uint64) error {
	wrong := &ErrVersion{Environment: e.Name, Expected: expected, Actual: s.Active}
	for _, r := range s.History {
		if r.Version != expected {
			continue
		}
		old, oldErr := e.Document(ctx, r.Digest)
		text, newErr := e.Document(ctx, s.Active.Digest)
		if oldErr == nil && newErr == nil {
			wrong.Changes, _ = document.Diff(old, text)
		}
	}
	return wrong
}

// Await waits until a version is in force on every live instance, as their rows
// show it. It returns *ErrRejected if an instance could not accept it.
func (e *Environment) Await(ctx context.Context, version uint64, poll time.Duration) error {
	beats := make(map[string]rowChange)
	for {
		done, err := e.inForceEverywhere(ctx, version, beats)
		if done || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for version %d of %s", version, e.Name)
		case <-time.After(poll):
		}
	}
}

// heartbeat is when a row was last seen to change.
type rowChange struct {
	sequence       uint64
	unchangedSince time.Time
}

// silence is after how long a row that does not change counts as a dead
// instance's.
const unresponsiveAfter = 5 * time.Second

func isUnresponsive(beats map[string]rowChange, r *dispatch.InstanceRow) bool {
	b, known := beats[r.Instance]
	if !known || b.sequence != r.Sequence {
		beats[r.Instance] = rowChange{r.Sequence, time.Now()}
		return false
	}
	return time.Since(b.unchangedSince) > unresponsiveAfter
}

func (e *Environment) inForceEverywhere(ctx context.Context, version uint64, beats map[string]rowChange) (bool, error) {
	s, err := e.Load(ctx)
	if err != nil {
		return false, nil // the table may be back soon
	}
	if s.Rejected != nil && s.Rejected.Revision.Version == version {
		return false, &ErrRejected{e.Name, *s.Rejected}
	}
	if s.Active.Version < version {
		return false, nil
	}
	rows, err := e.Instances(ctx)
	if err != nil {
		return false, nil
	}
	all := true
	for i := range rows {
		r := &rows[i]
		if !isUnresponsive(beats, r) && r.State == dispatch.Live && r.ActiveVersion < version {
			all = false
		}
	}
	return all, nil
}

// Instances returns the heartbeat rows, of live and of dead instances.
func (e *Environment) Instances(ctx context.Context) ([]dispatch.InstanceRow, error) {
	rows, err := e.Table.Scan(ctx, dispatch.InstancePrefix, dispatch.ScanLimit)
	if err != nil {
		return nil, eris.Wrapf(err, "read the instances of %s", e.Name)
	}
	list := make([]dispatch.InstanceRow, 0, len(rows))
	for _, row := range rows {
		var r dispatch.InstanceRow
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return nil, eris.Wrapf(err, "read row %s", row.Key)
		}
		list = append(list, r)
	}
	return list, nil
}

// Promote applies the very bytes that another environment runs, or once ran.
func (e *Environment) Promote(ctx context.Context, from *Environment, digest string, expected uint64, by string) (dispatch.Revision, error) {
	s, err := from.Load(ctx)
	if err != nil {
		return dispatch.Revision{}, err
	}
	if digest == "" {
		digest = s.Active.Digest
	}
	if !s.hasRun(digest) {
		return dispatch.Revision{}, &ErrNeverRan{from.Name, digest}
	}
	text, err := from.Document(ctx, digest)
	if err != nil {
		return dispatch.Revision{}, err
	}
	return e.Apply(ctx, text, expected, by)
}

func (s *State) hasRun(digest string) bool {
	for _, r := range s.History {
		if r.Digest == digest {
			return true
		}
	}
	return false
}

// Rollback applies an earlier version's document as a new, higher version.
func (e *Environment) Rollback(ctx context.Context, version uint64, by string) (dispatch.Revision, error) {
	s, err := e.Load(ctx)
	if err != nil {
		return dispatch.Revision{}, err
	}
	for _, r := range s.History {
		if r.Version == version {
			text, err := e.Document(ctx, r.Digest)
			if err != nil {
				return dispatch.Revision{}, err
			}
			return e.Apply(ctx, text, s.Active.Version, by)
		}
	}
	return dispatch.Revision{}, eris.Errorf("%s has no version %d in its history", e.Name, version)
}

// Drain marks an endpoint (by address) or an instance (by name) as leaving, or
// takes the mark away.
func (e *Environment) Drain(ctx context.Context, name, by string, drained bool) error {
	_, err := e.Table.Commit(ctx, []storage.Write{{
		Key: dispatch.DrainPrefix + name, Value: fmt.Appendf(nil, "{\"By\":%q}", by),
		Expect: storage.AnyVersion, Delete: !drained,
	}})
	return eris.Wrapf(err, "drain %s in %s", name, e.Name)
}
