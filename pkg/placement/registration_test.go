package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/slots"
	"crocusseam/pkg/workload"
)

// connectDirectory sets up sessions with a member that knows the homes of all jobs, as this
// instance has just started, and with another one.
func (b *bench) connectDirectory() (directory, other instance.ID) {
	directory, other = benchPeer, instance.ID{Instance: "c", Incarnation: 1}
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 1, Domain: "east", Share: 1}, MemberRow{Instance: "c", Incarnation: 1, Domain: "east"})
	b.step(b.receivedFrom(directory, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true}), b.receivedFrom(other, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true}))
	return directory, other
}

// sentTo returns the messages of one kind that were sent to a member.
func sentTo[M Message](b *bench, peer instance.ID) []M {
	var list []M
	for _, s := range effectsOf[Send](b) {
		if m, ok := s.Message.(M); ok && s.Peer == peer {
			list = append(list, m)
		}
	}
	return list
}

// register submits a job whose directory is another member, also when this instance has run for
// longer, and returns its registration.
func (b *bench) register(directory instance.ID) *Register {
	b.t.Helper()
	for id := string(rune('a' + 1)); slots.Score(id, directory.Instance) < slots.Score(id, b.control.self.Instance); id = string(rune('a' + b.jobs + 1)) {
		b.jobs++
	}
	assert.Equal(b.t, len(b.submit(1, 1000)), 0, "the job was started before the directory answered")
	sent := sentTo[*Register](b, directory)
	assert.Equal(b.t, len(sent), 1)
	return sent[0]
}

// Guards against two runs of a task at once, and against jobs that wait for good: a job is started
// when its directory has answered, and after a fixed time without an answer.
func TestJobBeginsWhenItsDirectoryAnswersOrIsSilent(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprint(answered), func(t *testing.T) {
			b := newBench(t)
			directory, _ := b.connectDirectory()
			asked := b.now
			r := b.register(directory)
			if answered {
				b.now = b.now.Add(time.Millisecond)
				b.step(b.receivedFrom(directory, &Registered{Job: r.Job, Number: r.Number}))
				assert.Equal(t, len(effectsOf[Start](b)), 1)
				return
			}
			for b.now.Sub(asked) < registerTimeout {
				assert.Equal(t, len(effectsOf[Start](b)), 0)
				_, next := b.control.Step(b.now, nil)
				assert.Assert(t, !next.After(asked.Add(registerTimeout)), "the next step is %v late", next.Sub(asked.Add(registerTimeout)))
				b.now = next
				b.step()
			}
			assert.Equal(t, len(effectsOf[Start](b)), 1)
			assert.Equal(t, b.control.Overview().Counters.Unconfirmed, int64(1))
		})
	}
}

// Guards against two runs of a task at once: an answer to an earlier registration lets a job begin
// that waits for its present home.
func TestAnswerToAnEarlierRegistrationIsIgnored(t *testing.T) {
	b := newBench(t)
	directory, other := b.connectDirectory()
	r := b.register(directory)
	b.step(b.receivedFrom(directory, &Occupied{Job: r.Job, Number: r.Number, Home: other}))
	b.step(PeerUp{Peer: directory}, b.receivedFrom(directory, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true}))
	again := sentTo[*Register](b, directory)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Occupant, other)
	b.step(b.receivedFrom(directory, &Registered{Job: r.Job, Number: r.Number}))
	assert.Equal(t, len(effectsOf[Start](b)), 0)
	b.step(b.receivedFrom(directory, &Registered{Job: r.Job, Number: again[0].Number}))
	assert.Equal(t, len(effectsOf[Start](b)), 1)
}

// Guards against a wrong answer: a refusal says that a job never runs, and another instance may be
// running it.
func TestJobThatWaitsForItsHomeInVainTimesOut(t *testing.T) {
	b := newBench(t)
	directory, other := b.connectDirectory()
	r := b.register(directory)
	b.step(b.receivedFrom(directory, &Occupied{Job: r.Job, Number: r.Number, Home: other}))
	for range 400 {
		b.now = b.now.Add(10 * time.Millisecond)
		b.step(b.receivedFrom(directory, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true}), b.receivedFrom(other, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true}))
		assert.Equal(t, len(effectsOf[Start](b)), 0)
		if replies := effectsOf[Reply](b); len(replies) > 0 {
			assert.Equal(t, replies[0].Answer.Status, TimedOut)
			assert.Equal(t, replies[0].Answer.Reason, "another instance is still running it")
			assert.Equal(t, len(sentTo[*Release](b, directory)), 1, "the directory is not told")
			return
		}
	}
	t.Error("no answer")
}

// Guards against two instances that wait for each other: each is the home by the answer of another
// member.
func TestJobThatWaitsElsewhereIsReleased(t *testing.T) {
	b := newBench(t)
	directory, other := b.connectDirectory()
	r := b.register(directory)
	b.step(b.receivedFrom(directory, &Occupied{Job: r.Job, Number: r.Number, Home: other}))
	b.step(b.receivedFrom(other, &Recall{Job: r.Job}))
	assert.Equal(t, len(sentTo[*Release](b, other)), 1)
}

