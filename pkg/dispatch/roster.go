package dispatch

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"crocusseam/pkg/slots"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
)

// InstanceState is the state of an instance in its row.
type InstanceState string

// States of an instance. A joining instance holds no endpoints yet.
const (
	Joining InstanceState = "Joining"
	Live    InstanceState = "Live"
	Leaving InstanceState = "Leaving"
)

// Keys of the control rows. One scan of ControlPrefix reads all of them.
const (
	ControlPrefix  = "control/"
	InstancePrefix = ControlPrefix + "instance/"
	DrainPrefix    = ControlPrefix + "drain/"
	RolloutKey     = ControlPrefix + "rollout"
	scanLimit      = 2000
)

// ScanLimit is how many control rows one scan returns at most.
const ScanLimit = scanLimit

// InstanceRow is the heartbeat row of an instance.
type InstanceRow struct {
	Instance    string
	Incarnation uint64
	Domain      string
	Peers       netip.AddrPort
	Callers     netip.AddrPort
	Capacity    int
	State       InstanceState
	Sequence    uint64
	// ActiveVersion is the version of the document that the instance serves.
	ActiveVersion uint64
	// StagedVersion is the version that the instance has checked and is ready
	// to serve, StagedFault why it cannot.
	StagedVersion uint64 `json:",omitempty"`
	StagedFault   string `json:",omitempty"`
}

// member is another instance as this one sees it.
type member struct {
	row         InstanceRow
	lastSeen    time.Time // when a scan last showed a new sequence
	departing   bool      // said goodbye or shows Leaving
	absent      bool      // its row was deleted
	rowVersion  storage.Version
	plannedStop bool // it stops in plan, for good
}

// link is the session with a peer.
type session struct {
	up              bool
	lostSince       time.Time
	leaving         bool
	distrustedUntil time.Time
}

// roster is what this instance knows of the others.
type membership struct {
	members          *table.Table[string, *member]
	sessions         *table.Table[PeerID, *session]
	relayed          *table.Table[uint64, relayedCommit]
	startedAt        time.Time
	state            InstanceState
	sequence         uint64
	nextHeartbeat    time.Time
	heartbeatID      uint64 // commit in flight
	heartbeatSent    time.Time
	rowWritten       bool // the row has been written in this incarnation
	scanID           uint64
	scanSent         time.Time
	lastScan         time.Time
	scanCount        int
	nextList         time.Time
	leavingEndpoints map[netip.AddrPort]bool // leaving endpoints
	drainMarks       map[string]bool
	drained          bool // an operator drains this instance
	assignedHolders  map[netip.AddrPort]string
	connectedPeers   string
	rollout          rolloutState
}

func newMembership() membership {
	return membership{
		members:          table.New[string, *member](),
		sessions:         table.New[PeerID, *session](),
		relayed:          table.New[uint64, relayedCommit](),
		state:            Joining,
		leavingEndpoints: make(map[netip.AddrPort]bool),
		drainMarks:       make(map[string]bool),
	}
}

// platformTimeout bounds the roster's own calls.
const platformTimeout = 3 * time.Second

// runRoster renews the instance's row, reads the others', and keeps the
// division of endpoints up to date.
func (c *Control) runMembership() {
	r := &c.membership
	if r.startedAt.IsZero() {
		r.startedAt = c.now
	}
	if c.now.Before(r.nextHeartbeat) {
		return
	}
	r.nextHeartbeat = c.now.Add(c.config.Timing.Heartbeat - c.jitter(c.config.Timing.Heartbeat/5))
	if c.stop == stopped {
		return
	}
	if r.heartbeatID == 0 || c.now.Sub(r.heartbeatSent) > platformTimeout {
		c.sendHeartbeat()
	}
	if r.scanID == 0 || c.now.Sub(r.scanSent) > platformTimeout {
		c.claims.lastID++
		r.scanID, r.scanSent = c.claims.lastID, c.now
		c.emit(Scan{ID: r.scanID, Prefix: ControlPrefix})
	}
	if !c.now.Before(r.nextList) {
		r.nextList = c.now.Add(c.config.Timing.ListPeriod)
		c.emit(List{})
	}
}

