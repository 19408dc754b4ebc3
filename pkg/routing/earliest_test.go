package routing

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	fast = netip.MustParseAddrPort("10.0.0.1:9000")
	slow = netip.MustParseAddrPort("10.0.0.2:9000")
	noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
)

func offer(endpoint netip.AddrPort, speed float64, slots int, busy ...time.Duration) *Offer {
	o := &Offer{Endpoint: endpoint, Shape: &Shape{}, Speed: speed, Slots: slots}
	for _, b := range busy {
		o.Busy = append(o.Busy, noon.Add(b))
	}
	return o
}

func TestWaitsForAFastSlotThatIsFreeSoon(t *testing.T) {
	offers := []*Offer{offer(fast, 4, 1, 10*time.Millisecond), offer(slow, 1, 1)}
	long := &Demand{Work: 400 * time.Millisecond}
	short := &Demand{Work: 8 * time.Millisecond}
	pairs := (&earliestCompletion{}).Match(noon, []*Demand{long, short}, offers)
	assert.Equal(t, len(pairs), 1)
	assert.Assert(t, pairs[0].Demand == short)
	assert.Equal(t, pairs[0].Offer.Endpoint, slow)
}

func TestAvoidsTheEndpointOfAnEarlierAttempt(t *testing.T) {
	d := &Demand{Work: 100 * time.Millisecond, Avoid: []netip.AddrPort{fast}}
	pairs := (&earliestCompletion{}).Match(noon, []*Demand{d}, []*Offer{offer(fast, 4, 1), offer(slow, 1, 1)})
	assert.Equal(t, pairs[0].Offer.Endpoint, slow)
	pairs = (&earliestCompletion{}).Match(noon, []*Demand{d}, []*Offer{offer(fast, 4, 1)})
	assert.Equal(t, pairs[0].Offer.Endpoint, fast)
}

// An ejected endpoint offers one slot while several of its tasks still run: its
// number of free slots is negative, which must count as 0.
func TestMoreBusyThanSlots(t *testing.T) {
	o := offer(fast, 1, 1, time.Second, time.Second, time.Second)
	pairs := (&earliestCompletion{}).Match(noon, []*Demand{{Work: time.Second}}, []*Offer{o, offer(slow, 1, 1)})
	assert.Equal(t, len(pairs), 1)
	assert.Equal(t, pairs[0].Offer.Endpoint, slow)
}

func TestRunTimeModelLearnsWhetherDeclarationsSayAnything(t *testing.T) {
	var honest, useless RunTimeModel
	for i := range 400 {
		d := time.Duration(50+i) * time.Millisecond
		honest.Observe(d, 2*d, 1)
		useless.Observe(time.Duration(1+i%97)*10*time.Millisecond, 200*time.Millisecond, 1)
	}
	assert.Assert(t, honest.Predict(100*time.Millisecond) > 180*time.Millisecond)
	assert.Assert(t, useless.Predict(10*time.Millisecond) > 150*time.Millisecond)
	assert.Assert(t, useless.Predict(time.Second) < 260*time.Millisecond)
}
