// Package instance names the instances of the system.
package instance

import (
	"fmt"
	"net/netip"
)

// ID names an instance in one incarnation.
type ID struct {
	Instance    string
	Incarnation uint64
}

// String returns the name and the incarnation.
func (id ID) String() string { return fmt.Sprintf("%s.%d", id.Instance, id.Incarnation) }

// Peer is an instance and where its peers reach it.
type Peer struct {
	ID      ID
	Domain  string
	Address netip.AddrPort
}
