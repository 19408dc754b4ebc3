package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// fakeConnection notes what is done with a connection.
type fakeConnection struct {
	unread, readingEnded, closed bool
}

func (c *fakeConnection) SetReadDeadline(time.Time) error {
	c.readingEnded = true
	return nil
}

func (c *fakeConnection) Close() error {
	c.closed = true
	return nil
}
func (c *fakeConnection) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (c *fakeConnection) HasUnread() bool      { return c.unread }

// world is a budget with a clock of its own.
type world struct {
	t      *testing.T
	budget *Budget
	at     time.Time
	events []Event
}

func newWorld(t *testing.T, l Limits) *world {
	w := &world{t: t, at: time.Unix(1000, 0)}
	w.budget = New(l, func() time.Time { return w.at }, func(e Event) { w.events = append(w.events, e) })
	return w
}

func (w *world) begin(patience time.Duration) *Request {
	return w.budget.Begin(&fakeConnection{}, patience)
}

// receive begins a request of which a number of bytes has arrived in pieces.
func (w *world) receive(n int64) *Request {
	r := w.begin(time.Minute)
	for received := int64(0); received < n; {
		size := min(n-received, maxPiece)
		_, err := r.addPiece(received, size)
		assert.NilError(w.t, err)
		received += size
	}
	return r
}

func (w *world) checkNothingUsed(requests ...*Request) {
	w.t.Helper()
	for _, r := range requests {
		r.End()
	}
	s := w.budget.Snapshot()
	assert.Check(w.t, cmp.Equal(s.Memory, int64(0)))
	assert.Check(w.t, cmp.Equal(s.Reading, 0))
}

// Guards against limits that ordinary callers reach.
func TestLimitsOfMachines(t *testing.T) {
	for _, c := range []struct {
		memoryMB, descriptors, connections int
	}{{144, 3075, 768}, {536, 10_250, 2858}, {100, 700, 375}, {284, 20_000, 1514}, {8, 300, 42}, {1, 1, 16}} {
		l := LimitsOf(int64(c.memoryMB)<<20, c.descriptors)
		assert.Check(t, cmp.Equal(l.Connections, c.connections), "%d MB", c.memoryMB)
		assert.Check(t, cmp.Equal(l.Memory, int64(c.memoryMB)<<20/3))
	}
	assert.Check(t, LimitsOf(0, 0).Connections > 0)
}

// Guards against a flood of stalled bodies that keeps a process from serving others: the request
// that made no progress for longest is shed first, whatever its size.
func TestLongestStalledIsShedFirst(t *testing.T) {
	w := newWorld(t, Limits{Memory: 100 << 10, Connections: 10})
	first := w.receive(20 << 10)
	w.at = w.at.Add(stalledAfter)
	larger := w.receive(60 << 10)
	w.at = w.at.Add(stalledAfter)
	last := w.receive(30 << 10)
	assert.Equal(t, first.shed, Stalled)
	assert.Equal(t, larger.shed, None)
	assert.Check(t, cmp.DeepEqual(w.events, []Event{{Reason: Stalled, Address: "127.0.0.1:0", Bytes: 0, Idle: 2 * stalledAfter}}))
	assert.Check(t, first.connection.(*fakeConnection).readingEnded)
	assert.Check(t, cmp.Equal(w.budget.Snapshot().Memory, int64(90<<10)), "the memory of a request that was shed is free at once")
	_, err := first.addPiece(20<<10, 1)
	var shed *ErrShed
	assert.Assert(t, errors.As(err, &shed))
	w.checkNothingUsed(first, larger, last)
}

// Guards against requests that are shed although they make progress while another one is larger.
func TestLargestIsShedWhenNoneIsStalled(t *testing.T) {
	w := newWorld(t, Limits{Memory: 100 << 10, Connections: 10})
	small, large, middle := w.receive(20<<10), w.receive(40<<10), w.receive(30<<10)
	_, err := small.addPiece(20<<10, 15<<10)
	assert.NilError(t, err)
	assert.Equal(t, large.shed, Largest)
	_, err = middle.addPiece(30<<10, 80<<10) // is the largest itself
	assert.Error(t, err, (&ErrShed{Largest}).Error())
	assert.Equal(t, small.shed, None)
	w.checkNothingUsed(small, large, middle)
}

