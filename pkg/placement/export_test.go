package placement

// Rule names a rule that tests may switch off.
type Rule string

// Rules whose lack the walk through hazards has noticed.
const (
	RuleOrphans      Rule = "Orphans"      // what a silent home has placed is stopped
	RuleKeptRefusals Rule = "KeptRefusals" // a refusal stays true
	RuleStoredMark   Rule = "StoredMark"   // ends are kept until it is known whether they are of stored jobs
)

// SwitchOff disables a rule.
func (c *Control) SwitchOff(r Rule) {
	switch r {
	case RuleOrphans:
		c.disabledRules.orphans = true
	case RuleKeptRefusals:
		c.disabledRules.keptRefusals = true
	case RuleStoredMark:
		c.disabledRules.storedMark = true
	}
}
