package mailbox

import "sync"

// PendingRequests passes the answers of a control goroutine to the requests that
// wait for them. H is the type of the handles, which number the requests.
type PendingRequests[H ~uint64, A any] struct {
	mu      sync.Mutex
	last    H
	waiting map[H]chan A
}

// NewPendingRequests returns an empty table of requests.
func NewPendingRequests[H ~uint64, A any]() *PendingRequests[H, A] {
	return &PendingRequests[H, A]{waiting: make(map[H]chan A)}
}

// Register adds a request and returns its handle and the channel that will receive
// its answer.
func (r *PendingRequests[H, A]) Register() (H, chan A) {
	answer := make(chan A, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	r.waiting[r.last] = answer
	return r.last, answer
}

// Answer sends a request its answer, if the request is still waiting.
func (r *PendingRequests[H, A]) Answer(handle H, a A) {
	r.mu.Lock()
	answer, ok := r.waiting[handle]
	delete(r.waiting, handle)
	r.mu.Unlock()
	if ok {
		answer <- a
	}
}

// Forget removes a request and reports whether it was still waiting.
func (r *PendingRequests[H, A]) Forget(handle H) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.waiting[handle]
	delete(r.waiting, handle)
	return ok
}
