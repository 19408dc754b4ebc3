package dispatch

import (
	"net/netip"
	"time"

	"crocusseam/pkg/document"
)

// Status is an instance's report of itself, the endpoints of its domain and the
// other instances.
type Status struct {
	Instance      string
	Incarnation   uint64
	Domain        string
	State         string
	Lead          string
	PlatformAway  bool
	Stale         bool // the last scan of the control rows is older than MemberTimeout
	ActiveVersion uint64
	StagedVersion uint64
	OpenJobs      int
	OpenBytes     int64 // estimated memory of the jobs that are not forgotten yet
	WaitingTasks  int
	OccupiedSlots int
	Endpoints     []EndpointStatus
	Members       []MemberStatus
	Counters      Counters
	Document      *document.Document `json:"-"`
}

// EndpointStatus is an endpoint of the instance's domain.
type EndpointStatus struct {
	Address  netip.AddrPort
	Held     bool
	Leaving  bool
	Drained  bool
	Ejected  bool
	Slots    int
	Running  int
	Queued   int
	Speed    float64
	Failures int
}

// MemberStatus is another instance as this one last observed it.
type MemberStatus struct {
	Instance      string
	Incarnation   uint64
	Domain        string
	State         string
	Alive         bool
	Linked        bool // a session with it is up
	ActiveVersion uint64
	SinceSeen     time.Duration // since a scan last showed that it had renewed its row
}

// Status returns the current status of the instance.
func (c *Control) Status() Status {
	s := Status{
		Instance: c.self.Instance, Incarnation: c.self.Incarnation, Domain: c.config.Domain,
		State: c.stateName(), Lead: c.home.leadID.Instance, PlatformAway: c.platformAway(),
		Stale:         c.now.Sub(c.membership.lastScan) > c.config.Timing.MemberTimeout,
		ActiveVersion: c.membership.rollout.active.Version, OpenJobs: c.home.openJobs, OpenBytes: c.home.memory,
		WaitingTasks: c.waitingTasks(), OccupiedSlots: c.holder.occupied,
		Counters: c.counters, Document: c.document,
	}
	if staged := c.membership.rollout.row.Staged; staged != nil {
		s.StagedVersion = staged.Version
	}
	for a, e := range c.holder.endpoints.All() {
		s.Endpoints = append(s.Endpoints, EndpointStatus{
			Address: a, Held: e.state == held, Leaving: c.membership.leavingEndpoints[a], Drained: c.membership.drainMarks[a.String()],
			Ejected: e.health.ejected, Slots: e.slots, Running: e.running, Queued: len(e.queue),
			Speed: e.speed.Speed(), Failures: e.health.failures,
		})
	}
	for _, m := range c.membership.members.All() {
		id := PeerID{Instance: m.row.Instance, Incarnation: m.row.Incarnation}
		s.Members = append(s.Members, MemberStatus{
			Instance: id.Instance, Incarnation: id.Incarnation, Domain: m.row.Domain, State: string(m.row.State),
			Alive: c.alive(m), Linked: c.sessionUp(id), ActiveVersion: m.row.ActiveVersion, SinceSeen: c.now.Sub(m.lastSeen),
		})
	}
	return s
}

func (c *Control) stateName() string {
	if !c.serving() {
		return string(Leaving)
	}
	return string(c.membership.state)
}

func (c *Control) waitingTasks() int {
	count := 0
	for _, a := range c.home.attempts.All() {
		if a.placedAt.IsZero() {
			count++
		}
	}
	return count
}
