package client_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/client"
	"crocusseam/pkg/submission"
)

// withScript serves the given replies in order and repeats the last one. A reply
// without a status closes the connection.
func withScript(t *testing.T, replies ...scripted) []netip.AddrPort {
	t.Helper()
	turn := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r := replies[min(turn, len(replies)-1)]
		turn++
		if r.status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(r.status)
		_, _ = w.Write([]byte(r.body))
	}))
	t.Cleanup(server.Close)
	return []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}
}

type scripted struct {
	status int
	body   string
}

var complete = scripted{200, `{"Status":"Complete"}`}

// attemptsOf submits through a script and returns the attempts that were sent.
func attemptsOf(t *testing.T, replies ...scripted) ([]int, error) {
	t.Helper()
	var attempts []int
	c := client.New(client.Config{
		Instances: withScript(t, replies...), FirstBackoff: time.Microsecond, MaxBackoff: time.Microsecond,
		Observe: func(x client.Exchange) { attempts = append(attempts, x.Attempt) },
	})
	_, err := c.Submit(context.Background(), &submission.Submission{Key: submission.Key{Team: "t", ID: "1"}}, 0)
	return attempts, err
}

func TestAttemptStaysAfterATrueNotRun(t *testing.T) {
	attempts, err := attemptsOf(t, scripted{503, `{"Reason":"Leaving","NotRun":true,"RetryAfter":"0s"}`}, complete)
	assert.NilError(t, err)
	assert.DeepEqual(t, attempts, []int{1, 1})
}

func TestAttemptRisesWhenACopyMayBeUnderWay(t *testing.T) {
	attempts, err := attemptsOf(t, scripted{}, scripted{409, `{"Reason":"ClaimedElsewhere","NotRun":false,"RetryAfter":"0s"}`}, complete)
	assert.NilError(t, err)
	assert.DeepEqual(t, attempts, []int{1, 2, 3})
}

// The back-off is an hour, so the client must try the next instance without
// waiting.
func TestLeavingInstanceCostsNoWait(t *testing.T) {
	leaving := withScript(t, scripted{503, `{"Reason":"Leaving","NotRun":true,"RetryAfter":"1h"}`})
	gone := httptest.NewServer(http.NotFoundHandler())
	closed := netip.MustParseAddrPort(gone.Listener.Addr().String())
	gone.Close()
	c := client.New(client.Config{Instances: append(leaving, closed, withScript(t, complete)[0]), FirstBackoff: time.Hour, MaxBackoff: time.Hour})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := c.Submit(ctx, &submission.Submission{Key: submission.Key{Team: "t", ID: "1"}}, 0)
	assert.NilError(t, err)
}

func TestFinalRefusalIsNotSentAgain(t *testing.T) {
	attempts, err := attemptsOf(t, scripted{409, `{"Reason":"DigestDiffers","RetryAfter":"0s"}`}, complete)
	var refusal *submission.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.DeepEqual(t, attempts, []int{1})
}
