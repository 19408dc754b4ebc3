package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/submission"
)

// Guards against sequences of legal requests that end an instance, get no answer, or leave something behind: few ids,
// several bodies for each, requests for answers, cancellations, and callers that leave, all within milliseconds.
func TestClientsAtRandom(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			config := defaultWorld(seed)
			config.maxOpenBytes = 64 << 10
			w := withRunningWorld(t, config)
			random := rand.New(rand.NewPCG(seed, 62))
			if seed%3 == 0 {
				w.maxDelay = 20 * time.Millisecond
			}
			if seed%4 == 0 {
				w.after(100*time.Millisecond, func() { w.platformDown = true })
				w.after(1500*time.Millisecond, func() { w.platformDown = false })
			}
			abandoned := make(map[dispatch.Handle]bool)
			for range 1500 {
				name := w.names[random.IntN(2)]
				h := w.randomRequest(random, name)
				if random.IntN(8) == 0 {
					abandoned[h] = true
					w.after(time.Duration(random.IntN(3000))*time.Microsecond, func() { w.deliver(w.nodes[name], dispatch.Abandon{Handle: h}) })
				}
				w.run(time.Duration(random.IntN(2000)) * time.Microsecond)
			}
			w.run(2 * time.Minute)
			for h := dispatch.Handle(1); h <= w.nextHandle; h++ {
				assert.Check(t, abandoned[h] || w.replyTo(h) != nil, "request %d is not answered", h)
			}
			assert.Check(t, w.ledger.doubleStarts == 0, "%d double starts", w.ledger.doubleStarts)
			for _, name := range w.names {
				status := w.nodes[name].control.Status()
				assert.Check(t, status.OpenJobs == 0 && status.OpenBytes == 0, "%s keeps %d jobs and %d bytes", name, status.OpenJobs, status.OpenBytes)
			}
		})
	}
}

func (w *world) randomRequest(random *rand.Rand, name string) dispatch.Handle {
	key := submission.Key{Team: "capstone", ID: fmt.Sprint("id", random.IntN(12))}
	switch random.IntN(8) {
	case 0, 1:
		return w.await(name, key)
	case 2:
		w.nextHandle++
		w.ledger.requests[w.nextHandle] = &request{node: name, at: w.now}
		w.deliver(w.nodes[name], dispatch.Cancel{Handle: w.nextHandle, Key: key})
		return w.nextHandle
	}
	s := w.job(key.ID, 1+random.IntN(3), time.Duration(1+random.IntN(20))*time.Millisecond)
	s.Deadline = epoch.Add(time.Duration(1+random.IntN(3)) * 3 * time.Second) // the second has passed soon after the start
	s.Attempt, s.Repeatable = random.IntN(4), random.IntN(2) == 0
	s.HomeDomain = []string{"", "a", "b"}[random.IntN(3)]
	return w.submit(name, s)
}

// Guards against claims that do not come through beside submissions under ids that other bodies have claimed: a commit of
// several claims fails with one of them.
func TestClaimsBesideTakenIDs(t *testing.T) {
	const taken, refusals = 200, 6000
	w := withRunningWorld(t, defaultWorld(1))
	for k := range taken {
		writeNotRunClaim(t, w, w.job(fmt.Sprint("taken", k), 1, 10*time.Millisecond))
	}
	var ordinary []dispatch.Handle
	for k := range refusals {
		s := w.job(fmt.Sprint("taken", k%taken), 1, 10*time.Millisecond)
		s.Deadline = w.now.Add(20 * time.Second)
		w.submit("a1", s)
		if k%1000 == 500 {
			ordinary = append(ordinary, w.submit("a1", w.job(fmt.Sprint("ordinary", k), 1, 10*time.Millisecond)))
		}
		w.run(500 * time.Microsecond)
	}
	w.run(10 * time.Second)
	for _, h := range ordinary {
		complete(t, w.replyTo(h))
	}
}
