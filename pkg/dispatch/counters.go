package dispatch

import (
	"time"

	"crocusseam/pkg/submission"
)

// Counters count what a control has done since it started.
type Counters struct {
	Submitted          uint64
	Attached           uint64
	Refused            uint64
	Shed               uint64
	Completed          uint64
	Failed             uint64
	Cancelled          uint64
	Starts             uint64
	Retries            uint64
	Hedges             uint64
	Bounces            uint64
	BusyRefusals       uint64
	Ejections          uint64
	Readmissions       uint64
	Commits            uint64
	CommittedRows      uint64
	RepeatedWrites     uint64
	LostRaces          uint64
	Relays             uint64
	IdlePolls          uint64
	StrayAnswers       uint64
	UnusedAssignments  uint64
	VoidAssignments    uint64
	RepeatedPlaces     uint64
	RepeatedPlacements uint64
	RepeatedResults    uint64
	Unclaimed          uint64
	BackfillBreaches   uint64
	Resolved           uint64
	LeadChanges        uint64
	Pauses             uint64
	FailedScans        uint64
	BadRows            uint64
	OldReads           uint64
}

// WastedByKind returns the messages that did not advance a task, by kind.
func (n *Counters) WastedByKind() map[string]uint64 {
	return map[string]uint64{
		"FurtherAttempts":   n.Retries,
		"HedgeLosers":       n.Hedges,
		"BusyRefusals":      n.BusyRefusals,
		"Bounces":           n.Bounces - min(n.Bounces, n.BusyRefusals),
		"RepeatedWrites":    n.RepeatedWrites,
		"LostRaces":         n.LostRaces,
		"IdlePolls":         n.IdlePolls,
		"StrayAnswers":      n.StrayAnswers,
		"UnusedAssignments": n.UnusedAssignments,
		"RepeatedPlaces":    n.RepeatedPlaces,
		"RepeatedResults":   n.RepeatedResults,
	}
}

// Counters returns the counts so far.
func (c *Control) Counters() Counters { return c.counted }

// Observation is one job's part in its service level.
type Observation struct {
	Team    string
	Class   string
	Elapsed time.Duration
	Met     bool
}

func (Observation) isEffect() {}

// countObjective tells whether a job met its class's objective. A job that its
// caller cancelled does not count.
func (c *Control) countObjective(j *job, a submission.Answer) {
	if a.Reason == submission.Cancelled {
		return
	}
	elapsed := c.now.Sub(j.arrived)
	met := a.Status == submission.Complete && elapsed <= time.Duration(j.class.Objective)
	c.emit(Observation{Team: j.key.Team, Class: j.class.Name, Elapsed: elapsed, Met: met})
}

// Add adds other counts to these.
func (n *Counters) Add(other *Counters) {
	n.Submitted += other.Submitted
	n.Attached += other.Attached
	n.Refused += other.Refused
	n.Shed += other.Shed
	n.Completed += other.Completed
	n.Failed += other.Failed
	n.Cancelled += other.Cancelled
	n.Starts += other.Starts
	n.Retries += other.Retries
	n.Hedges += other.Hedges
	n.Bounces += other.Bounces
	n.BusyRefusals += other.BusyRefusals
	n.Ejections += other.Ejections
	n.Readmissions += other.Readmissions
	n.Commits += other.Commits
	n.CommittedRows += other.CommittedRows
	n.RepeatedWrites += other.RepeatedWrites
	n.LostRaces += other.LostRaces
	n.Relays += other.Relays
	n.IdlePolls += other.IdlePolls
	n.StrayAnswers += other.StrayAnswers
	n.UnusedAssignments += other.UnusedAssignments
	n.VoidAssignments += other.VoidAssignments
	n.RepeatedPlaces += other.RepeatedPlaces
	n.RepeatedPlacements += other.RepeatedPlacements
	n.RepeatedResults += other.RepeatedResults
	n.Unclaimed += other.Unclaimed
	n.BackfillBreaches += other.BackfillBreaches
	n.Resolved += other.Resolved
	n.LeadChanges += other.LeadChanges
	n.Pauses += other.Pauses
	n.FailedScans += other.FailedScans
	n.BadRows += other.BadRows
	n.OldReads += other.OldReads
}
