// Package storage is the one interface to what the platform gives: a
// transactional table service, an object store, and a lagging list of
// instances.
package storage

import (
	"context"
	"fmt"
	"net/netip"
	"time"
)

// Version counts the commits that changed a row. A row that does not exist has
// version 0.
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
	// Check leaves the row as it is: only its version is compared.
	Check bool
}

// MaxEntries is the most that one commit may hold. A write counts twice if it has a
// condition.
const MaxEntries = 100

// Entries counts what a commit of these writes holds.
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
// Commit is atomic: all writes take effect or none. It returns the version that
// the written rows now have. It fails with *ErrConflict if an expectation
// did not hold, with *ErrUnavailable if it certainly had no effect, and with
// *ErrUncertain if it may have had one. Get returns a row of version 0 for an
// absent key. Scan returns the rows under a prefix in key order, at most limit.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string, limit int) ([]Row, error)
	Commit(ctx context.Context, writes []Write) (Version, error)
}

// Objects is the object store. Put replaces; GetObject returns *ErrAbsent for a name
// that was never put.
type ObjectStore interface {
	Put(ctx context.Context, name string, content []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// ListedInstance is a line of the platform's list. The list lags.
type ListedInstance struct {
	Address netip.AddrPort
	Leaving bool
}

// Listing is the platform's lagging list of live and leaving instances.
type InstanceLister interface {
	Instances(ctx context.Context) ([]ListedInstance, error)
}

// ErrConflict says that a commit had no effect because expectations did not
// hold. Rows holds the present state of the rows that differed.
type ErrConflict struct {
	Rows []Row
}

func (e *ErrConflict) Error() string {
	return fmt.Sprintf("commit: %d rows had another version", len(e.Rows))
}

// ErrUnavailable says that a call certainly had no effect.
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

// ErrUncertain says that a commit may have taken effect: its answer was lost.
type ErrUncertain struct {
	Step  string
	Peer  string
	Cause error
}

func (e *ErrUncertain) Error() string {
	return fmt.Sprintf("%s at %s: may have taken effect: %v", e.Step, e.Peer, e.Cause)
}

func (e *ErrUncertain) Unwrap() error { return e.Cause }

// ErrAbsent says that the object store has no object of this name.
type ErrAbsent struct {
	Name string
}

func (e *ErrAbsent) Error() string { return fmt.Sprintf("object %q is absent", e.Name) }

// ErrHistory says that the platform no longer has the changes that a feed asked
// for: everything must be read anew.
type ErrHistoryGone struct {
	Step string
	Peer string
}

func (e *ErrHistoryGone) Error() string {
	return fmt.Sprintf("%s at %s: the history asked for is gone", e.Step, e.Peer)
}

// ErrFull says that the object store has no room left.
type ErrFull struct {
	Step string
	Peer string
}

func (e *ErrFull) Error() string {
	return fmt.Sprintf("%s at %s: the object store is full", e.Step, e.Peer)
}
