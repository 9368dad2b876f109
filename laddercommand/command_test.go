package laddercommand_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"

	"lacewingladder/laddercommand"
)

var update = flag.Bool("update", false, "update the golden files")

// run runs a command line and returns its exit status and what it printed.
func run(t *testing.T, args ...string) (subcommands.ExitStatus, string) {
	t.Helper()
	var out bytes.Buffer
	flags := flag.NewFlagSet("lacewingladder", flag.ContinueOnError)
	flags.SetOutput(&out)
	commander := laddercommand.New(flags, &out, &out)
	require.NoError(t, flags.Parse(args))
	return commander.Execute(context.Background()), out.String()
}

// requireGolden compares a text with the golden file of the given name under testdata. With
// the flag -update it writes the file first.
func requireGolden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name+".txt")
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o600))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// statusReply is the reply of an entry VM to the command status.
const statusReply = `{"name":"taoyuan-a-e1","region":"tw-north","zone":"taoyuan-a","version":7,"ready":true,"store":"ok",
"leader":"hsinchu-a-e2","peers":[
{"name":"hsinchu-a-e2","zone":"hsinchu-a","version":7,"live":true,"heard":"400ms"},
{"name":"kaohsiung-a-e1","zone":"kaohsiung-a","version":6,"live":false,"heard":"12.3s"},
{"name":"taoyuan-a-e2","zone":"taoyuan-a","version":7,"live":true,"draining":true,"heard":"100ms"}],
"racks":[{"name":"taoyuan-a-r1","zone":"taoyuan-a","holder":"taoyuan-a-e1","home":true,"free":41}],
"workers":[{"name":"w1","zone":"taoyuan-a","rack":"taoyuan-a-r1"},{"name":"w2","zone":"taoyuan-a","rack":"taoyuan-a-r1","leaving":true}]}`

// TestGolden compares the output of commands with golden files.
func TestGolden(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(statusReply))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	tests := map[string]struct {
		args   []string
		status subcommands.ExitStatus
	}{
		"help":           {args: []string{"help"}},
		"check":          {args: []string{"check", "testdata/bad-fleet.yaml", "testdata/bad-entry.yaml", "testdata/bad-trace.jsonl"}, status: subcommands.ExitFailure},
		"check-platform": {args: []string{"check", "testdata/bad-platform.json"}, status: subcommands.ExitFailure},
		"status":         {args: []string{"status", "-to", address}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			status, out := run(t, tt.args...)
			require.Equal(t, tt.status, status, out)
			requireGolden(t, name, out)
		})
	}
}

// TestExitStatus checks that usage errors, failures and successes have different exit
// statuses.
func TestExitStatus(t *testing.T) {
	tests := map[string]struct {
		args []string
		want subcommands.ExitStatus
	}{
		"version":         {args: []string{"version"}, want: subcommands.ExitSuccess},
		"no arguments":    {args: []string{"check"}, want: subcommands.ExitUsageError},
		"missing flag":    {args: []string{"apply"}, want: subcommands.ExitUsageError},
		"unknown command": {args: []string{"unknown"}, want: subcommands.ExitUsageError},
		"missing file":    {args: []string{"check", "testdata/none.yaml"}, want: subcommands.ExitFailure},
		"valid files":     {args: []string{"check", "../examples/bureau/fleet.yaml", "../examples/bureau/chuo-e1.yaml"}, want: subcommands.ExitSuccess},
		"change, no base": {args: []string{"apply", "-to", "127.0.0.1:1", "-file", "../examples/bureau/fleet.yaml", "-change", "c1"}, want: subcommands.ExitUsageError},
		"no server":       {args: []string{"status", "-to", "127.0.0.1:1"}, want: subcommands.ExitFailure},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			status, out := run(t, tt.args...)
			require.Equal(t, tt.want, status, out)
		})
	}
}

// TestTokenIsNotShown checks that the help text does not show the token in the environment, and
// that the commands send it.
func TestTokenIsNotShown(t *testing.T) {
	t.Setenv("LADDER_TOKEN", "secret-of-the-operator")
	_, out := run(t, "help", "apply")
	require.Contains(t, out, "LADDER_TOKEN")
	require.NotContains(t, out, "secret-of-the-operator")
	var sent string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent = r.Header.Get("Authorization")
		_, _ = w.Write([]byte(statusReply))
	}))
	defer server.Close()
	status, out := run(t, "status", "-to", strings.TrimPrefix(server.URL, "http://"))
	require.Equal(t, subcommands.ExitSuccess, status, out)
	require.Equal(t, "Bearer secret-of-the-operator", sent)
}

// TestApplyRepeated loses the reply to a change. Meanwhile another operator's change is accepted.
// The repetition, with the flags that the command printed, must be refused rather than overwrite it.
func TestApplyRepeated(t *testing.T) {
	inForce, lose := 7, true
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet:
			_, _ = fmt.Fprintf(w, `{"number":%d,"change":"x","document":""}`, inForce)
		case lose:
			lose, inForce = false, inForce+1 // Another operator's change is accepted.
			panic(http.ErrAbortHandler)
		case r.Header.Get("If-Match") != strconv.Quote(strconv.Itoa(inForce)):
			http.Error(w, "another change was accepted", http.StatusConflict)
		default:
			_, _ = fmt.Fprintf(w, `{"number":%d,"change":"y"}`, inForce+1)
		}
	}))
	defer server.Close()
	args := []string{"apply", "-to", strings.TrimPrefix(server.URL, "http://"), "-file", "../examples/bureau/fleet.yaml"}
	status, out := run(t, args...)
	require.Equal(t, subcommands.ExitFailure, status)
	_, flags, ok := strings.Cut(strings.TrimSpace(out), "add: ")
	require.True(t, ok, out)
	status, out = run(t, append(args, strings.Fields(flags)...)...)
	require.Equal(t, subcommands.ExitFailure, status)
	require.Contains(t, out, "another change was accepted")
}

// TestCheckShowsNoKeys checks that the findings in a configuration do not contain the keys of teams.
func TestCheckShowsNoKeys(t *testing.T) {
	_, out := run(t, "check", "testdata/bad-platform.json")
	require.Contains(t, out, "tailors")
	require.NotContains(t, out, "stays-secret")
	require.NotContains(t, out, "12345")
}
