package laddercommand

import (
	"bytes"
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"lacewingladder/ladderlog"
	"lacewingladder/laddervm"
	"lacewingladder/platform"
)

// entry is the subcommand that runs the scheduler on an entry VM of the members' platform.
type entry struct {
	streams
	level       string
	metricsPort uint
}

func (*entry) Name() string     { return "entry" }
func (*entry) Synopsis() string { return "run the scheduler on this entry VM of the members' platform" }

func (*entry) Usage() string {
	return `entry [-level info] [-metrics PORT]
  Run the scheduler on this entry VM of the members' platform until SIGTERM or SIGINT.
  The settings are read from the file that ` + platform.SettingsVariable + ` names.
  On SIGTERM or SIGINT the scheduler accepts no new connections, answers the requests
  that it has read, hands the leadership over, and exits. On SIGHUP, or when the file
  changes, it reads the settings again.
`
}

func (e *entry) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.level, "level", "info", "minimum `level` of log lines: debug, info, warn or error")
	f.UintVar(&e.metricsPort, "metrics", 9464, "`port` on which metrics are served")
}

// memoryLimitPercent is the percentage of the memory limit in the settings that becomes
// the memory limit of the Go runtime. The rest is for memory of the process that the
// runtime does not count.
const memoryLimitPercent = 75

func (e *entry) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return e.usageError("entry: give no arguments")
	}
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return e.fail(err)
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(settings.MemoryLimit * memoryLimitPercent / 100)
	}
	logWriter := ladderlog.NewAsyncWriter(e.out)
	defer logWriter.Close()
	logs := ladderlog.New(logWriter, e.level)
	vm, err := laddervm.New(laddervm.Options{Settings: settings, Logs: logs, MetricsPort: uint16(e.metricsPort)})
	if err != nil {
		return e.fail(err)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		last := readSettingsFile()
		for {
			select {
			case <-hangups:
			case <-time.After(settingsPollInterval):
				if bytes.Equal(last, readSettingsFile()) {
					continue
				}
			}
			last = readSettingsFile()
			reloadSettings(vm, logs)
		}
	}()
	runCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := vm.Run(runCtx); err != nil {
		return e.fail(err)
	}
	return subcommands.ExitSuccess
}

// settingsPollInterval is the interval at which the settings file is read to detect changes
// that no signal announces.
const settingsPollInterval = 2 * time.Second

// readSettingsFile returns the content of the settings file, or nil if it cannot be read,
// for example because it is being replaced.
func readSettingsFile() []byte {
	data, err := os.ReadFile(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return nil
	}
	return data
}

// reloadSettings reads the settings again and passes them to the VM, which applies only
// their bounds. Addresses and names stay the same until the process is restarted.
func reloadSettings(vm *laddervm.VM, logs *ladderlog.Loggers) {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		logs.Component("settings").Warn("settings can not be read; keeping the previous ones", "err", err)
		return
	}
	vm.Reload(settings)
}
