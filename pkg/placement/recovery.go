package placement

import (
	"fmt"

	"go.uber.org/zap"
)

// recoverPanic recovers from a panic in the handling of one input or one job, so
// that all other jobs continue. It must be deferred. After a panic it logs the stack
// and calls afterPanic.
func (c *Control) recoverPanic(operation string, afterPanic func()) {
	cause := recover()
	if cause == nil {
		return
	}
	c.counters.Unexpected++
	c.logEvent("unexpected error contained", zap.String("In", operation), zap.String("Cause", fmt.Sprint(cause)), zap.Stack("Stack"))
	afterPanic()
}

// handleWithRecovery handles an input. If that panics and the input is a request,
// its caller gets the answer that some of the job may have run.
func (c *Control) handleWithRecovery(in Input) {
	defer c.recoverPanic(fmt.Sprintf("input %T", in), func() {
		answer := Answer{Status: TimedOut, Reason: unexpectedReason}
		switch m := in.(type) {
		case Submit:
			c.reply(m.Handle, answer)
		case Ask:
			c.reply(m.Handle, answer)
		case Cancel:
			c.reply(m.Handle, answer)
		case Count:
			c.reply(m.Handle, answer)
		}
	})
	c.handleInput(in)
}

// advanceWithRecovery advances a job. If that panics, it answers the job's callers
// and removes the job. A stored job is adopted anew, as its row names this instance.
func (c *Control) advanceWithRecovery(j *job, move bool) {
	defer c.recoverPanic("job "+string(j.ID), func() {
		for _, h := range j.handles {
			delete(c.home.byHandle, h)
			c.reply(h, Answer{Status: TimedOut, Reason: unexpectedReason})
		}
		c.removeJob(j)
		if j.stored != nil {
			c.lookUpCancels(j)
			c.unsettle(partitionOf(j.ID))
		}
	})
	c.advance(j, move)
}

// unexpectedReason is the reason in an answer after a panic.
const unexpectedReason = "an unexpected error; some of it may have run"
