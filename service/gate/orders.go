package gate

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"crocusseam/pkg/workload"
)

// maxOpenOrders bounds the orders to one life of an endpoint that have a goroutine. It exceeds what the runs of an
// endpoint have open when it does not answer, each two starts and a stop each 200 ms: orders that wait
// here would have little of their time left when their turn comes.
const maxOpenOrders = 128

// order is a call to an endpoint. The deadline of its context counts from when it was put into the queue.
type order struct {
	call     func(context.Context)
	deadline time.Time
}

// orderQueues pass orders on to endpoints, those to one life of an endpoint in the order in which they come. As
// the connections are of one life too, orders to a former one, which may not answer, hold up no others. An
// order that waits takes some 100 bytes, one with a goroutine and a call some 20 KB.
type orderQueues struct {
	group *errgroup.Group

	mu      sync.Mutex
	waiting map[orderTarget]*orderQueue
}

// orderTarget is a life of an endpoint, and where it is reached.
type orderTarget struct {
	endpoint workload.EndpointID
	address  netip.AddrPort
}

type orderQueue struct {
	open    int // orders with a goroutine
	waiting []order
}

func newOrderQueues(group *errgroup.Group) *orderQueues {
	return &orderQueues{group: group, waiting: make(map[orderTarget]*orderQueue)}
}

// put carries out an order as soon as fewer than maxOpenOrders to its target are open.
func (q *orderQueues) put(ctx context.Context, target orderTarget, o order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.waiting[target]
	if !ok {
		e = &orderQueue{}
		q.waiting[target] = e
	}
	if e.open == maxOpenOrders {
		e.waiting = append(e.waiting, o)
		return
	}
	e.open++
	q.group.Go(func() error {
		for more := true; more; o, more = q.next(target, e) {
			o.carryOut(ctx)
		}
		return nil
	})
}

// next returns the next order to a target.
func (q *orderQueues) next(target orderTarget, e *orderQueue) (order, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(e.waiting) > 0 {
		o := e.waiting[0]
		e.waiting[0] = order{}
		e.waiting = e.waiting[1:]
		return o, true
	}
	if e.open--; e.open == 0 {
		delete(q.waiting, target)
	}
	return order{}, false
}

func (o *order) carryOut(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	o.call(ctx)
}
