// Package mailbox connects a control goroutine with the goroutines that use it: it
// queues their inputs and returns the answers to their requests.
package mailbox

import "sync"

// Queue is an unbounded queue of inputs. Put never blocks and never drops an input.
type Queue[T any] struct {
	// Signal receives a value after inputs were put into the queue.
	Signal chan struct{}

	mu     sync.Mutex
	inputs []T
	taken  chan struct{} // closed when inputs are taken, nil if nobody waits for that
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{Signal: make(chan struct{}, 1)} }

// Put appends an input.
func (q *Queue[T]) Put(in T) {
	q.mu.Lock()
	q.inputs = append(q.inputs, in)
	q.mu.Unlock()
	q.wake()
}

// PutAwaited appends an input. The channel that it returns is closed when the input has been taken.
func (q *Queue[T]) PutAwaited(in T) <-chan struct{} {
	q.mu.Lock()
	q.inputs = append(q.inputs, in)
	if q.taken == nil {
		q.taken = make(chan struct{})
	}
	taken := q.taken
	q.mu.Unlock()
	q.wake()
	return taken
}

func (q *Queue[T]) wake() {
	select {
	case q.Signal <- struct{}{}:
	default:
	}
}

// Take removes all inputs and returns them in the order in which they were put.
func (q *Queue[T]) Take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.inputs
	q.inputs = nil
	if q.taken != nil {
		close(q.taken)
		q.taken = nil
	}
	return taken
}
