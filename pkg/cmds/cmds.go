// Package cmds holds one function for each program. It parses the program's command
// line, runs the program, and returns its exit status.
package cmds

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Exit statuses of all programs.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the program ran and failed, or found a fault
	ExitUsage   = 2 // the command line or a file named by it is wrong
	ExitRefused = 3 // the system refused what was asked
)

// parse reads a command line into options. It returns whether the program should
// proceed and, if not, the exit status.
func parse(options any, name string, args []string) (status int, proceed bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return fail(ExitUsage, err), false
	}
	rest, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
		return ExitOK, false
	case err != nil:
		return fail(ExitUsage, err), false
	case len(rest) > 0:
		return fail(ExitUsage, fmt.Errorf("%q is not an option; see --help", rest[0])), false
	}
	return ExitOK, true
}

func fail(status int, err error) int {
	_, _ = fmt.Fprintln(os.Stderr, err)
	return status
}

// newLogger returns a logger that writes JSON lines at the named level. Of
// more than 100 equal lines within a second it writes only every hundredth, so that
// a burst of errors doesn't flood the log.
func newLogger(level string) (*zap.Logger, error) {
	if level == "off" || level == "" {
		return zap.NewNop(), nil
	}
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level is %q; allowed: off, debug, info, warn, error", level)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.EncoderConfig.TimeKey = "Time"
	config.EncoderConfig.LevelKey = "Level"
	config.EncoderConfig.NameKey = "Layer"
	config.EncoderConfig.MessageKey = "Message"
	config.EncoderConfig.CallerKey = ""
	config.EncoderConfig.StacktraceKey = ""
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return config.Build()
}
