package dispatch

import (
	"time"

	"crocusseam/pkg/routing"
	"crocusseam/pkg/table"
)

// maxKinds bounds the kinds of a team's tasks that have a model of their run times.
const maxKinds = 256

// runTimes predicts run times of tasks from those of earlier tasks of the same team and kind.
//
// This keeps an invariant: its size does not depend on the names of kinds, which callers choose. Only kinds of tasks that are
// done have a model, and of each team those that were observed last.
type runTimes struct {
	teams map[string]*table.Table[string, *routing.RunTimeModel]
}

func newRunTimes() runTimes {
	return runTimes{teams: make(map[string]*table.Table[string, *routing.RunTimeModel])}
}

// predict returns the expected run time of a task at speed 1.
func (r *runTimes) predict(team, kind string, declared time.Duration) time.Duration {
	if models, ok := r.teams[team]; ok {
		if m, ok := models.Get(kind); ok {
			return m.Predict(declared)
		}
	}
	return new(routing.RunTimeModel).Predict(declared)
}

// observe adds a task that took the measured time on an endpoint of a speed.
func (r *runTimes) observe(team, kind string, declared, measured time.Duration, speed float64) {
	models, ok := r.teams[team]
	if !ok {
		models = table.New[string, *routing.RunTimeModel]()
		r.teams[team] = models
	}
	m, ok := models.Get(kind)
	if !ok {
		m = new(routing.RunTimeModel)
	}
	m.Observe(declared, measured, speed)
	models.Delete(kind)
	models.Put(kind, m)
	for oldest := range models.All() {
		if models.Len() > maxKinds {
			models.Delete(oldest)
		}
		break
	}
}
