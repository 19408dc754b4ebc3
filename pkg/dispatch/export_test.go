package dispatch

// Rule names a rule that tests may switch off.
type Rule string

// Rules that the fault matrix must notice the lack of.
const (
	RuleClaim        Rule = "Claim"
	RuleReadBack     Rule = "ReadBack"
	RuleDigest       Rule = "Digest"
	RuleAttemptLimit Rule = "AttemptLimit"
	RuleDrain        Rule = "Drain"
	RuleVersionCheck Rule = "VersionCheck"
)

// SwitchOff disables a rule of a control.
func (c *Control) SwitchOff(r Rule) {
	switch r {
	case RuleClaim:
		c.ruleSwitches.noClaim = true
	case RuleReadBack:
		c.ruleSwitches.noReadBack = true
	case RuleDigest:
		c.ruleSwitches.noDigest = true
	case RuleAttemptLimit:
		c.ruleSwitches.noAttemptLimit = true
	case RuleDrain:
		c.ruleSwitches.noDrain = true
	case RuleVersionCheck:
		c.ruleSwitches.noVersionCheck = true
	}
}

// ActiveVersion returns the version of the document in force.
func (c *Control) ActiveVersion() uint64 { return c.membership.rollout.active.Version }

// IsLive reports whether the instance has joined.
func (c *Control) IsLive() bool { return c.membership.state == Live }

// HeldEndpoints returns how many endpoints the instance holds.
func (c *Control) HeldEndpoints() int {
	count := 0
	for _, e := range c.holder.endpoints.All() {
		if e.state == held {
			count++
		}
	}
	return count
}
