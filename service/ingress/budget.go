package ingress

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

// Reason is why a request is refused or a connection is closed.
type Reason int

// Reasons. Shed requests and closed connections are counted by them.
const (
	None            Reason = iota
	Stalled                // the budget was short, and the request made no progress for longest
	Largest                // the budget was short, and the request was the largest
	NoMemory               // the budget was short, and nothing could be shed
	ReadTimeout            // the request was incomplete when its caller stopped waiting
	LongestIdle            // connections were short, and this one was idle for longest
	StalledUnread          // connections were short, none was idle, and the request made no progress for longest
	LongestUnread          // connections were short, none was idle or without progress, and the request was incomplete for longest
	NoConnection           // connections were short, and none could be closed
	HeaderTimeout          // no complete header arrived in time
	AnswerUnread           // the caller did not read its answer in time
	numberOfReasons = int(AnswerUnread) + 1
)

func (r Reason) String() string {
	return [numberOfReasons]string{
		"None", "Stalled", "Largest", "NoMemory", "ReadTimeout", "LongestIdle", "StalledUnread", "LongestUnread", "NoConnection", "HeaderTimeout", "AnswerUnread",
	}[r]
}

// explanations are the texts of refusals.
var explanations = [numberOfReasons]string{
	Stalled: "the request made no progress while memory was short", Largest: "the request was the largest while memory was short",
	NoMemory: "memory for requests is short", ReadTimeout: "the request was incomplete when its caller stopped waiting",
	LongestUnread: "the request was incomplete for longest while connections were short",
	StalledUnread: "the request made no progress while connections were short", NoConnection: "connections are short",
}

// ErrShed is the error for a request that was refused before it was read.
type ErrShed struct{ Reason Reason }

func (e *ErrShed) Error() string { return explanations[e.Reason] }

// Event tells of a request that was shed or a connection that was closed.
type Event struct {
	Reason  Reason
	Address string
	Bytes   int64         // read of the request's body
	Idle    time.Duration // since the last progress, or of an idle connection
	Read    bool          // the request had been read in full
	Closed  bool          // its connection is closed without an answer
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Event) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("Reason", e.Reason.String())
	o.AddString("Caller", e.Address)
	o.AddInt64("Bytes", e.Bytes)
	o.AddDuration("Idle", e.Idle)
	return nil
}

// Connection is what a Budget needs of a caller's connection.
type Connection interface {
	SetReadDeadline(time.Time) error // must not wait
	Close() error
	RemoteAddr() net.Addr
}

// unreadChecker is a connection that knows whether bytes have arrived that the process has not read.
type unreadChecker interface{ HasUnread() bool }

// Budget is the memory and the connections that callers of a process use. Its methods may be called
// concurrently.
type Budget struct {
	limits Limits
	now    func() time.Time
	start  time.Time
	report func(Event) // called without the lock

	jobs atomic.Int64 // bytes of accepted jobs

	mu          sync.Mutex
	used        int64                  // bytes
	peak        int64                  // the most that was used at a time
	connections map[*slot]struct{}     // open ones
	idle        *list.List             // of *slot, the longest idle first
	reading     *list.List             // of *Request with incomplete bodies, the longest without progress first
	counts      [numberOfReasons]int64 // by reason
	// closedBeforeRead and closedAfterRead count the connections that were closed because of a request.
	closedBeforeRead, closedAfterRead int64
	due                               []decision
}

// decision is carried out after the lock is released.
type decision struct {
	connection Connection
	event      Event
}

// slot is the state of an open connection. The budget's lock guards all but writingSince.
type slot struct {
	connection   Connection
	element      *list.Element // in idle, or nil
	idleSince    time.Time
	open         bool
	writingSince atomic.Int64 // Budget.sinceStart when the present write began, or 0
}

// New returns a budget. It calls report for each request that it sheds and connection that it
// closes.
func New(limits Limits, now func() time.Time, report func(Event)) *Budget {
	return &Budget{limits: limits, now: now, start: now(), report: report, connections: make(map[*slot]struct{}), idle: list.New(), reading: list.New()}
}

// sinceStart is at least 1, as 0 stands for no time.
func (b *Budget) sinceStart() time.Duration { return b.now().Sub(b.start) + 1 }

