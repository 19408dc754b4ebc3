package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

// Guards against two runs of a task at once: a job was submitted again to the home that had closed
// it, while a run of it might go on whose holder had given it up or was gone. In the last case the
// task was never placed again.
func TestRunsOfAClosedJobCountUntilTheyHaveCertainlyEnded(t *testing.T) {
	timing := DefaultTiming()
	unknown := func(b *bench, run workload.Run) {
		b.step(b.receivedFrom(benchPeer, &RunEnded{Run: run, How: workload.Unknown, Endpoint: benchPeerEndpoint}))
	}
	abandon := func(b *bench, _ workload.Run) { b.step(Abandon{Handle: 2}) }
	restart := func(b *bench, _ workload.Run) {
		next := instance.ID{Instance: benchPeer.Instance, Incarnation: 2}
		b.step(PeerUp{Peer: next}, b.receivedFrom(next, &Heartbeat{Configuration: 1}))
	}
	for _, c := range []struct {
		name  string
		steps []func(*bench, workload.Run)
		after time.Duration
	}{
		{"lost, then closed", []func(*bench, workload.Run){unknown, abandon}, timing.leaseExpiry()},
		{"closed, then lost", []func(*bench, workload.Run){abandon, unknown}, timing.leaseExpiry()},
		{"closed, then its holder restarted", []func(*bench, workload.Run){abandon, restart}, timing.holderLossTimeout()},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.connectPeer()
			full := b.submit(1, 64000)
			assert.Equal(t, len(full), 1)
			b.submit(1, 64000)
			assert.DeepEqual(t, b.placedNumbers(), []int{1})
			j, _ := b.control.home.jobs.Get(workload.JobID(rune('a' + 2)))
			for _, do := range c.steps {
				do(b, j.run(0, 0))
			}
			b.report(nil, []workload.EndedRun{{Sequence: 1, Run: full[0].Run, How: workload.Done}})
			b.step(Submit{Handle: 3, Job: j.Job, Route: workload.Route{Service: "s", Stretch: 1.6, Slack: 3 * time.Second, MaxAttempts: 2}, CallerTimeout: 9 * time.Second})
			began := b.now
			started := len(effectsOf[Start](b))
			for started == 0 && b.now.Sub(began) < 4*time.Second {
				b.advanceBy(10 * time.Millisecond)
				started = len(effectsOf[Start](b))
				if started == 0 {
					b.report(nil, nil)
					started = len(effectsOf[Start](b))
				}
			}
			waited := b.now.Sub(began)
			assert.Assert(t, waited >= c.after-50*time.Millisecond && waited <= c.after+100*time.Millisecond, fmt.Sprint(waited))
		})
	}
}
