package standin

import (
	"net/netip"

	"crocusseam/pkg/document"
	"crocusseam/pkg/routing"
)

// spread is how the speeds of a domain's endpoints differ: by a factor of 8.
var endpointSpeeds = []float64{1, 2, 0.5, 4, 1, 2, 0.5, 1, 2, 4, 1, 2}

// Figures of the documents that the stand-in writes.
const (
	endpointConnections = 64
	endpointProcessors  = 64
	endpointMemory      = 256 << 30
	retryBudget         = 10
)

// SpreadConfigs describes endpoints of differing speeds in each domain. The
// first has the given address and the others the ports after it, unless that
// port is 0.
func SpreadConfigs(address netip.AddrPort, domains []string, perDomain, slots int) []EndpointConfig {
	var configs []EndpointConfig
	for _, d := range domains {
		for i := range perDomain {
			at := address
			if address.Port() != 0 {
				at = netip.AddrPortFrom(address.Addr(), address.Port()+uint16(len(configs)))
			}
			configs = append(configs, EndpointConfig{Address: at, Domain: d, Slots: slots, Speed: endpointSpeeds[i%len(endpointSpeeds)]})
		}
	}
	return configs
}

// Document returns a document of an environment with these endpoints. The teams
// have no tokens.
func (a *Endpoints) Document(teams []string) *document.Document {
	d := &document.Document{
		Environment: "booking", Classes: []document.Class{document.DefaultClass()},
		Routing: document.Routing{Policy: routing.EarliestCompletion, RetryBudgetPercent: retryBudget},
	}
	for _, t := range teams {
		d.Teams = append(d.Teams, document.Team{Name: t})
	}
	for _, c := range a.Configs() {
		if len(d.Domains) == 0 || d.Domains[len(d.Domains)-1].Name != c.Domain {
			d.Domains = append(d.Domains, document.Domain{Name: c.Domain, Groups: []document.Group{{
				Name: "workers", Slots: c.Slots, Connections: endpointConnections,
				Processors: endpointProcessors, MemoryBytes: endpointMemory,
			}}})
		}
		group := &d.Domains[len(d.Domains)-1].Groups[0]
		group.Endpoints = append(group.Endpoints, c.Address)
	}
	return d
}
