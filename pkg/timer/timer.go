// Package timer is the one timer service of a process: parts subscribe to it
// instead of keeping tickers of their own.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time. Wall clocks may step; Now of the service carries Go's
// monotonic reading, so that durations between two readings never do.
type Clock interface {
	Now() time.Time
}

// Subscription is one subscriber's place in the service.
type Subscription struct {
	// C receives the time of each due wake-up. It holds one wake-up; a
	// subscriber that is late finds only the newest.
	C chan time.Time

	service *Service
	due     time.Time
	period  time.Duration
	index   int
}

// Service wakes its subscribers at the times they asked for.
type Service struct {
	mu      sync.Mutex
	pending subscriptionHeap
	changed chan struct{}
}

// New returns a service; Run must be called for it to wake anyone.
func New() *Service {
	return &Service{changed: make(chan struct{}, 1)}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return time.Now() }

// Every returns a subscription that is woken once per period.
func (s *Service) Every(period time.Duration) *Subscription {
	sub := s.newSubscription()
	sub.period = period
	sub.WakeAt(time.Now().Add(period))
	return sub
}

// Once returns a subscription that is woken only when WakeAt asks for it.
func (s *Service) Once() *Subscription { return s.newSubscription() }

// Sleep waits for a while, or until the context ends. It reports whether the
// whole time has passed.
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

// SinceBoot returns a time that also counts while the machine is suspended. Only
// differences between two of its readings mean anything.
func (s *Service) SinceBoot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // only a kernel without the clock gets here
	}
	return time.Unix(t.Sec, t.Nsec)
}

func (s *Service) newSubscription() *Subscription {
	return &Subscription{C: make(chan time.Time, 1), service: s, index: -1}
}

// WakeAt moves the next wake-up of the subscription to due.
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

// Stop ends the subscription.
func (u *Subscription) Stop() {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	if u.index >= 0 {
		heap.Remove(&u.service.pending, u.index)
	}
}

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

// wakeDue wakes every subscription that is due and returns the wait until the
// next one.
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
