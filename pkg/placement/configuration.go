package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

// configuration is the operator's configuration as this instance uses it, and how it gets a
// later one that its peers use.
//
// Every instance reads the configuration from the store. Heartbeats announce the version in
// use. An instance that is still behind a peer when the store has had the time to answer
// requests the document from one peer at a time, in parts, and asks for the next part when one
// has arrived. So a document crosses an instance's link once, whatever the number of its peers,
// and no other message waits behind more than one part of it.
type configuration struct {
	inUse *workload.Configuration
	raw   []byte // its document

	announced      uint64    // latest version that a peer has announced
	announcedBytes int       // size of its document
	behindSince    time.Time // when a peer first announced a later version than this instance uses; zero if none has
	fetch          *configurationFetch
	served         map[instance.ID]time.Time // peers that request parts here -> their last request
}

// configurationFetch is a document that this instance requests from its peers. What one peer
// has sent is kept when another one continues.
type configurationFetch struct {
	version uint64
	size    int
	data    []byte
	from    instance.ID // the peer asked; zero if none is
	due     time.Time   // of the peer's answer, or of the next attempt if no peer is asked
	tried   map[instance.ID]bool
}

const (
	// storeConfigurationWait is how long a starting instance waits for the configuration
	// in the store before it accepts a peer's, which may be older than the one that the
	// instance used before its restart.
	storeConfigurationWait = 800 * time.Millisecond
	// storeAnswerWait is how long the store has for its answer, beside the transfer, until
	// peers are asked for a configuration.
	storeAnswerWait = 400 * time.Millisecond
	// storeTransferFactor is the multiple of a document's own transfer time that its
	// transfer from the store may take: rows are encoded, and other traffic shares the link.
	storeTransferFactor = 3

	partTime          = 10 * time.Millisecond // on the slower of the two links, for one part
	minPartBytes      = 4 << 10
	maxPartBytes      = 64 << 10
	partAnswerTimeout = 500 * time.Millisecond // for a part, until another peer is asked
	fetchRetry        = 100 * time.Millisecond // until all peers are asked again
	maxServed         = 4                      // peers that get parts here at the same time
	servedIdle        = 300 * time.Millisecond // since its last request, until a peer is not being served any more
	maxDocumentBytes  = 64 << 20
)

func newConfiguration() configuration {
	return configuration{served: make(map[instance.ID]time.Time)}
}

func (c *Control) configurationVersion() uint64 {
	if c.configuration.inUse == nil {
		return 0
	}
	return c.configuration.inUse.Version
}

// handleConfigured starts to use a configuration unless it already uses the same or
// a later version.
func (c *Control) handleConfigured(m Configured) {
	if c.configuration.inUse != nil && m.Configuration.Version <= c.configuration.inUse.Version {
		return
	}
	k := &c.configuration
	k.inUse, k.raw = m.Configuration, m.Raw
	c.logEvent("configuration in force", zap.Uint64("Version", m.Configuration.Version), zap.Int("Routes", len(m.Configuration.Routes)))
	k.behindSince = time.Time{}
	if k.announced > m.Configuration.Version {
		k.behindSince = c.now
	}
	if k.fetch != nil && k.fetch.version <= m.Configuration.Version {
		k.fetch = nil
	}
}

// noteAnnounced notes the version that a peer uses.
func (c *Control) noteAnnounced(b *Heartbeat) {
	k := &c.configuration
	if b.Configuration > k.announced {
		k.announced, k.announcedBytes = b.Configuration, b.ConfigurationBytes
	}
	if k.announced > c.configurationVersion() && k.behindSince.IsZero() {
		k.behindSince = c.now
	}
}

// runConfiguration requests a configuration from a peer when the store has not brought it in
// time, and asks another peer when one does not answer.
func (c *Control) runConfiguration() {
	k := &c.configuration
	if k.behindSince.IsZero() || c.now.Sub(k.behindSince) < c.storeWait(k.announcedBytes) || c.awaitsStoredConfiguration() {
		return
	}
	f := k.fetch
	if f == nil {
		f = &configurationFetch{version: k.announced, tried: make(map[instance.ID]bool)}
		k.fetch = f
	}
	if c.now.Before(f.due) {
		return
	}
	if f.from != (instance.ID{}) {
		c.logEvent("configuration not sent in time", zap.Stringer("Peer", f.from), zap.Uint64("Version", f.version), zap.Int("Offset", len(f.data)))
		f.tried[f.from] = true
	}
	c.requestConfiguration(f)
}

// awaitsStoredConfiguration reports whether this instance has just started and leaves the
// configurations of its peers.
func (c *Control) awaitsStoredConfiguration() bool {
	return c.configuration.inUse == nil && c.now.Sub(c.began) < storeConfigurationWait
}

// storeWait returns the time that the store has to bring a document of some size.
func (c *Control) storeWait(bytes int) time.Duration {
	return storeAnswerWait + storeTransferFactor*c.uplink.timeFor(bytes)
}

