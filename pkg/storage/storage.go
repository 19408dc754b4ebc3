// Package storage defines the interfaces to the platform's services: a
// transactional table service, an object store and a list of instances, which may
// be out of date.
package storage

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Version is the version of a row. It rises with each commit that changes the row.
// A row that does not exist has version 0.
type Version uint64

// AnyVersion as the expected version of a write makes the write unconditional.
const AnyVersion = ^Version(0)

// Row is one row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version Version
}

// Write is one row's part of a commit. The commit takes effect only if the row
// has version Expect, with 0 for a row that must be absent.
type Write struct {
	Key    string
	Value  []byte
	Expect Version
	Delete bool
	// Check makes the write a condition only: the row stays as it is.
	Check bool
}

// MaxEntries is the platform's limit for the entries of one commit. Each condition
// and each change of a row is an entry, so a conditional write counts twice.
const MaxEntries = 100

// MaxNameBytes is the platform's limit for the length of a table's, a partition's and a
// row's name.
const MaxNameBytes = 200

// NamesFit reports whether the names in a key are within MaxNameBytes. What stands before
// the first slash of a key is the table, with a partition after a colon if there is one.
func NamesFit(key string) bool {
	table, row, _ := strings.Cut(key, "/")
	table, partition, _ := strings.Cut(table, ":")
	return max(len(table), len(partition), len(row)) <= MaxNameBytes
}

// Entries returns the number of entries of a commit of these writes.
func Entries(writes []Write) int {
	n := 0
	for i := range writes {
		if writes[i].Expect != AnyVersion {
			n++
		}
		if !writes[i].Check {
			n++
		}
	}
	return n
}

// Table is the transactional table service.
//
// Get returns a row of version 0 for an absent key. Scan returns the rows whose
// keys begin with prefix, in key order, and at most limit of them.
//
// Commit is atomic: all writes take effect or none. It returns the version that
// the written rows now have. It fails with *ErrConflict if a row didn't have the
// expected version, with *ErrUnavailable if it certainly had no effect for another
// reason, and with *ErrUncertain if it may have taken effect.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string, limit int) ([]Row, error)
	Commit(ctx context.Context, writes []Write) (Version, error)
}

// ObjectStore is the object store. Put replaces an object that exists. GetObject
// returns *ErrAbsent if the store has no object with this name.
type ObjectStore interface {
	Put(ctx context.Context, name string, content []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// ListedInstance is an entry of the platform's list of instances.
type ListedInstance struct {
	Address netip.AddrPort
	Leaving bool
}

// InstanceLister returns the platform's list of live and leaving instances. The
// list may be out of date.
type InstanceLister interface {
	Instances(ctx context.Context) ([]ListedInstance, error)
}

// ErrConflict says that a commit had no effect because rows did not have the
// expected versions. Rows holds the present state of these rows.
type ErrConflict struct {
	Rows []Row
}

func (e *ErrConflict) Error() string {
	return fmt.Sprintf("commit: %d rows had another version", len(e.Rows))
}

// ErrUnavailable says that the platform could not serve a call, which certainly had
// no effect.
type ErrUnavailable struct {
	Step       string
	Peer       string
	RetryAfter time.Duration
	Cause      error
}

func (e *ErrUnavailable) Error() string {
	return fmt.Sprintf("%s at %s: platform unavailable: %v", e.Step, e.Peer, e.Cause)
}

func (e *ErrUnavailable) Unwrap() error { return e.Cause }

// ErrUncertain says that a commit may have taken effect, as its answer was lost.
type ErrUncertain struct {
	Step  string
	Peer  string
	Cause error
}

func (e *ErrUncertain) Error() string {
	return fmt.Sprintf("%s at %s: may have taken effect: %v", e.Step, e.Peer, e.Cause)
}

func (e *ErrUncertain) Unwrap() error { return e.Cause }

// ErrAbsent says that the object store has no object with this name.
type ErrAbsent struct {
	Name string
}

func (e *ErrAbsent) Error() string { return fmt.Sprintf("object %q is absent", e.Name) }

// ErrHistoryGone says that the platform no longer has the changes that a feed asked
// for. The reader must read the whole table again.
type ErrHistoryGone struct {
	Step string
	Peer string
}

func (e *ErrHistoryGone) Error() string {
	return fmt.Sprintf("%s at %s: the history asked for is gone", e.Step, e.Peer)
}

// ErrFull says that the object store is full.
type ErrFull struct {
	Step string
	Peer string
}

func (e *ErrFull) Error() string {
	return fmt.Sprintf("%s at %s: the object store is full", e.Step, e.Peer)
}
