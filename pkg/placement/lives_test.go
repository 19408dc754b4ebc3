package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/workload"
)

// Guards against an answer of an endpoint's next life that is taken for one of the life meant: in
// no order of reports, restarts and delays does a later life's clock show the earlier one, and from two
// seconds on each answer of the life meant does.
func TestClockShowsNoLaterLife(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	shown := 0
	for range 20000 {
		slow := 1 - clockDrift*r.Float64()
		born := time.Unix(1000, 0)
		read := func(at time.Time) time.Duration {
			return time.Duration(float64(at.Sub(born)) * slow).Truncate(clockResolution)
		}
		var k lifeClock
		now := born.Add(upTo(time.Minute))
		for range 1 + r.IntN(5) {
			sent := now
			readAt := sent.Add(upTo(500 * time.Millisecond))
			now = readAt.Add(upTo(20 * time.Millisecond))
			k.observe(ClockReading{Clock: read(readAt), Sent: sent, Received: now})
			if r.IntN(3) == 0 {
				born = readAt.Add(upTo(10 * time.Millisecond)) // ends right after this report
				break
			}
			now = now.Add(upTo(100 * time.Millisecond))
		}
		later := born.After(time.Unix(1000, 0))
		sent := now.Add(upTo(800 * time.Millisecond))
		if later && sent.Before(born) {
			sent = born
		}
		executed := sent.Add(upTo(100 * time.Millisecond))
		answer := ClockReading{Clock: read(executed), Sent: sent, Received: executed.Add(upTo(100 * time.Millisecond))}
		switch {
		case later:
			assert.Assert(t, !k.shows(answer), "%+v of a life that began %s before, after %+v", answer, answer.Received.Sub(born), k)
		case executed.Sub(born) > 2*time.Second:
			shown++
			assert.Assert(t, k.shows(answer), "%+v of a life that began %s before, after %+v", answer, answer.Received.Sub(born), k)
		}
	}
	assert.Assert(t, shown > 5000, "%d answers of the life meant", shown)
	assert.Assert(t, !new(lifeClock).shows(ClockReading{Clock: time.Hour, Sent: time.Unix(0, 0), Received: time.Unix(0, 0)}), "without a report nothing is shown")
}

// Guards against an endpoint that counts as tried, as a former life of it has lost a run.
func TestNextLifeOfATriedEndpointIsNotTried(t *testing.T) {
	c := New(Config{})
	e := &workload.Endpoint{ID: workload.EndpointID{Name: "e-1", Born: 1}, Service: "s", Capacity: workload.Resources{MilliCPU: 1000}}
	c.holder.listed.Put(e.ID.Name, e)
	j := &job{Job: &workload.Job{Steps: []workload.Step{{Count: 1}}}, route: workload.Route{Service: "s"}, steps: [][]task{make([]task, 1)}}
	tried := &j.steps[0][0]
	tried.tried.note(&RunEnded{Endpoint: "e-1", Born: 1}, c.now)
	names, _ := c.triedBy(j, 0, tried)
	assert.DeepEqual(t, names, []string{"e-1"})
	e.ID.Born = 2
	names, _ = c.triedBy(j, 0, tried)
	assert.Equal(t, len(names), 0)
}
