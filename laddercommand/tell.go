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
	// askTime bounds one question to an entry VM.
	askTime = 5 * time.Second
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 16 << 20
)

// asking is what the commands share that put a question to an entry VM.
type asking struct {
	streams
	to   string
	json bool
}

func (a *asking) SetFlags(f *flag.FlagSet) {
	f.StringVar(&a.to, "to", "", "an entry VM's metrics address, such as 10.1.0.13:9464")
	f.BoolVar(&a.json, "json", false, "print a machine's form")
}

// ask prints the answer to a question.
func (a *asking) ask(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?json=%v", a.to, path, a.json)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, body)
	}
	_, err = fmt.Fprintf(a.out, "%s", body)
	return err
}

// terminal reports whether a person reads what is written.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// explain says why a job is where it is.
type explain struct {
	asking
}

func (*explain) Name() string     { return "explain" }
func (*explain) Synopsis() string { return "say why a job waits, where it ran and what failed" }
func (*explain) Usage() string {
	return "explain -to ADDRESS [-json] JOB\n  Say what the leader knows of a job.\n"
}

func (e *explain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.to == "" || f.NArg() != 1 {
		return e.misuse("explain: give -to ADDRESS and one job")
	}
	if err := e.ask(ctx, "/explain/"+f.Arg(0)); err != nil {
		return e.fail(err)
	}
	return subcommands.ExitSuccess
}

// top shows queues and workers.
type top struct {
	asking
	every time.Duration
}

func (*top) Name() string     { return "top" }
func (*top) Synopsis() string { return "show queues, workers and the leader" }
func (*top) Usage() string {
	return "top -to ADDRESS [-json] [-every 2s]\n  Show what the leader knows of queues and workers, once or again and again.\n"
}

func (t *top) SetFlags(f *flag.FlagSet) {
	t.asking.SetFlags(f)
	f.DurationVar(&t.every, "every", 0, "show it anew after this time, until stopped")
}

func (t *top) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if t.to == "" || f.NArg() != 0 || t.every < 0 {
		return t.misuse("top: give -to ADDRESS and no arguments")
	}
	for {
		if t.every > 0 && terminal(t.out) {
			// Each screen begins at the top of a cleared one.
			_, _ = fmt.Fprint(t.out, "\x1b[H\x1b[2J")
		}
		if err := t.ask(ctx, "/top"); err != nil {
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
