// Package logbook writes structured logs without ever blocking the goroutines that
// log: it drops lines beyond fixed limits and counts them.
package logbook

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines      = 4096
	maxEqualLinesPerSec = 400 // lines with the same message; further ones are dropped
	flushTimeout        = 200 * time.Millisecond
)

// AsyncWriter queues log lines and writes them from the goroutine of Run.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a writer that passes its lines to out while Run is running.
func New(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Dropped returns the number of lines that were dropped or could not be written so
// far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Write implements zapcore.WriteSyncer. It drops the line if the queue is full.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	// zap reuses the memory of line.
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: Run flushes the queue when
// it ends.
func (w *AsyncWriter) Sync() error { return nil }

// Run writes lines until the context ends, and then flushes the queue.
func (w *AsyncWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			if _, err := w.out.Write(line); err != nil {
				w.dropped.Add(1)
			}
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

// flush writes the queued lines, for at most flushTimeout. A line that is still
// queued after that is lost.
func (w *AsyncWriter) flush() {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case line := <-w.lines:
			if _, err := w.out.Write(line); err != nil {
				w.dropped.Add(1)
			}
		default:
			return
		}
	}
}

// Logger returns a logger that writes JSON lines to w.
func (w *AsyncWriter) Logger(level zapcore.LevelEnabler) *zap.Logger {
	encoding := zapcore.EncoderConfig{
		TimeKey: "Time", LevelKey: "Level", NameKey: "Layer", MessageKey: "Event",
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder, EncodeName: zapcore.FullNameEncoder,
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), w, level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, maxEqualLinesPerSec, 0, zapcore.SamplerHook(
		func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				w.dropped.Add(1)
			}
		}))
	return zap.New(sampled)
}
