package dispatch

import (
	"time"

	"crocusseam/pkg/submission"
)

// Counters count what a control has done since it started.
type Counters struct {
	Submitted          uint64 // submissions that callers sent here
	Attached           uint64 // of those, joined to a job that was known
	Refused            uint64 // requests refused
	Shed               uint64 // of those, refused for load
	Completed          uint64 // jobs answered Complete
	Failed             uint64 // jobs answered Failed
	Cancelled          uint64 // cancellations
	Starts             uint64 // tasks started at endpoints held here
	Retries            uint64 // further attempts after failures
	Hedges             uint64 // second attempts in parallel
	Bounces            uint64 // placements sent back not started
	BusyRefusals       uint64 // tasks not started by an endpoint
	Ejections          uint64 // endpoints taken out of use
	Readmissions       uint64 // endpoints taken back into use
	Commits            uint64 // groups of claims and outcomes written
	CommittedRows      uint64 // rows in those groups
	RepeatedWrites     uint64 // commits sent again
	LostRaces          uint64 // conditional writes lost
	Relays             uint64 // commits sent through a sibling
	IdlePolls          uint64 // reads of a followed claim without a change
	StrayAnswers       uint64 // results that nobody waited for
	UnusedAssignments  uint64 // assignments given back to the lead
	VoidAssignments    uint64 // assignments that no holder confirmed
	RepeatedPlaces     uint64 // placements sent again after a new session
	RepeatedPlacements uint64 // placements received again
	RepeatedResults    uint64 // results sent again after a new session
	Unclaimed          uint64 // jobs started without a claim
	BackfillBreaches   uint64 // of those, claimed elsewhere
	Resolved           uint64 // claims of dead homes recorded as Unknown
	LeadChanges        uint64 // changes of the lead
	Pauses             uint64 // times the process stood still beyond half a term
	FailedScans        uint64 // reads of the control rows that failed
	BadRows            uint64 // control rows that could not be read
	OldReads           uint64 // reads that showed an older rollout
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
func (c *Control) Counters() Counters { return c.counters }

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
func (c *Control) emitObservation(j *job, a submission.Answer) {
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
