package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/submission"
	"crocusseam/service/api"
)

const floodKindsEach = 10 // submissions of each client

// Guards against an instance that clients end by submissions whose tasks all have kinds of their own. Each is refused, as its
// tasks cannot end before its deadline.
func TestFloodOfKinds(t *testing.T) {
	start, _ := startFloodPlatform(t)
	var a addresses
	cmd := start(&a, "east-0")
	var group errgroup.Group
	for client := range floodConnections {
		group.Go(func() error {
			for k := range floodKindsEach {
				sendRequest(a.Callers, kindsRequest(t, fmt.Sprintf("kinds%d.%d", client, k)))
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	checkFlooded(t, cmd, a.Callers)
}

// kindsRequest returns the request of a submission with the most tasks, each of a kind with the longest name.
func kindsRequest(t *testing.T, id string) string {
	s := &submission.Submission{Key: submission.Key{Team: "capstone", ID: id}, Deadline: time.Now().Add(time.Minute).UTC().Round(0)}
	limits := submission.DefaultLimits()
	for k := range limits.MaxTasks {
		kind := fmt.Sprintf("%s.%d.", id, k)
		kind += strings.Repeat("k", limits.MaxNameLength-len(kind))
		s.Tasks = append(s.Tasks, submission.Task{Name: fmt.Sprint("t", k), Kind: kind, DeclaredRunTime: limits.MaxRunTime})
	}
	body, err := json.Marshal(api.EncodeSubmission(s))
	assert.Check(t, err)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", api.PathSubmissions, len(body), body)
}
