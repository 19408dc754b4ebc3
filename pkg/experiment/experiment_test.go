package experiment

import (
	"bytes"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// The same seed gives the same result, and a result survives writing and reading.
func TestResultsRepeat(t *testing.T) {
	first, second := Run(Patterns[0], 3), Run(Patterns[0], 3)
	assert.Equal(t, first, second)
	var b bytes.Buffer
	assert.NilError(t, Write(&b, []Result{first}))
	back, err := Read(&b)
	assert.NilError(t, err)
	assert.Equal(t, len(back), 1)
	assert.Equal(t, back[0].Jobs, first.Jobs)
	summaries := Summarize([]Result{first}, back)
	assert.Equal(t, len(summaries), 1)
	assert.Assert(t, summaries[0].Credit-summaries[0].Before < 1e-4)
	assert.NilError(t, Plot(filepath.Join(t.TempDir(), "plot.png"), summaries))
}

// Without faults and below full load the central scheduler completes nearly all jobs
// in time, and the instances earn almost as much.
func TestReferenceOfACalmDay(t *testing.T) {
	r := Run(Patterns[0], 1)
	assert.Assert(t, r.Reference > 0.999, "%v", r)
	assert.Equal(t, r.Breaches, 0)
	assert.Assert(t, r.Credit >= 0.95*r.Reference, "%v", r)
}

func TestDamagedResultsAreRefused(t *testing.T) {
	for _, text := range []string{"", "a,b\n", "Pattern,Seed,Jobs,Credit,Reference,Refused,TimedOut,Breaches\ncalm,x,1,1,1,0,0,0\n"} {
		_, err := Read(bytes.NewBufferString(text))
		assert.Assert(t, err != nil, "%q", text)
	}
}
