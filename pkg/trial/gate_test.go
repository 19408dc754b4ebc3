package trial

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// No invariant breaks on stand-ins while one gate is killed and another stops in
// plan, and the other gates still complete most jobs.
func TestGatesOnStandins(t *testing.T) {
	report, err := RunGate(context.Background(), GateConfig{Domains: 2, Instances: 2, Endpoints: 4, Rate: 0.1, For: 6 * time.Second, Seed: 1})
	assert.NilError(t, err)
	assert.Check(t, cmp.Len(report.Breaches, 0))
	assert.Check(t, report.Jobs > 30)
	assert.Check(t, report.Completed > report.Jobs/2, "%+v", report)
}
