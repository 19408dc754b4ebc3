package placement

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/hold"
	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
)

// MemberPrefix is where the rows of the instances stand.
const MemberPrefix = "members/"

// MemberRow is the row of an instance. While all links are well nobody renews
// it; an instance that misses another renews its own, so that two that are cut
// off from each other see by their rows that both are alive.
type MemberRow struct {
	Instance    string
	Incarnation uint64
	Domain      string
	Peers       netip.AddrPort
	Share       int
	Sequence    uint64
	// Speeds are those learned of the endpoints held, so that they outlive the
	// instance.
	Speeds map[string]float64 `json:",omitempty"`
	// Stored says that the instance was handed stored jobs, now or before.
	Stored bool `json:",omitempty"`
}

// DecodeMember decodes the row of an instance.
func DecodeMember(row *storage.Row) (MemberRow, error) {
	var m MemberRow
	if err := json.Unmarshal(row.Value, &m); err != nil {
		return m, fmt.Errorf("row %q of a member: %w", row.Key, err)
	}
	if MemberPrefix+m.Instance != row.Key {
		return m, fmt.Errorf("row %q of a member names instance %q", row.Key, m.Instance)
	}
	return m, nil
}

// member is another instance as this one sees it.
type member struct {
	id                  instance.ID
	row                 MemberRow
	listed              bool // its row has been read
	hasSession          bool // there is a session with it
	lastSeenAt          time.Time
	peerSent            time.Duration // Sent of the last message from it
	echoedAt            time.Time     // when the last message was sent that it has certainly received
	lastRunAt           time.Time     // when a run was last with it, or here for it
	fullRateSince       time.Time     // since when it is watched closely
	suspectedSince      time.Time     // since when it has been silent; zero while it is heard
	rowChangedAt        time.Time     // when a read last showed a new sequence
	dead                bool
	heartbeat           Heartbeat
	heartbeatAt         time.Time
	configurationSent   uint64 // last configuration version passed on to it
	configurationSentAt time.Time
	dropSessionAt       time.Time // when a silent session is to be dropped
	sentAt              time.Time // when a message was last sent to it
	heartbeatSent       Heartbeat // as last sent to it
	advert              *Advert
	advertAt            time.Time
	advertSentAt        time.Time // when an advert was last sent to it
	advertSentVersion   uint64    // of that advert
	// listSequence is of the list of endpoints last sent to it.
	listSentSequence     uint64
	capacitySentSequence uint64 // sequence of the rooms last advertised to it
	sequence             uint64 // of the last Place sent to it
	pending              []pendingTask
	advertisedCapacity   *table.Copy[string, FreeCapacity] // the rooms as advertised
	freeCapacity         []FreeCapacity                    // of the advert, less what was placed since
	backlog              float64                           // placed since beyond the rooms, in core time
	requestReceived      uint64                            // last Place received from it
}

// roster is what this instance knows of the others.
type membership struct {
	members         *table.Table[string, *member]
	row             MemberRow
	rowWritten      bool
	speeds          map[string]float64 // as read from the members' rows
	speedsDue       time.Time
	writingRow      bool
	nextWrite       time.Time
	scanning        bool
	nextScan        time.Time
	scannedAt       time.Time // last successful read
	nextHeartbeat   time.Time
	nextMemberCheck time.Time
	settled         bool
	connectedPeers  string
	changed         bool // members or their states have changed since the book was told
	// storedKnown says that the written row tells the others of stored jobs.
	storedAnnounced bool
}

func newMembership() membership {
	return membership{members: table.New[string, *member](), speeds: make(map[string]float64)}
}

// Figures of the own row.
const (
	writeRetry          = 300 * time.Millisecond // after a failed write
	scanPerMember       = 100 * time.Millisecond // makes the scans of all together no more frequent
	memberCheckPeriod   = 10 * time.Millisecond  // between looks at who is silent
	heartbeatRefresh    = time.Second            // between beats to a peer that other messages reach
	speedsPeriod        = 5 * time.Second        // between writes of what was learned
	speedPrecision      = 100
	fullRateDuration    = 2 * time.Second // after the last run, that a member is watched closely
	slowHeartbeatFactor = 3               // keeps the age of an echo below its term
)

