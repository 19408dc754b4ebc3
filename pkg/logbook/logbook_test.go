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
	w := New(&out)
	w.Logger(zapcore.InfoLevel).Info("job answered", zap.String("Job", "7"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, w.Run(ctx))
	var line struct{ Event, Job, Level string }
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line.Event, "job answered")
	assert.Equal(t, line.Job, "7")
}

// While nothing writes the queued lines out, logging does not block: lines beyond
// the queue are dropped and counted.
func TestWritingNeverBlocks(t *testing.T) {
	w := New(&bytes.Buffer{})
	logger := w.Logger(zapcore.InfoLevel)
	for i := range 3 * maxQueuedLines {
		logger.Info("event " + string(rune('a'+i%26)))
	}
	assert.Assert(t, w.Dropped() >= 2*maxQueuedLines)
}

func TestEqualLinesAreBounded(t *testing.T) {
	w := New(&bytes.Buffer{})
	logger := w.Logger(zapcore.InfoLevel)
	for range 2 * maxEqualLinesPerSec {
		logger.Info("the same")
	}
	assert.Assert(t, w.Dropped() > 0)
	assert.Assert(t, len(w.lines) <= 2*maxEqualLinesPerSec)
}
