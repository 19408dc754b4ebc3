// Package rollout holds the operators' side of a document rollout: it stages a
// document for an environment, waits until the instances serve it, and promotes
// or rolls back versions. Each change is one conditional write to the rollout row;
// the instances themselves then bring a staged version into force.
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

// Environment gives access to the platform table of one environment.
type Environment struct {
	Name  string
	Table storage.Table
}

// ErrVersion reports that the environment's active version is not the one that the
// operator expected. Changes lists what has changed since that version, if both
// documents can be read.
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

// ErrBusy reports that another version is staged and not yet in force.
type ErrBusy struct {
	Environment string
	Staged      dispatch.Revision
}

func (e *ErrBusy) Error() string {
	return fmt.Sprintf("%s is bringing version %d, applied by %s, into force; wait for its end", e.Environment, e.Staged.Version, e.Staged.By)
}

// ErrRejected reports that an instance could not accept the version.
type ErrRejected struct {
	Environment string
	Rejection   dispatch.Rejection
}

func (e *ErrRejected) Error() string {
	return fmt.Sprintf("%s: instance %s rejected version %d: %s", e.Environment, e.Rejection.Instance, e.Rejection.Revision.Version, e.Rejection.Reason)
}

// ErrNeverRan reports that a document is not in an environment's history of versions
// that were in force.
type ErrNeverRan struct {
	Environment string
	Digest      string
}

func (e *ErrNeverRan) Error() string {
	return fmt.Sprintf("%s never ran the document %.12s; apply it there first", e.Environment, e.Digest)
}

// State is the content of the rollout row and the row's version in the table. Row
// is 0 if there is no row yet.
type State struct {
	dispatch.Rollout
	Row storage.Version
}

// Load reads the rollout row. Without a row the active version is 0.
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

// Document reads the document with the given digest and verifies its bytes. For
// an empty digest, that of an environment without a document, it returns nil.
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

// Plan validates a document and compares it with the active one. It changes
// nothing.
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

// Apply stages a document as the next version, provided that expected is the
// active version. The first document of an environment is in force at once. Apply
// returns *document.ErrDocument for an invalid document, *ErrVersion for another
// active version, and *ErrBusy while another version is staged.
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

// nextVersion returns a version above the active and the rejected one, so that no
// version number is used twice.
func (s *State) nextVersion() uint64 {
	highest := s.Active.Version
	if s.Rejected != nil {
		highest = max(highest, s.Rejected.Revision.Version)
	}
	return highest + 1
}

// maxCommitAttempts limits how often commit sends a write whose answer was lost.
const maxCommitAttempts = 5

// commit writes the document and the rollout row, on condition that the row has
// not changed since s was read. If the answer is lost, commit sends the same write
// again. A conflict with a row of equal content then means that an earlier attempt
// took effect.
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
		return nil // an earlier attempt took effect
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

// versionError returns an ErrVersion with the changes since the expected version,
// if the history still lists that version.
func (e *Environment) versionError(ctx context.Context, s State, expected uint64) error {
	versionErr := &ErrVersion{Environment: e.Name, Expected: expected, Actual: s.Active}
	for _, r := range s.History {
		if r.Version != expected {
			continue
		}
		old, oldErr := e.Document(ctx, r.Digest)
		text, newErr := e.Document(ctx, s.Active.Digest)
		if oldErr == nil && newErr == nil {
			versionErr.Changes, _ = document.Diff(old, text)
		}
	}
	return versionErr
}

// Await waits until the rows of all live instances show at least the given active
// version. It returns *ErrRejected if an instance could not accept the version.
func (e *Environment) Await(ctx context.Context, version uint64, poll time.Duration) error {
	changes := make(map[string]rowChange)
	for {
		done, err := e.inForceEverywhere(ctx, version, changes)
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

// rowChange records the last observed sequence number of an instance's row, and
// when it was first read.
type rowChange struct {
	sequence       uint64
	unchangedSince time.Time
}

// unresponsiveAfter is how long an instance's row may stay unchanged before Await
// takes the instance for dead and no longer waits for it.
const unresponsiveAfter = 5 * time.Second

// isUnresponsive updates changes with an instance's row and reports whether the row
// has been unchanged for too long.
func isUnresponsive(changes map[string]rowChange, r *dispatch.InstanceRow) bool {
	last, known := changes[r.Instance]
	if !known || last.sequence != r.Sequence {
		changes[r.Instance] = rowChange{r.Sequence, time.Now()}
		return false
	}
	return time.Since(last.unchangedSince) > unresponsiveAfter
}

// inForceEverywhere reports whether the version or a later one is active and no live
// instance serves an older one. A failed read counts as false, because Await reads
// again.
func (e *Environment) inForceEverywhere(ctx context.Context, version uint64, changes map[string]rowChange) (bool, error) {
	s, err := e.Load(ctx)
	if err != nil {
		return false, nil // the table may be available again at the next poll
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
		if !isUnresponsive(changes, r) && r.State == dispatch.Live && r.ActiveVersion < version {
			all = false
		}
	}
	return all, nil
}

// Instances reads the heartbeat rows of all instances, live and dead.
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

// Promote applies a document that is or was in force in another environment, byte
// for byte. An empty digest means that environment's active document.
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

// hasRun reports whether the history lists a version with the document.
func (s *State) hasRun(digest string) bool {
	for _, r := range s.History {
		if r.Digest == digest {
			return true
		}
	}
	return false
}

// Rollback applies the document of an earlier version as a new, higher version.
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

// Drain writes the drain row of an endpoint (named by address) or of an instance
// (named by its name), or deletes the row if drained is false.
func (e *Environment) Drain(ctx context.Context, name, by string, drained bool) error {
	_, err := e.Table.Commit(ctx, []storage.Write{{
		Key: dispatch.DrainPrefix + name, Value: fmt.Appendf(nil, "{\"By\":%q}", by),
		Expect: storage.AnyVersion, Delete: !drained,
	}})
	return eris.Wrapf(err, "drain %s in %s", name, e.Name)
}