// unlock releases the lock and carries out what was decided under it.
func (b *Budget) unlock() {
	due := b.due
	b.due = nil
	b.mu.Unlock()
	for i := range due {
		d := &due[i]
		// Either call may fail, as the caller may have closed the connection.
		switch {
		case d.event.Closed:
			_ = d.connection.Close()
		case !d.event.Read:
			EndReading(d.connection)
		}
		b.report(d.event)
	}
}

// EndReading makes reads from a connection fail at once. Nothing more of a request that was not read
// in full is read then, neither by its handler nor by the HTTP server afterwards.
func EndReading(c Connection) { _ = c.SetReadDeadline(past) }

// decide notes a decision that is carried out after the lock is released.
func (b *Budget) decide(c Connection, e Event) {
	e.Address = c.RemoteAddr().String()
	b.counts[e.Reason]++
	b.due = append(b.due, decision{c, e})
}

// past is a read deadline that ends reading at once.
var past = time.Unix(1, 0)

func (b *Budget) charge(n int64) {
	b.used += n
	b.peak = max(b.peak, b.used)
}

// SetJobs sets what accepted jobs occupy beside what their callers' requests count as.
func (b *Budget) SetJobs(bytes int64) { b.jobs.Store(bytes) }

// limit returns the most that callers may occupy now.
func (b *Budget) limit() int64 {
	if b.limits.Shared == 0 {
		return b.limits.Memory
	}
	return min(b.limits.Memory, b.limits.Shared-b.jobs.Load())
}

// makeRoom sheds requests until a number of bytes fits, and reports whether it does. The requests
// that it sheds release their memory at once. It may shed the request that asks.
func (b *Budget) makeRoom(now time.Time, n int64, small bool, asking *Request) bool {
	limit := b.limit()
	if !small {
		limit -= b.limits.SmallReserve
	}
	for b.used+n > limit {
		victim, reason := asking, NoMemory
		if n <= limit {
			victim, reason = b.chooseVictim(now, n, asking)
		}
		if victim == nil {
			return false
		}
		b.shed(now, victim, reason, false)
		if victim == asking {
			return false
		}
	}
	return true
}

// chooseVictim returns the request to shed: of those that make no progress the longest stalled, else
// the largest, which may be the asking one. It returns nil if none can be shed.
func (b *Budget) chooseVictim(now time.Time, n int64, asking *Request) (*Request, Reason) {
	if e := b.reading.Front(); e != nil {
		if r := e.Value.(*Request); now.Sub(r.progress) >= stalledAfter {
			return r, Stalled
		}
	}
	largest, size := asking, int64(0)
	if asking != nil {
		size = asking.charged + n
	}
	for e := b.reading.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*Request); r.charged > size {
			largest, size = r, r.charged
		}
	}
	if largest == asking && (b.reading.Len() == 0 || b.reading.Len() == 1 && asking.element != nil) {
		return asking, NoMemory
	}
	return largest, Largest
}

// shed ends reading a request and releases its memory. Its handler finds the reason.
func (b *Budget) shed(now time.Time, r *Request, reason Reason, closeConnection bool) {
	b.decide(r.connection, Event{Reason: reason, Bytes: r.received, Idle: now.Sub(r.progress), Read: r.read, Closed: closeConnection})
	if !r.read {
		b.closedBeforeRead++ // its handler closes the connection after the answer
	}
	r.shed = reason
	b.stopReading(r)
	b.used -= r.charged
	r.charged, r.pieces = 0, nil
}

func (b *Budget) stopReading(r *Request) {
	if r.element != nil {
		b.reading.Remove(r.element)
		r.element = nil
	}
}

// open adds a connection. If connections are short it closes another one, or returns false if there
// is none to close.
func (b *Budget) open(s *slot) bool {
	now := b.now()
	b.mu.Lock()
	defer b.unlock()
	for len(b.connections) >= b.limits.Connections || !b.makeRoom(now, connectionBytes, true, nil) {
		if !b.closeOne(now) {
			b.decide(s.connection, Event{Reason: NoConnection})
			b.closedBeforeRead++
			return false
		}
	}
	b.connections[s] = struct{}{}
	b.charge(connectionBytes)
	s.open = true
	b.setIdle(s, now)
	return true
}

