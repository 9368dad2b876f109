package laddercommand

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"lacewingladder/laddergate"
	"lacewingladder/ladderjob"
)

// submit hands a job in.
type submit struct {
	client
	file string
	key  string
}

func (*submit) Name() string     { return "submit" }
func (*submit) Synopsis() string { return "hand in a batch job, a gang or a service" }
func (*submit) Usage() string {
	return `submit -to ADDR -file FILE [-key KEY]
  Hand a job in and print its id once it is durable. With a key the command can
  be repeated without handing the job in twice.
`
}

func (s *submit) SetFlags(f *flag.FlagSet) {
	s.setFlags(f)
	f.StringVar(&s.file, "file", "", "the job, a YAML or JSON file")
	f.StringVar(&s.key, "key", "", "the idempotency key")
}

func (s *submit) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(s.to) != 1 || s.file == "" || f.NArg() > 0 {
		return s.misuse("submit: give -to ADDR, -file FILE and no arguments")
	}
	data, err := os.ReadFile(s.file)
	if err != nil {
		return s.fail(err)
	}
	job, err := ladderjob.Parse(s.file, data)
	if err != nil {
		return s.fail(err)
	}
	header := map[string]string{laddergate.HeaderMember: job.Member}
	if s.key != "" {
		header[laddergate.HeaderKey] = s.key
	}
	reply, err := s.must(ctx, "POST", "/v1/jobs", header, data)
	if err != nil {
		return s.fail(err)
	}
	_, _ = s.out.Write(reply)
	return subcommands.ExitSuccess
}

// cancel ends a job.
type cancel struct {
	client
	member string
}

func (*cancel) Name() string     { return "cancel" }
func (*cancel) Synopsis() string { return "end jobs, or keep them from beginning" }
func (*cancel) Usage() string {
	return `cancel -to ADDR -member NAME JOB...
  End jobs of a member. Tasks that run are stopped.
`
}

func (c *cancel) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.member, "member", "", "the member that the jobs belong to")
}

func (c *cancel) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(c.to) != 1 || c.member == "" || f.NArg() == 0 {
		return c.misuse("cancel: give -to ADDR, -member NAME and at least one job")
	}
	status := subcommands.ExitSuccess
	for _, id := range f.Args() {
		header := map[string]string{laddergate.HeaderMember: c.member}
		if _, err := c.must(ctx, "DELETE", "/v1/jobs/"+id, header, nil); err != nil {
			_, _ = fmt.Fprintf(c.err, "%s: %v\n", id, err)
			status = subcommands.ExitFailure
		}
	}
	return status
}
