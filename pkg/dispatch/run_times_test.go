package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against models of run times that grow with the names of kinds that a team's callers choose, and against a team whose
// kinds displace those of others.
func TestModelsOfRunTimesAreBounded(t *testing.T) {
	r := newRunTimes()
	for range 100 {
		r.observe("other", "hold", time.Second, 2*time.Second, 1)
		r.observe("own", "hold", time.Second, 2*time.Second, 1)
	}
	learned := r.predict("own", "hold", time.Second)
	assert.Check(t, learned > 1800*time.Millisecond, "%v", learned)
	for k := range 10 * maxKinds {
		r.observe("own", fmt.Sprint(k), time.Second, time.Second, 1)
		r.predict("own", fmt.Sprint("only predicted ", k), time.Second)
		r.predict(fmt.Sprint("team ", k), "hold", time.Second)
		if k%(maxKinds/2) == 0 {
			r.observe("own", "hold", time.Second, 2*time.Second, 1)
		}
	}
	assert.Equal(t, len(r.teams), 2)
	assert.Equal(t, r.teams["own"].Len(), maxKinds)
	assert.Check(t, r.predict("own", "hold", time.Second) > 1800*time.Millisecond)
	assert.Equal(t, r.predict("other", "hold", time.Second), learned)
}
