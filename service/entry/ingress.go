package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"crocusseam/pkg/submission"
	"crocusseam/pkg/table"
	"crocusseam/service/api"
)

const (
	// smallBodyBytes is the longest body that may use all of MaxReadBytes. Larger ones may use
	// three quarters, so that a flood of them leaves room for ordinary callers.
	smallBodyBytes = 64 << 10
	// bodyStallTimeout bounds the time without a byte of a body, bodyTimeout the time for all of
	// it: 8 MB within it are 0.6 Mbit/s.
	bodyStallTimeout = 5 * time.Second
	bodyTimeout      = 2 * time.Minute
	// receiveBufferBytes bounds what the kernel keeps of a connection's unread bytes; Linux doubles
	// it for its own use.
	receiveBufferBytes = 64 << 10
	firstReadBytes     = 4 << 10
	spareBytes         = 512 // beyond the longest body, to read its end
	// answerTimeout bounds the writing of an answer to a client that does not read it.
	answerTimeout = 30 * time.Second
	// shedRetryAfter is the Retry-After of a request for whose body there is no memory.
	shedRetryAfter = time.Second
	shedLogPeriod  = time.Second // at most one line in this time
)

// errNoMemory tells that a body was refused because others take the memory for bodies.
var errNoMemory = errors.New("the bodies of other requests take the memory for bodies")

// bodyBudget bounds the memory of all bodies that are being read or decoded. It is counted as
// buffers grow, not by an announced length.
type bodyBudget struct {
	mu   sync.Mutex
	max  int64
	used int64
}

// take counts more bytes for a body of up to this size, and reports whether there is room for them.
func (b *bodyBudget) take(size, more int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.max
	if size > smallBodyBytes {
		limit = b.max / 4 * 3
	}
	if b.used+more > limit {
		return false
	}
	b.used += more
	return true
}

func (b *bodyBudget) give(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}

// readBody reads the body of a request. Its buffer counts against the budget until the caller calls done,
// with the buffer that replaces it while it grows, and with what decoding builds from it. done has
// to be called after an error too.
func (s *Server) readBody(w http.ResponseWriter, request *http.Request) (body []byte, done func(), err error) {
	held := int64(0)
	done = func() { s.bodies.give(held) }
	take := func(size, more int64) bool {
		if !s.bodies.take(size, more) {
			return false
		}
		held += more
		return true
	}
	connection := http.NewResponseController(w)
	latest := time.Now().Add(bodyTimeout)
	reader := http.MaxBytesReader(w, request.Body, s.config.MaxBodyBytes)
	for {
		deadline := time.Now().Add(bodyStallTimeout)
		if latest.Before(deadline) {
			deadline = latest
		}
		if err := connection.SetReadDeadline(deadline); err != nil {
			return nil, done, err
		}
		if len(body) == cap(body) {
			size := min(int64(max(firstReadBytes, 2*cap(body))), s.config.MaxBodyBytes+spareBytes)
			if !take(size, size) {
				return nil, done, errNoMemory
			}
			former := int64(cap(body))
			body = append(make([]byte, 0, size), body...)
			s.bodies.give(former)
			held -= former
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			if !take(int64(cap(body)), int64(len(body))) {
				return nil, done, errNoMemory
			}
			return body, done, connection.SetReadDeadline(time.Time{})
		}
		if err != nil {
			return nil, done, err
		}
	}
}

// callerConnections counts the connections of callers and knows which are idle since when. Above the
// limit the one that has been idle for longest is closed, or else the new one.
type callerConnections struct {
	mu     sync.Mutex
	max    int
	open   int
	idle   *table.Table[net.Conn, time.Time] // since when; the longest idle first
	closed int64
}

// note follows the state of a connection. It returns one to close, or nil.
func (k *callerConnections) note(c net.Conn, state http.ConnState, now time.Time) net.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle.Delete(c)
	switch state {
	case http.StateIdle:
		k.idle.Put(c, now)
	case http.StateClosed, http.StateHijacked:
		k.open--
	case http.StateNew:
		if k.open++; k.open <= k.max {
			return nil
		}
		k.closed++
		for longest := range k.idle.All() {
			k.idle.Delete(longest)
			return longest
		}
		return c
	}
	return nil
}

