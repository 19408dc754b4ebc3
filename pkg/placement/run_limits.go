package placement

import (
	"math"

	"crocusseam/pkg/workload"
)

// Bounds of the runs that an instance places as a home and keeps as a holder.
//
// This keeps an invariant: what the tasks of open jobs occupy outside of their home's table of jobs does
// not grow with the number of tasks. A task beyond the bounds waits at its home, where it is counted
// with its job, and costs nothing until there is room. Nobody is told that it waits for this
// reason, and nothing is refused: the bounds only delay a start.

const (
	// placedShare is the part of MaxRunBytes that the placed tasks of one home may take, at all
	// holders. Each holder has the runs of several homes.
	placedShare = 4
	// storedShare is the part of those that tasks of stored jobs may take. One that waits
	// at its holder is returned after maxStoredQueueTime, and kept there for endedRunRetention.
	storedShare = 4
	// smallJobTasks is the number of tasks up to which an ephemeral job is small. Larger ones may take three
	// quarters of the placed tasks.
	smallJobTasks = 16
)

// placeable returns how many more tasks of a job this home may place.
func (c *Control) placeable(j *job) int {
	limit := c.config.MaxRunBytes / placedShare
	if limit == 0 {
		return math.MaxInt
	}
	switch {
	case j.stored != nil:
		limit /= storedShare
	case j.large():
		limit -= limit / 4
	}
	if c.home.placed+c.home.dropped == 0 {
		limit = max(limit, j.memoryOfRun())
	}
	return int((limit - c.home.placedMemory - c.droppedMemory()) / j.memoryOfRun())
}

// large reports whether a job has more tasks than a small one.
func (j *job) large() bool { return j.Tasks() > smallJobTasks }

// mayStartMore reports whether a queued run may be started. Ended runs are kept for endedRunRetention, so their
// memory bounds the rate of starts. Runs of stored jobs leave a quarter to others.
func (c *Control) mayStartMore(r *run) bool {
	limit := c.config.MaxRunBytes
	if r.request.Stored {
		limit -= limit / 4
	}
	return limit == 0 || c.endedMemory() < limit
}

// mostFree returns the most free capacity of each resource at one held endpoint. What does not fit it fits
// no endpoint.
func (h *holder) mostFree() workload.Resources {
	var most workload.Resources
	for _, e := range h.endpoints.All() {
		free := e.free()
		most.MilliCPU = max(most.MilliCPU, free.MilliCPU)
		most.MemoryMB = max(most.MemoryMB, free.MemoryMB)
		most.Accelerators = max(most.Accelerators, free.Accelerators)
	}
	return most
}