// Guards against large requests that take the reserve of small ones.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	w := newWorld(t, Limits{Memory: 100 << 10, SmallReserve: 20 << 10, Connections: 10})
	large := w.begin(time.Minute)
	_, err := large.addPiece(0, 80<<10)
	assert.NilError(t, err)
	_, err = large.addPiece(80<<10, 1<<10)
	assert.Error(t, err, (&ErrShed{NoMemory}).Error())
	other := w.receive(80 << 10)
	small := w.receive(SmallBytes)
	assert.Check(t, other.shed == None && small.shed == None)
	w.checkNothingUsed(large, other, small)
}

// Guards against a job that was read and is refused without need, or decoded although there is no
// memory for that.
func TestRequestThatWasReadShedsOthersAndIsNotShedByThem(t *testing.T) {
	w := newWorld(t, Limits{Memory: 100 << 10, Connections: 10})
	r := w.begin(time.Minute)
	body, err := r.ReadBody(bytes.NewReader(make([]byte, 10<<10)), 10<<10, 256<<10)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 10<<10)
	flood := w.receive(80 << 10)
	assert.NilError(t, r.Resize(60<<10))
	assert.Equal(t, flood.shed, Largest)
	w.at = w.at.Add(time.Minute)
	w.budget.Sweep()
	other := w.receive(40 << 10)
	assert.Equal(t, r.shed, None)
	assert.Error(t, r.Resize(100<<10), (&ErrShed{Largest}).Error())
	assert.Check(t, !r.connection.(*fakeConnection).readingEnded, "the request was read in full")
	w.checkNothingUsed(r, flood, other)
}

// chunkReader gives a body in chunks and may end with an error.
type chunkReader struct {
	left, chunk int
	err         error
	between     func()
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, c.err
	}
	n := min(c.left, c.chunk, len(p))
	for i := range n {
		p[i] = byte((c.left - i) % 251)
	}
	c.left -= n
	if c.between != nil {
		c.between()
	}
	return n, nil
}

// Guards against bodies that are damaged or cut when they are read in pieces, and memory that is
// accounted wrongly.
func TestBodiesAreReadInPieces(t *testing.T) {
	for _, size := range []int{0, 1, 300, 4095, 4096, 4097, 8192, 5000, 60_000, 262_144} {
		for _, chunk := range []int{1000, 1 << 20} {
			for _, announced := range []int64{-1, int64(size)} {
				w := newWorld(t, LimitsOf(100<<20, 700))
				r := w.begin(time.Minute)
				body, err := r.ReadBody(&chunkReader{left: size, chunk: chunk, err: io.EOF}, announced, 262_144)
				assert.NilError(t, err, "%d %d", size, announced)
				want, err := io.ReadAll(&chunkReader{left: size, chunk: chunk, err: io.EOF})
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(body, want), "%d bytes in chunks of %d, announced %d", size, chunk, announced)
				assert.Check(t, w.budget.Snapshot().MemoryPeak <= int64(2*size+maxPiece))
				w.checkNothingUsed(r)
			}
		}
	}
}

// Guards against memory that is taken by an announced length, or kept after a body that breaks off or is
// too long.
func TestBodiesThatEndEarlyOrLate(t *testing.T) {
	w := newWorld(t, LimitsOf(100<<20, 700))
	r := w.begin(time.Minute)
	_, err := r.ReadBody(&chunkReader{err: io.ErrUnexpectedEOF}, 262_144, 262_144)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Check(t, w.budget.Snapshot().MemoryPeak <= maxFirstPiece)
	w.checkNothingUsed(r)
	var tooLong *ErrTooLong
	for _, announced := range []int64{-1, 262_145} {
		other := w.begin(time.Minute)
		_, err = other.ReadBody(&chunkReader{left: 262_145, chunk: 5000, err: io.EOF}, announced, 262_144)
		assert.Assert(t, errors.As(err, &tooLong))
		w.checkNothingUsed(other)
	}
}

// Guards against bodies that are read on after their caller has stopped waiting, and against one that
// is ended before although it is slow.
func TestBodyIsReadAsLongAsItsCallerWaits(t *testing.T) {
	w := newWorld(t, LimitsOf(100<<20, 700))
	slow := func(patience time.Duration) error {
		r := w.begin(patience)
		_, err := r.ReadBody(&chunkReader{left: 256 << 10, chunk: 16 << 10, err: io.EOF, between: func() {
			w.at = w.at.Add(100 * time.Millisecond)
			w.budget.Sweep()
		}}, 256<<10, 256<<10)
		w.checkNothingUsed(r)
		return err
	}
	assert.NilError(t, slow(1700*time.Millisecond))
	assert.Error(t, slow(1500*time.Millisecond), (&ErrShed{ReadTimeout}).Error())
	assert.Check(t, cmp.Equal(w.budget.Snapshot().ClosedBeforeRead, int64(1)))
}

