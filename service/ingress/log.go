package ingress

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxEqualLines is how many lines of one kind are logged in a second. The metrics count all.
const maxEqualLines = 10

// Log returns a function that logs events, for New.
func Log(logger *zap.Logger) func(Event) {
	logger = logger.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, maxEqualLines, 0)
	}))
	return func(e Event) { logger.Warn(e.name(), zap.Inline(e)) }
}

// name tells a connection that was closed before its request was read from one that was closed later.
func (e Event) name() string {
	switch {
	case e.Reason == LongestIdle:
		return "idle connection closed"
	case e.Reason == NoConnection:
		return "connection refused"
	case !e.Read:
		return "connection closed before its request was read"
	case e.Closed:
		return "connection closed after its request was read"
	}
	return "request shed after it was read"
}
