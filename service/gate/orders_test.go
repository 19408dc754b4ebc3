package gate

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"crocusseam/pkg/workload"
)

// Guards against a goroutine and a call for each order that waits for a connection, and against an order that
// waits at an endpoint that does not answer until long after it counts as unanswered.
func TestOrdersToOneEndpointAreBounded(t *testing.T) {
	const orders = 10 * maxOpenOrders
	var group errgroup.Group
	q := newOrderQueues(&group)
	// Two lives of an endpoint, and another endpoint.
	address := netip.MustParseAddrPort("127.0.0.1:1")
	targets := []orderTarget{
		{workload.EndpointID{Name: "a", Born: 1}, address},
		{workload.EndpointID{Name: "a", Born: 2}, address},
		{workload.EndpointID{Name: "b", Born: 1}, netip.MustParseAddrPort("127.0.0.1:2")},
	}
	var mu sync.Mutex
	open, most := make(map[orderTarget]int), 0
	var expired, began int
	release := make(chan struct{})
	for i := range orders {
		for _, e := range targets {
			deadline := time.Now().Add(time.Minute)
			if i%2 == 1 {
				deadline = time.Now()
			}
			q.put(t.Context(), e, order{func(ctx context.Context) {
				mu.Lock()
				open[e]++
				most = max(most, open[e])
				began++
				if ctx.Err() != nil {
					expired++
				}
				mu.Unlock()
				<-release
				mu.Lock()
				open[e]--
				mu.Unlock()
			}, deadline})
		}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		mu.Lock()
		all := began
		mu.Unlock()
		if all == maxOpenOrders*len(targets) {
			break
		}
	}
	mu.Lock()
	assert.Check(t, cmp.Equal(began, maxOpenOrders*len(targets)), "orders to one life hold up those to another")
	mu.Unlock()
	close(release)
	assert.NilError(t, group.Wait())
	assert.Check(t, most > 0 && most <= maxOpenOrders, "%d at a time", most)
	assert.Equal(t, began, orders*len(targets))
	assert.Equal(t, expired, began/2)
	assert.Equal(t, len(q.waiting), 0)
}
