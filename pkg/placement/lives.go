package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/workload"
)

// ClockReading is a reading of an endpoint's clock that came with an answer.
type ClockReading struct {
	Clock    time.Duration // 0 if the answer does not say
	Sent     time.Time     // when the request was sent
	Received time.Time
}

// clockResolution is the unit in which endpoints give their clocks.
const clockResolution = time.Millisecond

// lifeClock is what the reports of an endpoint's life have shown of its clock.
type lifeClock struct {
	clock     time.Duration // in the last report
	readAfter time.Time     // before which the endpoint has not read it
}

// observe notes the clock in a report.
func (k *lifeClock) observe(r ClockReading) {
	readAfter := r.Sent
	if !k.readAfter.IsZero() {
		// The clock may run slow, so at least as much time has passed as it shows.
		readAfter = later(readAfter, k.readAfter.Add(r.Clock-k.clock-clockResolution))
	}
	k.clock, k.readAfter = r.Clock, readAfter
}

// shows reports whether an answer was certainly given in this life. Answers to orders do not name
// the life, and the endpoint's name is that of later lives too. But each life's clock starts at
// zero, and a later one has begun after the last report of this one: its clock shows at most the
// time since then.
func (k *lifeClock) shows(r ClockReading) bool {
	if k.readAfter.IsZero() || r.Clock == 0 {
		return false
	}
	return r.Clock > time.Duration(float64(r.Received.Sub(k.readAfter))*(1+clockDrift))+clockResolution
}

// acceptedInUnknownLife requests a report after an order was accepted by an answer that may be of
// a later life of its endpoint. The report names its life.
func (c *Control) acceptedInUnknownLife(order string, id workload.Run, e *endpoint, r ClockReading) {
	if c.now.Sub(e.extraRequestAt) >= minStallTime {
		c.requestReport(e)
	}
	c.counters.UnshownLives++
	c.logWarning("order accepted in an unknown life", runFields(id, e.logFields(zap.String("Order", order), zap.Int64("Born", e.info.ID.Born), zap.Duration("Clock", r.Clock),
		zap.Duration("ClockInReport", e.life.clock), zap.Duration("ReportAge", c.now.Sub(e.reportReceivedAt)), zap.Duration("Answered", r.Received.Sub(r.Sent)))...)...)
}
