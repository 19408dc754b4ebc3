package dispatch

import (
	"time"

	"crocusseam/pkg/submission"
)

// Counters counts the events of a Control since its start.
type Counters struct {
	Submitted          uint64 // submissions received from callers or forwarded by siblings
	Attached           uint64 // submissions that joined a job known to this instance
	Refused            uint64 // requests refused
	Shed               uint64 // of the refused requests, those refused for load
	ReadsRefused       uint64 // of the refused requests, those that needed a read while too many waited
	OverMemory         uint64 // of the refused requests, those refused at MaxOpenBytes
	Completed          uint64 // jobs answered Complete
	Failed             uint64 // jobs answered Failed
	Cancelled          uint64 // cancellations
	Starts             uint64 // attempts started at endpoints held here
	Retries            uint64 // further attempts after failures
	Hedges             uint64 // second attempts in parallel to a slow one
	Bounces            uint64 // results NotStarted that this home received
	BusyRefusals       uint64 // attempts that an endpoint refused to start
	Ejections          uint64 // endpoints taken out of use
	Readmissions       uint64 // endpoints taken back into use
	Commits            uint64 // groups of claims and outcomes written
	CommittedRows      uint64 // rows in those groups
	RepeatedWrites     uint64 // commits sent again
	LostRaces          uint64 // conditional writes lost
	Relays             uint64 // commits sent through a sibling
	IdlePolls          uint64 // reads of another home's claim that showed no change
	StrayAnswers       uint64 // results and answers that this home no longer waits for
	UnusedAssignments  uint64 // assignments returned to the lead
	VoidAssignments    uint64 // assignments that no holder confirmed
	RepeatedPlaces     uint64 // placement requests resent in a new session
	RepeatedPlacements uint64 // placement requests received again
	RepeatedResults    uint64 // results resent in a new session
	Unclaimed          uint64 // jobs started without a claim
	BackfillBreaches   uint64 // of those, jobs that another home had claimed
	Resolved           uint64 // claims of dead homes recorded as Unknown
	LeadChanges        uint64 // changes of the lead
	Pauses             uint64 // pauses of the process longer than half of MemberTimeout
	FailedScans        uint64 // scans of the control rows that failed
	BadRows            uint64 // control rows that could not be decoded
	OldReads           uint64 // reads that returned an older rollout row
}

// WastedByKind returns how many messages did not advance a task, by kind.
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

// Observation is an effect that reports whether one job met the objective of its
// class.
type Observation struct {
	Team    string
	Class   string
	Elapsed time.Duration // from submission to answer
	Met     bool
}

func (Observation) isEffect() {}

// emitObservation reports whether a job met the objective of its class. Jobs
// that their callers cancelled are left out.
func (c *Control) emitObservation(j *job, a submission.Answer) {
	if a.Reason == submission.Cancelled {
		return
	}
	elapsed := c.now.Sub(j.arrived)
	met := a.Status == submission.Complete && elapsed <= time.Duration(j.class.Objective)
	c.emit(Observation{Team: j.key.Team, Class: j.class.Name, Elapsed: elapsed, Met: met})
}

// Add adds each count of other to n.
func (n *Counters) Add(other *Counters) {
	n.Submitted += other.Submitted
	n.Attached += other.Attached
	n.Refused += other.Refused
	n.Shed += other.Shed
	n.ReadsRefused += other.ReadsRefused
	n.OverMemory += other.OverMemory
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