func (w *world) open() (*slot, bool) {
	s := &slot{connection: &fakeConnection{}}
	return s, w.budget.open(s)
}

func closed(s *slot) bool { return s.connection.(*fakeConnection).closed }

// Guards against a flood of connections that keeps others out: the longest idle one is closed, then one
// that makes no progress, and never one whose request has been read.
func TestConnectionsThatAreClosedWhenTheyAreShort(t *testing.T) {
	w := newWorld(t, Limits{Memory: 10 << 20, Connections: 4})
	var s [8]*slot
	for i := range 4 {
		s[i], _ = w.open()
		w.at = w.at.Add(time.Second)
	}
	s[0].connection.(*fakeConnection).unread = true // a request has arrived
	w.budget.setBusy(s[1])
	stalled := w.begin(time.Hour)
	stalled.slot, stalled.connection = s[1], s[1].connection
	_, err := stalled.addPiece(0, 1000)
	assert.NilError(t, err)
	w.at = w.at.Add(time.Second)
	for i, victim := range []int{2, 3, 0, 1} {
		var ok bool
		s[4+i], ok = w.open()
		assert.Assert(t, ok)
		w.budget.setBusy(s[4+i])
		assert.Assert(t, closed(s[victim]), "connection %d", victim)
	}
	assert.Equal(t, stalled.shed, StalledUnread)
	refused, ok := w.open()
	assert.Check(t, !ok)
	assert.Check(t, cmp.Equal(w.events[len(w.events)-1].Reason, NoConnection))
	assert.Check(t, !refused.open)
	for _, busy := range s[4:] {
		assert.Check(t, !closed(busy))
	}
	assert.Check(t, cmp.DeepEqual(w.budget.Snapshot().ByReason, map[string]int64{"LongestIdle": 3, "StalledUnread": 1, "NoConnection": 1}))
}

// Guards against requests of which a byte arrives now and then, which keep all connections from others.
func TestSlowRequestsDoNotKeepConnectionsFromOthers(t *testing.T) {
	w := newWorld(t, Limits{Memory: 10 << 20, Connections: 2})
	var requests []*Request
	for range 2 {
		s, _ := w.open()
		w.budget.setBusy(s)
		r := w.begin(time.Hour)
		r.slot, r.connection = s, s.connection
		_, err := r.addPiece(0, 1000)
		assert.NilError(t, err)
		requests = append(requests, r)
		w.at = w.at.Add(slowAfter / 2)
	}
	assert.NilError(t, requests[0].advance(1))
	assert.NilError(t, requests[1].advance(1))
	_, ok := w.open()
	assert.Check(t, ok)
	assert.Check(t, cmp.Equal(requests[0].shed, LongestUnread))
	assert.Check(t, cmp.Equal(requests[1].shed, None))
	w.budget.setBusy(w.budget.idle.Front().Value.(*slot))
	_, ok = w.open()
	assert.Check(t, !ok, "the other request has had less time")
}

// Guards against connections that stay open although their callers never read their answers, and
// against those of fast readers that are closed.
func TestConnectionOfAnAnswerThatIsNotReadIsClosed(t *testing.T) {
	w := newWorld(t, Limits{Memory: 10 << 20, Connections: 4})
	unread, _ := w.open()
	other, _ := w.open()
	unread.writingSince.Store(int64(w.budget.sinceStart()))
	w.at = w.at.Add(writeTimeout)
	w.budget.Sweep()
	assert.Check(t, !closed(unread))
	w.at = w.at.Add(time.Millisecond)
	w.budget.Sweep()
	assert.Check(t, closed(unread) && !closed(other))
	assert.Check(t, cmp.Equal(w.budget.Snapshot().ClosedAfterRead, int64(1)))
}

// Guards against callers and accepted jobs that together take more than there is.
func TestAcceptedJobsLowerTheLimitOfCallers(t *testing.T) {
	w := newWorld(t, Limits{Memory: 10 << 20, Shared: 16 << 20, Connections: 4})
	r := w.begin(time.Minute)
	assert.NilError(t, r.Resize(8<<20))
	w.budget.SetJobs(7 << 20)
	assert.Check(t, cmp.Equal(w.budget.Snapshot().MemoryLimit, int64(9<<20)))
	var shed *ErrShed
	assert.Check(t, errors.As(w.begin(time.Minute).Resize(2<<20), &shed))
	w.budget.SetJobs(1 << 20)
	assert.NilError(t, w.begin(time.Minute).Resize(2<<20))
	r.End()
}
