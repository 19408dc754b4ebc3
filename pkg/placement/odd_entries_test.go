package placement_test

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// addOddEntry adds an endpoint that is listed and does not exist.
func addOddEntry(w *model.World, change func(*workload.Endpoint)) {
	x := w.AddEndpoint("domain-a", model.EndpointConfig{Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 1024}, Speed: 1})
	x.Up = false
	change(&x.Info)
}

// heldEndpoints returns how many endpoints the instances that are up hold.
func heldEndpoints(w *model.World) int {
	held := 0
	for _, n := range w.Nodes {
		if !n.Up {
			continue
		}
		held += n.Control.Overview().Held
	}
	return held
}

// Guards against instances that stop following the list of endpoints because of one entry
// that another writer left: the other endpoints stay in use, also after a restart of all.
func TestOddEntryKeepsNoOtherEndpointFromUse(t *testing.T) {
	long := strings.Repeat("x", 300)
	for name, change := range map[string]func(*workload.Endpoint){
		"no name":               func(e *workload.Endpoint) { e.ID.Name = "" },
		"long name":             func(e *workload.Endpoint) { e.ID.Name = long },
		"name with a slash":     func(e *workload.Endpoint) { e.ID.Name = "a/b" },
		"long domain":           func(e *workload.Endpoint) { e.Domain = long },
		"no domain":             func(e *workload.Endpoint) { e.Domain = "" },
		"domain with a slash":   func(e *workload.Endpoint) { e.Domain = "domain-a/x" },
		"domain with a colon":   func(e *workload.Endpoint) { e.Domain = "domain:a" },
		"domain of no instance": func(e *workload.Endpoint) { e.Domain = "nowhere" },
		"long service":          func(e *workload.Endpoint) { e.Service = long },
		"port 0":                func(e *workload.Endpoint) { e.Address = netip.AddrPortFrom(e.Address.Addr(), 0) },
		"no address":            func(e *workload.Endpoint) { e.Address = netip.AddrPort{} },
		"negative capacity":     func(e *workload.Endpoint) { e.Capacity.MilliCPU = -1 },
		"huge capacity": func(e *workload.Endpoint) {
			e.Capacity = workload.Resources{MilliCPU: math.MaxInt, MemoryMB: math.MaxInt}
		},
		"long label":     func(e *workload.Endpoint) { e.Labels = []string{long} },
		"negative birth": func(e *workload.Endpoint) { e.ID.Born = math.MinInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := model.New(deployment(1))
			endpoints := len(w.Endpoints)
			addOddEntry(w, change)
			w.Run(4 * time.Second)
			assert.Check(t, heldEndpoints(w) >= endpoints, "%d of %d endpoints are held", heldEndpoints(w), endpoints)
			for _, n := range w.Nodes {
				n.Kill()
				n.Start()
			}
			w.Run(6 * time.Second)
			assert.Check(t, heldEndpoints(w) >= endpoints, "%d of %d endpoints are held after a restart", heldEndpoints(w), endpoints)
			w.Nodes[0].Kill()
			w.Run(4 * time.Second)
			assert.Check(t, heldEndpoints(w) >= endpoints, "%d of %d endpoints are held after a take-over", heldEndpoints(w), endpoints)
			w.Nodes[0].Start()
			w.Run(4 * time.Second)
			l := load([]model.Kind{{Name: "job", Tasks: 2, Work: 100 * time.Millisecond, MilliCPU: 27000}}, 0)
			for _, n := range w.Nodes {
				o := w.SubmitTo(n, &l, &l.Kinds[0])
				w.Run(2 * time.Second)
				assert.Equal(t, o.Answer.Status, placement.Completed)
			}
			for _, n := range w.Nodes {
				assert.Equal(t, n.Control.Overview().Counters.Unexpected, int64(0))
			}
			assert.Check(t, len(w.CheckFinal()) == 0, "%v", w.Breaches)
		})
	}
}

// A job that only an odd entry could run is refused at once.
func TestOddEntryAdmitsNoJob(t *testing.T) {
	w := model.New(deployment(1))
	addOddEntry(w, func(e *workload.Endpoint) { e.Capacity.MilliCPU = math.MaxInt })
	w.Run(4 * time.Second)
	l := load([]model.Kind{{Name: "job", Tasks: 1, Work: 100 * time.Millisecond, MilliCPU: 1_000_000}}, 0)
	o := w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
	w.Run(10 * time.Millisecond)
	assert.Equal(t, o.Answer.Status, placement.Refused)
}

// While the rows of one domain cannot be read, instances that start take the endpoints of
// the others.
func TestDomainWhoseHoldsCannotBeReadDelaysNoOther(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(deployment(seed))
		w.Store.UnreadablePrefix = "holds:domain-b/"
		w.Run(5 * time.Second)
		others := 0
		for _, x := range w.Endpoints {
			if x.Info.Domain != "domain-b" {
				others++
			}
		}
		assert.Equal(t, heldEndpoints(w), others)
		w.Store.UnreadablePrefix = ""
		w.Run(3 * time.Second)
		assert.Equal(t, heldEndpoints(w), len(w.Endpoints))
	})
}
