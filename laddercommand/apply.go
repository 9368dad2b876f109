package laddercommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strconv"

	"github.com/google/subcommands"
	"github.com/oklog/ulid/v2"

	"lacewingladder/ladderconfig"
	"lacewingladder/ladderserver"
)

// apply changes the fleet's configuration.
type apply struct {
	client
	file   string
	base   uint64
	change string
	by     string
}

func (*apply) Name() string     { return "apply" }
func (*apply) Synopsis() string { return "change the fleet's defaults and exceptions" }
func (*apply) Usage() string {
	return `apply -to ADDR -file FILE [-base VERSION] [-change ID] [-by NAME]
  Make a configuration the next version and print its number. When another change
  was accepted since the base version, the change is refused and the winner named.
  The base is by default the version in force when the command begins. If the
  answer is lost, repeat the command with the change id that it printed.
`
}

func (a *apply) SetFlags(f *flag.FlagSet) {
	a.setFlags(f)
	f.StringVar(&a.file, "file", "", "the configuration, a YAML file")
	f.Uint64Var(&a.base, "base", 0, "the version on which the file is based")
	f.StringVar(&a.change, "change", "", "the change's id; a new one by default")
	f.StringVar(&a.by, "by", operatorName(), "who makes the change")
}

// operatorName returns the name of who runs the program.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// versionReply is what the command needs of a version.
type versionReply struct {
	Number   uint64 `json:"number"`
	Change   string `json:"change"`
	Document string `json:"document"`
}

func (a *apply) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(a.to) != 1 || a.file == "" || f.NArg() > 0 {
		return a.misuse("apply: give -to ADDR, -file FILE and no arguments")
	}
	document, err := os.ReadFile(a.file)
	if err != nil {
		return a.fail(err)
	}
	if _, err := ladderconfig.Parse(a.file, document); err != nil {
		return a.fail(err)
	}
	if a.change == "" {
		a.change = ulid.Make().String()
	}
	accepted, err := a.put(ctx, document)
	if err != nil {
		_, _ = fmt.Fprintf(a.err, "change %s: %v\n", a.change, err)
		return subcommands.ExitFailure
	}
	_, _ = fmt.Fprintf(a.out, "version %d accepted (change %s)\n", accepted.Number, accepted.Change)
	return subcommands.ExitSuccess
}

// put sends a document as the version after the base.
func (a *apply) put(ctx context.Context, document []byte) (versionReply, error) {
	if a.base == 0 {
		held, err := a.held(ctx)
		if err != nil {
			return versionReply{}, err
		}
		a.base = held.Number
	}
	header := map[string]string{
		ladderserver.HeaderChange: a.change, ladderserver.HeaderOperator: a.by,
	}
	if a.base > 0 {
		header[ladderserver.HeaderBase] = quote(a.base)
	}
	return a.client.put(ctx, document, header)
}

// put sends a document as the next version.
func (c *client) put(ctx context.Context, document []byte, header map[string]string) (versionReply, error) {
	data, err := c.must(ctx, http.MethodPut, "/v1/config", header, document)
	if err != nil {
		return versionReply{}, err
	}
	var accepted versionReply
	return accepted, json.Unmarshal(data, &accepted)
}

// quote returns a version's number as an entity tag.
func quote(number uint64) string { return strconv.Quote(strconv.FormatUint(number, 10)) }

// held returns the version in force, or a zero one when there is none.
func (c *client) held(ctx context.Context) (versionReply, error) {
	var held versionReply
	r, err := c.call(ctx, http.MethodGet, "/v1/config", nil, nil)
	switch {
	case err != nil:
		return held, err
	case r.status == http.StatusNotFound:
		return held, nil
	case r.status != http.StatusOK:
		return held, fmt.Errorf("%s: %s", r.text, r.body)
	}
	return held, json.Unmarshal(r.body, &held)
}
