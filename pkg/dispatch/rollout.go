package dispatch

import (
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"crocusseam/pkg/document"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
	"crocusseam/pkg/table"
)

// Revision names one version of the document.
type Revision struct {
	Version uint64
	Digest  string
	By      string
	At      time.Time
	// StartAt is when the version takes effect.
	StartAt time.Time
}

// Rollout is the row that names the active document and the staged one, which
// becomes active when all instances have accepted it. All writes of the row are
// conditional on its version.
type Rollout struct {
	Active   Revision
	Staged   *Revision  `json:",omitempty"`
	Rejected *Rejection `json:",omitempty"`
	// History lists the active versions so far, the newest last.
	History []Revision
}

// Rejection says which instance could not accept a staged version, and why.
type Rejection struct {
	Revision Revision
	Instance string
	Reason   string
}

// DocumentKey is the key of a document's bytes in the table.
func DocumentKey(digest string) string { return "document/" + digest }

const historyLength = 50 // revisions in Rollout.History

// stagedDocument is a version of the document that this instance loads and
// checks.
type stagedDocument struct {
	revision Revision
	document *document.Document // nil until it is loaded and valid
	fault    string             // why it is not valid
	loading  bool
}

// rolloutState is what this instance knows of the rollout.
type rolloutState struct {
	row        Rollout
	version    storage.Version // of row
	active     Revision        // that this instance serves
	staged     *stagedDocument
	activating *stagedDocument // the active version of row, until this instance serves it
	commitID   uint64          // commit in flight; 0 if none
	commitSent time.Time
	readyScans int // scans in a row after which the staged version could be activated or rejected
}

// readRollout applies the rollout row that a scan has read. It ignores a row that
// is older than the last one read.
func (c *Control) readRollout(row *storage.Row) {
	s := &c.membership.rollout
	if row.Version < s.version && !c.ruleSwitches.noVersionCheck {
		c.counters.OldReads++
		return
	}
	var rollout Rollout
	if err := json.Unmarshal(row.Value, &rollout); err != nil {
		c.counters.BadRows++
		return
	}
	s.row, s.version = rollout, row.Version
}

// runRollout loads the documents that the rollout row names, serves the active one
// once it is due, and activates or rejects the staged one.
func (c *Control) runRollout() {
	s := &c.membership.rollout
	c.loadActive()
	c.loadStaged()
	c.activateDue()
	if s.row.Staged != nil {
		c.advanceRollout()
	} else {
		s.readyScans = 0
	}
}

// loadActive loads the active version if this instance does not serve it yet.
func (c *Control) loadActive() {
	s := &c.membership.rollout
	active := s.row.Active
	newer := active.Version > s.active.Version || (c.ruleSwitches.noVersionCheck && active.Version != s.active.Version)
	if !newer || (s.activating != nil && s.activating.revision.Version == active.Version) {
		return
	}
	if s.staged != nil && s.staged.revision.Digest == active.Digest && s.staged.document != nil {
		s.activating = &stagedDocument{revision: active, document: s.staged.document}
		return
	}
	s.activating = &stagedDocument{revision: active, loading: true}
	c.loadDocument(s.activating)
}

// loadStaged loads and checks the staged version.
func (c *Control) loadStaged() {
	s := &c.membership.rollout
	if s.row.Staged == nil {
		if s.staged != nil && s.staged.revision.Version <= s.row.Active.Version {
			s.staged = nil
		}
		return
	}
	staged := *s.row.Staged
	if s.staged != nil && s.staged.revision.Version == staged.Version && (s.staged.document != nil || s.staged.fault != "" || s.staged.loading) {
		return
	}
	s.staged = &stagedDocument{revision: staged, loading: true}
	c.loadDocument(s.staged)
}

// loadDocument reads a document from the table and checks it.
func (c *Control) loadDocument(d *stagedDocument) {
	c.get(DocumentKey(d.revision.Digest), func(row storage.Row, err error) {
		d.loading = false
		if err != nil {
			return
		}
		if document.Digest(row.Value) != d.revision.Digest {
			d.fault = "the document's bytes do not have its digest"
			return
		}
		parsed, err := document.Parse(row.Value)
		if err != nil {
			d.fault = err.Error()
			return
		}
		d.document = parsed
		c.membership.nextHeartbeat = c.now
		c.activateDue()
	})
}

// activateDue applies the version that is being activated once its StartAt has
// passed. An instance that serves no version yet does not wait. A version is never
// applied after a higher one.
func (c *Control) activateDue() {
	s := &c.membership.rollout
	if s.activating == nil {
		return
	}
	if s.activating.document == nil {
		if !s.activating.loading {
			s.activating = nil // loaded again after the next scan
		}
		return
	}
	wait := s.activating.revision.StartAt.Sub(c.now)
	if wait > 0 && s.active.Version > 0 {
		c.membership.nextHeartbeat = earlier(c.now.Add(wait), c.membership.nextHeartbeat)
		return
	}
	c.applyDocument(s.activating.document, s.activating.revision.Version)
	s.active = s.activating.revision
	s.activating = nil
}

