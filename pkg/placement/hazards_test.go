package placement_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/hazard"
	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
)

// Each single hazard at each moment, and a share of the pairs of hazards, violate no
// invariant. HAZARD_STRIDE=1 plays all pairs.
func TestHazards(t *testing.T) {
	for _, c := range []struct {
		name   string
		stored bool
		stride int
	}{{"Ephemeral", false, 97}, {"Stored", true, 997}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if n, err := strconv.Atoi(os.Getenv("HAZARD_STRIDE")); err == nil {
				c.stride = n
			}
			r := hazard.Explore(hazard.Config{Stored: c.stored, Stride: c.stride})
			t.Logf("%d combinations", r.Simulations)
			for i := range r.Findings {
				t.Error(r.Findings[i].String())
			}
		})
	}
}

// Each combination of hazards violates an invariant when its rule is disabled, and none
// when the rule is in force.
func TestHazardsNoticeTheLackOfARule(t *testing.T) {
	for _, c := range []struct {
		rule    placement.Rule
		stored  bool
		strikes []hazard.Injection
	}{
		{placement.RuleOrphans, false, []hazard.Injection{
			strike(t, "home stops in plan", -400*time.Millisecond), strike(t, "other frozen for 3.2s", -time.Millisecond),
		}},
		{placement.RuleKeptRefusals, false, []hazard.Injection{
			strike(t, "the caller's connection breaks", time.Millisecond), strike(t, "messages to home held up for 3.2s", time.Millisecond),
		}},
		{placement.RuleStoredMark, true, []hazard.Injection{
			strike(t, "home killed", 20*time.Millisecond), strike(t, "endpoint 0 comes back after 0.1 s", 120*time.Millisecond),
		}},
	} {
		t.Run(string(c.rule), func(t *testing.T) {
			t.Parallel()
			without := hazard.Config{Stored: c.stored, Prepare: func(w *model.World) {
				for _, n := range w.Nodes {
					n.Prepare = func(control *placement.Control) { control.SwitchOff(c.rule) }
					n.Start()
				}
			}}
			assert.Assert(t, len(hazard.Simulate(without, c.strikes)) > 0)
			assert.Equal(t, len(hazard.Simulate(hazard.Config{Stored: c.stored}, c.strikes)), 0)
		})
	}
}

func strike(t *testing.T, name string, at time.Duration) hazard.Injection {
	for _, h := range hazard.Hazards() {
		if h.Name == name {
			return hazard.Injection{Hazard: h, At: at}
		}
	}
	t.Fatalf("there is no hazard %q", name)
	return hazard.Injection{}
}
