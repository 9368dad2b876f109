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

// submit is the subcommand that submits a job.
type submit struct {
	client
	file           string
	idempotencyKey string
}

func (*submit) Name() string     { return "submit" }
func (*submit) Synopsis() string { return "submit a batch job, a gang or a service" }
func (*submit) Usage() string {
	return `submit -to ADDR -file FILE [-key KEY]
  Submit a job and print its ID once it is stored durably. With the same -key the
  command can be repeated without submitting the job twice.
`
}

func (s *submit) SetFlags(f *flag.FlagSet) {
	s.setFlags(f)
	f.StringVar(&s.file, "file", "", "YAML or JSON `file` with the job")
	f.StringVar(&s.idempotencyKey, "key", "", "idempotency `key` of the job")
}

func (s *submit) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(s.to) != 1 || s.file == "" || f.NArg() > 0 {
		return s.usageError("submit: give -to ADDR, -file FILE and no arguments")
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
	if s.idempotencyKey != "" {
		header[laddergate.HeaderKey] = s.idempotencyKey
	}
	body, err := s.callBody(ctx, "POST", "/v1/jobs", header, data)
	if err != nil {
		return s.fail(err)
	}
	_, _ = s.out.Write(body)
	return subcommands.ExitSuccess
}

// cancel is the subcommand that cancels jobs.
type cancel struct {
	client
	member string
}

func (*cancel) Name() string     { return "cancel" }
func (*cancel) Synopsis() string { return "cancel waiting or running jobs" }
func (*cancel) Usage() string {
	return `cancel -to ADDR -member NAME JOB...
  Cancel jobs of a member. Their running tasks are stopped.
`
}

func (c *cancel) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.member, "member", "", "`name` of the member that the jobs belong to")
}

func (c *cancel) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(c.to) != 1 || c.member == "" || f.NArg() == 0 {
		return c.usageError("cancel: give -to ADDR, -member NAME and at least one job")
	}
	status := subcommands.ExitSuccess
	for _, id := range f.Args() {
		header := map[string]string{laddergate.HeaderMember: c.member}
		if _, err := c.callBody(ctx, "DELETE", "/v1/jobs/"+id, header, nil); err != nil {
			_, _ = fmt.Fprintf(c.err, "%s: %v\n", id, err)
			status = subcommands.ExitFailure
		}
	}
	return status
}
