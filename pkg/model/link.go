package model

import (
	"time"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// writeDeadline is how long a session may take to write a message. A session with a
// message that takes longer ends, as in package peer.
const writeDeadline = time.Second

// storedOverhead is the factor by which a row grows on the wire, as its value is in
// base64.
const storedOverhead = 4.0 / 3

// link is one direction of a location's network connection. It sends what is queued in
// order.
type link struct {
	rate   float64 // bytes a second; 0 is unlimited
	freeAt time.Time
}

// pass queues bytes that reach the link at some time and returns when the last of them
// has passed.
func (l *link) pass(at time.Time, bytes int) time.Time {
	if l.rate <= 0 {
		return at
	}
	if l.freeAt.After(at) {
		at = l.freeAt
	}
	l.freeAt = at.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return l.freeAt
}

// transfer returns the time from now until a message has passed the links of both
// instances, without the latency of the network.
func (w *World) transfer(from, to *Node, e placement.Envelope) time.Duration {
	if w.Config.MessageSize == nil || (from.up.rate <= 0 && to.down.rate <= 0) {
		return 0
	}
	bytes := w.Config.MessageSize(e)
	return to.down.pass(from.up.pass(w.Now, bytes), bytes).Sub(w.Now)
}

// operatorRow is the operator's configuration as the store holds it.
type operatorRow struct {
	configuration *workload.Configuration
	raw           []byte
}

// Configure writes a configuration of the operator to the store. raw stands for its
// encoded form.
func (w *World) Configure(c *workload.Configuration, raw []byte) {
	w.Store.operator = append(w.Store.operator, operatorRow{c, raw})
	for _, n := range w.Nodes {
		n.followConfiguration()
	}
}

// followConfiguration delivers the newest configuration as the feed does: at once, when the
// store can be reached, and after feedRetry otherwise. An instance with a silent feed gets
// nothing.
func (n *Node) followConfiguration() {
	rows := n.world.Store.operator
	if n.FeedSilent || len(rows) == 0 {
		return
	}
	newest := rows[len(rows)-1]
	if !n.world.Store.serves(n) {
		n.later(feedRetry, n.followConfiguration)
		return
	}
	arrival := n.down.pass(n.world.Now, int(float64(len(newest.raw))*storedOverhead)).Sub(n.world.Now)
	n.later(2*n.world.Config.ToStore+arrival, func() { n.configured(newest) })
}

func (n *Node) configured(row operatorRow) {
	if row.configuration.Version <= n.ConfigurationVersion() {
		return
	}
	n.ConfiguredAt[row.configuration.Version] = n.world.Now
	n.deliver(placement.Configured{Configuration: row.configuration, Raw: row.raw})
}

// ConfigurationVersion returns the version of the configuration that the instance uses.
func (n *Node) ConfigurationVersion() uint64 { return n.Control.Overview().Version }

// offered applies a configuration that a peer has sent.
func (n *Node) offered(m placement.OfferConfiguration) {
	for _, row := range n.world.Store.operator {
		if row.configuration.Version == m.Version {
			n.configured(row)
		}
	}
}
