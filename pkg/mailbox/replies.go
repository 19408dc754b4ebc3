package mailbox

import "sync"

// Replies gives the answers of a control goroutine to the requests that wait for
// them. H numbers requests.
type PendingRequests[H ~uint64, A any] struct {
	mu      sync.Mutex
	last    H
	waiting map[H]chan A
}

// NewReplies returns an empty table of requests.
func NewPendingRequests[H ~uint64, A any]() *PendingRequests[H, A] {
	return &PendingRequests[H, A]{waiting: make(map[H]chan A)}
}

// Expect registers a request that waits for an answer.
func (r *PendingRequests[H, A]) Register() (H, chan A) {
	answer := make(chan A, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	r.waiting[r.last] = answer
	return r.last, answer
}

// Answer gives a request its answer, if it still waits.
func (r *PendingRequests[H, A]) Answer(h H, a A) {
	r.mu.Lock()
	answer, ok := r.waiting[h]
	delete(r.waiting, h)
	r.mu.Unlock()
	if ok {
		answer <- a
	}
}

// Forget drops a request and reports whether it was still waiting.
func (r *PendingRequests[H, A]) Forget(h H) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.waiting[h]
	delete(r.waiting, h)
	return ok
}
