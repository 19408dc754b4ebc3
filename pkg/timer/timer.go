// Package timer provides the timer service of a process. The components of the
// process subscribe to it instead of running tickers of their own.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. The wall clock may step, but the times that
// Service.Now returns contain Go's monotonic clock reading, so that the duration
// between two of them is not affected.
type Clock interface {
	Now() time.Time
}

// Subscription is one subscriber's registration with the service.
type Subscription struct {
	// C receives the time of each wake-up. It buffers one; further wake-ups are
	// dropped until the subscriber receives it.
	C chan time.Time

	service *Service
	due     time.Time
	period  time.Duration // 0 if the subscription does not repeat
	index   int           // in the service's pending heap, or -1
}

// Service wakes its subscribers at the times that they requested.
type Service struct {
	mu      sync.Mutex
	pending subscriptionHeap
	changed chan struct{}
}

// New returns a service. It wakes subscribers only while Run is running.
func New() *Service {
	return &Service{changed: make(chan struct{}, 1)}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return time.Now() }

// Every returns a subscription with one wake-up per period.
func (s *Service) Every(period time.Duration) *Subscription {
	sub := s.newSubscription()
	sub.period = period
	sub.WakeAt(time.Now().Add(period))
	return sub
}

// Once returns a subscription without a period: each wake-up must be requested with
// WakeAt.
func (s *Service) Once() *Subscription { return s.newSubscription() }

// Sleep waits for the given duration, or until the context ends. It reports whether
// the whole duration has passed.
func (s *Service) Sleep(ctx context.Context, wait time.Duration) bool {
	sub := s.Once()
	defer sub.Stop()
	sub.WakeAt(time.Now().Add(wait))
	select {
	case <-ctx.Done():
		return false
	case <-sub.C:
		return true
	}
}

// SinceBoot returns the time of a clock that advances also while the machine is
// suspended. Its zero is arbitrary: only differences between two of its readings
// are meaningful.
func (s *Service) SinceBoot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // the kernel does not have this clock
	}
	return time.Unix(t.Sec, t.Nsec)
}

func (s *Service) newSubscription() *Subscription {
	return &Subscription{C: make(chan time.Time, 1), service: s, index: -1}
}

// WakeAt sets the time of the subscription's next wake-up.
func (u *Subscription) WakeAt(due time.Time) {
	s := u.service
	s.mu.Lock()
	defer s.mu.Unlock()
	u.due = due
	if u.index >= 0 {
		heap.Fix(&s.pending, u.index)
	} else {
		heap.Push(&s.pending, u)
	}
	if s.pending[0] == u {
		s.notify()
	}
}

// Stop cancels the subscription.
func (u *Subscription) Stop() {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	if u.index >= 0 {
		heap.Remove(&u.service.pending, u.index)
	}
}

// notify makes Run compute its next wait anew.
func (s *Service) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Run wakes subscribers until the context ends.
func (s *Service) Run(ctx context.Context) error {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		alarm.Reset(s.wakeDue(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case <-alarm.C:
		case <-s.changed:
		}
	}
}

// wakeDue wakes each subscription that is due and returns the time until the next
// one is due.
func (s *Service) wakeDue(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 {
		u := s.pending[0]
		if wait := u.due.Sub(now); wait > 0 {
			return wait
		}
		heap.Pop(&s.pending)
		select {
		case u.C <- now:
		default:
		}
		if u.period > 0 {
			u.due = now.Add(u.period)
			heap.Push(&s.pending, u)
		}
	}
	return time.Hour
}

// subscriptionHeap implements heap.Interface, with the earliest due time first.
type subscriptionHeap []*Subscription

func (w subscriptionHeap) Len() int           { return len(w) }
func (w subscriptionHeap) Less(i, j int) bool { return w[i].due.Before(w[j].due) }
func (w subscriptionHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

func (w *subscriptionHeap) Push(x any) {
	u := x.(*Subscription)
	u.index = len(*w)
	*w = append(*w, u)
}

func (w *subscriptionHeap) Pop() any {
	old := *w
	u := old[len(old)-1]
	u.index = -1
	*w = old[:len(old)-1]
	return u
}
