package logbook

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	b := New(&out)
	b.Logger(zapcore.InfoLevel).Info("job answered", zap.String("Job", "7"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, b.Run(ctx))
	var line struct{ Event, Job, Level string }
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line.Event, "job answered")
	assert.Equal(t, line.Job, "7")
}

// A reader that takes nothing holds nobody up: lines are left out and counted.
func TestWritingNeverBlocks(t *testing.T) {
	b := New(&bytes.Buffer{})
	logger := b.Logger(zapcore.InfoLevel)
	for i := range 3 * maxQueuedLines {
		logger.Info("event " + string(rune('a'+i%26)))
	}
	assert.Assert(t, b.Dropped() >= 2*maxQueuedLines)
}

func TestEqualLinesAreBounded(t *testing.T) {
	b := New(&bytes.Buffer{})
	logger := b.Logger(zapcore.InfoLevel)
	for range 2 * maxEqualLinesPerSec {
		logger.Info("the same")
	}
	assert.Assert(t, b.Dropped() > 0)
	assert.Assert(t, len(b.lines) <= 2*maxEqualLinesPerSec)
}
