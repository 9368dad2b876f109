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

// serve runs the scheduler on one entry VM.
type serve struct {
	streams
	settings string
}

func (*serve) Name() string     { return "serve" }
func (*serve) Synopsis() string { return "run the scheduler on this entry VM" }
func (*serve) Usage() string {
	return `serve -settings FILE
  Run the scheduler on this entry VM until it is told to leave. On SIGTERM or
  SIGINT it takes no new work, ends what is under way, hands over what it holds,
  and exits.
`
}

func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settings, "settings", "", "the entry VM's settings, a YAML file")
}

func (s *serve) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.settings == "" || f.NArg() > 0 {
		return s.misuse("serve: give -settings FILE and no arguments")
	}
	data, err := os.ReadFile(s.settings)
	if err != nil {
		return s.fail(err)
	}
	settings, err := laddersettings.Parse(s.settings, data)
	if err != nil {
		return s.fail(err)
	}
	tls, err := laddercert.Load(settings.TLS)
	if err != nil {
		return s.fail(err)
	}
	server, err := ladderserver.New(ladderserver.Options{
		Settings: settings, TLS: tls, Logs: ladderlog.New(s.err, settings.Level),
	})
	if err != nil {
		return s.fail(err)
	}
	running, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := server.Run(running); err != nil {
		return s.fail(err)
	}
	return subcommands.ExitSuccess
}
