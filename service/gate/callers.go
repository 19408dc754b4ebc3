package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
	"crocusseam/service/ingress"
)

// earlyRetryAfter is the Retry-After of a refusal whose cause passes soon.
const earlyRetryAfter = time.Second

// firstConfigurationWait is how long a request waits for the first configuration, which an
// instance reads within some 10 ms of its start unless the store is slow.
const firstConfigurationWait = 300 * time.Millisecond

// routeTable finds the route of a request.
type routeTable struct {
	configuration *workload.Configuration
	byHost        map[string][]workload.Route // the longest prefix first
}

func newRouteTable(c *workload.Configuration) *routeTable {
	t := &routeTable{configuration: c, byHost: make(map[string][]workload.Route)}
	for _, r := range c.Routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}
	return t
}

// find returns the route with the longest prefix of the path, and the rest of
// the path.
func (t *routeTable) find(host, path string) (workload.Route, string, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[host] {
		if rest, ok := strings.CutPrefix(path, r.Prefix); ok {
			return r, rest, true
		}
	}
	return workload.Route{}, "", false
}

func (s *Server) callersHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Any("/*", s.serveCaller)
	return e
}

// readyHandler tells the balancer whether to send new connections here.
func (s *Server) readyHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET(platform.ReadinessPath, func(c echo.Context) error {
		if s.leaving.Load() || !s.Overview().Ready {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

func (s *Server) serveCaller(c echo.Context) error {
	request := c.Request()
	if request.Method != http.MethodPost {
		dropBody(c)
	}
	routes := s.firstRoutes(request.Context())
	if routes == nil {
		return s.refuseUnread(c, http.StatusServiceUnavailable, "this instance has no configuration yet", earlyRetryAfter)
	}
	route, rest, ok := routes.find(request.Host, request.URL.Path)
	if !ok {
		return s.refuseUnread(c, http.StatusNotFound, fmt.Sprintf("no route for host %.100q and path %.100q in version %d", request.Host, request.URL.Path, routes.configuration.Version), 0)
	}
	if rest == "" && request.Method == http.MethodGet {
		return s.exchange(c, func(h placement.Handle) placement.Input { return placement.Count{Handle: h, Route: route.Name} })
	}
	id, err := platform.ParseJobID(rest)
	if err != nil {
		return s.refuseUnread(c, http.StatusBadRequest, err.Error(), 0)
	}
	switch request.Method {
	case http.MethodPost:
		return s.submit(c, route, id)
	case http.MethodGet:
		return s.exchange(c, func(h placement.Handle) placement.Input { return placement.Ask{Handle: h, ID: id, Route: route.Name} })
	case http.MethodDelete:
		return s.exchange(c, func(h placement.Handle) placement.Input {
			return placement.Cancel{Handle: h, ID: id, Route: route.Name}
		})
	}
	return s.refuseUnread(c, http.StatusMethodNotAllowed, "method "+request.Method+" is not allowed", 0)
}

// firstRoutes returns the routes in force. While an instance that has just started reads its
// first configuration, it waits briefly, and returns nil if there is still none.
func (s *Server) firstRoutes(ctx context.Context) *routeTable {
	if routes := s.routes.Load(); routes != nil {
		return routes
	}
	wait := s.timers.Once()
	defer wait.Stop()
	wait.WakeAt(s.timers.Now().Add(firstConfigurationWait))
	select {
	case <-s.configured:
	case <-wait.C:
	case <-ctx.Done():
	}
	return s.routes.Load()
}

func (s *Server) submit(c echo.Context, route workload.Route, id workload.JobID) error {
	callerTimeout, err := platform.CallerTimeoutOf(c.Request().Header)
	if err != nil {
		return s.refuseUnread(c, http.StatusBadRequest, err.Error(), 0)
	}
	patience := callerTimeout
	if patience == 0 {
		patience = route.Timeout
	}
	used := s.budget.Begin(connectionOf(c.Request().Context()), patience)
	defer used.End()
	body, err := used.ReadBody(c.Request().Body, c.Request().ContentLength, s.maxBodyBytes())
	if err != nil {
		return s.refuseBody(c, fmt.Errorf("job %s: read the body: %w", id, err))
	}
	j, err := decodeJob(used, id, body)
	if err != nil {
		return s.refuseEarly(c, statusOf(err), err.Error(), retryAfterOf(err))
	}
	return s.exchange(c, func(h placement.Handle) placement.Input {
		return placement.Submit{Handle: h, Job: j, Route: route, CallerTimeout: callerTimeout}
	})
}

func (s *Server) maxBodyBytes() int64 {
	if limit := s.routes.Load().configuration.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return maxBodyBytes
}

const (
	// What a job that waits for its answer is taken to occupy, besides its texts.
	waitingJobBytes  = 2 << 10
	waitingStepBytes = 256
	waitingTaskBytes = 512
)

// decodeJob decodes and checks a job within the budget, of which it then occupies its own size
// instead of the body's.
func decodeJob(used *ingress.Request, id workload.JobID, body []byte) (*workload.Job, error) {
	if err := used.Resize(int64(len(body)) * (1 + platform.DecodeFactor)); err != nil {
		return nil, fmt.Errorf("job %s: decode the body: %w", id, err)
	}
	j, err := platform.DecodeJob(id, body)
	if err != nil {
		return nil, err
	}
	if err := j.Validate(); err != nil {
		return nil, err
	}
	size := waitingJobBytes + len(j.Spec) + len(j.Steps)*waitingStepBytes + j.Tasks()*waitingTaskBytes
	if err := used.Resize(int64(size)); err != nil {
		return nil, fmt.Errorf("job %s: %w", id, err)
	}
	return j, nil
}

// statusOf returns the status of the answer to a request that could not be read or decoded.
func statusOf(err error) int {
	var shed *ingress.ErrShed
	var tooLong *ingress.ErrTooLong
	switch {
	case errors.As(err, &shed):
		return http.StatusServiceUnavailable
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func retryAfterOf(err error) time.Duration {
	if statusOf(err) == http.StatusServiceUnavailable {
		return earlyRetryAfter
	}
	return 0
}

// refuseBody refuses a request whose body was not read in full.
func (s *Server) refuseBody(c echo.Context, err error) error {
	return s.refuseUnread(c, statusOf(err), err.Error(), retryAfterOf(err))
}

// refuseUnread refuses a request before its body was read.
func (s *Server) refuseUnread(c echo.Context, status int, reason string, retryAfter time.Duration) error {
	dropBody(c)
	return s.refuseEarly(c, status, reason, retryAfter)
}

// dropBody makes the HTTP server close the connection after the answer if the request has a body.
// Otherwise the server would read the body to reuse the connection.
func dropBody(c echo.Context) {
	if c.Request().ContentLength == 0 {
		return
	}
	c.Response().Header().Set(echo.HeaderConnection, "close")
	if connection := connectionOf(c.Request().Context()); connection != nil {
		ingress.EndReading(connection)
	}
}

// exchange delivers a request to the control state and returns the answer to the
// caller, or abandons the request when the caller disconnects.
func (s *Server) exchange(c echo.Context, input func(placement.Handle) placement.Input) error {
	h, answer := s.replies.Register()
	s.waiting.add(h, connectionOf(c.Request().Context()), func() { s.deliver(input(h)) })
	defer s.waiting.remove(h)
	select {
	case a := <-answer:
		return s.respond(c, platform.EncodeAnswer(a))
	case <-c.Request().Context().Done():
		s.forget(h)
		return nil
	}
}

// refuseEarly refuses a request that has not reached the control state.
func (s *Server) refuseEarly(c echo.Context, status int, reason string, retryAfter time.Duration) error {
	s.logger.Info("request refused", zap.String("Path", fmt.Sprintf("%.100s", c.Request().URL.Path)), zap.Int("Status", status), zap.String("Reason", reason))
	return s.respond(c, platform.Refuse(status, reason, retryAfter))
}

// refusalWithoutRequest returns the response on a connection for which there is no room.
func refusalWithoutRequest() []byte {
	refusal := platform.Refuse(http.StatusServiceUnavailable, "connections are short", earlyRetryAfter)
	body, err := json.Marshal(refusal.Body)
	if err != nil {
		return nil // never for this type
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%s: %.0f\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		refusal.Status, http.StatusText(refusal.Status), echo.MIMEApplicationJSON, echo.HeaderRetryAfter, refusal.RetryAfter.Seconds(), len(body), body)
}

func (s *Server) respond(c echo.Context, r platform.CallerResponse) error {
	header := c.Response().Header()
	if r.RetryAfter > 0 {
		header.Set(echo.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if s.leaving.Load() {
		header.Set(echo.HeaderConnection, "close")
	}
	return c.JSON(r.Status, r.Body)
}
