package hold

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/workload"
)

var start = time.Unix(1000, 0)

func newRegistry(name string, incarnation uint64) *Registry {
	r := New(Config{
		Self: instance.ID{Instance: name, Incarnation: incarnation}, Domain: "east", Share: 1,
		YieldRequestPeriod: 500 * time.Millisecond, YieldTerm: 2 * time.Second,
	})
	r.SetEndpoints(fleet(6))
	return r
}

func fleet(n int) []workload.Endpoint {
	list := make([]workload.Endpoint, n)
	for i := range list {
		list[i] = workload.Endpoint{ID: workload.EndpointID{Name: fmt.Sprintf("e-%d", i), Born: 1}, Domain: "east"}
	}
	return list
}

func memberOf(r *Registry) Member {
	return Member{ID: r.config.Self, Domain: "east", Share: 1, Settled: true}
}

// executeTakes makes the commits of a plan and returns the endpoints it gained.
func executeTakes(t *testing.T, r *Registry, table *storage.Memory, now time.Time) []string {
	t.Helper()
	var gained []string
	for _, take := range r.Plan(now).Take {
		version, err := table.Commit(context.Background(), take.Writes)
		var conflict *storage.ErrConflict
		if errors.As(err, &conflict) {
			r.TakeFailed(take, conflict.Rows)
			continue
		}
		assert.NilError(t, err)
		gained = append(gained, r.TakeCommitted(take, version)...)
	}
	return gained
}

func TestNothingIsTakenBeforeSettling(t *testing.T) {
	b := newRegistry("a", 1)
	assert.Equal(t, len(b.Plan(start).Take), 0)
	b.Settle()
	assert.Equal(t, len(b.Plan(start).Take), 1)
}

// Two instances that do not know each other take the same endpoints: the row
// decides who holds them, and the later holder has the higher token.
func TestTwoHolders(t *testing.T) {
	table := storage.NewMemory()
	a, b := newRegistry("a", 1), newRegistry("b", 2)
	a.Settle()
	b.Settle()
	assert.Equal(t, len(executeTakes(t, a, table, start)), 6)
	assert.Equal(t, len(executeTakes(t, b, table, start)), 0)
	// b has read the rows now. Its members do not include a, so it treats a as dead.
	assert.Equal(t, len(executeTakes(t, b, table, start.Add(time.Second))), 6)
	old, _ := a.Token("e-0")
	later, mayStart := b.Token("e-0")
	assert.Assert(t, mayStart)
	assert.Assert(t, later > old)
	a.Fenced("e-0")
	_, mayStart = a.Token("e-0")
	assert.Assert(t, !mayStart)
}

func TestLiveHolderIsAskedAndYields(t *testing.T) {
	table := storage.NewMemory()
	a, b := newRegistry("a", 1), newRegistry("b", 2)
	a.Settle()
	executeTakes(t, a, table, start)
	a.SetMembers([]Member{memberOf(b)})
	b.SetMembers([]Member{memberOf(a)})
	b.Settle()
	executeTakes(t, b, table, start) // conflicts: the rows name a
	plan := b.Plan(start.Add(time.Second))
	assert.Equal(t, len(plan.Take), 0)
	names, ok := plan.YieldRequests.Get(a.config.Self)
	assert.Assert(t, ok)
	assert.Equal(t, len(names), 3)
	now := start.Add(time.Second)
	for _, name := range names {
		assert.Assert(t, a.YieldRequested(b.config.Self, name))
		_, mayStart := a.Token(name)
		assert.Assert(t, !mayStart, "nothing starts at an endpoint that is being yielded")
		to, yes := a.Yield(name, now)
		assert.Assert(t, yes)
		assert.Equal(t, to, b.config.Self)
		b.Yielded(name, a.Version(name))
	}
	assert.Equal(t, len(executeTakes(t, b, table, now)), 3)
	assert.Equal(t, len(a.Held()), 3)
}

// Guards against an endpoint that is given up to a member that has left since it asked.
func TestRequestThatTheDivisionNoLongerSupportsIsLeft(t *testing.T) {
	table := storage.NewMemory()
	a, b := newRegistry("a", 1), newRegistry("b", 2)
	a.Settle()
	executeTakes(t, a, table, start)
	a.SetMembers([]Member{memberOf(b)})
	asked := ""
	for _, name := range a.Held() {
		if a.YieldRequested(b.config.Self, name) {
			asked = name
		}
	}
	assert.Assert(t, asked != "")
	a.SetMembers(nil)
	_, yes := a.Yield(asked, start)
	assert.Assert(t, !yes)
}

