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
	id          instance.ID
	row         MemberRow
	listed      bool // its row has been read
	up          bool // there is a session with it
	heardAt     time.Time
	lastSent    time.Duration // Sent of the last message from it
	echoedAt    time.Time     // when the last message was sent that it has certainly received
	usedAt      time.Time     // when a run was last with it, or here for it
	closeSince  time.Time     // since when it is watched closely
	suspected   time.Time     // since when it has been silent; zero while it is heard
	changedAt   time.Time     // when a read last showed a new sequence
	dead        bool
	beat        Heartbeat
	beatAt      time.Time
	passed      uint64 // last configuration version passed on to it
	passedAt    time.Time
	dropAt      time.Time // when a silent session is to be dropped
	sentAt      time.Time // when a message was last sent to it
	told        Heartbeat // as last sent to it
	advert      *Advert
	advertAt    time.Time
	toldAt      time.Time // when an advert was last sent to it
	toldVersion uint64    // of that advert
	// listSequence is of the list of endpoints last sent to it.
	listSequence uint64
	toldRooms    uint64 // sequence of the rooms last advertised to it
	sequence     uint64 // of the last Place sent to it
	pending      []pendingTask
	offered      *table.Copy[string, FreeCapacity] // the rooms as advertised
	rooms        []FreeCapacity                    // of the advert, less what was placed since
	backlog      float64                           // placed since beyond the rooms, in core time
	seen         uint64                            // last Place received from it
}

// roster is what this instance knows of the others.
type roster struct {
	members   *table.Table[string, *member]
	row       MemberRow
	written   bool
	speeds    map[string]float64 // as read from the members' rows
	speedsDue time.Time
	writing   bool
	nextWrite time.Time
	scanning  bool
	nextScan  time.Time
	scanned   time.Time // last successful read
	nextBeat  time.Time
	nextWatch time.Time
	settled   bool
	connected string
	changed   bool // members or their states have changed since the book was told
	// storedKnown says that the written row tells the others of stored jobs.
	storedKnown bool
}

func newRoster() roster {
	return roster{members: table.New[string, *member](), speeds: make(map[string]float64)}
}

// Figures of the own row.
const (
	writeRetry     = 300 * time.Millisecond // after a failed write
	scanPerMember  = 100 * time.Millisecond // makes the scans of all together no more frequent
	watchPeriod    = 10 * time.Millisecond  // between looks at who is silent
	beatRefresh    = time.Second            // between beats to a peer that other messages reach
	speedsPeriod   = 5 * time.Second        // between writes of what was learned
	speedPrecision = 100
	closeTerm      = 2 * time.Second // after the last run, that a member is watched closely
	farSlack       = 3               // keeps the age of an echo below its term
)

func (c *Control) runRoster() {
	c.watchMembers()
	c.writeOwnRow()
	c.scanMembers()
	c.settle()
	if !c.now.Before(c.roster.nextBeat) {
		c.roster.nextBeat = c.now.Add(c.config.Timing.HeartbeatInterval)
		c.sendBeats()
	}
	if c.roster.changed {
		c.roster.changed = false
		c.holder.registry.SetMembers(c.bookMembers())
		c.connectPeers()
	}
}

func (c *Control) sendBeats() {
	waiting := c.ownWaiting()
	for _, m := range c.roster.members.All() {
		if !m.up {
			continue
		}
		b := c.beatTo(m, waiting)
		if c.now.Sub(m.sentAt) < c.slack(m)*c.config.Timing.HeartbeatInterval && !b.saysMoreThan(&m.told) {
			continue
		}
		c.sendBeat(m, b)
	}
}

func (c *Control) sendBeat(m *member, b *Heartbeat) {
	m.told = *b
	c.send(m.id, b)
}

// saysMoreThan reports whether a beat tells a peer more than that the sender
// lives, which any message tells, and how long it has been up.
func (b *Heartbeat) saysMoreThan(told *Heartbeat) bool {
	return b.Leaving != told.Leaving || b.Configuration != told.Configuration || b.ReceiverSuspected != told.ReceiverSuspected ||
		!maps.Equal(b.Waiting, told.Waiting) || b.Uptime-told.Uptime >= beatRefresh
}

func (c *Control) beatTo(m *member, waiting map[string]int) *Heartbeat {
	return &Heartbeat{
		Leaving: c.stop != serving, Configuration: c.configurationVersion(), Uptime: c.now.Sub(c.began),
		ReceiverSuspected: !m.suspected.IsZero(), Waiting: waiting,
	}
}

