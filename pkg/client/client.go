// Package client is the callers' client: it submits safely, again where needed,
// and returns typed outcomes.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"crocusseam/pkg/submission"
	"crocusseam/service/api"
)

// Config constructs a Client.
type Config struct {
	// Instances are the addresses of entry instances, or of their balancer.
	Instances []netip.AddrPort
	// Token is the team's token.
	Token string
	// Secure makes the client speak TLS; Transport then carries its settings.
	Secure    bool
	Transport http.RoundTripper
	// FirstBackoff and MaxBackoff bound the jittered waits between attempts.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// Observe, if set, hears of every exchange with an instance.
	Observe func(Exchange)
}

// Exchange is one request to an instance and what came of it.
type Exchange struct {
	Instance netip.AddrPort
	Key      submission.Key
	Attempt  int
	Refusal  *submission.Refusal
	Answer   *submission.Answer
	Err      error
	// Written says that the request was sent, so that it may have been served.
	Written bool
	Ended   time.Time
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// Bounds of the client.
const (
	defaultFirstBackoff = 20 * time.Millisecond
	defaultMaxBackoff   = time.Second
	maxAnswerBytes      = 1 << 30
)

// New returns a client.
func New(config Config) *Client {
	if config.FirstBackoff == 0 {
		config.FirstBackoff = defaultFirstBackoff
	}
	if config.MaxBackoff == 0 {
		config.MaxBackoff = defaultMaxBackoff
	}
	return &Client{config: config, http: &http.Client{Transport: config.Transport}}
}

// ErrUnanswered says that the context ended before any instance gave a final
// reply. The submission may have run; ask for its answer by id.
type ErrUnanswered struct {
	Key   submission.Key
	Last  error
	Cause error
}

func (e *ErrUnanswered) Error() string {
	return fmt.Sprintf("submission %s has no answer yet: %v (last: %v)", e.Key, e.Cause, e.Last)
}

func (e *ErrUnanswered) Unwrap() error { return e.Cause }

// Submit submits a job and returns its answer. It sends the same submission
// again, at another instance and after a back-off, while the outcome is open.
// It returns *submission.Refusal for a refusal that sending again cannot
// change, and *ErrUnanswered when the context ends first. first is the index of
// the instance to begin with.
func (c *Client) Submit(ctx context.Context, s *submission.Submission, first int) (*submission.Answer, error) {
	copied := *s
	copied.Attempt = max(copied.Attempt, 1)
	backoff := c.config.FirstBackoff
	var last error
	elsewhere := 0 // instances in a row that took nothing
	for turn := first; ; turn++ {
		instance := c.config.Instances[turn%len(c.config.Instances)]
		x := c.submitOnce(ctx, instance, &copied)
		answer, err := x.outcome(http.MethodPost)
		if err == nil {
			return answer, nil
		}
		last = err
		if x.certainlyNotAccepted() && elsewhere < len(c.config.Instances)-1 && ctx.Err() == nil {
			elsewhere++
			continue
		}
		elsewhere = 0
		var refusal *submission.Refusal
		if errors.As(err, &refusal) {
			if isFinal(refusal.Reason) {
				return nil, refusal
			}
			backoff = max(backoff, min(refusal.RetryAfter, c.config.MaxBackoff))
		}
		// After a true "not run" no copy of the submission is under way.
		if refusal == nil || !refusal.NotRun {
			copied.Attempt++
		}
		select {
		case <-ctx.Done():
			return nil, &ErrUnanswered{Key: s.Key, Last: last, Cause: ctx.Err()}
		case <-time.After(rand.N(backoff)):
		}
		backoff = min(2*backoff, c.config.MaxBackoff)
	}
}

// tookNothing reports whether the instance certainly has not accepted the
// request and another one may: it was not reached, or takes no new work.
func (x *Exchange) certainlyNotAccepted() bool {
	if x.Err != nil {
		return !x.Written
	}
	return x.Refusal != nil && x.Refusal.NotRun && (x.Refusal.Reason == submission.Leaving || x.Refusal.Reason == submission.NotServing)
}

func isFinal(r submission.Reason) bool {
	switch r {
	case submission.Invalid, submission.Unauthorized, submission.DigestDiffers, submission.NoWorkerFits,
		submission.DeadlinePassed, submission.Cancelled:
		return true
	}
	return false
}

// SubmitOnce submits a job to one instance, once.
func (c *Client) SubmitOnce(ctx context.Context, instance netip.AddrPort, s *submission.Submission) (*submission.Answer, error) {
	x := c.submitOnce(ctx, instance, s)
	return x.outcome(http.MethodPost)
}

func (c *Client) submitOnce(ctx context.Context, instance netip.AddrPort, s *submission.Submission) Exchange {
	x := Exchange{Key: s.Key, Attempt: s.Attempt}
	body, err := json.Marshal(api.EncodeSubmission(s))
	if err != nil {
		x.Err = err
		return x
	}
	return c.exchange(ctx, http.MethodPost, instance, api.PathSubmissions, body, x)
}

// Answer asks one instance for the answer to a submission and waits for it.
func (c *Client) Answer(ctx context.Context, instance netip.AddrPort, key submission.Key) (*submission.Answer, error) {
	x := c.exchange(ctx, http.MethodGet, instance, submissionPath(key), nil, Exchange{Key: key})
	return x.outcome(http.MethodGet)
}

// Cancel cancels a submission through one instance.
func (c *Client) Cancel(ctx context.Context, instance netip.AddrPort, key submission.Key) (*submission.Answer, error) {
	x := c.exchange(ctx, http.MethodDelete, instance, submissionPath(key), nil, Exchange{Key: key})
	return x.outcome(http.MethodDelete)
}

func submissionPath(key submission.Key) string {
	return api.PathSubmissions + "/" + key.Team + "/" + key.ID
}

func (c *Client) exchange(ctx context.Context, method string, instance netip.AddrPort, path string, body []byte, x Exchange) Exchange {
	x.Instance = instance
	x.Answer, x.Refusal, x.Written, x.Err = c.roundTrip(ctx, method, instance, path, body)
	x.Ended = time.Now()
	if c.config.Observe != nil {
		c.config.Observe(x)
	}
	return x
}

// outcome returns what an exchange came to.
func (x *Exchange) outcome(method string) (*submission.Answer, error) {
	switch {
	case x.Err != nil:
		return nil, eris.Wrapf(x.Err, "%s %s at %s", method, x.Key, x.Instance)
	case x.Refusal != nil:
		return nil, x.Refusal
	}
	return x.Answer, nil
}

func (c *Client) roundTrip(ctx context.Context, method string, instance netip.AddrPort, path string, body []byte) (*submission.Answer, *submission.Refusal, bool, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
	scheme := "http://"
	if c.config.Secure {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+instance.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, false, err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if c.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, written.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, true, err
	}
	answer, refusal, err := decode(response.StatusCode, text)
	return answer, refusal, true, err
}

func decode(status int, text []byte) (*submission.Answer, *submission.Refusal, error) {
	if status == http.StatusOK {
		var in api.Answer
		if err := json.Unmarshal(text, &in); err != nil {
			return nil, nil, err
		}
		return api.DecodeAnswer(&in), nil, nil
	}
	var in api.Refusal
	if err := json.Unmarshal(text, &in); err != nil || in.Reason == "" {
		return nil, nil, fmt.Errorf("status %d: %.200s", status, text)
	}
	return nil, &submission.Refusal{
		Reason: in.Reason, NotRun: in.NotRun, RetryAfter: time.Duration(in.RetryAfter), Detail: in.Detail,
	}, nil
}
