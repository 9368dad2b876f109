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

// apply is the subcommand that submits a new version of the fleet's configuration.
type apply struct {
	client
	file string
	// base is the version on which the file is based; 0 means that there was none. It is the version
	// in force unless baseGiven is true.
	base      uint64
	baseGiven bool
	changeID  string
	operator  string
}

func (*apply) Name() string     { return "apply" }
func (*apply) Synopsis() string { return "change the fleet's defaults and exceptions" }
func (*apply) Usage() string {
	return `apply -to ADDR -file FILE [-base VERSION] [-change ID] [-by NAME]
  Submit a configuration as the next version and print the version's number. If
  another change was accepted after the base version, the command fails and prints
  its ID. The default base is the version in force when the command starts.
  If no reply arrives, repeat the command with -change and -base as it printed them.
`
}

func (a *apply) SetFlags(f *flag.FlagSet) {
	a.setFlags(f)
	f.StringVar(&a.file, "file", "", "YAML `file` with the configuration")
	f.Uint64Var(&a.base, "base", 0, "`version` on which the file is based, by default the version in force; 0 if there was none")
	f.StringVar(&a.changeID, "change", "", "`ID` of the change; a new one by default")
	f.StringVar(&a.operator, "by", operatorName(), "`name` of the operator who makes the change")
}

// operatorName returns the name of the user who runs the program.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// configVersion holds the fields that the subcommands need of a version of the
// configuration, as an entry VM returns it.
type configVersion struct {
	Number   uint64 `json:"number"`
	ChangeID string `json:"change"`
	Document string `json:"document"`
}

func (a *apply) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(a.to) != 1 || a.file == "" || f.NArg() > 0 {
		return a.usageError("apply: give -to ADDR, -file FILE and no arguments")
	}
	f.Visit(func(set *flag.Flag) { a.baseGiven = a.baseGiven || set.Name == "base" })
	if a.changeID != "" && !a.baseGiven {
		// The version in force may be another operator's change since the first attempt.
		return a.usageError("apply: -change repeats a command, so give the -base that it printed as well")
	}
	document, err := os.ReadFile(a.file)
	if err != nil {
		return a.fail(err)
	}
	if _, err := ladderconfig.Parse(a.file, document); err != nil {
		return a.fail(err)
	}
	if a.changeID == "" {
		a.changeID = ulid.Make().String()
	}
	accepted, err := a.putConfig(ctx, document)
	if err != nil {
		_, _ = fmt.Fprintf(a.err, "change %s: %v\nto repeat it, add: -change %s -base %d\n", a.changeID, err, a.changeID, a.base)
		return subcommands.ExitFailure
	}
	_, _ = fmt.Fprintf(a.out, "version %d accepted (change %s)\n", accepted.Number, accepted.ChangeID)
	return subcommands.ExitSuccess
}

// putConfig sends a document as the next version of the configuration, with the change ID,
// operator and base version of the command. Without -base it first asks the entry VM for
// the version in force.
func (a *apply) putConfig(ctx context.Context, document []byte) (configVersion, error) {
	if !a.baseGiven {
		current, err := a.currentVersion(ctx)
		if err != nil {
			return configVersion{}, err
		}
		a.base = current.Number
	}
	return a.client.putConfig(ctx, document, map[string]string{
		ladderserver.HeaderChange: a.changeID, ladderserver.HeaderOperator: a.operator, ladderserver.HeaderIfMatch: entityTag(a.base),
	})
}

// putConfig sends a document as the next version of the configuration, with request
// headers that identify the change and its base version.
func (c *client) putConfig(ctx context.Context, document []byte, header map[string]string) (configVersion, error) {
	data, err := c.callBody(ctx, http.MethodPut, "/v1/config", header, document)
	if err != nil {
		return configVersion{}, err
	}
	var accepted configVersion
	return accepted, json.Unmarshal(data, &accepted)
}

// entityTag returns the number of a version as an HTTP entity tag.
func entityTag(number uint64) string { return strconv.Quote(strconv.FormatUint(number, 10)) }

// currentVersion returns the version in force, or the zero value if there is none.
func (c *client) currentVersion(ctx context.Context) (configVersion, error) {
	var current configVersion
	r, err := c.call(ctx, http.MethodGet, "/v1/config", nil, nil)
	switch {
	case err != nil:
		return current, err
	case r.statusCode == http.StatusNotFound:
		return current, nil
	case r.statusCode != http.StatusOK:
		return current, fmt.Errorf("%s: %s", r.status, r.body)
	}
	return current, json.Unmarshal(r.body, &current)
}
