package laddercommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
)

const (
	// queryTimeout limits the duration of one query to an entry VM.
	queryTimeout = 5 * time.Second
	// maxQueryReplyBytes is the size to which the reply to a query is truncated.
	maxQueryReplyBytes = 16 << 20
)

// operatorQuery is the common part of the subcommands that query the leader through an
// entry VM of the members' platform.
type operatorQuery struct {
	streams
	// to is the host and port at which the entry VM serves metrics and queries.
	to   string
	json bool
}

func (q *operatorQuery) SetFlags(f *flag.FlagSet) {
	f.StringVar(&q.to, "to", "", "`address` at which an entry VM serves metrics, such as 10.1.0.13:9464")
	f.BoolVar(&q.json, "json", false, "print JSON")
}

// printReply sends the query for a path and prints the reply.
func (q *operatorQuery) printReply(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?json=%v", q.to, path, q.json)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxQueryReplyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, body)
	}
	_, err = fmt.Fprintf(q.out, "%s", body)
	return err
}

// isTerminal reports whether w writes to a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// explain is the subcommand that prints what the leader knows about a job.
type explain struct {
	operatorQuery
}

func (*explain) Name() string     { return "explain" }
func (*explain) Synopsis() string { return "show why a job waits, where it ran and what failed" }
func (*explain) Usage() string {
	return "explain -to ADDRESS [-json] JOB\n  Print what the leader knows about a job.\n"
}

func (e *explain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.to == "" || f.NArg() != 1 {
		return e.usageError("explain: give -to ADDRESS and one job")
	}
	if err := e.printReply(ctx, "/explain/"+f.Arg(0)); err != nil {
		return e.fail(err)
	}
	return subcommands.ExitSuccess
}

// top is the subcommand that prints an overview of the queues and workers.
type top struct {
	operatorQuery
	// every is the time between two overviews, or 0 to print only one.
	every time.Duration
}

func (*top) Name() string     { return "top" }
func (*top) Synopsis() string { return "show queues, workers and the leader" }
func (*top) Usage() string {
	return "top -to ADDRESS [-json] [-every 2s]\n  Show what the leader knows about queues and workers, once or at regular intervals.\n"
}

func (t *top) SetFlags(f *flag.FlagSet) {
	t.operatorQuery.SetFlags(f)
	f.DurationVar(&t.every, "every", 0, "`interval` at which to repeat the output until interrupted")
}

func (t *top) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if t.to == "" || f.NArg() != 0 || t.every < 0 {
		return t.usageError("top: give -to ADDRESS and no arguments")
	}
	for {
		if t.every > 0 && isTerminal(t.out) {
			// Move the cursor to the top left corner and clear the screen.
			_, _ = fmt.Fprint(t.out, "\x1b[H\x1b[2J")
		}
		if err := t.printReply(ctx, "/top"); err != nil {
			return t.fail(err)
		}
		if t.every == 0 {
			return subcommands.ExitSuccess
		}
		select {
		case <-ctx.Done():
			return subcommands.ExitSuccess
		case <-time.After(t.every):
		}
	}
}
