package standin

import (
	"sync"
	"time"
)

const (
	calibrationRounds = 20
	calibrationSleep  = 2 * time.Millisecond
)

// overshoot returns by how much time.Sleep exceeds the requested time on this
// machine. The stand-ins subtract it, so that their delays are the intended ones.
var overshoot = sync.OnceValue(func() time.Duration {
	began := time.Now()
	for range calibrationRounds {
		time.Sleep(calibrationSleep)
	}
	return time.Since(began)/calibrationRounds - calibrationSleep
})

// sleep sleeps for d, corrected by the overshoot.
func sleep(d time.Duration) { time.Sleep(d - overshoot()) }
