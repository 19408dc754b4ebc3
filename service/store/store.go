// Package store is the HTTP client of the platform's table service, object
// store and list of instances, with the wire types that its stand-in shares.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"crocusseam/pkg/storage"
)

// Paths of the platform's interface.
const (
	PathGet       = "/table/get"
	PathScan      = "/table/scan"
	PathCommit    = "/table/commit"
	PathObjects   = "/objects/"
	PathInstances = "/instances"
)

// GetRequest asks for a row.
type GetRequest struct{ Key string }

// ScanRequest asks for the rows under a prefix.
type ScanRequest struct {
	Prefix string
	Limit  int
}

// RowsReply carries rows.
type RowsReply struct{ Rows []storage.Row }

// CommitRequest asks for a commit.
type CommitRequest struct{ Writes []storage.Write }

// CommitReply answers a commit that took effect (status 200) or one that did
// not because expectations did not hold (status 409).
type CommitReply struct {
	Version storage.Version
	Rows    []storage.Row `json:",omitempty"`
}

// Config constructs a Client.
type Config struct {
	Address netip.AddrPort
	// ReadTimeout and WriteTimeout bound the calls.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
}

// Client talks to the platform.
type Client struct {
	config Config
	client *http.Client
}

// maxReplyBytes bounds what the client reads of an answer.
const maxReplyBytes = 64 << 20

// New returns a client.
func New(config Config) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true}
	return &Client{config: config, client: &http.Client{Transport: transport}}
}

// call is one exchange with the platform.
type call struct {
	status  int
	body    []byte
	written bool
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (call, error) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
	target := url.URL{Scheme: "http", Host: c.config.Address.String(), Path: path}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target.String(), bytes.NewReader(body))
	if err != nil {
		return call{}, err
	}
	request.GetBody = nil
	response, err := c.client.Do(request)
	if err != nil {
		return call{written: written.Load()}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return call{status: response.StatusCode, body: text, written: true}, err
}

func (c *Client) peer() string { return c.config.Address.String() }

func (c *Client) unavailable(step string, err error) error {
	return &storage.ErrUnavailable{Step: step, Peer: c.peer(), Cause: err}
}

func statusError(k call) error { return fmt.Errorf("status %d: %.200s", k.status, k.body) }

// read makes a call that changes nothing.
func (c *Client) read(ctx context.Context, step, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.ReadTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrap(err, step)
	}
	k, err := c.do(ctx, http.MethodPost, path, body)
	switch {
	case err != nil:
		return c.unavailable(step, err)
	case k.status != http.StatusOK:
		return c.unavailable(step, statusError(k))
	}
	if err := json.Unmarshal(k.body, out); err != nil {
		return c.unavailable(step, err)
	}
	return nil
}

// Get implements storage.Table.
func (c *Client) Get(ctx context.Context, key string) (storage.Row, error) {
	var reply RowsReply
	if err := c.read(ctx, "get", PathGet, GetRequest{key}, &reply); err != nil {
		return storage.Row{}, err
	}
	if len(reply.Rows) != 1 || reply.Rows[0].Key != key {
		return storage.Row{}, c.unavailable("get", errors.New("the answer is not the row asked for"))
	}
	return reply.Rows[0], nil
}

// Scan implements storage.Table.
func (c *Client) Scan(ctx context.Context, prefix string, limit int) ([]storage.Row, error) {
	var reply RowsReply
	err := c.read(ctx, "scan", PathScan, ScanRequest{prefix, limit}, &reply)
	return reply.Rows, err
}

// Commit implements storage.Table.
func (c *Client) Commit(ctx context.Context, writes []storage.Write) (storage.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.WriteTimeout)
	defer cancel()
	body, err := json.Marshal(CommitRequest{writes})
	if err != nil {
		return 0, eris.Wrap(err, "commit")
	}
	k, err := c.do(ctx, http.MethodPost, PathCommit, body)
	if err != nil {
		return 0, c.commitError(k.written, err)
	}
	return c.commitReply(k)
}

func (c *Client) commitError(written bool, err error) error {
	if written {
		return &storage.ErrUncertain{Step: "commit", Peer: c.peer(), Cause: err}
	}
	return c.unavailable("commit", err)
}

// commitReply reads the answer to a commit. Only a refusal with 503 or 429 is
// known to have had no effect; any answer that cannot be understood is uncertain.
func (c *Client) commitReply(k call) (storage.Version, error) {
	if k.status == http.StatusServiceUnavailable || k.status == http.StatusTooManyRequests {
		return 0, c.unavailable("commit", statusError(k))
	}
	var reply CommitReply
	err := json.Unmarshal(k.body, &reply)
	switch {
	case err == nil && k.status == http.StatusOK && reply.Version > 0:
		return reply.Version, nil
	case err == nil && k.status == http.StatusConflict && len(reply.Rows) > 0:
		return 0, &storage.ErrConflict{Rows: reply.Rows}
	}
	return 0, &storage.ErrUncertain{Step: "commit", Peer: c.peer(), Cause: statusError(k)}
}

// Put implements storage.Objects.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.WriteTimeout)
	defer cancel()
	k, err := c.do(ctx, http.MethodPut, PathObjects+name, content)
	switch {
	case err != nil:
		return c.commitError(k.written, err)
	case k.status != http.StatusOK:
		return c.unavailable("put", statusError(k))
	}
	return nil
}

// GetObject implements storage.Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ReadTimeout)
	defer cancel()
	k, err := c.do(ctx, http.MethodGet, PathObjects+name, nil)
	switch {
	case err != nil:
		return nil, c.unavailable("get object", err)
	case k.status == http.StatusNotFound:
		return nil, &storage.ErrAbsent{Name: name}
	case k.status != http.StatusOK:
		return nil, c.unavailable("get object", statusError(k))
	}
	return k.body, nil
}

// Instances implements storage.Listing.
func (c *Client) Instances(ctx context.Context) ([]storage.ListedInstance, error) {
	var list []storage.ListedInstance
	err := c.read(ctx, "list", PathInstances, struct{}{}, &list)
	return list, err
}