// slack is how many times as long as usual the beats of a member may be apart. An
// instance watches closely those of its domain and those that work for it or for
// which it works; among many others a beat now and then is enough.
func (c *Control) slack(m *member) time.Duration {
	if c.roster.members.Len() <= fewPeers || m.row.Domain == c.config.Domain || c.now.Sub(m.usedAt) < closeTerm || c.storedExist() {
		return 1
	}
	return farSlack
}

// use notes that a run is with a member, or here for it, and watches it closely
// from now on. It is told so at once if it may not have heard for a while that it
// is heard.
func (c *Control) use(id instance.ID) {
	m, ok := c.roster.members.Get(id.Instance)
	if !ok || m.id != id {
		return
	}
	if c.now.Sub(m.usedAt) >= closeTerm {
		m.closeSince = c.now
		if m.up && c.now.Sub(m.sentAt) >= c.config.Timing.HeartbeatInterval {
			c.sendBeat(m, c.beatTo(m, c.ownWaiting()))
		}
	}
	m.usedAt = c.now
}

// suspects reports whether some member is silent and not known to be dead.
func (c *Control) suspects() bool {
	for _, m := range c.roster.members.All() {
		if !m.dead && !m.suspected.IsZero() {
			return true
		}
	}
	return false
}

// watchMembers suspects members that are silent and declares those dead whose
// rows stand still as well. While rows cannot be read nobody dies.
func (c *Control) watchMembers() {
	t := c.config.Timing
	if c.now.Before(c.roster.nextWatch) {
		return
	}
	c.roster.nextWatch = c.now.Add(watchPeriod)
	for _, m := range c.roster.members.All() {
		silent := c.now.Sub(m.heardAt)
		if silent < t.SuspectAfter || c.now.Sub(later(m.heardAt, m.closeSince)) < c.slack(m)*t.SuspectAfter {
			continue
		}
		if !c.needs(m) {
			m.heardAt = c.now // it is not listened to
			continue
		}
		if m.suspected.IsZero() {
			m.suspected = c.now
			m.dropAt = c.now.Add(t.SuspectAfter)
			c.roster.nextScan = c.now
			c.logEvent("member silent", zap.Stringer("Peer", m.id), zap.Duration("Silent", silent))
		}
		if m.up && !c.now.Before(m.dropAt) {
			m.dropAt = c.now.Add(2 * t.SuspectAfter)
			c.emit(DropSession{Peer: m.id})
		}
		stood := c.roster.scanned.Sub(later(m.suspected, m.changedAt))
		if !m.dead && stood >= t.DeadAfter {
			m.dead = true
			c.roster.changed = true
			c.adoptSoon()
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
func (c *Control) heard(id instance.ID, message Envelope) {
	m, ok := c.roster.members.Get(id.Instance)
	if !ok || m.id != id {
		return
	}
	m.lastSent = max(m.lastSent, message.Sent)
	m.echoedAt = later(m.echoedAt, c.began.Add(min(message.LastReceived, c.now.Sub(c.began))))
	c.lives(m)
}

// lives notes a sign of life of a member.
func (c *Control) lives(m *member) {
	m.heardAt = c.now
	if !m.suspected.IsZero() {
		silent := c.now.Sub(m.suspected)
		c.logEvent("member heard again", zap.Stringer("Peer", m.id), zap.Duration("Silent", silent), zap.Duration("EchoAge", c.now.Sub(m.echoedAt)))
		if silent >= c.config.Timing.DeadAfter {
			c.verifyStored("a member was not heard for long")
		}
		m.suspected = time.Time{}
	}
	if m.dead {
		m.dead = false
		c.roster.changed = true
	}
}

// reachable reports whether messages to an instance are likely to arrive.
func (c *Control) reachable(id instance.ID) bool {
	if id == c.self {
		return true
	}
	m, ok := c.roster.members.Get(id.Instance)
	return ok && m.id == id && m.up && m.suspected.IsZero()
}

// meet returns the member of this name in this incarnation. A later incarnation
// replaces an earlier one.
func (c *Control) meet(id instance.ID) (*member, bool) {
	if id.Instance == c.self.Instance {
		return nil, false
	}
	m, ok := c.roster.members.Get(id.Instance)
	switch {
	case ok && m.id.Incarnation > id.Incarnation:
		return nil, false
	case ok && m.id == id:
		return m, true
	case ok:
		c.logEvent("member restarted", zap.Stringer("Peer", id), zap.Uint64("Former", m.id.Incarnation))
		c.losePeer(m.id, m.heardAt)
	}
	m = &member{id: id, heardAt: c.now, changedAt: c.now, offered: table.NewCopy(func(r FreeCapacity) string { return r.Endpoint })}
	c.roster.members.Put(id.Instance, m)
	c.roster.changed = true
	return m, true
}

func (c *Control) peerUp(id instance.ID) {
	m, ok := c.meet(id)
	if !ok {
		return
	}
	m.up = true
	m.dropAt = c.now.Add(c.config.Timing.SuspectAfter)
	c.lives(m)
	c.logEvent("peer up", zap.Stringer("Peer", id))
	if !m.listed {
		c.roster.nextScan = c.now
	}
	c.send(id, c.beatTo(m, c.ownWaiting()))
	m.advertAt, m.toldVersion, m.toldRooms, m.listSequence = time.Time{}, 0, 0, 0
	c.holder.advertDue, c.holder.advertChanged = c.now, true
	c.greetWithList(m)
	c.resendTo(id)
}

func (c *Control) peerDown(id instance.ID) {
	m, ok := c.roster.members.Get(id.Instance)
	if !ok || m.id != id || !m.up {
		return
	}
	m.up = false
	m.advert = nil
	delete(c.listing.heard, id)
	c.logEvent("peer down", zap.Stringer("Peer", id))
}

func (c *Control) beaten(from instance.ID, b *Heartbeat) {
	m, ok := c.roster.members.Get(from.Instance)
	if !ok || m.id != from {
		return
	}
	first := m.beatAt.IsZero()
	settledBefore := !first && c.established(m)
	left := b.Leaving != m.beat.Leaving
	m.beat, m.beatAt = *b, c.now
	if b.ReceiverSuspected {
		c.holder.checkDue = c.now
	}
	if first || left || settledBefore != c.established(m) {
		c.roster.changed = true
	}
	if b.Configuration < c.configurationVersion() && (m.passed < c.configurationVersion() || c.now.Sub(m.passedAt) > c.config.Timing.Settle) {
		m.passed, m.passedAt = c.configurationVersion(), c.now
		c.logEvent("configuration passed on", zap.Stringer("Peer", from), zap.Uint64("Version", c.configurationVersion()), zap.Uint64("PeerVersion", b.Configuration))
		c.send(from, &PeerConfiguration{Version: c.configurationVersion(), Raw: c.rawConfiguration})
	}
}

// established reports whether a member has been up for long enough to be given
// endpoints: for the established time, or as long as this instance.
func (c *Control) established(m *member) bool {
	if m.beatAt.IsZero() {
		return false
	}
	uptime := m.beat.Uptime + c.now.Sub(m.beatAt)
	return uptime >= c.config.Timing.Established || uptime+c.config.Timing.Settle >= c.now.Sub(c.began)
}

func (c *Control) bookMembers() []hold.Member {
	var list []hold.Member
	for _, m := range c.roster.members.All() {
		if !m.listed {
			continue
		}
		list = append(list, hold.Member{
			ID: m.id, Domain: m.row.Domain, Share: m.row.Share, Dead: m.dead,
			Leaving: m.beat.Leaving, Settled: c.established(m),
		})
	}
	return list
}

// writeOwnRow writes the instance's row at its start, and renews it while some
// member is silent.
func (c *Control) writeOwnRow() {
	r := &c.roster
	if r.writing || c.now.Before(r.nextWrite) || (r.written && !c.suspects() && c.now.Before(r.speedsDue) && r.storedKnown == c.ledger.used) {
		return
	}
	if r.scanned.IsZero() && c.now.Sub(c.began) < c.config.Timing.Settle {
		return // the former row still holds speeds
	}
	r.speedsDue = c.now.Add(speedsPeriod)
	r.row = MemberRow{
		Instance: c.self.Instance, Incarnation: c.self.Incarnation, Domain: c.config.Domain,
		Peers: c.config.Address, Share: c.config.Share, Sequence: r.row.Sequence + 1, Speeds: c.learnedSpeeds(),
		Stored: c.ledger.used,
	}
	stored := r.row.Stored
	value, err := json.Marshal(r.row)
	if err != nil {
		panic("a member's row cannot be encoded: " + err.Error())
	}
	r.writing = true
	writes := []storage.Write{{Key: MemberPrefix + c.self.Instance, Value: value, Expect: storage.AnyVersion}}
	if stored && !r.storedKnown {
		writes = append(writes, storage.Write{Key: storedMark, Value: encodeStored(c.self), Expect: storage.AnyVersion})
	}
	c.commit(Commit{Writes: writes}, func(m CommitDone) {
		r.writing = false
		if m.Err != nil {
			c.counters.FailedCommits++
			r.nextWrite = c.now.Add(writeRetry)
			if !r.storedKnown {
				c.refuseUnwritten()
			}
			return
		}
		r.nextWrite = c.now.Add(c.config.Timing.RowRenewal)
		r.written, r.storedKnown = true, stored
	})
}

// learnedSpeeds are the speeds of the endpoints held here, rounded.
func (c *Control) learnedSpeeds() map[string]float64 {
	speeds := make(map[string]float64)
	for name, e := range c.holder.endpoints.All() {
		if e.speed.samples >= inheritedSamples {
			speeds[name] = rounded(e.speed.value())
		}
	}
	if len(speeds) == 0 {
		return c.roster.row.Speeds
	}
	return speeds
}

func rounded(speed float64) float64 { return math.Round(speed*speedPrecision) / speedPrecision }

func (c *Control) scanMembers() {
	r := &c.roster
	if r.scanning || c.now.Before(r.nextScan) {
		return
	}
	r.scanning = true
	asked := c.now
	c.scan(MemberPrefix, func(m ScanDone) {
		r.scanning = false
		period := c.config.Timing.MemberScan + time.Duration(r.members.Len())*scanPerMember
		if !r.settled || c.suspects() {
			period = c.config.Timing.SuspectScan
		}
		r.nextScan = c.now.Add(period)
		if m.Err != nil {
			return
		}
		r.scanned = asked
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
				c.roster.speeds[name] = speed
			}
		}
		if row.Instance == c.self.Instance && c.roster.row.Instance == "" {
			c.roster.row.Speeds = row.Speeds
			c.ledger.used = c.ledger.used || row.Stored
		}
		m, ok := c.meet(instance.ID{Instance: row.Instance, Incarnation: row.Incarnation})
		if !ok {
			continue
		}
		if row.Sequence != m.row.Sequence {
			m.changedAt = c.now
			if m.dead {
				m.dead = false
				c.roster.changed = true
				c.logEvent("member shows life in its row", zap.Stringer("Peer", m.id), zap.Uint64("Sequence", row.Sequence))
			}
		}
		if !m.listed {
			m.listed = true
			c.roster.changed = true
		}
		m.row = row
	}
	c.connectPeers()
}

// needs reports whether this instance keeps a session with a member. Two that
// hold no endpoints have nothing to say to each other, unless there are stored
// jobs to count and to adopt.
func (c *Control) needs(m *member) bool {
	return m.up || m.row.Share > 0 || c.config.Share > 0 || c.storedExist() || !c.domainHasHolder(m.row.Domain) || !c.domainHasHolder(c.config.Domain)
}

// domainHasHolder reports whether a live member of a domain is large enough to
// hold its endpoints.
func (c *Control) domainHasHolder(domain string) bool {
	if domain == c.config.Domain && c.config.Share > 0 {
		return true
	}
	for _, m := range c.roster.members.All() {
		if m.row.Domain == domain && m.row.Share > 0 && !m.dead && !m.beat.Leaving {
			return true
		}
	}
	return false
}

// connectPeers names the peers to keep sessions with, when they have changed.
func (c *Control) connectPeers() {
	var peers []instance.Peer
	var names strings.Builder
	for _, m := range c.roster.members.All() {
		if !m.listed || !c.needs(m) {
			continue
		}
		peers = append(peers, instance.Peer{ID: m.id, Domain: m.row.Domain, Address: m.row.Peers})
		names.WriteString(m.id.String() + " " + m.row.Peers.String() + ";")
	}
	if names.String() == c.roster.connected {
		return
	}
	c.roster.connected = names.String()
	c.emit(Connect{Peers: peers})
}

// settle lets this instance take holds once its row is written and it knows all
// others: it hears each of them, or has waited for them.
func (c *Control) settle() {
	r := &c.roster
	if r.settled || !r.written || r.scanned.IsZero() || c.now.Sub(c.began) < c.config.Timing.Settle {
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
	c.adoptSoon()
	c.orphanRunsOfHome(id, "its home has restarted")
	c.loseRuns(id, heardAt)
}
