package placement

import "time"

// uplink models the sending queue of the instance's own network connection. The
// answer timeout of an order is extended by the time that the order waits in this
// queue, so that the wait does not count as a missing answer of the endpoint.
type uplink struct {
	bytesPerSecond float64   // 0 means unlimited
	freeAt         time.Time // when all queued bytes have been sent
}

// orderOverheadBytes is the size of an order or a placement request without the
// job's specification.
const orderOverheadBytes = 400

// enqueue adds bytes to the queue and returns the time until all of them are sent.
func (u *uplink) enqueue(now time.Time, bytes int) time.Duration {
	if u.bytesPerSecond <= 0 {
		return 0
	}
	u.freeAt = later(u.freeAt, now).Add(u.timeFor(bytes))
	return u.freeAt.Sub(now)
}

// timeFor returns the time in which bytes pass the connection, in either direction.
func (u *uplink) timeFor(bytes int) time.Duration {
	if u.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / u.bytesPerSecond * float64(time.Second))
}
