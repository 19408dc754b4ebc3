// Package instance identifies instances, the processes that make up the system.
package instance

import (
	"net/netip"
	"strconv"
)

// ID identifies one incarnation of an instance.
type ID struct {
	Instance    string
	Incarnation uint64
}

// String returns the name and the incarnation, such as "east-1.7".
func (id ID) String() string { return id.Instance + "." + strconv.FormatUint(id.Incarnation, 10) }

// Peer is an instance with its failure domain and the address where other instances
// reach it.
type Peer struct {
	ID      ID
	Domain  string
	Address netip.AddrPort
}