func (c *Control) runMembership() {
	c.checkMembers()
	c.writeOwnRow()
	c.scanMembers()
	c.settle()
	if !c.now.Before(c.membership.nextHeartbeat) {
		c.membership.nextHeartbeat = c.now.Add(c.config.Timing.HeartbeatInterval)
		c.sendHeartbeats()
	}
	if c.membership.changed {
		c.membership.changed = false
		c.holder.registry.SetMembers(c.registryMembers())
		c.connectPeers()
	}
}

func (c *Control) sendHeartbeats() {
	waiting := c.ownWaiting()
	for _, m := range c.membership.members.All() {
		if !m.hasSession {
			continue
		}
		b := c.heartbeatTo(m, waiting)
		if c.now.Sub(m.sentAt) < c.heartbeatFactor(m)*c.config.Timing.HeartbeatInterval && !b.differsFrom(&m.heartbeatSent) {
			continue
		}
		c.sendHeartbeat(m, b)
	}
}

func (c *Control) sendHeartbeat(m *member, b *Heartbeat) {
	m.heartbeatSent = *b
	c.send(m.id, b)
}

// saysMoreThan reports whether a beat tells a peer more than that the sender
// lives, which any message tells, and how long it has been up.
func (b *Heartbeat) differsFrom(told *Heartbeat) bool {
	return b.Leaving != told.Leaving || b.Configuration != told.Configuration || b.ReceiverSuspected != told.ReceiverSuspected ||
		!maps.Equal(b.Waiting, told.Waiting) || b.Uptime-told.Uptime >= heartbeatRefresh
}

func (c *Control) heartbeatTo(m *member, waiting map[string]int) *Heartbeat {
	return &Heartbeat{
		Leaving: c.stop != serving, Configuration: c.configurationVersion(), Uptime: c.now.Sub(c.began),
		ReceiverSuspected: !m.suspectedSince.IsZero(), Waiting: waiting,
	}
}

// slack is how many times as long as usual the beats of a member may be apart. An
// instance watches closely those of its domain and those that work for it or for
// which it works; among many others a beat now and then is enough.
func (c *Control) heartbeatFactor(m *member) time.Duration {
	if c.membership.members.Len() <= fewPeers || m.row.Domain == c.config.Domain || c.now.Sub(m.lastRunAt) < fullRateDuration || c.storedExist() {
		return 1
	}
	return slowHeartbeatFactor
}

// use notes that a run is with a member, or here for it, and watches it closely
// from now on. It is told so at once if it may not have heard for a while that it
// is heard.
func (c *Control) noteRunWith(id instance.ID) {
	m, ok := c.membership.members.Get(id.Instance)
	if !ok || m.id != id {
		return
	}
	if c.now.Sub(m.lastRunAt) >= fullRateDuration {
		m.fullRateSince = c.now
		if m.hasSession && c.now.Sub(m.sentAt) >= c.config.Timing.HeartbeatInterval {
			c.sendHeartbeat(m, c.heartbeatTo(m, c.ownWaiting()))
		}
	}
	m.lastRunAt = c.now
}

// suspects reports whether some member is silent and not known to be dead.
func (c *Control) anySuspected() bool {
	for _, m := range c.membership.members.All() {
		if !m.dead && !m.suspectedSince.IsZero() {
			return true
		}
	}
	return false
}

