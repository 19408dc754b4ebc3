// Package endpoint runs attempts at endpoints over HTTP/1.1 with kept-alive
// connections.
package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/routing"
)

// Headers of a request to an endpoint. Team, Id, Task and Try name the attempt;
// the same four never come twice. Token is the submission's claim: an endpoint
// that keeps its own records may refuse a task whose token differs from that of
// an earlier one.
const (
	HeaderTeam     = "Crocusseam-Team"
	HeaderID       = "Crocusseam-Id"
	HeaderTask     = "Crocusseam-Task"
	HeaderTry      = "Crocusseam-Try"
	HeaderToken    = "Crocusseam-Token"
	HeaderKind     = "Crocusseam-Kind"
	HeaderDeadline = "Crocusseam-Deadline"
)

// TaskPath is the path that tasks are posted to.
const TaskPath = "/task"

// Config constructs a Runner.
type Config struct {
	// MaxConnections bounds the connections to one endpoint.
	MaxConnections int
	// MaxOutputBytes bounds the output of a task.
	MaxOutputBytes int64
	DialTimeout    time.Duration
	// Deliver takes the ends of attempts. It must not block.
	Deliver func(dispatch.Input)
}

// Runner runs attempts.
type Runner struct {
	config  Config
	client  *http.Client
	mu      sync.Mutex
	running map[routing.Attempt]context.CancelFunc
}

// NewRunner returns a runner.
func NewRunner(config Config) *Runner {
	dialer := &net.Dialer{Timeout: config.DialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: config.MaxConnections,
		MaxIdleConnsPerHost: config.MaxConnections, IdleConnTimeout: time.Minute, DisableCompression: true,
	}
	return &Runner{
		config: config, client: &http.Client{Transport: transport},
		running: make(map[routing.Attempt]context.CancelFunc),
	}
}

// Close closes the idle connections.
func (r *Runner) Close() { r.client.CloseIdleConnections() }

// Interrupt ends an attempt.
func (r *Runner) Interrupt(id routing.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel, ok := r.running[id]; ok {
		cancel()
	}
}

// Prepare registers an attempt, so that an Interrupt that comes before Run has
// begun finds it. The returned context ends with the attempt's deadline.
func (r *Runner) Prepare(p *dispatch.PlaceRequest) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), p.RemainingTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[p.Attempt] = cancel
	return ctx
}

// Run runs a prepared attempt to its end and delivers its outcome.
func (r *Runner) Run(ctx context.Context, p *dispatch.PlaceRequest) {
	done := r.post(ctx, p)
	done.Attempt = p.Attempt
	r.mu.Lock()
	cancel := r.running[p.Attempt]
	delete(r.running, p.Attempt)
	r.mu.Unlock()
	cancel()
	r.config.Deliver(done)
}

// post tells the three kinds of failure apart. A request of which nothing was
// written was certainly not started; one that was written and not answered may
// have been; the endpoint itself says with 429 or 503 that it did not start the
// task, and with any other status that it failed.
func (r *Runner) post(ctx context.Context, p *dispatch.PlaceRequest) dispatch.AttemptDone {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), p)
	if err != nil {
		return dispatch.AttemptDone{Outcome: dispatch.NotStarted, Detail: err.Error()}
	}
	response, err := r.client.Do(request)
	if err != nil {
		return failedPost(written.Load(), fmt.Errorf("post: %w", err))
	}
	defer func() { _ = response.Body.Close() }()
	output, err := io.ReadAll(io.LimitReader(response.Body, r.config.MaxOutputBytes+1))
	switch {
	case err != nil:
		return failedPost(true, fmt.Errorf("read the answer: %w", err))
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		return dispatch.AttemptDone{Outcome: dispatch.NotStarted, Detail: "the endpoint refused: " + response.Status}
	case response.StatusCode != http.StatusOK:
		return dispatch.AttemptDone{Outcome: dispatch.TaskFailed, Detail: fmt.Sprintf("%s: %.200s", response.Status, output)}
	case int64(len(output)) > r.config.MaxOutputBytes:
		return dispatch.AttemptDone{Outcome: dispatch.TaskFailed, Detail: fmt.Sprintf("the output is longer than %d bytes", r.config.MaxOutputBytes)}
	}
	return dispatch.AttemptDone{Outcome: dispatch.Done, Output: output}
}

func failedPost(written bool, err error) dispatch.AttemptDone {
	if written {
		return dispatch.AttemptDone{Outcome: dispatch.Unknown, Detail: err.Error()}
	}
	return dispatch.AttemptDone{Outcome: dispatch.NotStarted, Detail: err.Error()}
}

var errNoTime = errors.New("no time is left")

func newRequest(ctx context.Context, p *dispatch.PlaceRequest) (*http.Request, error) {
	if p.RemainingTime <= 0 {
		return nil, errNoTime
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Endpoint.String()+TaskPath, bytes.NewReader(p.Payload))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // the transport must never send a task again by itself
	h := request.Header
	h.Set(HeaderTeam, p.Key.Team)
	h.Set(HeaderID, p.Key.ID)
	h.Set(HeaderTask, p.Task)
	h.Set(HeaderTry, strconv.Itoa(p.Try))
	h.Set(HeaderToken, p.Token)
	h.Set(HeaderKind, p.Kind)
	h.Set(HeaderDeadline, p.RemainingTime.String())
	return request, nil
}
