package timer

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// Guards against processor time that grows with the number of peers: each message moved the
// next step of the control state to a later time, which woke the goroutine of the service.
func TestPostponedWakeUpLeavesTheServiceAsleep(t *testing.T) {
	s := New()
	u := s.Once()
	now := time.Now()
	u.WakeAt(now.Add(time.Second))
	s.wakeDue(now)
	for i := range 10 {
		u.WakeAt(now.Add(time.Second + time.Duration(i)*time.Millisecond))
		assert.Equal(t, len(s.changed), 0, "postponed %d times", i)
	}
	u.WakeAt(now.Add(time.Second / 2))
	assert.Equal(t, len(s.changed), 1, "an earlier time is left out")
}

func TestEarlierWakeUpEndsTheSleep(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := New()
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	later, sooner := s.Once(), s.Once()
	later.WakeAt(time.Now().Add(time.Minute))
	time.Sleep(time.Millisecond)
	sooner.WakeAt(time.Now().Add(time.Millisecond))
	select {
	case <-sooner.C:
	case <-later.C:
		t.Error("the earlier time is left out")
	}
	cancel()
	assert.NilError(t, group.Wait())
}
