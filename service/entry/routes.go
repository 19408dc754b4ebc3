package entry

import (
	"crypto/subtle"
	"errors"
	"expvar"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/document"
	"crocusseam/pkg/submission"
	"crocusseam/service/api"
)

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Use(s.closeWhenStopping, guardClients)
	e.POST(api.PathSubmissions, s.postSubmission)
	e.GET(api.PathSubmission, s.getSubmission)
	e.DELETE(api.PathSubmission, s.deleteSubmission)
	e.GET(api.PathHealth, func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET(api.PathReady, s.getReady)
	e.GET(api.PathStatus, s.getStatus)
	e.GET("/debug/vars", s.getVars)
	return e
}

// closeWhenStopping asks callers to close their connections once a planned stop
// has begun.
func (s *Server) closeWhenStopping(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if s.stopping.Load() {
				c.Response().Header().Set(echo.HeaderConnection, "close")
			}
		})
		return next(c)
	}
}

// getReady tells the load balancer whether to send new requests to this instance.
func (s *Server) getReady(c echo.Context) error {
	if status := s.Status(); status.State != string(dispatch.Live) || status.Document == nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) getStatus(c echo.Context) error {
	if !s.isOperator(c) {
		return refuse(c, submission.Key{}, &submission.Refusal{Reason: submission.Unauthorized, Detail: "an operator's token is needed"})
	}
	return c.JSON(http.StatusOK, s.Status())
}

// metrics is the expvar map of the instances in this process. An instance's entry
// holds the counters of dispatch.Counters, which are documented there, the current
// load, and the traffic with peers.
var metrics = expvar.NewMap("Crocusseam")

// publishMetrics adds the instance's entry to metrics.
func (s *Server) publishMetrics() {
	metrics.Set(s.config.Instance, expvar.Func(func() any {
		status := s.Status()
		traffic := s.Traffic()
		return struct {
			dispatch.Counters
			OpenJobs          int
			OpenBytes         int64
			WaitingTasks      int
			OccupiedSlots     int
			PeerBytesSent     int64
			PeerBytesReceived int64
			PeerMessagesSent  int64
			PeerFramesSent    int64
			ShedCallers       int64
		}{
			status.Counters, status.OpenJobs, status.OpenBytes, status.WaitingTasks, status.OccupiedSlots,
			traffic.SentBytes.Load(), traffic.ReceivedBytes.Load(), traffic.SentMessages.Load(), traffic.SentFrames.Load(), s.shed.Load(),
		}
	}))
}

// getVars serves all expvar variables of the process.
func (s *Server) getVars(c echo.Context) error {
	if !s.isOperator(c) {
		return refuse(c, submission.Key{}, &submission.Refusal{Reason: submission.Unauthorized, Detail: "an operator's token is needed"})
	}
	expvar.Handler().ServeHTTP(c.Response(), c.Request())
	return nil
}

func bearerToken(c echo.Context) string {
	return strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
}

// isOperator compares the token's hash with that of every operator, in constant
// time. A document without operators, as on a developer's machine, admits everyone.
func (s *Server) isOperator(c echo.Context) bool {
	d := s.activeDocument()
	if d == nil || len(d.Operators) == 0 {
		return true
	}
	found := 0
	hash := document.TokenHash(bearerToken(c))
	for _, o := range d.Operators {
		found |= subtle.ConstantTimeCompare([]byte(hash), []byte(o))
	}
	return found == 1
}

// isAuthorizedFor checks the caller's token against the team's. An unknown team and
// a wrong token get the same refusal, which does not reveal the teams that exist.
func (s *Server) isAuthorizedFor(c echo.Context, team string) bool {
	d := s.activeDocument()
	if d == nil {
		return true // the control state refuses everything until it has a document
	}
	hash := document.TokenHash(bearerToken(c))
	for _, t := range d.Teams {
		if t.Name == team {
			return t.TokenHash == "" || subtle.ConstantTimeCompare([]byte(hash), []byte(t.TokenHash)) == 1
		}
	}
	return false
}

func (s *Server) postSubmission(c echo.Context) error {
	sub, done, err := s.readSubmission(c)
	release := sync.OnceFunc(done)
	defer release()
	if err != nil {
		return s.refuseBody(c, err)
	}
	var invalid *submission.ErrInvalid
	if errors.As(s.config.Limits.Validate(sub, time.Now()), &invalid) {
		return c.JSON(http.StatusBadRequest, api.EncodeInvalid(sub.Key, invalid))
	}
	if !s.isAuthorizedFor(c, sub.Team) {
		return refuseUnauthorized(c)
	}
	h, answer := s.pendingRequests.Register()
	taken := s.mailbox.PutAwaited(dispatch.Submit{Handle: h, Submission: sub})
	select {
	case <-taken: // what the control state accepts it counts itself
	case <-c.Request().Context().Done():
	}
	key := sub.Key
	sub = nil
	release()
	return s.answer(c, key, h, answer)
}

func refuseUnauthorized(c echo.Context) error {
	return refuse(c, submission.Key{}, &submission.Refusal{Reason: submission.Unauthorized, Detail: "the token does not belong to the team"})
}

// pathKey returns the key in the path of a request, and whether a submission can have it.
func (s *Server) pathKey(c echo.Context) (submission.Key, bool) {
	key := submission.Key{Team: c.Param("team"), ID: c.Param("id")}
	return key, s.config.Limits.CheckName("Team", key.Team) == nil && s.config.Limits.CheckName("Id", key.ID) == nil
}

func refuseUnknown(c echo.Context) error {
	return refuse(c, submission.Key{}, &submission.Refusal{Reason: submission.NotFound, Detail: "no such submission is known: its id is not allowed"})
}

func (s *Server) getSubmission(c echo.Context) error {
	key, ok := s.pathKey(c)
	if !ok {
		return refuseUnknown(c)
	}
	if !s.isAuthorizedFor(c, key.Team) {
		return refuseUnauthorized(c)
	}
	h, answer := s.pendingRequests.Register()
	s.deliver(dispatch.Await{Handle: h, Key: key})
	return s.answer(c, key, h, answer)
}

func (s *Server) deleteSubmission(c echo.Context) error {
	key, ok := s.pathKey(c)
	if !ok {
		return refuseUnknown(c)
	}
	if !s.isAuthorizedFor(c, key.Team) {
		return refuseUnauthorized(c)
	}
	h, answer := s.pendingRequests.Register()
	s.deliver(dispatch.Cancel{Handle: h, Key: key})
	return s.answer(c, key, h, answer)
}

// answer waits for the control state's answer to a request and writes it. If the
// caller closes the connection first, it abandons the request.
func (s *Server) answer(c echo.Context, key submission.Key, h dispatch.Handle, answer chan submission.Reply) error {
	select {
	case <-c.Request().Context().Done():
		s.abandon(h)
		return nil
	case r := <-answer:
		if r.Answer != nil {
			return c.JSON(http.StatusOK, api.EncodeAnswer(key, r.Answer))
		}
		if r.Refusal == nil {
			return errNoAnswer
		}
		s.config.Logger.Named("callers").Debug("refused",
			zap.String("Team", key.Team), zap.String("Id", key.ID), zap.String("Reason", string(r.Refusal.Reason)))
		return refuse(c, key, r.Refusal)
	}
}

var errNoAnswer = errors.New("the control state gave neither an answer nor a refusal")

func refuse(c echo.Context, key submission.Key, r *submission.Refusal) error {
	if seconds := int(r.RetryAfter.Seconds() + 0.999); seconds > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	return c.JSON(api.HTTPStatus(r.Reason), api.EncodeRefusal(key, r))
}