// watchMembers suspects members that are silent and declares those dead whose
// rows stand still as well. While rows cannot be read nobody dies.
func (c *Control) checkMembers() {
	t := c.config.Timing
	if c.now.Before(c.membership.nextMemberCheck) {
		return
	}
	c.membership.nextMemberCheck = c.now.Add(memberCheckPeriod)
	for _, m := range c.membership.members.All() {
		silent := c.now.Sub(m.lastSeenAt)
		if silent < t.SuspectAfter || c.now.Sub(later(m.lastSeenAt, m.fullRateSince)) < c.heartbeatFactor(m)*t.SuspectAfter {
			continue
		}
		if !c.needsSession(m) {
			m.lastSeenAt = c.now // it is not listened to
			continue
		}
		if m.suspectedSince.IsZero() {
			m.suspectedSince = c.now
			m.dropSessionAt = c.now.Add(t.SuspectAfter)
			c.membership.nextScan = c.now
			c.logEvent("member silent", zap.Stringer("Peer", m.id), zap.Duration("Silent", silent))
		}
		if m.hasSession && !c.now.Before(m.dropSessionAt) {
			m.dropSessionAt = c.now.Add(2 * t.SuspectAfter)
			c.emit(DropSession{Peer: m.id})
		}
		stood := c.membership.scannedAt.Sub(later(m.suspectedSince, m.rowChangedAt))
		if !m.dead && stood >= t.DeadAfter {
			m.dead = true
			c.membership.changed = true
			c.scheduleAdoption()
			c.counters.MembersLost++
			c.logEvent("member dead", zap.Stringer("Peer", m.id), zap.Duration("Silent", silent), zap.Duration("RowStood", stood), zap.Uint64("Sequence", m.row.Sequence))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// heard notes what a message says beside its content: its sender lives, and has
// received what was sent to it up to some moment.
func (c *Control) noteReceived(id instance.ID, message Envelope) {
	m, ok := c.membership.members.Get(id.Instance)
	if !ok || m.id != id {
		return
	}
	m.peerSent = max(m.peerSent, message.Sent)
	m.echoedAt = later(m.echoedAt, c.began.Add(min(message.LastReceived, c.now.Sub(c.began))))
	c.markAlive(m)
}

// lives notes a sign of life of a member.
func (c *Control) markAlive(m *member) {
	m.lastSeenAt = c.now
	if !m.suspectedSince.IsZero() {
		silent := c.now.Sub(m.suspectedSince)
		c.logEvent("member heard again", zap.Stringer("Peer", m.id), zap.Duration("Silent", silent), zap.Duration("EchoAge", c.now.Sub(m.echoedAt)))
		if silent >= c.config.Timing.DeadAfter {
			c.reverifyStored("a member was not heard for long")
		}
		m.suspectedSince = time.Time{}
	}
	if m.dead {
		m.dead = false
		c.membership.changed = true
	}
}

// reachable reports whether messages to an instance are likely to arrive.
func (c *Control) reachable(id instance.ID) bool {
	if id == c.self {
		return true
	}
	m, ok := c.membership.members.Get(id.Instance)
	return ok && m.id == id && m.hasSession && m.suspectedSince.IsZero()
}

// meet returns the member of this name in this incarnation. A later incarnation
// replaces an earlier one.
func (c *Control) ensureMember(id instance.ID) (*member, bool) {
	if id.Instance == c.self.Instance {
		return nil, false
	}
	m, ok := c.membership.members.Get(id.Instance)
	switch {
	case ok && m.id.Incarnation > id.Incarnation:
		return nil, false
	case ok && m.id == id:
		return m, true
	case ok:
		c.logEvent("member restarted", zap.Stringer("Peer", id), zap.Uint64("Former", m.id.Incarnation))
		c.losePeer(m.id, m.lastSeenAt)
	}
	m = &member{id: id, lastSeenAt: c.now, rowChangedAt: c.now, advertisedCapacity: table.NewCopy(func(r FreeCapacity) string { return r.Endpoint })}
	c.membership.members.Put(id.Instance, m)
	c.membership.changed = true
	return m, true
}

func (c *Control) handlePeerUp(id instance.ID) {
	m, ok := c.ensureMember(id)
	if !ok {
		return
	}
	m.hasSession = true
	m.dropSessionAt = c.now.Add(c.config.Timing.SuspectAfter)
	c.markAlive(m)
	c.logEvent("peer up", zap.Stringer("Peer", id))
	if !m.listed {
		c.membership.nextScan = c.now
	}
	c.send(id, c.heartbeatTo(m, c.ownWaiting()))
	m.advertAt, m.advertSentVersion, m.capacitySentSequence, m.listSentSequence = time.Time{}, 0, 0, 0
	c.holder.advertDue, c.holder.advertChanged = c.now, true
	c.sendInitialList(m)
	c.resendPlaceRequests(id)
}

func (c *Control) handlePeerDown(id instance.ID) {
	m, ok := c.membership.members.Get(id.Instance)
	if !ok || m.id != id || !m.hasSession {
		return
	}
	m.hasSession = false
	m.advert = nil
	delete(c.endpointList.copies, id)
	c.logEvent("peer down", zap.Stringer("Peer", id))
}

func (c *Control) handleHeartbeat(from instance.ID, b *Heartbeat) {
	m, ok := c.membership.members.Get(from.Instance)
	if !ok || m.id != from {
		return
	}
	first := m.heartbeatAt.IsZero()
	settledBefore := !first && c.established(m)
	left := b.Leaving != m.heartbeat.Leaving
	m.heartbeat, m.heartbeatAt = *b, c.now
	if b.ReceiverSuspected {
		c.holder.checkDue = c.now
	}
	if first || left || settledBefore != c.established(m) {
		c.membership.changed = true
	}
	if b.Configuration < c.configurationVersion() && (m.configurationSent < c.configurationVersion() || c.now.Sub(m.configurationSentAt) > c.config.Timing.Settle) {
		m.configurationSent, m.configurationSentAt = c.configurationVersion(), c.now
		c.logEvent("configuration passed on", zap.Stringer("Peer", from), zap.Uint64("Version", c.configurationVersion()), zap.Uint64("PeerVersion", b.Configuration))
		c.send(from, &PeerConfiguration{Version: c.configurationVersion(), Raw: c.rawConfiguration})
	}
}

// established reports whether a member has been up for long enough to be given
// endpoints: for the established time, or as long as this instance.
func (c *Control) established(m *member) bool {
	if m.heartbeatAt.IsZero() {
		return false
	}
	uptime := m.heartbeat.Uptime + c.now.Sub(m.heartbeatAt)
	return uptime >= c.config.Timing.Established || uptime+c.config.Timing.Settle >= c.now.Sub(c.began)
}

func (c *Control) registryMembers() []hold.Member {
	var list []hold.Member
	for _, m := range c.membership.members.All() {
		if !m.listed {
			continue
		}
		list = append(list, hold.Member{
			ID: m.id, Domain: m.row.Domain, Share: m.row.Share, Dead: m.dead,
			Leaving: m.heartbeat.Leaving, Settled: c.established(m),
		})
	}
	return list
}

// writeOwnRow writes the instance's row at its start, and renews it while some
// member is silent.
func (c *Control) writeOwnRow() {
	r := &c.membership
	if r.writingRow || c.now.Before(r.nextWrite) || (r.rowWritten && !c.anySuspected() && c.now.Before(r.speedsDue) && r.storedAnnounced == c.recorder.hadStoredJobs) {
		return
	}
	if r.scannedAt.IsZero() && c.now.Sub(c.began) < c.config.Timing.Settle {
		return // the former row still holds speeds
	}
	r.speedsDue = c.now.Add(speedsPeriod)
	r.row = MemberRow{
		Instance: c.self.Instance, Incarnation: c.self.Incarnation, Domain: c.config.Domain,
		Peers: c.config.Address, Share: c.config.Share, Sequence: r.row.Sequence + 1, Speeds: c.learnedSpeeds(),
		Stored: c.recorder.hadStoredJobs,
	}
	stored := r.row.Stored
	value, err := json.Marshal(r.row)
	if err != nil {
		panic("a member's row cannot be encoded: " + err.Error())
	}
	r.writingRow = true
	writes := []storage.Write{{Key: MemberPrefix + c.self.Instance, Value: value, Expect: storage.AnyVersion}}
	if stored && !r.storedAnnounced {
		writes = append(writes, storage.Write{Key: storedMark, Value: encodeStored(c.self), Expect: storage.AnyVersion})
	}
	c.commit(Commit{Writes: writes}, func(m CommitDone) {
		r.writingRow = false
		if m.Err != nil {
			c.counters.FailedCommits++
			r.nextWrite = c.now.Add(writeRetry)
			if !r.storedAnnounced {
				c.refuseAccepting()
			}
			return
		}
		r.nextWrite = c.now.Add(c.config.Timing.RowRenewal)
		r.rowWritten, r.storedAnnounced = true, stored
	})
}

// learnedSpeeds are the speeds of the endpoints held here, rounded.
func (c *Control) learnedSpeeds() map[string]float64 {
	speeds := make(map[string]float64)
	for name, e := range c.holder.endpoints.All() {
		if e.speed.samples >= inheritedSamples {
			speeds[name] = roundSpeed(e.speed.value())
		}
	}
	if len(speeds) == 0 {
		return c.membership.row.Speeds
	}
	return speeds
}

func roundSpeed(speed float64) float64 { return math.Round(speed*speedPrecision) / speedPrecision }

func (c *Control) scanMembers() {
	r := &c.membership
	if r.scanning || c.now.Before(r.nextScan) {
		return
	}
	r.scanning = true
	asked := c.now
	c.scan(MemberPrefix, func(m ScanDone) {
		r.scanning = false
		period := c.config.Timing.MemberScan + time.Duration(r.members.Len())*scanPerMember
		if !r.settled || c.anySuspected() {
			period = c.config.Timing.SuspectScan
		}
		r.nextScan = c.now.Add(period)
		if m.Err != nil {
			return
		}
		r.scannedAt = asked
		c.readMembers(m.Rows)
	})
}

func (c *Control) readMembers(rows []storage.Row) {
	for i := range rows {
		row, err := DecodeMember(&rows[i])
		if err != nil {
			c.logEvent("member row skipped", zap.Error(err))
			continue
		}
		for name, speed := range row.Speeds {
			if speed >= minSpeed && speed <= maxSpeed {
				c.membership.speeds[name] = speed
			}
		}
		if row.Instance == c.self.Instance && c.membership.row.Instance == "" {
			c.membership.row.Speeds = row.Speeds
			c.recorder.hadStoredJobs = c.recorder.hadStoredJobs || row.Stored
		}
		m, ok := c.ensureMember(instance.ID{Instance: row.Instance, Incarnation: row.Incarnation})
		if !ok {
			continue
		}
		if row.Sequence != m.row.Sequence {
			m.rowChangedAt = c.now
			if m.dead {
				m.dead = false
				c.membership.changed = true
				c.logEvent("member shows life in its row", zap.Stringer("Peer", m.id), zap.Uint64("Sequence", row.Sequence))
			}
		}
		if !m.listed {
			m.listed = true
			c.membership.changed = true
		}
		m.row = row
	}
	c.connectPeers()
}

// needs reports whether this instance keeps a session with a member. Two that
// hold no endpoints have nothing to say to each other, unless there are stored
// jobs to count and to adopt.
func (c *Control) needsSession(m *member) bool {
	return m.hasSession || m.row.Share > 0 || c.config.Share > 0 || c.storedExist() || !c.domainHasHolder(m.row.Domain) || !c.domainHasHolder(c.config.Domain)
}

// domainHasHolder reports whether a live member of a domain is large enough to
// hold its endpoints.
func (c *Control) domainHasHolder(domain string) bool {
	if domain == c.config.Domain && c.config.Share > 0 {
		return true
	}
	for _, m := range c.membership.members.All() {
		if m.row.Domain == domain && m.row.Share > 0 && !m.dead && !m.heartbeat.Leaving {
			return true
		}
	}
	return false
}

// connectPeers names the peers to keep sessions with, when they have changed.
func (c *Control) connectPeers() {
	var peers []instance.Peer
	var names strings.Builder
	for _, m := range c.membership.members.All() {
		if !m.listed || !c.needsSession(m) {
			continue
		}
		peers = append(peers, instance.Peer{ID: m.id, Domain: m.row.Domain, Address: m.row.Peers})
		names.WriteString(m.id.String() + " " + m.row.Peers.String() + ";")
	}
	if names.String() == c.membership.connectedPeers {
		return
	}
	c.membership.connectedPeers = names.String()
	c.emit(Connect{Peers: peers})
}

// settle lets this instance take holds once its row is written and it knows all
// others: it hears each of them, or has waited for them.
func (c *Control) settle() {
	r := &c.membership
	if r.settled || !r.rowWritten || r.scannedAt.IsZero() || c.now.Sub(c.began) < c.config.Timing.Settle {
		return
	}
	r.settled = true
	r.changed = true
	c.holder.registry.Settle()
	c.logEvent("settled", zap.Int("Members", r.members.Len()))
}

// losePeer ends what depended on an incarnation that is gone; heardAt is when
// it was last heard.
func (c *Control) losePeer(id instance.ID, heardAt time.Time) {
	c.scheduleAdoption()
	c.orphanRunsOfHome(id, "its home has restarted")
	c.markRunsLost(id, heardAt)
}