func (k *callerConnections) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.open
}

// noteConnection follows the state of a caller's connection, and closes one above the limit.
func (s *Server) noteConnection(c net.Conn, state http.ConnState) {
	if surplus := s.connections.note(c, state, time.Now()); surplus != nil {
		s.logShed(surplus.RemoteAddr().String(), "more connections than MaxConnections")
		_ = surplus.Close()
	}
}

// logShed logs a request or connection that was shed, at most once in shedLogPeriod.
func (s *Server) logShed(caller, reason string) {
	now := time.Now().UnixNano()
	last := s.shedLoggedAt.Load()
	s.shed.Add(1)
	if now-last >= int64(shedLogPeriod) && s.shedLoggedAt.CompareAndSwap(last, now) {
		s.config.Logger.Named("callers").Warn("caller shed", zap.String("Caller", caller), zap.String("Reason", reason), zap.Int64("ShedSoFar", s.shed.Load()))
	}
}

// boundedListener bounds the receive buffers of the connections that it accepts, as the bytes in
// them take memory of the machine too.
type boundedListener struct{ net.Listener }

func (l boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		err = tcp.SetReadBuffer(receiveBufferBytes)
		if err != nil { // the caller has closed it already
			return c, nil
		}
	}
	return c, err
}

// guardClients closes the connection after a request whose body nobody reads, and bounds how
// long a client may take to read its answer.
func guardClients(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		connection := http.NewResponseController(c.Response())
		request := c.Request()
		if request.ContentLength != 0 && request.Method != http.MethodPost {
			c.Response().Header().Set(echo.HeaderConnection, "close")
			_ = connection.SetReadDeadline(time.Now().Add(bodyStallTimeout)) // the connection is closed soon
		}
		c.Response().Before(func() {
			_ = connection.SetWriteDeadline(time.Now().Add(answerTimeout)) // only the last resort against silent clients
		})
		return next(c)
	}
}

// readSubmission reads and decodes a submission. Its memory counts until the caller calls done, also after an
// error.
func (s *Server) readSubmission(c echo.Context) (sub *submission.Submission, done func(), err error) {
	body, done, err := s.readBody(c.Response(), c.Request())
	if err != nil {
		return nil, done, err
	}
	sub, err = api.DecodeSubmission(body, s.config.Limits)
	return sub, done, err
}

// refuseBody answers a request whose submission could not be read or decoded.
func (s *Server) refuseBody(c echo.Context, err error) error {
	refusal := &api.Refusal{Reason: submission.Invalid, NotRun: true, Field: "body", Detail: err.Error()}
	var tooLong *http.MaxBytesError
	var invalid *submission.ErrInvalid
	switch {
	case errors.Is(err, errNoMemory):
		return s.shedRequest(c, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return s.shedRequest(c, "the body stopped, or took too long")
	case errors.As(err, &tooLong):
		refusal.Value, refusal.Detail = "longer than "+strconv.FormatInt(tooLong.Limit, 10)+" bytes", "the body is too long"
		return c.JSON(http.StatusRequestEntityTooLarge, refusal)
	case errors.As(err, &invalid):
		refusal = api.EncodeInvalid(submission.Key{}, invalid)
	}
	return c.JSON(http.StatusBadRequest, refusal)
}

// shedRequest refuses a request before its body was read, and closes the connection. The refusal does
// not say NotRun, as the submission may be a later attempt at one that has run.
func (s *Server) shedRequest(c echo.Context, reason string) error {
	s.logShed(c.Request().RemoteAddr, reason)
	c.Response().Header().Set(echo.HeaderConnection, "close")
	return refuse(c, submission.Key{}, &submission.Refusal{Reason: submission.Overloaded, RetryAfter: shedRetryAfter, Detail: reason})
}
