package logbook

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
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

// Guards against a log from which lines are missing that explain why a run has ended:
// however many ordinary lines there are, all warnings are written.
func TestWarningsAreWrittenBesideManyOrdinaryLines(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	logger := w.Logger(zapcore.InfoLevel)
	for i := range 3 * maxQueuedLines {
		logger.Info("event " + string(rune('a'+i%26)))
	}
	for range 2 * maxEqualLinesPerSec {
		logger.Warn("run ended")
	}
	runOnce(t, w)
	assert.Equal(t, strings.Count(out.String(), `"Event":"run ended"`), 2*maxEqualLinesPerSec)
}

// Guards against a log that does not show that lines are missing from it.
func TestDroppedLinesAreCountedInTheLog(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	logger := w.Logger(zapcore.InfoLevel)
	for range maxEqualLinesPerSec + 5 {
		logger.Info("the same")
	}
	runOnce(t, w)
	runOnce(t, w)
	assert.Equal(t, strings.Count(out.String(), `"Event":"the same"`), maxEqualLinesPerSec)
	assert.Equal(t, strings.Count(out.String(), `"Event":"lines left out"`), 1)
	assert.Check(t, cmp.Contains(out.String(), `"Lines":5,"Total":5`))
}

// runOnce lets the writer write what is queued.
func runOnce(t *testing.T, w *AsyncWriter) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, w.Run(ctx))
}