// advanceRollout activates the staged version when every live instance is ready,
// or rejects it when one cannot accept it. Any instance may do so: the one with
// the lowest name acts first, each next one two scans later if the row is still
// unchanged.
func (c *Control) advanceRollout() {
	s := &c.membership.rollout
	if s.commitID != 0 && c.now.Sub(s.commitSent) < platformTimeout {
		return
	}
	next := s.row
	next.Staged = nil
	instance, fault, ready := c.stagedReadiness(*s.row.Staged)
	switch {
	case fault != "":
		next.Rejected = &Rejection{Revision: *s.row.Staged, Instance: instance, Reason: fault}
	case ready:
		next.Active = *s.row.Staged
		next.Active.StartAt = c.now.Round(0).Add(c.config.Timing.MemberTimeout)
		next.History = append(append([]Revision(nil), s.row.History...), next.Active)
		if len(next.History) > historyLength {
			next.History = next.History[len(next.History)-historyLength:]
		}
	default:
		s.readyScans = 0
		return
	}
	s.readyScans++
	if s.readyScans <= 2*c.rank() {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		panic("a rollout row cannot be encoded: " + err.Error())
	}
	c.claims.lastID++
	s.commitID, s.commitSent = c.claims.lastID, c.now
	c.emit(Commit{ID: s.commitID, Writes: []storage.Write{{Key: RolloutKey, Value: value, Expect: s.version}}})
}

// stagedReadiness reports whether all live instances are ready to serve the
// staged version, or which of them has found what fault in it.
func (c *Control) stagedReadiness(staged Revision) (instance, fault string, ready bool) {
	own := c.membership.rollout.staged
	if own == nil || own.revision.Version != staged.Version || (own.document == nil && own.fault == "") {
		return "", "", false
	}
	if own.fault != "" {
		return c.self.Instance, own.fault, false
	}
	for id, m := range c.membership.members.All() {
		if !c.alive(m) || m.departing {
			continue
		}
		if m.row.StagedVersion != staged.Version {
			return "", "", false
		}
		if m.row.StagedFault != "" {
			return id, m.row.StagedFault, false
		}
	}
	return "", "", true
}

// rank returns the number of live instances with a lower name.
func (c *Control) rank() int {
	rank := 0
	for id, m := range c.membership.members.All() {
		if c.alive(m) && id < c.self.Instance {
			rank++
		}
	}
	return rank
}

// rolloutCommitDone handles the answer to the commit of a rollout row. It reports
// whether the commit was one.
func (c *Control) rolloutCommitDone(m CommitDone) bool {
	s := &c.membership.rollout
	if s.commitID == 0 || m.ID != s.commitID {
		return false
	}
	s.commitID = 0
	c.recordPlatformResult(m.Err)
	var conflict *storage.ErrConflict
	if errors.As(m.Err, &conflict) {
		c.counters.LostRaces++
	}
	c.membership.nextHeartbeat = c.now
	return true
}

// applyDocument makes this instance serve a document. It marks the endpoints that the
// document does not list in this instance's domain as leaving, and deletes those of
// them that now have no running and no queued task.
func (c *Control) applyDocument(d *document.Document, version uint64) {
	c.document = d
	c.membership.rollout.active.Version = version
	c.hedging = false
	for _, class := range d.Classes {
		c.hedging = c.hedging || class.Hedge.Enabled
	}
	shapes := table.New[netip.AddrPort, *routing.Shape]()
	kept := make(map[netip.AddrPort]bool)
	for i := range d.Domains {
		for _, g := range d.Domains[i].Groups {
			shape := &routing.Shape{Kinds: g.Kinds, Processors: g.Processors, MemoryBytes: g.MemoryBytes, Accelerators: g.Accelerators}
			for _, a := range g.Endpoints {
				shapes.Put(a, shape)
				if d.Domains[i].Name == c.config.Domain {
					kept[a] = true
					c.configureEndpoint(a, min(g.Slots, g.Connections))
				}
			}
		}
	}
	c.shapes = shapes
	for a, e := range c.holder.endpoints.All() {
		if !kept[a] {
			e.leaving = true
			if e.running == 0 && len(e.queue) == 0 {
				c.holder.endpoints.Delete(a)
			}
		}
	}
	c.reassignEndpoints()
	c.holder.wholeReportDue = c.now
}

// configureEndpoint adds an endpoint of this domain or updates its slots. The endpoint
// is leaving, so that no task starts there, if discovery shows it as leaving
// (leavingEndpoints) or an operator has marked it to be drained (drainMarks).
func (c *Control) configureEndpoint(a netip.AddrPort, count int) {
	e, ok := c.holder.endpoints.Get(a)
	if !ok {
		e = &endpoint{address: a}
		c.holder.endpoints.Put(a, e)
	}
	e.slots = count
	e.leaving = c.membership.leavingEndpoints[a] || c.membership.drainMarks[a.String()]
}

// team returns a team of the document.
func (c *Control) team(name string) (document.Team, bool) {
	if c.document == nil {
		return document.Team{}, false
	}
	for _, t := range c.document.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return document.Team{}, false
}

func (c *Control) teamWeight(name string) int {
	t, _ := c.team(name)
	return max(t.Weight, 1)
}

// classOf returns the class of a submission and whether it is known. A submission
// without a class has the default class, which the document may redefine.
func (c *Control) classOf(s *submission.Submission) (document.Class, bool) {
	name := s.Class
	if name == "" {
		name = document.DefaultClass().Name
	}
	if c.document != nil {
		for _, class := range c.document.Classes {
			if class.Name == name {
				return class, true
			}
		}
	}
	return document.DefaultClass(), s.Class == ""
}
