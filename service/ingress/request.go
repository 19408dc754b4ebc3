package ingress

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	firstPiece = 4 << 10 // of a body of unknown length
	maxPiece   = 32 << 10
	// maxFirstPiece bounds what is allocated by an announced length, before any byte has arrived.
	maxFirstPiece = 8 << 10
)

// ErrTooLong is the error for a body that is longer than allowed.
type ErrTooLong struct{ Limit int64 }

func (e *ErrTooLong) Error() string { return fmt.Sprintf("the body is longer than %d bytes", e.Limit) }

// Request is the part of the budget that one request uses. Only the budget's lock guards it while it
// is being read; then it belongs to its handler.
type Request struct {
	budget     *Budget
	connection Connection
	slot       *slot         // nil if the connection is not one of a Listener
	element    *list.Element // in Budget.reading, nil when it is not being read
	pieces     [][]byte      // of the body
	received   int64         // bytes of the body
	charged    int64         // bytes
	small      bool
	read       bool // in full
	begun      time.Time
	progress   time.Time // when bytes arrived last
	deadline   time.Time // when its caller stops waiting
	shed       Reason
}

// Begin adds a request over a connection. End must be called when it has been answered. With patience
// 0 the time to read it is a minute.
func (b *Budget) Begin(c Connection, patience time.Duration) *Request {
	if patience <= 0 {
		patience = maxReadTime
	}
	now := b.now()
	r := &Request{budget: b, connection: c, small: true, begun: now, progress: now, deadline: now.Add(patience)}
	if conn := connOf(c); conn != nil {
		r.slot = &conn.slot
	}
	return r
}

// ReadBody reads a body of at most limit bytes; announced is its length if that is known, else it is
// negative. It returns *ErrShed if the budget has shed the request, and *ErrTooLong for a longer
// body.
func (r *Request) ReadBody(body io.Reader, announced, limit int64) ([]byte, error) {
	if announced > limit {
		return nil, &ErrTooLong{limit}
	}
	size := int64(firstPiece)
	if announced >= 0 {
		size = max(1, min(announced, maxFirstPiece))
	}
	free, err := r.addPiece(0, size)
	if err != nil {
		return nil, err
	}
	for total := int64(0); ; {
		n, err := body.Read(free)
		free = free[n:]
		total += int64(n)
		switch {
		case total > limit:
			return nil, r.stop(&ErrTooLong{limit})
		case errors.Is(err, io.EOF):
			return r.join(total)
		case err != nil:
			return nil, r.stop(err)
		}
		if len(free) > 0 {
			if err := r.advance(total); err != nil {
				return nil, err
			}
			continue
		}
		size = min(2*size, maxPiece)
		if rest := announced - total; rest > 0 {
			size = min(size, rest)
		}
		if free, err = r.addPiece(total, size); err != nil {
			return nil, err
		}
	}
}

// addPiece accounts and allocates the next piece of the body, of which a number of bytes was received.
func (r *Request) addPiece(received, size int64) ([]byte, error) {
	b := r.budget
	now := b.now()
	b.mu.Lock()
	defer b.unlock()
	if r.shed != None {
		return nil, &ErrShed{r.shed}
	}
	r.noteProgress(now)
	r.received = received
	r.small = r.received+size <= SmallBytes
	if err := r.grow(now, size); err != nil {
		return nil, err
	}
	p := make([]byte, size)
	r.pieces = append(r.pieces, p)
	return p, nil
}

// grow accounts more bytes. The request itself is shed if they don't fit.
func (r *Request) grow(now time.Time, n int64) error {
	b := r.budget
	if !b.makeRoom(now, n, r.small, r) {
		return &ErrShed{r.shed}
	}
	r.charged += n
	b.charge(n)
	return nil
}

// noteProgress moves the request behind those whose last bytes came earlier.
func (r *Request) noteProgress(now time.Time) {
	r.progress = now
	if r.element == nil {
		r.element = r.budget.reading.PushBack(r)
	} else {
		r.budget.reading.MoveToBack(r.element)
	}
}

func (r *Request) advance(received int64) error {
	b := r.budget
	now := b.now()
	b.mu.Lock()
	defer b.unlock()
	if r.shed != None {
		return &ErrShed{r.shed}
	}
	r.received = received
	r.noteProgress(now)
	return nil
}

// stop ends reading because of an error, and returns why the request was shed if it was.
func (r *Request) stop(err error) error {
	b := r.budget
	b.mu.Lock()
	defer b.unlock()
	if r.shed != None {
		return &ErrShed{r.shed}
	}
	b.stopReading(r)
	return err
}

// join returns the body in one piece.
func (r *Request) join(total int64) ([]byte, error) {
	pieces, err := r.finishReading(total)
	if err != nil {
		return nil, err
	}
	if len(pieces) == 1 {
		return pieces[0][:total], nil
	}
	whole := make([]byte, 0, total)
	for _, p := range pieces {
		whole = append(whole, p[:min(int64(len(p)), total-int64(len(whole)))]...)
	}
	return whole, r.Resize(total) // less than before
}

// finishReading ends the part of a request in which it may be shed, and accounts the memory to join
// its pieces.
func (r *Request) finishReading(total int64) ([][]byte, error) {
	b := r.budget
	now := b.now()
	b.mu.Lock()
	defer b.unlock()
	if r.shed != None {
		return nil, &ErrShed{r.shed}
	}
	r.received, r.progress, r.read = total, now, true
	b.stopReading(r)
	pieces := r.pieces
	if len(pieces) > 1 {
		if err := r.grow(now, total); err != nil {
			return nil, err
		}
	}
	r.pieces = nil
	return pieces, nil
}

// Resize changes what a request that has been read occupies, as when it is decoded or waits for its
// answer. It returns *ErrShed if that is more and does not fit.
func (r *Request) Resize(n int64) error {
	b := r.budget
	if n <= r.charged {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.used -= r.charged - n
		r.charged = n
		return nil
	}
	now := b.now()
	b.mu.Lock()
	defer b.unlock()
	return r.grow(now, n-r.charged)
}

// End releases what the request occupies.
func (r *Request) End() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopReading(r)
	b.used -= r.charged
	r.charged, r.pieces = 0, nil
}
