package trial

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/client"
	"crocusseam/pkg/submission"
)

// BenchmarkClaims measures how many submissions of one short task per second the
// seven instances take, with the stand-in platform limited to 400 writes a second.
func BenchmarkClaims(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := DefaultLoad()
	e, err := start(ctx, Config{Load: load, Logger: zap.NewNop()})
	assert.NilError(b, err)
	assert.NilError(b, e.awaitReady(ctx))
	c := client.New(client.Config{Instances: e.addresses(), Transport: &http.Transport{MaxIdleConnsPerHost: 512}})
	const callers = 350
	var sent atomic.Int64
	writes, _ := e.platform.Operations()
	b.ResetTimer()
	var group errgroup.Group
	for i := range callers {
		group.Go(func() error {
			for {
				n := sent.Add(1)
				if n > int64(b.N) {
					return nil
				}
				s := &submission.Submission{
					Key: submission.Key{Team: load.Teams[0], ID: fmt.Sprint("claim-", n)}, Attempt: 1,
					Deadline: time.Now().Add(time.Minute).UTC().Round(0),
					Tasks:    []submission.Task{{Name: "t", Kind: "door-check", Payload: []byte(`{"Work":"1ms"}`), DeclaredRunTime: time.Millisecond}},
				}
				if _, err := c.SubmitOnce(ctx, e.addresses()[i%len(e.servers)], s); err != nil {
					return err
				}
			}
		})
	}
	assert.NilError(b, group.Wait())
	b.StopTimer()
	after, _ := e.platform.Operations()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "submissions/s")
	b.ReportMetric(float64(after-writes)/b.Elapsed().Seconds(), "writes/s")
	cancel()
	_ = e.group.Wait()
}
