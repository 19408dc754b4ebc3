// Package logbook writes structured logs without ever blocking the writer: lines
// beyond a bound are left out and counted.
package logbook

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of the volume.
const (
	maxQueuedLines      = 4096
	maxEqualLinesPerSec = 400 // lines with one message in a second; further ones are left out
	flushTimeout        = 200 * time.Millisecond
)

// Book takes log lines and writes them from a goroutine of its own.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a book that writes to out. Run must be called for it to write.
func New(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// LeftOut returns how many lines were left out so far.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Write implements zapcore.WriteSyncer.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case b.lines <- kept:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; Run writes what is left when it ends.
func (b *AsyncWriter) Sync() error { return nil }

// Run writes lines until the context ends, and then those that are left.
func (b *AsyncWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-b.lines:
			if _, err := b.out.Write(line); err != nil {
				b.dropped.Add(1)
			}
		case <-ctx.Done():
			b.flush()
			return nil
		}
	}
}

func (b *AsyncWriter) flush() {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case line := <-b.lines:
			if _, err := b.out.Write(line); err != nil {
				b.dropped.Add(1)
			}
		default:
			return
		}
	}
}

// Logger returns a logger of JSON lines into the book.
func (b *AsyncWriter) Logger(level zapcore.LevelEnabler) *zap.Logger {
	encoding := zapcore.EncoderConfig{
		TimeKey: "Time", LevelKey: "Level", NameKey: "Layer", MessageKey: "Event",
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder, EncodeName: zapcore.FullNameEncoder,
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), b, level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, maxEqualLinesPerSec, 0, zapcore.SamplerHook(
		func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				b.dropped.Add(1)
			}
		}))
	return zap.New(sampled)
}
