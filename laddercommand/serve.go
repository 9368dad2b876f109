package laddercommand

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"lacewingladder/laddercert"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderserver"
	"lacewingladder/laddersettings"
)

// serve is the subcommand that runs the scheduler on an entry VM.
type serve struct {
	streams
	settingsFile string
}

func (*serve) Name() string     { return "serve" }
func (*serve) Synopsis() string { return "run the scheduler on this entry VM" }
func (*serve) Usage() string {
	return `serve -settings FILE
  Run the scheduler on this entry VM until it is drained. On SIGTERM, SIGINT or the
  command drain it rejects new work, finishes the work in progress, hands its racks
  and its leadership, if it has any, over to other entry VMs, and exits.
`
}

func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settingsFile, "settings", "", "YAML `file` with the settings of the entry VM")
}

func (s *serve) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.settingsFile == "" || f.NArg() > 0 {
		return s.usageError("serve: give -settings FILE and no arguments")
	}
	data, err := os.ReadFile(s.settingsFile)
	if err != nil {
		return s.fail(err)
	}
	settings, err := laddersettings.Parse(s.settingsFile, data)
	if err != nil {
		return s.fail(err)
	}
	tls, err := laddercert.Load(settings.TLS)
	if err != nil {
		return s.fail(err)
	}
	server, err := ladderserver.New(ladderserver.Options{
		Settings: settings, TLS: tls, Logs: ladderlog.New(s.err, settings.LogLevel),
	})
	if err != nil {
		return s.fail(err)
	}
	runCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := server.Run(runCtx); err != nil {
		return s.fail(err)
	}
	return subcommands.ExitSuccess
}
