package placement

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/hold"
	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// MemberPrefix is the key prefix of the rows of the instances.
const MemberPrefix = "members/"

// MemberRow is the row of an instance in the store. An instance renews its row
// regularly only while it suspects another member, so that two instances without a
// connection to each other can tell from their rows that both are alive.
type MemberRow struct {
	Instance    string
	Incarnation uint64
	Domain      string
	Peers       netip.AddrPort
	Share       int
	Sequence    uint64
	// Speeds are the speeds learned for the endpoints held by the instance, by name.
	// They are stored so that later holders of these endpoints know them.
	Speeds map[string]float64 `json:",omitempty"`
	// Stored says that this or an earlier incarnation of the instance has been the home
	// of stored jobs.
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

// member is what this instance knows of another one.
type member struct {
	id                   instance.ID
	row                  MemberRow
	listed               bool // its row has been read
	hasSession           bool
	lastSeenAt           time.Time     // when a message last came from it
	peerSent             time.Duration // uptime of the member when it sent its last message
	echoSent             time.Duration // peerSent as last confirmed to the member
	echoPending          time.Duration // peerSent when the present caller check began
	echoHeldBack         bool          // the last message to it confirmed less than was received
	echoedAt             time.Time     // when this instance sent the last message that the member has confirmed
	lastRunAt            time.Time     // when one of the two instances last ran something for the other
	fullRateSince        time.Time     // since when heartbeats at the full rate are expected from it
	suspectedSince       time.Time     // zero while messages come from it
	rowChangedAt         time.Time     // when a scan last showed a new Sequence in its row
	dead                 bool
	established          bool // as the registry of holds knows it, see isEstablished
	heartbeat            Heartbeat
	heartbeatAt          time.Time
	dropSessionAt        time.Time // when its session is dropped if it stays unresponsive
	sentAt               time.Time // when a message was last sent to it
	heartbeatSent        Heartbeat // last heartbeat sent to it
	estimatesSentAt      time.Time // when a heartbeat to it last had estimates
	estimatesSentTasks   float64   // observed tasks that these rested on
	advert               *Advert
	advertAt             time.Time
	advertSentAt         time.Time                         // when an advert was last sent to it
	advertSentVersion    uint64                            // version of that advert
	listSentSequence     uint64                            // sequence of the endpoint list last sent to it
	capacitySentSequence uint64                            // sequence of the free capacity last advertised to it
	sequence             uint64                            // sequence of the last PlaceRequest sent to it
	pending              []pendingTask                     // placed there and not yet in its adverts
	advertisedCapacity   *table.Copy[string, FreeCapacity] // free capacity as it advertises it
	freeCapacity         []FreeCapacity                    // advertisedCapacity less what was placed there since
	backlog              float64                           // CPU time placed there since that exceeds the free capacity
	requestReceived      uint64                            // sequence of the last PlaceRequest received from it
}

// membership is what this instance knows of the other instances.
type membership struct {
	members         *table.Table[string, *member]
	row             MemberRow // of this instance
	rowWritten      bool
	speeds          map[string]float64 // endpoint -> speed, read from the members' rows
	speedsDue       time.Time
	writingRow      bool
	nextWrite       time.Time
	scanning        bool
	nextScan        time.Time
	scannedAt       time.Time // start of the last successful scan
	nextHeartbeat   time.Time
	nextMemberCheck time.Time
	settled         bool   // this instance may take holds
	connectedPeers  string // last peers that were passed to Connect
	changed         bool   // members or their states have changed since the registry of holds was updated
	// storedAnnounced says that the own row and storedMark, as written, show that stored
	// jobs exist.
	storedAnnounced bool
}

func newMembership() membership {
	return membership{members: table.New[string, *member](), speeds: make(map[string]float64)}
}

const (
	writeRetry          = 300 * time.Millisecond // after a failed write of the own row
	scanPerMember       = 100 * time.Millisecond // scan period added for each member: bounds the scan rate of all instances together
	memberCheckPeriod   = 10 * time.Millisecond  // between checks for unresponsive members
	heartbeatRefresh    = time.Second            // between heartbeats to a peer that gets other messages
	speedsPeriod        = 5 * time.Second        // between writes of learned speeds
	speedPrecision      = 100                    // stored speeds are multiples of 1/speedPrecision
	fullRateDuration    = 2 * time.Second        // how long after the last run a member sends heartbeats at the full rate
	slowHeartbeatFactor = 3                      // multiple of the heartbeat interval to other members; keeps an echo younger than its timeout
)

// runMembership checks the other members, keeps the own row up to date, and sends
// heartbeats. It updates the registry of holds when the members have changed.
func (c *Control) runMembership() {
	c.checkMembers()
	c.writeOwnRow()
	c.scanMembers()
	c.settle()
	if c.heartbeatsDue() {
		c.membership.nextHeartbeat = c.now.Add(c.config.Timing.HeartbeatInterval)
		c.sendHeartbeats()
	}
	if c.membership.changed {
		c.membership.changed = false
		c.holder.registry.SetMembers(c.registryMembers())
		c.connectPeers()
	}
}

// sendHeartbeats sends a heartbeat to each peer that has not been sent any message for
// long enough, or for which the heartbeat has something new.
func (c *Control) sendHeartbeats() {
	waiting := c.ownWaiting()
	c.adoption.behind = c.adopting()
	c.forgetLostWaiting()
	for _, m := range c.membership.members.All() {
		if !m.hasSession {
			continue
		}
		b := c.heartbeatTo(m, waiting)
		if c.now.Sub(m.sentAt) < c.heartbeatFactor(m)*c.config.Timing.HeartbeatInterval && !b.differsFrom(&m.heartbeatSent) && !m.echoHeldBack {
			continue
		}
		c.sendHeartbeat(m, b)
	}
}

func (c *Control) sendHeartbeat(m *member, b *Heartbeat) {
	c.addEstimates(m, b)
	m.heartbeatSent = *b
	c.send(m.id, b)
}

// differsFrom reports whether a heartbeat has content that the last one sent to the
// peer did not have. That the sender is alive is evident from any message, and a
// new uptime counts only after heartbeatRefresh.
func (b *Heartbeat) differsFrom(sent *Heartbeat) bool {
	return b.Leaving != sent.Leaving || b.Configuration != sent.Configuration || b.ReceiverSuspected != sent.ReceiverSuspected ||
		b.Adopting != sent.Adopting || !slices.Equal(b.Evacuated, sent.Evacuated) || !maps.Equal(b.Waiting, sent.Waiting) || !maps.Equal(b.LostWaiting, sent.LostWaiting) || b.Uptime-sent.Uptime >= heartbeatRefresh
}

func (c *Control) heartbeatTo(m *member, waiting map[string]int) *Heartbeat {
	return &Heartbeat{
		Leaving: c.stop != serving, Configuration: c.configurationVersion(), ConfigurationBytes: len(c.configuration.raw), Uptime: c.now.Sub(c.began),
		ReceiverSuspected: !m.suspectedSince.IsZero(), Waiting: waiting, KeepsDirectory: true, LostWaiting: c.lostWaitingCounts(), Adopting: c.adoption.behind,
		EvacuationVersion: c.evacuation.version, Evacuated: c.evacuation.names,
	}
}

// heartbeatFactor returns the multiple of the usual interval at which heartbeats are
// exchanged with a member. It is 1 for members of the same domain, for those that
// run tasks for this instance or the other way round, and for all if there are few
// members or stored jobs. The others need fewer heartbeats.
func (c *Control) heartbeatFactor(m *member) time.Duration {
	if c.membership.members.Len() <= fewPeers || m.row.Domain == c.config.Domain || c.now.Sub(m.lastRunAt) < fullRateDuration || c.storedExist() {
		return 1
	}
	return slowHeartbeatFactor
}

// noteRunWith notes that a run is at a member, or here for it, so that heartbeats are
// exchanged with it at the full rate from now on. If the last message to the member is
// older than a heartbeat interval, it gets a heartbeat at once.
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

// anySuspected reports whether some member is suspected and not known to be dead.
func (c *Control) anySuspected() bool {
	for _, m := range c.membership.members.All() {
		if !m.dead && !m.suspectedSince.IsZero() {
			return true
		}
	}
	return false
}

// checkMembers notes members that have become established, suspects those that are
// unresponsive, and declares a suspected member dead if its row was not renewed either.
// While rows cannot be read no member is declared dead.
func (c *Control) checkMembers() {
	t := c.config.Timing
	if c.now.Before(c.membership.nextMemberCheck) {
		return
	}
	c.membership.nextMemberCheck = c.now.Add(memberCheckPeriod)
	for _, m := range c.membership.members.All() {
		if established := c.isEstablished(m); established != m.established {
			m.established, c.membership.changed = established, true
		}
		silent := c.now.Sub(m.lastSeenAt)
		if silent < t.SuspectAfter || c.now.Sub(later(m.lastSeenAt, m.fullRateSince)) < c.heartbeatFactor(m)*t.SuspectAfter {
			continue
		}
		if !c.needsSession(m) {
			m.lastSeenAt = c.now // no session is kept with it, so its silence means nothing
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
		rowUnchanged := c.membership.scannedAt.Sub(later(m.suspectedSince, m.rowChangedAt))
		if !m.dead && rowUnchanged >= t.DeadAfter {
			c.keepLostWaiting(m)
			m.dead = true
			c.membership.changed = true
			c.scheduleAdoption()
			c.scheduleAudit()
			c.counters.MembersLost++
			c.logEvent("member dead", zap.Stringer("Peer", m.id), zap.Duration("Silent", silent), zap.Duration("RowStood", rowUnchanged), zap.Uint64("Sequence", m.row.Sequence))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteReceived notes what each message shows apart from its content: its sender is
// alive, and has received all messages that were sent to it up to some time.
func (c *Control) noteReceived(id instance.ID, message Envelope) {
	m, ok := c.membership.members.Get(id.Instance)
	if !ok || m.id != id {
		return
	}
	m.peerSent = max(m.peerSent, message.Sent)
	m.echoedAt = later(m.echoedAt, c.began.Add(min(message.LastReceived, c.now.Sub(c.began))))
	c.markAlive(m)
}

// markAlive notes that a member is alive. Stored jobs are verified anew after a
// silence in which another instance may have become their home.
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

// reachable reports whether messages to an instance are likely to arrive: it has a
// session and is not suspected.
func (c *Control) reachable(id instance.ID) bool {
	if id == c.self {
		return true
	}
	m, ok := c.membership.members.Get(id.Instance)
	return ok && m.id == id && m.hasSession && m.suspectedSince.IsZero()
}

// ensureMember returns the member with this name and incarnation, and adds it if it is
// new. A later incarnation replaces an earlier one; for an earlier one it returns
// false.
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
		if !m.dead {
			c.keepLostWaiting(m)
		}
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
	c.resendDrops(id) // before anything that confirms the other runs
	c.send(id, c.heartbeatTo(m, c.ownWaiting()))
	m.advertAt, m.advertSentVersion, m.capacitySentSequence, m.listSentSequence = time.Time{}, 0, 0, 0
	c.holder.advertDue, c.holder.advertChanged = c.now, true
	c.sendInitialList(m)
	c.resendPlaceRequests(id)
	c.registerAgain(func(_ workload.JobID, r *registration) bool { return r.directory == id })
	c.recallAgain(id)
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
	leavingChanged := b.Leaving != m.heartbeat.Leaving
	estimates := m.heartbeat.Estimates
	m.heartbeat, m.heartbeatAt = *b, c.now
	if len(b.Estimates) == 0 {
		m.heartbeat.Estimates = estimates
	}
	if b.ReceiverSuspected {
		c.holder.checkDue = c.now
	}
	if leavingChanged {
		c.membership.changed = true
	}
	c.noteAnnounced(b)
	c.noteEvacuationOf(from, b)
}

// isEstablished reports whether a member has been up for long enough to be assigned
// endpoints: for the established time, or about as long as this instance. A member
// becomes established as time passes, without any message.
func (c *Control) isEstablished(m *member) bool {
	if m.heartbeatAt.IsZero() {
		return false
	}
	uptime := c.uptimeOf(m)
	return uptime >= c.config.Timing.Established || uptime+c.config.Timing.Settle >= c.now.Sub(c.began)
}

// uptimeOf returns how long a member has been running, by its last heartbeat.
func (c *Control) uptimeOf(m *member) time.Duration {
	return m.heartbeat.Uptime + c.now.Sub(m.heartbeatAt)
}

// registryMembers returns the members as the registry of holds needs them.
func (c *Control) registryMembers() []hold.Member {
	var list []hold.Member
	for _, m := range c.membership.members.All() {
		if !m.listed {
			continue
		}
		list = append(list, hold.Member{
			ID: m.id, Domain: m.row.Domain, Share: m.row.Share, Dead: m.dead,
			Leaving: m.heartbeat.Leaving, Settled: m.established,
		})
	}
	return list
}

// writeOwnRow writes the instance's row at its start, when learned speeds are due and
// when it has become the home of its first stored job, and renews it while a member is
// suspected.
func (c *Control) writeOwnRow() {
	r := &c.membership
	if r.writingRow || c.now.Before(r.nextWrite) || (r.rowWritten && !c.anySuspected() && c.now.Before(r.speedsDue) && r.storedAnnounced == c.recorder.hadStoredJobs) {
		return
	}
	if r.scannedAt.IsZero() && c.now.Sub(c.began) < c.config.Timing.Settle {
		return // the row of the former incarnation has speeds that must be read first
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

// learnedSpeeds returns the rounded speeds of the endpoints held here, or those of
// the last row if none is known well enough.
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

// scanMembers reads the rows of all members, more often while this instance starts or
// suspects a member.
func (c *Control) scanMembers() {
	r := &c.membership
	if r.scanning || c.now.Before(r.nextScan) {
		return
	}
	r.scanning = true
	scanStart := c.now
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
		r.scannedAt = scanStart
		c.readMembers(m.Rows)
	})
}

// readMembers updates the members from their rows.
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

// needsSession reports whether this instance keeps a session with a member. Two
// instances without endpoints need none with each other, unless there are stored jobs
// to count and to adopt, or a domain has no instance that holds its endpoints.
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

// connectPeers emits the peers to keep sessions with, if they have changed.
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

// settle lets this instance take holds once its own row is written, the rows of the
// others were read, and the others had the settle time to connect.
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

// losePeer handles the end of a member's incarnation, which was last seen at the time
// given: its stored jobs are adopted, its runs here are stopped and this instance's
// runs there are marked as lost.
func (c *Control) losePeer(id instance.ID, lastSeenAt time.Time) {
	c.scheduleAdoption()
	c.scheduleAudit()
	c.orphanRunsOfHome(id, "its home has restarted")
	c.markRunsLost(id, lastSeenAt)
	c.markDroppedRunsLost(id, lastSeenAt)
}