// Guards against two runs of a task at once: a job was released before its last run had ended.
func TestJobIsReleasedWhenItsLastRunHasEnded(t *testing.T) {
	b := newBench(t)
	directory, _ := b.connectDirectory()
	r := b.register(directory)
	b.step(b.receivedFrom(directory, &Registered{Job: r.Job, Number: r.Number}))
	start := effectsOf[Start](b)[0]
	b.answerStart(&start, Accepted)
	b.step(b.receivedFrom(directory, &Recall{Job: r.Job, Number: r.Number}))
	assert.Equal(t, len(sentTo[*Release](b, directory)), 0)
	b.step(Abandon{Handle: Handle(b.jobs)})
	for range 30 {
		assert.Equal(t, len(sentTo[*Release](b, directory)), 0)
		b.now = b.now.Add(10 * time.Millisecond)
		b.step(b.receivedFrom(directory, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true}))
	}
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: start.Run, How: workload.Stopped}})
	released := sentTo[*Release](b, directory)
	assert.Equal(t, len(released), 1)
	assert.DeepEqual(t, released[0].Jobs, []ReleasedJob{{Job: r.Job, Number: r.Number}})
}

// Guards against two runs of a task at once: an instance that had been paused placed a job for
// which it had been answered before.
func TestJobThatHasPlacedNothingAsksAgainAfterAPause(t *testing.T) {
	b := newBench(t)
	directory, _ := b.connectDirectory()
	r := b.register(directory)
	b.now = b.now.Add(time.Second)
	b.step(b.receivedFrom(directory, &Registered{Job: r.Job, Number: r.Number}), b.receivedFrom(directory, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true}))
	var again []*Register
	for range 6 {
		assert.Equal(t, len(effectsOf[Start](b)), 0)
		again = append(again, sentTo[*Register](b, directory)...)
		b.advanceBy(10 * time.Millisecond)
	}
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Number > r.Number)
}

// Guards against entries that grow without bound: an entry ends by itself when nobody can need it
// any more, whatever its home does. A release of an earlier registration ends none.
func TestEntriesOfTheDirectoryEnd(t *testing.T) {
	b := newBench(t)
	first, second := b.connectDirectory()
	b.step(b.receivedFrom(first, &Register{Job: "j", Number: 7, Left: time.Second}))
	assert.Equal(t, len(sentTo[*Registered](b, first)), 1)
	b.step(b.receivedFrom(first, &Release{Jobs: []ReleasedJob{{Job: "j", Number: 6}}}))
	b.step(b.receivedFrom(second, &Register{Job: "j", Number: 1, Left: time.Second}))
	assert.Equal(t, len(sentTo[*Occupied](b, second)), 1)
	assert.Equal(t, len(sentTo[*Recall](b, first)), 1)
	b.step(b.receivedFrom(second, &Release{Jobs: []ReleasedJob{{Job: "j", Number: 1}}}))
	b.step(b.receivedFrom(second, &Register{Job: "k", Number: 2, Left: -1 << 63}), b.receivedFrom(second, &Register{Job: "l", Number: 3, Left: 1<<63 - 1}))
	assert.Equal(t, b.control.directory.entries.Len(), 3)
	for range (lateOrderWindow + 2*time.Second) / (10 * time.Millisecond) {
		b.now = b.now.Add(10 * time.Millisecond)
		b.step(b.receivedFrom(first, &Heartbeat{Configuration: 1}), b.receivedFrom(second, &Heartbeat{Configuration: 1}))
	}
	assert.Equal(t, b.control.directory.entries.Len(), 1)
	b.control.now = b.now.Add(maxRegistration + time.Minute)
	b.now = b.control.now
	b.advanceBy(50 * time.Millisecond)
	b.advanceBy(50 * time.Millisecond)
	assert.Equal(t, b.control.directory.entries.Len(), 0)
}

// Guards against a home that holds the next one back for longer than needed: the recall of its job
// was lost with a session.
func TestHomeThatRegistersAgainIsRecalledAgain(t *testing.T) {
	b := newBench(t)
	first, second := b.connectDirectory()
	b.step(b.receivedFrom(first, &Register{Job: "j", Number: 7, Left: time.Second}))
	b.step(b.receivedFrom(second, &Register{Job: "j", Number: 1, Left: time.Second}))
	assert.Equal(t, len(sentTo[*Recall](b, first)), 1)
	b.step(PeerDown{Peer: first}, PeerUp{Peer: first}, b.receivedFrom(first, &Register{Job: "j", Number: 8, Left: time.Second}))
	assert.Equal(t, len(sentTo[*Registered](b, first)), 1)
	assert.Equal(t, len(sentTo[*Recall](b, first)), 1)
}

