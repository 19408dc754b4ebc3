// Package document defines the JSON document with which operators configure an
// environment. It parses and validates documents and lists their differences.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"crocusseam/pkg/routing"
)

// Duration is a time.Duration that JSON holds as a Go duration string.
type Duration time.Duration

// MarshalJSON writes the duration as a string such as "1.5s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON parses a duration string such as "1.5s".
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("a duration is a string such as \"1.5s\", not %s", text)
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"1.5s\"", s)
	}
	*d = Duration(parsed)
	return nil
}

// Document describes one environment.
type Document struct {
	// Environment names the kind of service, the same in trial and production.
	Environment string
	// Domains are the failure domains.
	Domains []Domain
	// Teams may submit jobs.
	Teams []Team
	// Classes are the kinds of service that submissions ask for.
	Classes []Class `json:",omitempty"`
	// Operators are the SHA-256 hashes, in hexadecimal, of operators' tokens.
	Operators []string `json:",omitempty"`
	// Routing decides which endpoint runs which task.
	Routing Routing
}

// Domain is one failure domain.
type Domain struct {
	Name   string
	Groups []Group
}

// Group is a set of endpoints of one kind.
type Group struct {
	Name      string
	Endpoints []netip.AddrPort
	// Slots is how many tasks an endpoint runs at a time.
	Slots int
	// Connections is how many connections an endpoint accepts, from all
	// instances together.
	Connections int
	// Kinds are the kinds of task that the endpoints serve; none means all.
	Kinds        []string `json:",omitempty"`
	Processors   int
	MemoryBytes  int64
	Accelerators int `json:",omitempty"`
}

// Team is a caller's team.
type Team struct {
	Name string
	// TokenHash is the SHA-256 hash, in hexadecimal, of the team's token.
	TokenHash string
	// Quota is how many slots the team may occupy at a time; 0 means no limit.
	Quota int `json:",omitempty"`
	// Weight is the team's share where teams compete; 0 means 1.
	Weight int `json:",omitempty"`
}

// Class is a kind of service.
type Class struct {
	Name string
	// Priority orders classes; the higher goes first.
	Priority int
	// MaxQueueWait is the expected wait above which new jobs are refused.
	MaxQueueWait Duration
	// MaxAttempts bounds the attempts at a Repeatable task.
	MaxAttempts int
	// Objective is the response time that jobs of this class should meet.
	Objective Duration
	// ObjectivePercent is the share of jobs, in percent, that should meet it.
	ObjectivePercent float64
	// UnclaimedService lets Repeatable jobs with a home domain start without a
	// claim while the platform is away.
	UnclaimedService bool `json:",omitempty"`
	// Hedge starts a second attempt at a Repeatable task that takes long.
	Hedge Hedge
}

// Hedge is the policy of second attempts.
type Hedge struct {
	Enabled bool
	// After is the multiple of the expected run time after which the second
	// attempt starts.
	After float64
	// BudgetPercent bounds second attempts to a share of all starts.
	BudgetPercent float64
}

// Routing holds the routing policy.
type Routing struct {
	Policy routing.PolicyName
	// RetryBudgetPercent bounds further attempts to a share of first ones.
	RetryBudgetPercent float64
}

// DefaultClass returns the class that applies to a submission without a class,
// unless the document itself defines a class with the name "Default".
func DefaultClass() Class {
	return Class{
		Name: "Default", MaxQueueWait: Duration(10 * time.Second), MaxAttempts: 3,
		Objective: Duration(2 * time.Second), ObjectivePercent: 99,
	}
}

// Digest returns the SHA-256 hash of a document's bytes, in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// TokenHash returns the hash that a document lists in place of a token.
func TokenHash(token string) string { return Digest([]byte(token)) }
