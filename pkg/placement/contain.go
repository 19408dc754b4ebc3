package placement

import (
	"fmt"

	"go.uber.org/zap"
)

// contain keeps an unexpected error in the handling of one input or of one job
// from ending the process: everybody else's jobs go on. It is deferred; failed is
// called after a panic.
func (c *Control) recoverPanic(what string, failed func()) {
	cause := recover()
	if cause == nil {
		return
	}
	c.counters.Unexpected++
	c.logEvent("unexpected error contained", zap.String("In", what), zap.String("Cause", fmt.Sprint(cause)), zap.Stack("Stack"))
	failed()
}

// handleContained handles an input. The caller of a request whose handling failed
// is told that it may have run.
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

// advanceContained sees to a job. One whose handling failed is given up.
func (c *Control) advanceWithRecovery(j *job, move bool) {
	defer c.recoverPanic("job "+string(j.ID), func() {
		for _, h := range j.handles {
			delete(c.home.byHandle, h)
			c.reply(h, Answer{Status: TimedOut, Reason: unexpectedReason})
		}
		c.home.jobs.Delete(j.ID)
	})
	c.advance(j, move)
}

const unexpectedReason = "an unexpected error; some of it may have run"
