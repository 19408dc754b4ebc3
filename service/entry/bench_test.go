package entry

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/client"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
)

func (s *Server) runInBackground(ctx context.Context, done chan error) {
	var group errgroup.Group
	group.Go(func() error { done <- s.Run(ctx); return nil })
}

func taskName(i int) string { return "t" + strconv.Itoa(i) }

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkStarts measures task starts a second of one instance in jobs of 100
// against endpoints that take no time. The processor time includes the callers'
// and the endpoints' side, which run in the same process.
func BenchmarkStarts(b *testing.B) {
	p := &memoryPlatform{Memory: storage.NewMemory(), writeTime: 4 * time.Millisecond}
	storeDocument(b, p, testDocument(startEndpoints(b, 8, echoTask), 64))
	s := startReadyServer(b, p, nil)
	c := client.New(client.Config{})
	const tasks, callers = 100, 16
	var started atomic.Int64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used := cpuTime()
	b.ResetTimer()
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			for {
				n := started.Add(1)
				if n > int64(b.N) {
					return nil
				}
				answer, err := c.SubmitOnce(context.Background(), s.Address(), testJob(fmt.Sprint("j", n), tasks))
				if err != nil {
					return err
				}
				if answer.Status != submission.Complete {
					return fmt.Errorf("job %d: %+v", n, answer)
				}
			}
		})
	}
	assert.NilError(b, group.Wait())
	b.StopTimer()
	runtime.ReadMemStats(&after)
	total := float64(b.N * tasks)
	b.ReportMetric(total/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64((cpuTime()-used).Microseconds())/total, "cpu-µs/task")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/total, "B/task")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/task")
}

// BenchmarkIdleRequest measures a one-task request on an idle instance above
// the platform's write time.
func BenchmarkIdleRequest(b *testing.B) {
	const writeTime = 4 * time.Millisecond
	p := &memoryPlatform{Memory: storage.NewMemory(), writeTime: writeTime}
	storeDocument(b, p, testDocument(startEndpoints(b, 8, echoTask), 8))
	s := startReadyServer(b, p, nil)
	c := client.New(client.Config{})
	var sum time.Duration
	for i := range b.N {
		time.Sleep(25 * time.Millisecond) // stay within the write budget
		began := time.Now()
		_, err := c.SubmitOnce(context.Background(), s.Address(), testJob(fmt.Sprint("j", i), 1))
		assert.NilError(b, err)
		sum += time.Since(began)
	}
	b.ReportMetric(float64((sum/time.Duration(b.N) - writeTime).Microseconds()), "µs-above-write")
}
