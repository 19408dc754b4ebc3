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
	maxQueuedLines  = 4096
	equalLinesInSec = 400 // lines with one message in a second; further ones are left out
	flushWait       = 200 * time.Millisecond
)

// Book takes log lines and writes them from a goroutine of its own.
type Book struct {
	out     io.Writer
	lines   chan []byte
	leftOut atomic.Int64
}

// New returns a book that writes to out. Run must be called for it to write.
func New(out io.Writer) *Book {
	return &Book{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// LeftOut returns how many lines were left out so far.
func (b *Book) LeftOut() int64 { return b.leftOut.Load() }

// Write implements zapcore.WriteSyncer.
func (b *Book) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case b.lines <- kept:
	default:
		b.leftOut.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; Run writes what is left when it ends.
func (b *Book) Sync() error { return nil }

// Run writes lines until the context ends, and then those that are left.
func (b *Book) Run(ctx context.Context) error {
	for {
		select {
		case line := <-b.lines:
			if _, err := b.out.Write(line); err != nil {
				b.leftOut.Add(1)
			}
		case <-ctx.Done():
			b.flush()
			return nil
		}
	}
}

func (b *Book) flush() {
	deadline := time.Now().Add(flushWait)
	for time.Now().Before(deadline) {
		select {
		case line := <-b.lines:
			if _, err := b.out.Write(line); err != nil {
				b.leftOut.Add(1)
			}
		default:
			return
		}
	}
}

// Logger returns a logger of JSON lines into the book.
func (b *Book) Logger(level zapcore.LevelEnabler) *zap.Logger {
	encoding := zapcore.EncoderConfig{
		TimeKey: "Time", LevelKey: "Level", NameKey: "Layer", MessageKey: "Event",
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder, EncodeName: zapcore.FullNameEncoder,
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), b, level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, equalLinesInSec, 0, zapcore.SamplerHook(
		func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				b.leftOut.Add(1)
			}
		}))
	return zap.New(sampled)
}