// longestIdle returns the longest idle connection or nil. One on which a request has just arrived is
// passed over if one of the next ones is really idle.
func (b *Budget) longestIdle() *slot {
	var first *slot
	for e, n := b.idle.Front(), 0; e != nil && n < maxPassedOver; e, n = e.Next(), n+1 {
		s := e.Value.(*slot)
		if c, ok := s.connection.(unreadChecker); !ok || !c.HasUnread() {
			return s
		}
		if first == nil {
			first = s
		}
	}
	return first
}

// closeOne closes the longest idle connection. If none is idle it closes that of the request which has
// made no progress for longest, and if all make progress that of the one which is incomplete for longest.
func (b *Budget) closeOne(now time.Time) bool {
	if s := b.longestIdle(); s != nil {
		b.decide(s.connection, Event{Reason: LongestIdle, Idle: now.Sub(s.idleSince), Closed: true})
		b.remove(s)
		return true
	}
	var victim *Request
	reason := LongestUnread
	for e := b.reading.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Request)
		if r.slot == nil || !r.slot.open {
			continue
		}
		if victim == nil && now.Sub(r.progress) >= stalledAfter {
			victim, reason = r, StalledUnread
			break
		}
		if now.Sub(r.begun) >= slowAfter && (victim == nil || r.begun.Before(victim.begun)) {
			victim = r
		}
	}
	if victim == nil {
		return false
	}
	s := victim.slot
	b.shed(now, victim, reason, true)
	b.remove(s)
	return true
}

// headerTimedOut notes that reading from a connection has timed out. It counts if the connection has no
// request yet: otherwise the HTTP server or the budget has ended reading.
func (b *Budget) headerTimedOut(s *slot) {
	now := b.now()
	b.mu.Lock()
	defer b.unlock()
	if s.element != nil {
		b.decide(s.connection, Event{Reason: HeaderTimeout, Idle: now.Sub(s.idleSince), Closed: true})
		b.closedBeforeRead++
		b.remove(s)
	}
}

func (b *Budget) remove(s *slot) {
	if !s.open {
		return
	}
	s.open = false
	b.setBusy(s)
	delete(b.connections, s)
	b.used -= connectionBytes
}

func (b *Budget) setIdle(s *slot, now time.Time) {
	if s.open && s.element == nil {
		s.idleSince = now
		s.element = b.idle.PushBack(s)
	}
}

func (b *Budget) setBusy(s *slot) {
	if s.element != nil {
		b.idle.Remove(s.element)
		s.element = nil
	}
}

// Sweep ends requests that are incomplete although their callers have stopped waiting, and closes
// connections whose callers don't read their answers.
func (b *Budget) Sweep() {
	now, sinceStart := b.now(), b.sinceStart()
	b.mu.Lock()
	defer b.unlock()
	var next *list.Element
	for e := b.reading.Front(); e != nil; e = next {
		next = e.Next()
		if r := e.Value.(*Request); now.After(r.deadline) {
			b.shed(now, r, ReadTimeout, false)
		}
	}
	for s := range b.connections {
		since := time.Duration(s.writingSince.Load())
		if idle := sinceStart - since; since != 0 && idle > writeTimeout {
			b.decide(s.connection, Event{Reason: AnswerUnread, Idle: idle, Read: true, Closed: true})
			b.closedAfterRead++
			b.remove(s)
		}
	}
}

// Snapshot is the state of a budget for metrics.
type Snapshot struct {
	Memory, MemoryLimit, MemoryPeak int64
	Jobs                            int64 // bytes of accepted jobs
	Connections, ConnectionLimit    int
	IdleConnections, Reading        int
	// ClosedBeforeRead counts connections that were closed before their request was read in full,
	// ClosedAfterRead those that were closed later.
	ClosedBeforeRead, ClosedAfterRead int64
	ByReason                          map[string]int64
}

// Snapshot returns the present state.
func (b *Budget) Snapshot() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Snapshot{
		Memory: b.used, MemoryLimit: b.limit(), Jobs: b.jobs.Load(), MemoryPeak: b.peak, Connections: len(b.connections), ConnectionLimit: b.limits.Connections,
		IdleConnections: b.idle.Len(), Reading: b.reading.Len(), ClosedBeforeRead: b.closedBeforeRead, ClosedAfterRead: b.closedAfterRead, ByReason: make(map[string]int64),
	}
	for r, n := range b.counts {
		if n > 0 {
			s.ByReason[Reason(r).String()] = n
		}
	}
	return s
}
