package placement

import (
	"slices"
	"time"

	"crocusseam/pkg/workload"
)

// triedEndpoints are the lives of endpoints where a run of a task did not succeed.
//
// This keeps an invariant: a task that may run somewhere is placed again, however its runs have
// ended. Tried endpoints are excluded for a while, so that the next run goes elsewhere, and
// are the last choice after that. Neither holds for the next life of an endpoint, and nothing is
// excluded once the task has tried all endpoints that may run it. Only failed runs are limited
// (countFailure).
type triedEndpoints struct {
	lives []workload.EndpointID
	until time.Time // of the exclusion
}

// triedExclusion is how long a task does not run again where a run of it did not succeed.
const triedExclusion = time.Second

// note adds the endpoint of a run that did not succeed.
func (t *triedEndpoints) note(m *RunEnded, now time.Time) {
	id := workload.EndpointID{Name: m.Endpoint, Born: m.Born}
	if m.Endpoint == "" {
		return
	}
	t.until = now.Add(triedExclusion)
	if !slices.Contains(t.lives, id) {
		t.lives = append(t.lives, id)
	}
}

// triedBy returns the listed endpoints that a task has tried in their present life, and how long
// it does not run there.
func (c *Control) triedBy(j *job, step int, t *task) (names []string, exclusion time.Duration) {
	for _, id := range t.tried.lives {
		if e, ok := c.holder.listed.Get(id.Name); ok && e.ID.Born == id.Born {
			names = append(names, id.Name)
		}
	}
	if len(names) == 0 || !c.now.Before(t.tried.until) || !c.untriedExists(j, step, names) {
		return names, 0
	}
	return names, t.tried.until.Sub(c.now)
}

// untriedExists reports whether an endpoint that may run tasks of a step is not among those
// that were tried.
func (c *Control) untriedExists(j *job, step int, tried []string) bool {
	s := &j.Steps[step]
	for name := range c.holder.listed.All() {
		e, ok := c.suitableEndpoint(name, j.route.Service, s.Label)
		if ok && s.Need.Fits(e.Capacity) && !slices.Contains(tried, name) {
			return true
		}
	}
	return false
}

// placedTaskOf returns a task of a step as a placement request names it.
func (c *Control) placedTaskOf(j *job, step, index int) PlacedTask {
	t := &j.steps[step][index]
	names, exclusion := c.triedBy(j, step, t)
	return PlacedTask{Index: index, Number: t.runNumber, Avoid: names, Exclude: exclusion}
}
