package placement

import "fmt"

// Rule names a rule that tests can disable.
type Rule string

// Rules without which the hazards test fails, or another one for RuleDirectory.
const (
	RuleOrphans      Rule = "Orphans"      // a holder stops the runs of an unresponsive home
	RuleKeptRefusals Rule = "KeptRefusals" // a holder repeats its refusal of a run
	RuleDirectory    Rule = "Directory"    // a home asks the directory before it begins a job
	RuleStoredMark   Rule = "StoredMark"   // a holder keeps outcomes until it knows whether stored jobs exist
	RuleEvacuation   Rule = "Evacuation"   // nothing is started in evacuated domains
	RuleSpeeds       Rule = "Speeds"       // speeds are learned robustly and forgotten when they change
	RuleCompletion   Rule = "Completion"   // a run waits for a faster endpoint only where it is expected to end in time
	RuleEjectedShare Rule = "EjectedShare" // the share of endpoints that are ejected at a time is bounded
	RuleQuickReturn  Rule = "QuickReturn"  // an ejected endpoint is tried again soon
	RuleTails        Rule = "Tails"        // a run that outlives what its kind explains is judged by its expected rest
)

// SwitchOff disables a rule.
func (c *Control) SwitchOff(r Rule) {
	switch r {
	case RuleOrphans:
		c.disabledRules.orphans = true
	case RuleKeptRefusals:
		c.disabledRules.keptRefusals = true
	case RuleDirectory:
		c.disabledRules.directory = true
	case RuleSpeeds:
		c.adaptive.speeds = false
	case RuleCompletion:
		c.adaptive.completion = false
	case RuleEjectedShare:
		c.adaptive.ejectedShare = false
	case RuleQuickReturn:
		c.adaptive.quickReturn = false
	case RuleTails:
		c.adaptive.tails = false
	case RuleStoredMark:
		c.disabledRules.storedMark = true
	case RuleEvacuation:
		c.disabledRules.evacuation = true
	}
}

// CheckPhases returns an error if the counts of phases disagree with the tasks.
func (c *Control) CheckPhases() error {
	all, memory := 0, int64(0)
	for _, j := range c.home.jobs.All() {
		for s := range j.steps {
			var counts phaseCounts
			for i := range j.steps[s] {
				counts[j.steps[s][i].phase]++
			}
			if counts != j.counts[s] {
				return fmt.Errorf("job %s, step %d: %v are counted as %v", j.ID, s, counts, j.counts[s])
			}
			all += int(counts[placed])
			memory += int64(counts[placed]) * j.memoryOfRun()
		}
	}
	if all != c.home.placed || memory != c.home.placedMemory {
		return fmt.Errorf("%d placed tasks of %d bytes are counted as %d of %d", all, memory, c.home.placed, c.home.placedMemory)
	}
	return nil
}

// Lookups returns how many reads for callers are going on, and how many lookups wait.
func (c *Control) Lookups() (reading, waiting int) {
	return c.home.lookups.reading, c.home.lookups.queued.Len() + len(c.home.pendingCancels)
}