// Guards against two runs of a task at once (soak seed 97102): the only instance that had run for
// long was leaving, so each of the others, all just restarted, took itself for the directory.
func TestDirectoryIsSharedByThoseThatStay(t *testing.T) {
	for _, allLeave := range []bool{false, true} {
		t.Run(fmt.Sprint(allLeave), func(t *testing.T) {
			b := newBench(t)
			oldest, other := benchPeer, instance.ID{Instance: "c", Incarnation: 1}
			b.connectMembers(MemberRow{Instance: "b", Incarnation: 1, Domain: "east", Share: 1}, MemberRow{Instance: "c", Incarnation: 1, Domain: "east", Share: 1})
			if allLeave {
				b.step(Stop{})
			}
			b.step(
				b.receivedFrom(oldest, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true, Leaving: true}),
				b.receivedFrom(other, &Heartbeat{Configuration: 1, Uptime: b.now.Sub(b.control.began), KeepsDirectory: true, Leaving: allLeave}),
			)
			b.advanceBy(20 * time.Millisecond)
			want := []instance.ID{b.control.self, other}
			if allLeave {
				want = []instance.ID{oldest}
			}
			assert.DeepEqual(t, b.control.directory.candidates, want)
		})
	}
}

// Guards against two runs of a task at once: an entry ended although its home could be reached and
// had not released the job, of which a start might still be carried out.
func TestEntryLastsAsLongAsOrdersMayComeLate(t *testing.T) {
	b := newBench(t)
	first, second := b.connectDirectory()
	b.step(b.receivedFrom(first, &Register{Job: "j", Number: 7, Left: time.Second}))
	b.step(b.receivedFrom(second, &Register{Job: "j", Number: 1, Left: 10 * time.Second}))
	assert.Equal(t, len(sentTo[*Occupied](b, second)), 1)
	for range lateOrderWindow / (10 * time.Millisecond) {
		b.now = b.now.Add(10 * time.Millisecond)
		b.step(b.receivedFrom(first, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true}), b.receivedFrom(second, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true}))
		assert.Assert(t, len(sentTo[*Registered](b, second)) == 0)
	}
}

// Guards against jobs that are not served: the recall and the release of a job were lost with one
// session.
func TestRecallIsRepeatedInANewSession(t *testing.T) {
	b := newBench(t)
	first, second := b.connectDirectory()
	b.step(b.receivedFrom(first, &Register{Job: "j", Number: 7, Left: 10 * time.Second}))
	b.step(b.receivedFrom(second, &Register{Job: "j", Number: 1, Left: 10 * time.Second}))
	assert.Equal(t, len(sentTo[*Recall](b, first)), 1)
	b.step(PeerDown{Peer: first}, PeerUp{Peer: first})
	assert.Equal(t, len(sentTo[*Recall](b, first)), 1)
}

// Guards against two runs of a task at once: a home that was recalled released a job of which runs
// of its former time were going on here, as it waited for another answer.
func TestRecallOfAJobWithFormerRunsIsNotAnsweredAtOnce(t *testing.T) {
	b := newBench(t)
	directory, other := b.connectDirectory()
	r := b.register(directory)
	b.step(b.receivedFrom(directory, &Registered{Job: r.Job, Number: r.Number}))
	assert.Equal(t, len(effectsOf[Start](b)), 1)
	b.step(Abandon{Handle: Handle(b.jobs)})
	b.jobs--
	b.submit(1, 1000)
	b.step(b.receivedFrom(other, &Recall{Job: r.Job, Number: r.Number}))
	assert.Equal(t, len(sentTo[*Release](b, other)), 0)
}

// Guards against two runs of a task at once (soak seed 98106): a job was released when the stop of a
// late start was accepted, and the run went on until the stop had taken effect.
func TestJobIsReleasedWhenTheStopOfALateStartHasTakenEffect(t *testing.T) {
	b := newBench(t)
	directory, _ := b.connectDirectory()
	r := b.register(directory)
	b.step(b.receivedFrom(directory, &Registered{Job: r.Job, Number: r.Number}))
	start := effectsOf[Start](b)[0]
	b.answerStart(&start, Unanswered)
	b.step(Abandon{Handle: Handle(b.jobs)})
	next := b.listLife(benchEndpoint.ID.Born + 1)
	b.step(b.receivedFrom(directory, &Recall{Job: r.Job, Number: r.Number}))
	releasedWithin := func(span time.Duration) (released time.Duration, ok bool) {
		began := b.now
		for b.now.Sub(began) < span {
			b.now = b.now.Add(10 * time.Millisecond)
			b.step(b.receivedFrom(directory, &Heartbeat{Configuration: 1, Uptime: time.Minute, KeepsDirectory: true}))
			if len(sentTo[*Release](b, directory)) > 0 {
				return b.now.Sub(began), true
			}
		}
		return 0, false
	}
	_, early := releasedWithin(2 * time.Second)
	assert.Assert(t, !early, "released while the start may come late")
	b.answerStop(start.Run, next, Accepted)
	assert.Equal(t, len(sentTo[*Release](b, directory)), 0)
	after, ok := releasedWithin(200 * time.Millisecond)
	assert.Assert(t, ok && after >= stopTime, "released %v after the stop was accepted", after)
}
