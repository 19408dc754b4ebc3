package standin

import (
	"sync"
	"time"
)

const (
	calibrationRounds = 20
	calibrationSleep  = 2 * time.Millisecond
)

// overshoot is how much longer than asked this machine sleeps. The stand-ins
// take it off, so that their times are the stated ones.
var overshoot = sync.OnceValue(func() time.Duration {
	began := time.Now()
	for range calibrationRounds {
		time.Sleep(calibrationSleep)
	}
	return time.Since(began)/calibrationRounds - calibrationSleep
})

func sleep(d time.Duration) { time.Sleep(d - overshoot()) }
