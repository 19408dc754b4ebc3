package gate

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxOpenOrders bounds the orders to one endpoint that have a goroutine. More than orderConnections would only
// wait for a connection.
const maxOpenOrders = 2 * orderConnections

// order is a call to an endpoint. The deadline of its context counts from when it was put into the queue.
type order struct {
	call     func(context.Context)
	deadline time.Time
}

// orderQueues pass orders on to endpoints, those to one endpoint in the order in which they come. An order that
// waits takes some 100 bytes, one with a goroutine and a call some 20 KB.
type orderQueues struct {
	group *errgroup.Group

	mu      sync.Mutex
	waiting map[netip.AddrPort]*orderQueue
}

type orderQueue struct {
	open    int // orders with a goroutine
	waiting []order
}

func newOrderQueues(group *errgroup.Group) *orderQueues {
	return &orderQueues{group: group, waiting: make(map[netip.AddrPort]*orderQueue)}
}

// put carries out an order as soon as fewer than maxOpenOrders to its endpoint are open.
func (q *orderQueues) put(ctx context.Context, endpoint netip.AddrPort, o order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.waiting[endpoint]
	if !ok {
		e = &orderQueue{}
		q.waiting[endpoint] = e
	}
	if e.open == maxOpenOrders {
		e.waiting = append(e.waiting, o)
		return
	}
	e.open++
	q.group.Go(func() error {
		for more := true; more; o, more = q.next(endpoint, e) {
			o.carryOut(ctx)
		}
		return nil
	})
}

// next returns the next order to an endpoint.
func (q *orderQueues) next(endpoint netip.AddrPort, e *orderQueue) (order, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(e.waiting) > 0 {
		o := e.waiting[0]
		e.waiting[0] = order{}
		e.waiting = e.waiting[1:]
		return o, true
	}
	if e.open--; e.open == 0 {
		delete(q.waiting, endpoint)
	}
	return order{}, false
}

func (o *order) carryOut(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	o.call(ctx)
}
