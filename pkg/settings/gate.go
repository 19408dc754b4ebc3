package settings

import (
	"fmt"
	"net/netip"

	"crocusseam/pkg/document"
)

// Gate holds the settings of a gate, an instance that runs on the users' platform.
// The platform creates the settings file from a template.
type Gate struct {
	// Instance is the name of the instance, unique in the environment.
	Instance string
	// Domain is the failure domain that the instance stands in.
	Domain string
	// Callers, Ready, Peers and Metrics are the addresses to listen at.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Peers   netip.AddrPort
	Metrics netip.AddrPort
	// Advertised is the address at which other instances reach Peers; the same
	// one if it is not set.
	Advertised netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Processor is the share of a processor that the instance may use.
	Processor float64
	// MemoryMB is the most memory that the process may use.
	MemoryMB int
	// Descriptors is the most descriptors that the process may have open; 200 of them are kept for
	// files. 0 means as many as the kernel allows the process. With MemoryMB it limits what callers may use.
	Descriptors int
	// LinkMbps is the rate of the instance's own link, in megabits a second.
	LinkMbps float64
	// Lease is the longest lease of what runs at an endpoint.
	Lease document.Duration
	// ResubmitAfter is the shortest time after which callers whose connection broke, or who got
	// no answer, submit a job again. Runs end before. 0 means 1.3 s.
	ResubmitAfter document.Duration
	// EvacuationBound is the time within which nothing may start any more in a failure domain that
	// the operator evacuates. Above 0, nothing starts after a start of the instance before it knows
	// which domains are evacuated. 0 means that it does not wait for that.
	EvacuationBound document.Duration
	// Grace is the time from the signal to stop until the process is killed.
	Grace document.Duration
	// FarFactor is how many times as long a task takes away from its data.
	FarFactor float64
	// Retention is how long the outcome of a stored job can be asked for.
	Retention document.Duration
	// ColdOver is the factor by which starts at a cold endpoint may exceed the rate of its
	// service. 0 means that their rate is not limited.
	ColdOver float64
	// ColdSlack is the number of starts by which they may exceed it in addition.
	ColdSlack float64
	// OverloadControl admits only jobs that can end in time for their callers and orders waiting
	// work by its urgency.
	OverloadControl bool
	// AdaptivePlacement switches on the placement for uneven demand and unequal endpoints
	// (docs/design/adaptive-placement.md).
	AdaptivePlacement bool
	// Log is the level of the log: debug, info, warn, error.
	Log string
}

// minDescriptors leaves some for connections besides those for files.
const minDescriptors = 300

// Validate checks all settings. It returns *ErrSetting for the first invalid one.
func (s *Gate) Validate() error {
	addresses := []struct {
		name    string
		address netip.AddrPort
	}{{"Callers", s.Callers}, {"Ready", s.Ready}, {"Peers", s.Peers}, {"Metrics", s.Metrics}, {"Store", s.Store}}
	for _, a := range addresses {
		if !a.address.IsValid() {
			return &ErrSetting{a.name, a.address.String(), "an IP address and port"}
		}
	}
	switch {
	case s.Instance == "":
		return &ErrSetting{"Instance", s.Instance, "a name that no other instance has"}
	case s.Domain == "":
		return &ErrSetting{"Domain", s.Domain, "the name of a failure domain"}
	case s.Processor <= 0:
		return &ErrSetting{"Processor", fmt.Sprint(s.Processor), "more than 0"}
	case s.MemoryMB < 1:
		return &ErrSetting{"MemoryMB", fmt.Sprint(s.MemoryMB), "1 or more"}
	case s.Descriptors != 0 && s.Descriptors < minDescriptors:
		return &ErrSetting{"Descriptors", fmt.Sprint(s.Descriptors), fmt.Sprintf("0, or %d or more", minDescriptors)}
	case s.LinkMbps <= 0:
		return &ErrSetting{"LinkMbps", fmt.Sprint(s.LinkMbps), "more than 0"}
	case s.Lease <= 0:
		return &ErrSetting{"Lease", fmt.Sprint(s.Lease), "more than 0"}
	case s.ResubmitAfter != 0 && s.ResubmitAfter < s.Lease*5/4:
		return &ErrSetting{"ResubmitAfter", fmt.Sprint(s.ResubmitAfter), "0, or 1.25 times the Lease or more"}
	case s.EvacuationBound < 0:
		return &ErrSetting{"EvacuationBound", fmt.Sprint(s.EvacuationBound), "0 or more"}
	case s.FarFactor < 1:
		return &ErrSetting{"FarFactor", fmt.Sprint(s.FarFactor), "1 or more"}
	case s.Retention <= 0:
		return &ErrSetting{"Retention", fmt.Sprint(s.Retention), "more than 0"}
	case s.ColdOver < 0:
		return &ErrSetting{"ColdOver", fmt.Sprint(s.ColdOver), "0 or more"}
	case s.ColdSlack < 0:
		return &ErrSetting{"ColdSlack", fmt.Sprint(s.ColdSlack), "0 or more"}
	case s.Grace <= 0:
		return &ErrSetting{"Grace", fmt.Sprint(s.Grace), "more than 0"}
	}
	return nil
}
