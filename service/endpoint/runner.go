// Package endpoint runs task attempts at endpoints over HTTP/1.1, on connections that
// it keeps open for the next attempts.
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

// Headers of a request to an endpoint. Team, Id, Task and Try identify the attempt;
// no two requests have the same four values. Token identifies the submission's
// claim: an endpoint that keeps its own records may refuse a task whose token
// differs from that of an earlier attempt.
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

// Config configures a Runner.
type Config struct {
	// MaxConnections bounds the connections to one endpoint.
	MaxConnections int
	// MaxOutputBytes bounds the output of a task.
	MaxOutputBytes int64
	DialTimeout    time.Duration
	// Deliver receives the outcome of each attempt. It must not block.
	Deliver func(dispatch.Input)
}

// Runner runs attempts at endpoints. It is safe for concurrent use.
type Runner struct {
	config  Config
	client  *http.Client
	mu      sync.Mutex
	running map[routing.Attempt]context.CancelFunc
}

// NewRunner returns a Runner without attempts.
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

// Interrupt cancels a prepared or running attempt, if there is one.
func (r *Runner) Interrupt(id routing.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel, ok := r.running[id]; ok {
		cancel()
	}
}

// Prepare registers an attempt, so that Interrupt can cancel it before Run begins.
// The returned context ends at the attempt's deadline.
func (r *Runner) Prepare(p *dispatch.PlaceRequest) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), p.RemainingTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[p.Attempt] = cancel
	return ctx
}

// Run runs a prepared attempt and delivers its outcome.
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

// post sends the task to its endpoint and distinguishes three kinds of failure. The
// task was certainly not started if its headers were not written, or if the endpoint
// answered 429 or 503. It may have run if the request got no whole answer. Any
// other status than 200, or an output over the limit, means that the task failed.
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
	request.GetBody = nil // the transport must not resend a task, which could start it twice
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
