package placement

import "time"

// link is the instance's own link. What is sent waits behind what was sent before:
// an order that waits here is not one that its endpoint leaves unanswered.
type uplink struct {
	bytesPerSecond float64 // bytes a second; 0 is without bound
	freeAt         time.Time
}

// orderBytes are the bytes of an order or a place beside the caller's text.
const orderOverheadBytes = 400

// take puts bytes on the link and returns how long they take to leave.
func (l *uplink) enqueue(now time.Time, bytes int) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	l.freeAt = later(l.freeAt, now).Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt.Sub(now)
}