func TestHolderKeepsWhatTheDivisionGivesIt(t *testing.T) {
	table := storage.NewMemory()
	a, b := newRegistry("a", 1), newRegistry("b", 2)
	a.Settle()
	executeTakes(t, a, table, start)
	unsettled := memberOf(b)
	unsettled.Settled = false
	a.SetMembers([]Member{unsettled})
	for _, name := range a.Held() {
		assert.Assert(t, !a.YieldRequested(b.config.Self, name), "an instance that has just started is assigned nothing")
	}
}

// After all instances restart, each one takes back the endpoints it held before
// it knows the others.
func TestRestartTakesOwnRowsAtOnce(t *testing.T) {
	table := storage.NewMemory()
	a, b := newRegistry("a", 1), newRegistry("b", 2)
	a.SetMembers([]Member{memberOf(b)})
	b.SetMembers([]Member{memberOf(a)})
	a.Settle()
	b.Settle()
	executeTakes(t, a, table, start)
	executeTakes(t, b, table, start)
	restarted := newRegistry("a", 3)
	rows, err := table.Scan(context.Background(), DomainPrefix("east"), 10)
	assert.NilError(t, err)
	restarted.ApplyRows(rows)
	assert.Equal(t, len(executeTakes(t, restarted, table, start)), 3)
}

// The answer to a commit is lost, although the commit took effect: the registry
// takes the row again under a new version, so that a late copy of the first commit
// fails.
func TestLostAnswerToATake(t *testing.T) {
	table := storage.NewMemory()
	a := newRegistry("a", 1)
	a.Settle()
	take := a.Plan(start).Take[0]
	first, err := table.Commit(context.Background(), take.Writes)
	assert.NilError(t, err)
	a.TakeFailed(take, nil)
	assert.Equal(t, len(a.Held()), 0)
	assert.Equal(t, len(executeTakes(t, a, table, start)), 0) // the conflict returns the rows
	assert.Equal(t, len(executeTakes(t, a, table, start)), 6)
	token, _ := a.Token("e-0")
	assert.Assert(t, token > first)
	_, err = table.Commit(context.Background(), take.Writes)
	var conflict *storage.ErrConflict
	assert.Assert(t, errors.As(err, &conflict))
}

// A new incarnation of an endpoint has received no token: the old hold ends, and
// the endpoint is taken again.
func TestNewLifeEndsTheHold(t *testing.T) {
	table := storage.NewMemory()
	a := newRegistry("a", 1)
	a.Settle()
	executeTakes(t, a, table, start)
	old, _ := a.Token("e-2")
	list := fleet(6)
	list[2].ID.Born = 9
	assert.DeepEqual(t, a.SetEndpoints(list), []string{"e-2"})
	assert.DeepEqual(t, executeTakes(t, a, table, start), []string{"e-2"})
	token, _ := a.Token("e-2")
	assert.Assert(t, token > old)
}

func TestEndpointsOfOtherDomainsAreProbedFirst(t *testing.T) {
	table := storage.NewMemory()
	a := New(Config{Self: instance.ID{Instance: "a", Incarnation: 1}, Domain: "west", Share: 1, YieldRequestPeriod: time.Second, YieldTerm: 2 * time.Second})
	a.SetEndpoints(fleet(2))
	a.Settle()
	plan := a.Plan(start)
	assert.Equal(t, len(plan.Take), 0)
	assert.Equal(t, len(plan.Probe), 2)
	a.Reached("e-1", start)
	assert.DeepEqual(t, executeTakes(t, a, table, start), []string{"e-1"})
}

func TestDamagedRowsAreReported(t *testing.T) {
	a := newRegistry("a", 1)
	errs := a.ApplyRows([]storage.Row{{Key: Key("east", "e-0"), Value: []byte("{"), Version: 4}, {Key: Key("east", "e-1"), Value: []byte(`{"Holder":{"Instance":"b"}}`), Version: 5}})
	assert.Equal(t, len(errs), 1)
}

// An endpoint whose listed incarnation has ended is taken again only in its next
// incarnation.
func TestEndedLifeIsNotTaken(t *testing.T) {
	r := New(Config{Self: instance.ID{Instance: "a", Incarnation: 1}, Domain: "east", Share: 1, YieldRequestPeriod: time.Second, YieldTerm: 2 * time.Second})
	e := workload.Endpoint{ID: workload.EndpointID{Name: "e", Born: 1}, Domain: "east"}
	r.SetEndpoints([]workload.Endpoint{e})
	r.Settle()
	now := time.Unix(1000, 0)
	plan := r.Plan(now)
	assert.Equal(t, len(plan.Take), 1)
	r.TakeCommitted(plan.Take[0], 5)
	r.IncarnationEnded("e")
	plan = r.Plan(now.Add(time.Minute))
	assert.Equal(t, len(plan.Take), 0)
	e.ID.Born = 2
	r.SetEndpoints([]workload.Endpoint{e})
	plan = r.Plan(now.Add(time.Minute))
	assert.Equal(t, len(plan.Take), 1)
}
