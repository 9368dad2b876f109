package laddercommand

import (
	"bytes"
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
	// clientTime bounds one call to an entry VM.
	clientTime = 15 * time.Second
	// maxReply bounds an answer in bytes.
	maxReply = 16 << 20
	// tokenVariable names the environment variable that holds a token.
	tokenVariable = "LADDER_TOKEN"
)

// client is what subcommands share that call an entry VM.
type client struct {
	streams
	to    addresses
	token string
}

// setFlags defines the flags of all calls.
func (c *client) setFlags(f *flag.FlagSet) {
	f.Var(&c.to, "to", "the entry VM's `address`")
	f.StringVar(&c.token, "token", os.Getenv(tokenVariable), "the token to present; the standard is $"+tokenVariable)
}

// reply is an entry VM's answer.
type reply struct {
	status int
	text   string
	body   []byte
}

// call sends a request.
func (c *client) call(ctx context.Context, method, path string, header map[string]string, body []byte) (reply, error) {
	calling, cancel := context.WithTimeout(ctx, clientTime)
	defer cancel()
	url := "http://" + c.to[0].String() + path
	request, err := http.NewRequestWithContext(calling, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for k, v := range header {
		request.Header.Set(k, v)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	return reply{status: response.StatusCode, text: response.Status, body: data}, err
}

// must returns the answer's body, or an error for any status of 400 or more.
func (c *client) must(ctx context.Context, method, path string, header map[string]string, body []byte) ([]byte, error) {
	r, err := c.call(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	if r.status >= http.StatusBadRequest {
		return nil, fmt.Errorf("%s: %s", r.text, strings.TrimSpace(string(r.body)))
	}
	return r.body, nil
}