// requestConfiguration asks the next peer for the rest of a document. When all have been
// tried, it begins anew after a pause.
func (c *Control) requestConfiguration(f *configurationFetch) {
	m := c.nextSource(f)
	if m == nil {
		clear(f.tried)
		f.from, f.due = instance.ID{}, c.now.Add(fetchRetry)
		return
	}
	c.logEvent("configuration requested", zap.Stringer("Peer", m.id), zap.Uint64("Version", f.version), zap.Int("Offset", len(f.data)), zap.Duration("Behind", c.now.Sub(c.configuration.behindSince)))
	f.from = m.id
	c.requestPart(f)
}

func (c *Control) requestPart(f *configurationFetch) {
	limit := c.partBytes()
	f.due = c.now.Add(partAnswerTimeout + c.uplink.timeFor(limit))
	c.send(f.from, &ConfigurationRequest{Version: f.version, Offset: len(f.data), Limit: limit})
}

// partBytes returns the size of a part that occupies this instance's link for partTime.
func (c *Control) partBytes() int {
	if c.config.LinkRate <= 0 {
		return maxPartBytes
	}
	return max(minPartBytes, min(int(c.config.LinkRate*partTime.Seconds()), maxPartBytes))
}

// nextSource returns a peer that uses the version or a later one and was not tried, or nil.
// It prefers the own failure domain, and chooses at random so that the load is spread.
func (c *Control) nextSource(f *configurationFetch) *member {
	var near, far []*member
	for _, m := range c.membership.members.All() {
		switch {
		case !m.hasSession || !m.suspectedSince.IsZero() || f.tried[m.id] || m.heartbeat.Configuration < f.version || m.heartbeat.ConfigurationBytes == 0:
		case m.row.Domain == c.config.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) > 0 {
		return near[c.random.IntN(len(near))]
	}
	if len(far) > 0 {
		return far[c.random.IntN(len(far))]
	}
	return nil
}

// handleConfigurationRequest sends a peer a part of the document in use. It refuses with an
// empty part while it serves maxServed other peers.
func (c *Control) handleConfigurationRequest(from instance.ID, m *ConfigurationRequest) {
	k := &c.configuration
	offset := m.Offset
	if m.Version != c.configurationVersion() {
		offset = 0
	}
	if m.Version > c.configurationVersion() || offset < 0 || offset >= len(k.raw) {
		c.logEvent("configuration request ignored", zap.Stringer("Peer", from), zap.Uint64("Version", m.Version), zap.Int("Offset", m.Offset))
		return
	}
	part := &ConfigurationPart{Version: c.configurationVersion(), Offset: offset, Size: len(k.raw)}
	if c.admitsFetch(from) {
		limit := max(minPartBytes, min(m.Limit, c.partBytes()))
		part.Data = k.raw[offset:min(offset+limit, len(k.raw))]
	}
	c.uplink.enqueue(c.now, len(part.Data))
	c.send(from, part)
}

// admitsFetch reports whether a peer may have parts of the document now.
func (c *Control) admitsFetch(from instance.ID) bool {
	served := c.configuration.served
	for id, at := range served {
		if c.now.Sub(at) >= servedIdle {
			delete(served, id)
		}
	}
	if _, ok := served[from]; !ok && len(served) >= maxServed {
		return false
	}
	served[from] = c.now
	return true
}

// handleConfigurationPart adds a part to the document that this instance fetches. The sender
// may use a later version by now; then the fetch begins anew with that version. An instance
// of an earlier release sends a whole document without a size, unasked.
func (c *Control) handleConfigurationPart(from instance.ID, m *ConfigurationPart) {
	if m.Version <= c.configurationVersion() {
		return
	}
	if m.Size == 0 {
		if c.awaitsStoredConfiguration() {
			c.logEvent("configuration of a peer left", zap.Stringer("Peer", from), zap.Uint64("Version", m.Version))
			return
		}
		c.emit(OfferConfiguration{From: from, Version: m.Version, Raw: m.Data})
		return
	}
	f := c.configuration.fetch
	if f == nil || f.from != from {
		return
	}
	if m.Version > f.version {
		f.version, f.data = m.Version, nil
	}
	if len(f.data) == 0 {
		f.size = m.Size
	}
	valid := m.Version == f.version && m.Offset == len(f.data) && m.Size == f.size && m.Size <= maxDocumentBytes && len(f.data)+len(m.Data) <= f.size
	if len(m.Data) == 0 || !valid {
		c.logEvent("configuration not sent", zap.Stringer("Peer", from), zap.Uint64("Version", m.Version), zap.Int("Offset", m.Offset), zap.Int("Size", m.Size), zap.Bool("Valid", valid))
		f.tried[from] = true
		c.requestConfiguration(f)
		return
	}
	f.data = append(f.data, m.Data...)
	if len(f.data) < f.size {
		c.requestPart(f)
		return
	}
	c.configuration.fetch, c.configuration.behindSince = nil, c.now
	c.logEvent("configuration fetched", zap.Stringer("Peer", from), zap.Uint64("Version", f.version), zap.Int("Bytes", f.size))
	c.emit(OfferConfiguration{From: from, Version: f.version, Raw: f.data})
}
