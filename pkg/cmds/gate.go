package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/logbook"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/settings"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/timer"
	"crocusseam/platform"
	"crocusseam/service/gate"
	"crocusseam/service/ingress"
)

type gateOptions struct {
	Settings string `long:"settings" description:"settings file; the platform names it in the environment"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
}

const logLevels = "debug, info, warn, error"

const (
	memoryShare = 0.75 // of the memory setting: the soft limit above which the garbage collector runs more often
	// storedJobsShare and openJobsShare are the shares of the memory setting that open stored
	// jobs and ephemeral ones may take; large jobs may take four fifths of them. On the smallest
	// machines (144 MB, 3,075 descriptors) the first is 45 MB, which 20,000 stored jobs of one task (1.8 KB each),
	// the limit of their number, do not reach, and the second 15 MB, which jobs of eight tasks (3.7 KB each) do not
	// reach even if one waits for each descriptor. ingress.Limits.Shared bounds stored jobs, runs and
	// callers' requests together.
	storedJobsShare = 0.3
	openJobsShare   = 0.1
	// runsShare is the share of the memory setting that runs may take: queued, started, and ended lately.
	runsShare          = 0.1
	shareUnit          = 0.01 // processors for each unit of an instance's share of endpoints
	signalBuffer       = 4    // signals that are kept while the process starts
	gcPercent          = 50   // growth between collections; memory is scarcer than processor time here
	callersShare       = 0.15 // processors that an instance needs for its own callers, at 90 jobs a second
	storeReadTimeout   = 700 * time.Millisecond
	storeWriteTimeout  = time.Second
	storeConnections   = 16
	formerRowTimeout   = 200 * time.Millisecond // one read of the instance's former row at the start
	settingsPollPeriod = time.Second            // between checks of the settings file
	plannedStopShare   = 0.85                   // of the Grace setting: the longest planned stop
	maxPageTime        = 40 * time.Millisecond  // the longest time that one answer of the store may occupy the network link
	bytesPerMegabit    = 1e6 / 8
	rowBytes           = 500 // size in an answer of a row of the kinds that are read in large numbers
)

// Gate runs an instance on the users' platform until a signal begins its planned
// stop.
func Gate(args []string) int {
	var o gateOptions
	if status, proceed := parse(&o, "crocus-gate", args); !proceed {
		return status
	}
	// The handler is set up first: SIGHUP, which asks for a reload, would otherwise
	// end a process that is still starting.
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	path := o.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return fail(ExitUsage, errors.New("no settings file is named by --settings or the environment"))
	}
	s, err := loadGate(path)
	if err != nil {
		return fail(ExitUsage, err)
	}
	if o.Check {
		if err := settings.Load(path, &settings.Gate{}); err != nil {
			return fail(ExitUsage, err)
		}
		fmt.Printf("the settings in %s are valid\n", path)
		return ExitOK
	}
	if err := runGate(path, s, signals); err != nil {
		return fail(ExitFailed, err)
	}
	return ExitOK
}

// loadGate reads and validates the settings that this program knows and ignores
// others. logUnknownSettings logs those, and --check refuses them.
func loadGate(path string) (*settings.Gate, error) {
	var s settings.Gate
	if err := settings.LoadKnown(path, &s); err != nil {
		return nil, err
	}
	return &s, s.Validate()
}

func runGate(path string, s *settings.Gate, signals <-chan os.Signal) error {
	level, err := zap.ParseAtomicLevel(s.Log)
	if err != nil {
		return &settings.ErrSetting{Name: "Log", Value: s.Log, Allowed: logLevels}
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(shareOfMemory(s, memoryShare))
	book := logbook.New(os.Stdout)
	logger := book.Logger(level)
	timers := timer.New()
	timing := placement.DefaultTiming()
	timing.Lease = time.Duration(s.Lease)
	if s.ResubmitAfter != 0 {
		timing.ResubmitAfter = time.Duration(s.ResubmitAfter)
	}
	timing.MaxLeaveTime = time.Duration(float64(s.Grace) * plannedStopShare)
	store := platform.NewStore(platform.StoreConfig{
		Address: s.Store, ReadTimeout: storeReadTimeout, WriteTimeout: storeWriteTimeout, Connections: storeConnections, PageRows: maxPageRows(s.LinkMbps),
	})
	server, err := gate.New(gate.Config{
		Self:            instance.ID{Instance: s.Instance, Incarnation: nextIncarnation(store, s.Instance, logger)},
		OverloadControl: s.OverloadControl, AdaptivePlacement: s.AdaptivePlacement,
		Domain: s.Domain, Share: holderShare(s.Processor), FarFactor: s.FarFactor, Retention: time.Duration(s.Retention), LinkRate: s.LinkMbps * bytesPerMegabit,
		MaxStoredBytes: shareOfMemory(s, storedJobsShare), MaxOpenBytes: shareOfMemory(s, openJobsShare),
		MaxRunBytes: shareOfMemory(s, runsShare),
		ColdOver:    s.ColdOver, ColdSlack: s.ColdSlack,
		Callers: s.Callers, Ready: s.Ready, Peers: s.Peers, Advertised: s.Advertised, Metrics: s.Metrics, EvacuationBound: time.Duration(s.EvacuationBound),
		Limits: ingress.LimitsOf(int64(s.MemoryMB)<<20, s.Descriptors),
		Store:  store,
		Timing: timing, Timers: timers, Logger: logger, LinesLeftOut: book.Dropped,
	})
	if err != nil {
		return err
	}
	logUnknownSettings(path, logger)
	logger.Info("instance starts", zap.String("Instance", s.Instance), zap.String("Domain", s.Domain), zap.Stringer("Callers", s.Callers), zap.Stringer("Store", s.Store))
	reload := func(cause string) { reloadGate(path, cause, level, logger) }
	ctx, cancel := context.WithCancel(context.Background())
	var writer errgroup.Group
	writer.Go(func() error { return book.Run(ctx) })
	var group errgroup.Group
	group.Go(func() error { return followSignals(ctx, signals, server, logger, reload) })
	group.Go(func() error { return watchSettings(ctx, timers, path, reload) })
	err = server.Run(ctx)
	logger.Info("instance stops", zap.Error(err))
	cancel()
	return errors.Join(err, group.Wait(), writer.Wait())
}

// shareOfMemory returns a share of the memory that the process may use, in bytes.
func shareOfMemory(s *settings.Gate, share float64) int64 {
	return int64(float64(s.MemoryMB<<20) * share)
}

// holderShare returns the relative size of an instance as a holder of endpoints,
// from the processor time that its own callers don't need.
func holderShare(processor float64) int { return max(0, int((processor-callersShare)/shareUnit)) }

// maxPageRows returns how many rows an answer of the store may have. The limit
// keeps orders from waiting behind a long answer on the network link.
func maxPageRows(linkMbps float64) int {
	return max(1, int(linkMbps*bytesPerMegabit*maxPageTime.Seconds()/rowBytes))
}

// nextIncarnation returns the instance's new incarnation: the wall clock time, or
// one more than the incarnation in the instance's row if the clock was set back.
// If the row can't be read it returns the time.
func nextIncarnation(store storage.Table, name string, logger *zap.Logger) uint64 {
	incarnation := uint64(time.Now().UnixNano())
	ctx, cancel := context.WithTimeout(context.Background(), formerRowTimeout)
	defer cancel()
	row, err := store.Get(ctx, placement.MemberPrefix+name)
	if err != nil || row.Version == 0 {
		logger.Info("no former row of this instance", zap.Error(err))
		return incarnation
	}
	former, err := placement.DecodeMember(&row)
	if err != nil {
		logger.Warn("former row of this instance skipped", zap.Error(err))
		return incarnation
	}
	return max(incarnation, former.Incarnation+1)
}

// reloadGate reads the settings again. A new log level takes effect at once, all
// other settings at the next start.
func reloadGate(path, cause string, level zap.AtomicLevel, logger *zap.Logger) {
	s, err := loadGate(path)
	if err == nil {
		err = level.UnmarshalText([]byte(s.Log))
	}
	if err != nil {
		logger.Error("settings not reloaded", zap.String("Path", path), zap.String("Cause", cause), zap.Error(err))
		return
	}
	logUnknownSettings(path, logger)
	logger.Info("settings reloaded", zap.String("Path", path), zap.String("Cause", cause), zap.Any("Settings", s))
}

// logUnknownSettings logs a warning if the file has settings that this program
// doesn't know.
func logUnknownSettings(path string, logger *zap.Logger) {
	if err := settings.Load(path, &settings.Gate{}); err != nil {
		logger.Warn("settings not known in full", zap.String("Path", path), zap.Error(err))
	}
}

// followSignals reloads the settings on SIGHUP and begins a planned stop on any
// other signal.
func followSignals(ctx context.Context, signals <-chan os.Signal, server *gate.Server, logger *zap.Logger, reload func(cause string)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case received := <-signals:
			if received == syscall.SIGHUP {
				reload("signal")
				continue
			}
			logger.Info("signal to stop", zap.Stringer("Signal", received))
			server.Stop()
		}
	}
}

// watchSettings reloads the settings when the modification time of their file
// changes, so that a change without a signal takes effect too.
func watchSettings(ctx context.Context, timers *timer.Service, path string, reload func(cause string)) error {
	changed := modificationTime(path)
	for timers.Sleep(ctx, settingsPollPeriod) {
		if now := modificationTime(path); !now.Equal(changed) {
			changed = now
			reload("file")
		}
	}
	return nil
}

// modificationTime returns when a file was last changed, or the zero time if the
// file can't be read, for example while it is being replaced.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
