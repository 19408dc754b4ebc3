// Package logbook writes structured logs without ever blocking the goroutines that
// log: it drops lines beyond fixed limits, and says in the log how many. Warnings and errors
// are dropped only when the queue is full.
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
	maxQueuedInfoLines  = 3072 // the rest of the queue is for warnings and errors
	maxEqualLinesPerSec = 400  // lines below level warn with the same message; further ones are dropped
	dropReportInterval  = time.Second
	flushTimeout        = 200 * time.Millisecond
)

// AsyncWriter queues log lines and writes them from the goroutine of Run.
type AsyncWriter struct {
	out      io.Writer
	lines    chan []byte
	dropped  atomic.Int64
	reported int64 // dropped lines that the log has a line about
}

// New returns a writer that passes its lines to out while Run is running.
func New(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Dropped returns the number of lines that were dropped or could not be written so
// far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// enqueue queues a line, or drops it if limit lines are queued.
func (w *AsyncWriter) enqueue(line []byte, limit int) {
	if len(w.lines) >= limit {
		w.dropped.Add(1)
		return
	}
	// zap reuses the memory of line.
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
}

// lineQueue is the queue of a writer as a zapcore.WriteSyncer that takes lines up to a limit.
type lineQueue struct {
	writer *AsyncWriter
	limit  int
}

func (q lineQueue) Write(line []byte) (int, error) {
	q.writer.enqueue(line, q.limit)
	return len(line), nil
}

// Sync does nothing: Run flushes the queue when it ends.
func (q lineQueue) Sync() error { return nil }

// Run writes lines until the context ends, and then flushes the queue.
func (w *AsyncWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ticker.C:
			w.reportDropped()
		case <-ctx.Done():
			w.flush()
			w.reportDropped()
			return nil
		}
	}
}

func (w *AsyncWriter) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// reportDropped writes how many lines were dropped since it last did so.
func (w *AsyncWriter) reportDropped() {
	dropped := w.dropped.Load()
	if dropped == w.reported {
		return
	}
	entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "lines left out"}
	line, err := NewEncoder().EncodeEntry(entry, []zapcore.Field{zap.Int64("Lines", dropped-w.reported), zap.Int64("Total", dropped)})
	if err != nil {
		return
	}
	defer line.Free()
	if _, err := w.out.Write(line.Bytes()); err == nil {
		w.reported = dropped
	}
}

// flush writes the queued lines, for at most flushTimeout. A line that is still
// queued after that is lost.
func (w *AsyncWriter) flush() {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// NewEncoder returns an encoder of lines as the logs have them.
func NewEncoder() zapcore.Encoder {
	return zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey: "Time", LevelKey: "Level", NameKey: "Layer", MessageKey: "Event",
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder, EncodeName: zapcore.FullNameEncoder,
	})
}

// Logger returns a logger that writes JSON lines to w. Lines below level warn are sampled.
func (w *AsyncWriter) Logger(level zapcore.LevelEnabler) *zap.Logger {
	ordinary := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l < zapcore.WarnLevel && level.Enabled(l) })
	warnings := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= zapcore.WarnLevel && level.Enabled(l) })
	core := zapcore.NewCore(NewEncoder(), lineQueue{w, maxQueuedInfoLines}, ordinary)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, maxEqualLinesPerSec, 0, zapcore.SamplerHook(
		func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				w.dropped.Add(1)
			}
		}))
	return zap.New(zapcore.NewTee(sampled, zapcore.NewCore(NewEncoder(), lineQueue{w, maxQueuedLines}, warnings)))
}
