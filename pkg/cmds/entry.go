package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/settings"
	"crocusseam/pkg/standin"
	"crocusseam/pkg/submission"
	"crocusseam/platform"
	"crocusseam/service/entry"
)

const (
	plannedStopTimeout   = 2 * time.Minute
	platformReadTimeout  = time.Second
	platformWriteTimeout = 2 * time.Second
	platformConnections  = 64
)

type entryOptions struct {
	Settings string `long:"settings" description:"settings file; flags go before it"`
	settings.Entry
}

// Entry runs an entry instance until a signal begins its planned stop.
func Entry(args []string) int {
	o, status, proceed := parseEntry(args)
	if !proceed {
		return status
	}
	if err := o.Validate(); err != nil {
		return fail(ExitUsage, err)
	}
	server, err := newEntry(o)
	if err != nil {
		return fail(ExitFailed, err)
	}
	fmt.Printf("{\"Instance\":%q,\"Callers\":%q,\"Peers\":%q}\n", o.Instance, server.Address(), server.PeerAddress())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var group errgroup.Group
	group.Go(func() error { return server.Run(context.Background()) })
	group.Go(func() error {
		<-signals
		ctx, cancel := context.WithTimeout(context.Background(), plannedStopTimeout)
		defer cancel()
		err := server.Stop(ctx)
		server.Crash()
		if err == nil {
			os.Exit(ExitOK) // the planned stop is complete: the instance has given back all that it held
		}
		return err
	})
	if err := group.Wait(); err != nil {
		return fail(ExitFailed, err)
	}
	return ExitOK
}

// parseEntry reads the settings file, then the flags, which override it.
func parseEntry(args []string) (*entryOptions, int, bool) {
	var o entryOptions
	status, proceed := parse(&o, "crocus-entry", args)
	if !proceed || o.Settings == "" {
		return &o, status, proceed
	}
	if err := settings.Load(o.Settings, &o.Entry); err != nil {
		return nil, fail(ExitUsage, err), false
	}
	parser := flags.NewNamedParser("crocus-entry", flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		return nil, fail(ExitUsage, err), false
	}
	for _, option := range parser.Groups()[0].Options() {
		option.Default = nil // a default must not override a value from the file
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return nil, fail(ExitUsage, err), false
	}
	return &o, ExitOK, true
}

func newEntry(o *entryOptions) (*entry.Server, error) {
	debug.SetGCPercent(gcPercent)
	logger, err := newLogger(o.Log)
	if err != nil {
		return nil, err
	}
	callersTLS, err := o.CallersTLS()
	if err != nil {
		return nil, err
	}
	peersTLS, err := o.PeersTLS()
	if err != nil {
		return nil, err
	}
	limits := submission.DefaultLimits()
	limits.MaxTasks = o.MaxTasks
	timing := dispatch.DefaultTiming()
	timing.WritesPerSec = float64(o.WritesPerSec)
	now := time.Now()
	return entry.New(entry.Config{
		Instance: o.Instance, Incarnation: uint64(now.UnixNano()), Domain: o.Domain, Capacity: o.Capacity,
		Callers: o.Callers.AddrPort, Peers: o.Peers.AddrPort, Limits: limits, Timing: timing, MaxBodyBytes: o.MaxBodyBytes, MaxReadBytes: o.MaxReadBytes, MaxOpenBytes: o.MaxOpenBytes, MaxConnections: o.MaxConnections,
		CallersTLS: callersTLS, PeersTLS: peersTLS, Seed: uint64(now.UnixNano()),
		Logger: filterLayers(logger, o.LogLayers).Named(o.Instance),
		Platform: platform.NewStore(platform.StoreConfig{
			Address: o.Platform.AddrPort, ReadTimeout: platformReadTimeout, WriteTimeout: platformWriteTimeout, Connections: platformConnections,
		}),
	})
}

// filterLayers returns a logger that writes only the lines of the named layers, a
// list with commas; an empty list means all layers.
func filterLayers(logger *zap.Logger, layers string) *zap.Logger {
	if layers == "" {
		return logger
	}
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return &layerCore{Core: core, layers: strings.Split(layers, ",")}
	}))
}

// layerCore is a log core that drops the lines of layers not in its list.
type layerCore struct {
	zapcore.Core
	layers []string
}

// With returns a core with these fields and the same list of layers.
func (c *layerCore) With(fields []zapcore.Field) zapcore.Core {
	return &layerCore{Core: c.Core.With(fields), layers: c.layers}
}

// Check passes a line to the wrapped core if its layer is in the list.
func (c *layerCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	for _, l := range c.layers {
		if strings.HasSuffix(e.LoggerName, "."+l) {
			return c.Core.Check(e, checked)
		}
	}
	return checked
}

type standinOptions struct {
	Platform  settings.Address `long:"platform" default:"127.0.0.1:0" description:"address of the platform's stand-in"`
	First     settings.Address `long:"first" default:"127.0.0.1:0" description:"address of the first endpoint; the others have the next ports, or any if the port is 0"`
	Endpoints int              `long:"endpoints" default:"12" description:"number of endpoints in each failure domain"`
	Domains   []string         `long:"domain" description:"failure domain; may be given several times"`
	Slots     int              `long:"slots" default:"8" description:"slots of each endpoint"`
	Document  string           `long:"document" description:"file to write a document for this environment to"`
	Teams     []string         `long:"team" description:"team of that document; may be given several times"`
}

// Standin runs stand-ins of the platform and of endpoints until a signal stops them.
func Standin(args []string) int {
	var o standinOptions
	if status, proceed := parse(&o, "crocus-standin", args); !proceed {
		return status
	}
	if o.Endpoints < 0 || o.Slots < 1 {
		return fail(ExitUsage, errors.New("endpoints is 0 or more and slots 1 or more"))
	}
	endpoints, err := standin.NewEndpoints(standin.SpreadConfigs(o.First.AddrPort, o.Domains, o.Endpoints, o.Slots))
	if err != nil {
		return fail(ExitFailed, err)
	}
	p, err := standin.NewPlatform(o.Platform.AddrPort, endpoints)
	if err != nil {
		return fail(ExitFailed, err)
	}
	if o.Document != "" {
		if err := writeReport(o.Document, endpoints.Document(o.Teams)); err != nil {
			return fail(ExitFailed, err)
		}
	}
	fmt.Printf("{\"Platform\":%q}\n", p.Address())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return endpoints.Run(ctx) })
	group.Go(func() error { return p.Run(ctx) })
	if err := group.Wait(); err != nil {
		return fail(ExitFailed, err)
	}
	return ExitOK
}
