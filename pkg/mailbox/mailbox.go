// Package mailbox holds the inputs of a control goroutine until it takes them.
package mailbox

import "sync"

// Box is a queue without a bound: what is put in is never lost, and nobody who
// puts something in waits.
type Queue[T any] struct {
	// Signal is sent to when something was put into the box.
	Signal chan struct{}

	mu     sync.Mutex
	inputs []T
}

// New returns an empty box.
func New[T any]() *Queue[T] { return &Queue[T]{Signal: make(chan struct{}, 1)} }

// Put adds an input.
func (b *Queue[T]) Put(in T) {
	b.mu.Lock()
	b.inputs = append(b.inputs, in)
	b.mu.Unlock()
	select {
	case b.Signal <- struct{}{}:
	default:
	}
}

// Take returns all inputs in the order in which they came.
func (b *Queue[T]) Take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.inputs
	b.inputs = nil
	return taken
}
