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

// entry runs the scheduler on one entry VM of the members' platform.
type entry struct {
	streams
	level   string
	metrics uint
}

func (*entry) Name() string     { return "entry" }
func (*entry) Synopsis() string { return "run the scheduler on this entry VM of the members' platform" }

func (*entry) Usage() string {
	return `entry [-level info] [-metrics PORT]
  Run the scheduler on this entry VM of the members' platform until it is told to
  leave. The settings are read from the file that ` + platform.SettingsVariable + `
  names. On SIGTERM it takes no new connections, answers what it has read, hands the
  lead over, and exits. SIGHUP is taken as news of the settings.
`
}

func (e *entry) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.level, "level", "info", "least level of log lines: debug, info, warn or error")
	f.UintVar(&e.metrics, "metrics", 9464, "port on which metrics are served")
}

// memoryShare is the part of the machine's memory, in hundredths, that the runtime
// tries to stay below: what it counts is not all that the process uses.
const memoryShare = 75

func (e *entry) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return e.misuse("entry: give no arguments")
	}
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return e.fail(err)
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(settings.MemoryLimit * memoryShare / 100)
	}
	lines := ladderlog.NewQueue(e.out)
	defer lines.Close()
	logs := ladderlog.New(lines, e.level)
	vm, err := laddervm.New(laddervm.Options{Settings: settings, Logs: logs, Metrics: uint16(e.metrics)})
	if err != nil {
		return e.fail(err)
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		last := readSettings()
		for {
			select {
			case <-reloads:
			case <-time.After(settingsTime):
				if bytes.Equal(last, readSettings()) {
					continue
				}
			}
			last = readSettings()
			reload(vm, logs)
		}
	}()
	running, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := vm.Run(running); err != nil {
		return e.fail(err)
	}
	return subcommands.ExitSuccess
}

// settingsTime is the time between two looks at the settings file, which may change
// without a signal.
const settingsTime = 2 * time.Second

// readSettings returns the settings file as it is, or nil while it can't be read: it may be
// on its way to be replaced.
func readSettings() []byte {
	data, err := os.ReadFile(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return nil
	}
	return data
}

// reload reads the settings again. The bounds are taken over; addresses and names are fixed
// for the life of a process.
func reload(vm *laddervm.VM, logs *ladderlog.Logs) {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		logs.Part("settings").Warn("settings can not be read; the old ones stay", "err", err)
		return
	}
	vm.Reload(settings)
}
