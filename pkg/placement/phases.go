package placement

// phase is the progress of a task as its home knows it.
type phase uint8

const (
	blocked phase = iota // an earlier step is not done
	ready                // can be placed with a holder
	placed               // sent to a holder
	lost                 // its holder cannot be asked; the run may still be going on
	done
	numberOfPhases = int(done) + 1
)

// phaseCounts counts the tasks of a step by phase.
type phaseCounts [numberOfPhases]int16 // a job has at most workload.MaxTasks tasks

// setPhase sets the phase of a task. Only it and restore change a phase.
//
// This keeps an invariant: the counts agree with the tasks. So a job is passed over at a cost that depends on
// its steps, not on its tasks, unless there is something to do for one of them.
func (c *Control) setPhase(j *job, t *task, p phase) {
	if t.phase == placed {
		c.home.placed--
		c.home.placedMemory -= j.memoryOfRun()
	}
	if p == placed {
		c.home.placed++
		c.home.placedMemory += j.memoryOfRun()
	}
	j.setPhase(t, p)
}

func (j *job) setPhase(t *task, p phase) {
	j.counts[t.step][t.phase]--
	t.phase = p
	j.counts[t.step][p]++
}

// makeTasks creates the tasks of a job, all of them blocked.
func (j *job) makeTasks() {
	j.steps, j.counts = make([][]task, len(j.Steps)), make([]phaseCounts, len(j.Steps))
	for s := range j.steps {
		j.steps[s] = make([]task, j.Steps[s].Count)
		j.counts[s][blocked] = int16(j.Steps[s].Count)
		for i := range j.steps[s] {
			j.steps[s][i].step = uint8(s)
		}
	}
}

// in reports whether a task of a step has one of the phases.
func (j *job) in(step int, phases ...phase) bool {
	for _, p := range phases {
		if j.counts[step][p] > 0 {
			return true
		}
	}
	return false
}

// anyIn reports whether a task of the job has one of the phases.
func (j *job) anyIn(phases ...phase) bool {
	for s := range j.counts {
		if j.in(s, phases...) {
			return true
		}
	}
	return false
}

// anyPlaced reports whether is returns true for some placed task of the job.
func (j *job) anyPlaced(is func(*task) bool) bool {
	for s := range j.steps {
		if j.anyPlacedOf(s, is) {
			return true
		}
	}
	return false
}

// anyPlacedOf is anyPlaced for the tasks of one step.
func (j *job) anyPlacedOf(step int, is func(*task) bool) bool {
	if !j.in(step, placed) {
		return false
	}
	for i := range j.steps[step] {
		if t := &j.steps[step][i]; t.phase == placed && is(t) {
			return true
		}
	}
	return false
}
