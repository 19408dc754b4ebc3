package dispatch

import (
	"encoding/json"
	"fmt"

	"crocusseam/pkg/submission"
)

// objectName returns the name of the object that holds the job's results if they
// are too long for the claim row. The object is stored before the row that names
// it, and its name contains the claim's token, so that a row never names an
// object that doesn't exist.
func (j *job) objectName() string { return "results/" + j.key.Team + "/" + j.key.ID + "/" + j.token }

func outputBytes(results []submission.Result) int {
	sum := 0
	for _, r := range results {
		sum += len(r.Output)
	}
	return sum
}

// storeResults writes the results of a complete job to the object store and then
// records the job's outcome.
func (c *Control) storeResults(j *job) {
	content, err := json.Marshal(j.reply.Answer.Results)
	if err != nil {
		panic("results cannot be encoded: " + err.Error())
	}
	c.claims.lastID++
	c.claims.putRetries.Delete(j)
	c.claims.objects.Put(c.claims.lastID, func(_ []byte, err error) {
		if err != nil {
			c.claims.putRetries.Put(j, c.now.Add(maxCommitBackoff/2+c.jitter(maxCommitBackoff/2)))
			return
		}
		j.resultObject = j.objectName()
		c.recordOutcome(j, StateComplete)
	})
	c.emit(PutObject{ID: c.claims.lastID, Name: j.objectName(), Content: content})
}

// retryStoreResults repeats failed writes of results when their back-off is over.
func (c *Control) retryStoreResults() {
	for j, due := range c.claims.putRetries.All() {
		if !c.now.Before(due) && !c.commitsPaused() {
			c.counters.RepeatedWrites++
			c.storeResults(j)
		}
	}
}

// fetchResults reads the results of a followed job, one that another instance has
// claimed and this one only follows, from the object that the claim row names. It
// then answers the job's callers, or refuses them if the results cannot be read.
func (c *Control) fetchResults(j *job, name string) {
	c.claims.lastID++
	c.claims.objects.Put(c.claims.lastID, func(content []byte, err error) {
		if j.phase == finished {
			return
		}
		var results []submission.Result
		if err == nil {
			err = json.Unmarshal(content, &results)
		}
		if err != nil {
			c.finishRefused(j, submission.Refusal{
				Reason: submission.PlatformUnavailable, RetryAfter: c.config.Timing.BreakerBackoff,
				Detail: fmt.Sprintf("the job is complete; its results cannot be read now: %v", err),
			})
			return
		}
		c.finishFollowed(j, submission.Answer{Status: submission.Complete, Results: results})
	})
	c.emit(GetObject{ID: c.claims.lastID, Name: name})
}

func (c *Control) objectDone(m ObjectDone) {
	done, ok := c.claims.objects.Get(m.ID)
	if !ok {
		return
	}
	c.claims.objects.Delete(m.ID)
	done(m.Content, m.Err)
}
