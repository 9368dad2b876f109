package laddercommand

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// callTimeout limits the duration of one call to an entry VM.
	callTimeout = 15 * time.Second
	// maxReplyBytes is the size to which the body of a reply is truncated.
	maxReplyBytes = 16 << 20
	// tokenVariable is the environment variable whose value is used without the flag -token.
	tokenVariable = "LADDER_TOKEN"
)

// client is the common part of the subcommands that call the API of an entry VM.
type client struct {
	streams
	// to holds the address of the entry VM; the subcommands accept exactly one.
	to    addresses
	token string
}

// setFlags defines the flags that these subcommands have in common.
func (c *client) setFlags(f *flag.FlagSet) {
	f.Var(&c.to, "to", "`address` of the entry VM")
	// The value of the variable must not be the flag's default, which the help text shows.
	f.StringVar(&c.token, "token", "", "token to authenticate with, by default the value of $"+tokenVariable)
}

// reply is the HTTP response of an entry VM.
type reply struct {
	statusCode int
	// status is the text of the status line, such as "404 Not Found".
	status string
	body   []byte
}

// call sends a request to the entry VM and returns its reply, whatever the status code.
func (c *client) call(ctx context.Context, method, path string, header map[string]string, body []byte) (reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + c.to[0].String() + path
	request, err := http.NewRequestWithContext(callCtx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for k, v := range header {
		request.Header.Set(k, v)
	}
	if token := cmp.Or(c.token, os.Getenv(tokenVariable)); token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return reply{statusCode: response.StatusCode, status: response.Status, body: data}, err
}

// callBody sends a request and returns the body of the reply, or an error if the status
// code is 400 or more.
func (c *client) callBody(ctx context.Context, method, path string, header map[string]string, body []byte) ([]byte, error) {
	r, err := c.call(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	if r.statusCode >= http.StatusBadRequest {
		return nil, fmt.Errorf("%s: %s", r.status, strings.TrimSpace(string(r.body)))
	}
	return r.body, nil
}