func (c *Control) sendHeartbeat() {
	r := &c.membership
	r.sequence++
	state := r.state
	if !c.serving() {
		state = Leaving
	}
	row := InstanceRow{
		Instance: c.self.Instance, Incarnation: c.self.Incarnation, Domain: c.config.Domain,
		Peers: c.config.Address, Callers: c.config.Callers, Capacity: c.config.Capacity,
		State: state, Sequence: r.sequence, ActiveVersion: r.rollout.active.Version,
	}
	if s := r.rollout.staged; s != nil {
		row.StagedVersion, row.StagedFault = s.revision.Version, s.fault
		if s.document == nil && s.fault == "" {
			row.StagedVersion = 0
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic("an instance row cannot be encoded: " + err.Error())
	}
	c.claims.lastID++
	r.heartbeatID, r.heartbeatSent = c.claims.lastID, c.now
	c.emit(Commit{ID: r.heartbeatID, Writes: []storage.Write{{
		Key: InstancePrefix + c.self.Instance, Value: value, Expect: storage.AnyVersion,
	}}})
}

func (c *Control) membershipCommitDone(m CommitDone) bool {
	if c.rolloutCommitDone(m) {
		return true
	}
	if m.ID != c.membership.heartbeatID {
		return false
	}
	c.membership.heartbeatID = 0
	c.recordPlatformResult(m.Err)
	if m.Err == nil {
		c.membership.rowWritten = true
	}
	return true
}

func (c *Control) scanDone(m ScanDone) {
	r := &c.membership
	if m.ID != r.scanID {
		return
	}
	r.scanID = 0
	c.recordPlatformResult(m.Err)
	if m.Err != nil {
		c.counters.FailedScans++
		return
	}
	if c.now.Sub(r.lastScan) > 2*c.config.Timing.Heartbeat {
		c.resetLastSeen()
	}
	r.lastScan = c.now
	r.drainMarks = make(map[string]bool)
	present := make(map[string]bool)
	for i := range m.Rows {
		c.readControlRow(&m.Rows[i], present)
	}
	for id, other := range r.members.All() {
		other.absent = !present[id]
	}
	if r.rowWritten {
		r.scanCount++
		if r.state == Joining {
			r.state = Live
			r.nextHeartbeat = c.now
		}
	}
	c.applyDrainMark()
	c.removeDeadRows()
	c.runRollout()
	c.reassignEndpoints()
	c.connectPeers()
}

// serving reports whether the instance takes new work.
func (c *Control) serving() bool { return c.stop == running && !c.membership.drained }

// followDrain obeys an operator's mark on this instance.
func (c *Control) applyDrainMark() {
	r := &c.membership
	drained := r.drainMarks[c.self.Instance]
	if drained == r.drained {
		return
	}
	r.drained = drained
	r.nextHeartbeat = c.now
	c.holder.wholeReportDue = c.now
}

// deadRowTerms is after how many terms of silence an instance's row is removed.
const deadRowTimeouts = 20

// removeDeadRows deletes the rows of instances that have long been dead, one a
// scan. The instance with the lowest name does it.
func (c *Control) removeDeadRows() {
	if c.rank() > 0 {
		return
	}
	for id, m := range c.membership.members.All() {
		if m.absent || c.membership.lastScan.Sub(m.lastSeen) < deadRowTimeouts*c.config.Timing.MemberTimeout {
			continue
		}
		c.claims.lastID++
		c.emit(Commit{ID: c.claims.lastID, Writes: []storage.Write{{Key: InstancePrefix + id, Expect: m.rowVersion, Delete: true}}})
		return
	}
}

// forgiveSilence starts the terms of all instances anew after this one could
// not read the table for a while: their silence may have been its own.
func (c *Control) resetLastSeen() {
	for _, m := range c.membership.members.All() {
		m.lastSeen = c.now
	}
}

func (c *Control) membershipAfterPause() {
	c.resetLastSeen()
	c.membership.lastScan = time.Time{}
}

func (c *Control) readControlRow(row *storage.Row, present map[string]bool) {
	switch {
	case row.Key == RolloutKey:
		c.readRollout(row)
	case strings.HasPrefix(row.Key, DrainPrefix):
		c.membership.drainMarks[strings.TrimPrefix(row.Key, DrainPrefix)] = true
	case strings.HasPrefix(row.Key, InstancePrefix):
		var other InstanceRow
		if err := json.Unmarshal(row.Value, &other); err != nil || InstancePrefix+other.Instance != row.Key {
			c.counters.BadRows++
			return
		}
		present[other.Instance] = true
		c.readInstance(other, row.Version)
	}
}

func (c *Control) readInstance(row InstanceRow, version storage.Version) {
	if row.Instance == c.self.Instance {
		return
	}
	m, ok := c.membership.members.Get(row.Instance)
	if !ok || m.row.Incarnation != row.Incarnation {
		m = &member{lastSeen: c.now}
		c.membership.members.Put(row.Instance, m)
	}
	if row.Sequence != m.row.Sequence {
		m.lastSeen = c.now
	}
	m.row = row
	m.rowVersion = version
	m.departing = m.plannedStop || row.State == Leaving
}

// alive reports whether an instance has renewed its row within the term. While
// the table cannot be read nobody dies: the last view stands.
func (c *Control) alive(m *member) bool {
	return !m.absent && c.membership.lastScan.Sub(m.lastSeen) < c.config.Timing.MemberTimeout
}

// isDead reports whether an incarnation is gone for good or has not renewed its
// row for a term.
func (c *Control) isDead(id PeerID) bool {
	if id == c.self {
		return false
	}
	if id.Instance == c.self.Instance {
		return id.Incarnation < c.self.Incarnation
	}
	m, ok := c.membership.members.Get(id.Instance)
	if !ok {
		return c.membership.scanCount > 0
	}
	if m.row.Incarnation != id.Incarnation {
		return m.row.Incarnation > id.Incarnation
	}
	return !c.alive(m)
}

func (c *Control) sessionUp(id PeerID) bool {
	l, ok := c.membership.sessions.Get(id)
	return ok && l.up
}

func (c *Control) domainOf(id PeerID) string {
	if id.Instance == c.self.Instance {
		return c.config.Domain
	}
	if m, ok := c.membership.members.Get(id.Instance); ok {
		return m.row.Domain
	}
	return ""
}

// siblings are the live instances of this domain whose grant is needed before
// an endpoint is held: also those that leave, until their rows have lapsed.
func (c *Control) siblings() []PeerID {
	var list []PeerID
	for _, m := range c.membership.members.All() {
		if m.row.Domain == c.config.Domain && c.alive(m) {
			list = append(list, PeerID{Instance: m.row.Instance, Incarnation: m.row.Incarnation})
		}
	}
	return list
}

// redivide computes who should hold which endpoint of this domain, and asks for
// those that this instance should hold and does not.
func (c *Control) reassignEndpoints() {
	r := &c.membership
	if r.state == Joining || c.document == nil {
		return
	}
	var members []slots.Member
	if c.serving() {
		members = append(members, slots.Member{Instance: c.self.Instance, Capacity: c.config.Capacity})
	}
	for _, m := range r.members.All() {
		if m.row.Domain == c.config.Domain && c.alive(m) && !m.departing && m.row.State == Live {
			members = append(members, slots.Member{Instance: m.row.Instance, Capacity: m.row.Capacity})
		}
	}
	r.assignedHolders = c.assignEndpoints(members)
	for a, e := range c.holder.endpoints.All() {
		e.leaving = r.leavingEndpoints[a] || r.drainMarks[a.String()]
		if r.assignedHolders[a] == c.self.Instance && e.state == notHeld {
			e.formerHolderRuns = 0
			c.requestHold(e)
		}
	}
}

// divide divides each group of endpoints on its own, so that every instance
// gets its share of every kind.
func (c *Control) assignEndpoints(members []slots.Member) map[netip.AddrPort]string {
	all := make(map[netip.AddrPort]string)
	for i := range c.document.Domains {
		d := &c.document.Domains[i]
		if d.Name != c.config.Domain {
			continue
		}
		for _, g := range d.Groups {
			for a, holder := range slots.Assign(g.Endpoints, members) {
				all[a] = holder
			}
		}
	}
	return all
}

func (c *Control) assignedHolder(a netip.AddrPort) PeerID {
	holder := c.membership.assignedHolders[a]
	if holder == c.self.Instance {
		return c.self
	}
	if m, ok := c.membership.members.Get(holder); ok {
		return PeerID{Instance: holder, Incarnation: m.row.Incarnation}
	}
	return PeerID{}
}

func (c *Control) listDone(m ListDone) {
	if m.Err != nil {
		return
	}
	listed := make(map[netip.AddrPort]bool)
	for _, i := range m.Instances {
		if i.Leaving {
			listed[i.Address] = true
		}
	}
	c.membership.leavingEndpoints = listed
	for a, e := range c.holder.endpoints.All() {
		e.leaving = listed[a] || c.membership.drainMarks[a.String()]
	}
}

// connectPeers names the peers to keep sessions with, when they have changed.
func (c *Control) connectPeers() {
	var peers []Peer
	var names strings.Builder
	for _, m := range c.membership.members.All() {
		if !c.alive(m) {
			continue
		}
		id := PeerID{Instance: m.row.Instance, Incarnation: m.row.Incarnation}
		peers = append(peers, Peer{ID: id, Domain: m.row.Domain, Address: m.row.Peers})
		names.WriteString(id.String() + " " + m.row.Peers.String() + ";")
	}
	if names.String() == c.membership.connectedPeers {
		return
	}
	c.membership.connectedPeers = names.String()
	c.emit(Connect{Peers: peers})
}

func (c *Control) peerUp(id PeerID) {
	l, ok := c.membership.sessions.Get(id)
	if !ok {
		l = &session{}
		c.membership.sessions.Put(id, l)
	}
	l.up = true
	l.lostSince = time.Time{}
	if c.holder.wholeReportLead == id {
		c.holder.wholeReportLead = PeerID{}
	}
	c.resendPlacements(id)
	c.resendResults(id)
	c.reannounceTo(id)
	if c.stop != running {
		c.send(id, &Goodbye{})
	}
}

// reannounceTo tells a lead again what waits, after a new session with it.
func (c *Control) reannounceTo(id PeerID) {
	if c.home.leadID != id {
		return
	}
	for j := range c.jobsWithWaitingTasks().All() {
		c.announce(j)
	}
}

func (c *Control) peerDown(id PeerID) {
	l, ok := c.membership.sessions.Get(id)
	if !ok || !l.up {
		return
	}
	l.up = false
	l.lostSince = c.now
	c.leadPeerDown(id)
	c.retryRelayed()
	c.chooseLead()
}

// heardFrom notes a sign of life of the lead. Every message is one.
func (c *Control) markLeadSeen(id PeerID) {
	if id == c.home.leadID {
		c.home.leadLastSeen = c.now
	}
}

func (c *Control) handleGoodbye(id PeerID) {
	if l, ok := c.membership.sessions.Get(id); ok {
		l.leaving = true
	}
	if m, ok := c.membership.members.Get(id.Instance); ok && m.row.Incarnation == id.Incarnation {
		m.plannedStop = true
		m.departing = true
	}
	c.reassignEndpoints()
}
