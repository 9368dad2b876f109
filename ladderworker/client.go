package ladderworker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"time"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderclaim"
	"lacewingladder/ladderdispatch"
	"lacewingladder/laddermodel"
)

const (
	// maxConnsPerWorker bounds the number of connections to one worker.
	maxConnsPerWorker = 64
	// maxReplyBytes bounds the size of an answer.
	maxReplyBytes = 16 << 20
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// revokeTimeout bounds one revocation.
	revokeTimeout = time.Second
	// checkInterval is the time between checks whether a running task has ended. Each
	// check uses a new connection.
	checkInterval = time.Second
)

// Client calls workers. Create one with [NewClient].
type Client struct {
	// pooled reuses connections; unpooled opens a new one for each call.
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a client that has no open connections yet.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		pooled: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxConnsPerHost: maxConnsPerWorker, MaxIdleConnsPerHost: maxConnsPerWorker,
			IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		}},
		unpooled: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		}},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Claim sends a claim call to its worker. If newConn is true, it opens a new
// connection, because a pooled one may no longer deliver anything.
func (c *Client) Claim(ctx context.Context, call ladderclaim.Call, newConn bool) (ladderclaim.Answer, error) {
	body, err := json.Marshal(toClaimRequest(call))
	if err != nil {
		return ladderclaim.Answer{}, err
	}
	client := c.pooled
	if newConn {
		client = c.unpooled
	}
	var reply ClaimReply
	if err := callJSON(ctx, client, http.MethodPost, callURL(call.Worker, "/claim", ""), body, &reply); err != nil {
		return ladderclaim.Answer{}, fmt.Errorf("claim of worker %s: %w", call.Worker.Name, err)
	}
	return fromClaimReply(reply), nil
}

// Start implements [ladderdispatch.Workers]. startTimeout bounds the time until the
// worker accepts the start, and limit the time until the answer. While the task runs,
// Start regularly checks on a new connection whether it has ended, to notice that its
// own connection no longer delivers anything.
func (c *Client) Start(
	ctx context.Context, r laddermodel.Reservation, t laddermodel.Task, startTimeout, limit time.Duration,
) ladderdispatch.Reply {
	startCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	accepted := make(chan struct{}, 1)
	done := make(chan ladderdispatch.Reply, 1)
	go func() { done <- c.start(startCtx, r, t, accepted) }()
	accept := time.NewTimer(startTimeout)
	defer accept.Stop()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	notAccepted := accept.C
	for {
		select {
		case got := <-done:
			return got
		case <-accepted:
			notAccepted = nil
		case <-notAccepted:
			return noAnswer("the start was not accepted in time")
		case <-check.C:
			if notAccepted == nil && c.taskEnded(startCtx, r.Worker, t.ID) {
				return noAnswer("the connection went silent")
			}
		case <-startCtx.Done():
			return noAnswer("the deadline passed")
		}
	}
}

// noAnswer returns the reply for a start whose outcome is unknown.
func noAnswer(reason string) ladderdispatch.Reply {
	return ladderdispatch.Reply{Kind: ladderdispatch.NoReply, Reason: reason}
}

// start sends a start and reads its answer. It signals accepted when the worker
// sends status 102.
func (c *Client) start(
	ctx context.Context, r laddermodel.Reservation, t laddermodel.Task, accepted chan<- struct{},
) ladderdispatch.Reply {
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			select {
			case accepted <- struct{}{}:
			default:
			}
			return nil
		},
	})
	request, err := http.NewRequestWithContext(
		tracedCtx, http.MethodPost, callURL(r.Worker, "/tasks", ""), bytes.NewReader(t.Body),
	)
	if err != nil {
		return ladderdispatch.Reply{Kind: ladderdispatch.Refused, Reason: err.Error()}
	}
	setStartHeaders(request.Header, r.Grant, t)
	response, err := c.pooled.Do(request)
	if err != nil {
		return classifySendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return noAnswer("the answer broke off: " + err.Error())
	}
	return classifyResponse(t.ID, response, body)
}

// classifySendError distinguishes a start that was never sent, because the connection
// could not be opened, from one that the worker may have received.
func classifySendError(err error) ladderdispatch.Reply {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ladderdispatch.Reply{Kind: ladderdispatch.Refused, Reason: "the worker can not be reached"}
	}
	return noAnswer(err.Error())
}

// classifyResponse returns what an HTTP response proves about a start.
func classifyResponse(task string, r *http.Response, body []byte) ladderdispatch.Reply {
	if r.StatusCode == http.StatusConflict {
		refusal := r.Header.Get(HeaderRefusal)
		if refusal == RefusalDuplicate {
			return noAnswer("the worker knows the task already")
		}
		return ladderdispatch.Reply{
			Kind: ladderdispatch.Refused, Reason: "the worker refused the start: " + refusal,
			Fenced: refusal == RefusalFenced, Leaving: refusal == RefusalLeaving,
		}
	}
	if answered := r.Header.Get(HeaderTask); answered != task {
		return noAnswer(fmt.Sprintf("the answer is for task %q", answered))
	}
	if length, err := strconv.Atoi(r.Header.Get(HeaderLength)); err != nil || length != len(body) {
		return noAnswer(fmt.Sprintf("the answer has %d bytes and should have %q", len(body), r.Header.Get(HeaderLength)))
	}
	switch r.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return ladderdispatch.Reply{Kind: ladderdispatch.Answered, Body: body}
	default:
		return ladderdispatch.Reply{
			Kind: ladderdispatch.Failed, Reason: fmt.Sprintf("the endpoint failed with status %d", r.StatusCode),
		}
	}
}

// taskEnded reports whether a worker confirms, on a new connection, that a task has
// ended.
func (c *Client) taskEnded(ctx context.Context, w laddermodel.Worker, task string) bool {
	callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var reply TaskStateReply
	err := callJSON(callCtx, c.unpooled, http.MethodGet, callURL(w, "/tasks", task), nil, &reply)
	return err == nil && reply.State == "ended"
}

// Revoke implements [ladderdispatch.Workers]. A worker that restarted no longer runs
// the task, so the task counts as stopped.
func (c *Client) Revoke(
	ctx context.Context, w laddermodel.Worker, boot uint64, task string,
) (ladderattempt.State, ladderdispatch.Reply) {
	callCtx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	var reply TaskStateReply
	to := callURL(w, "/tasks", task) + "&boot=" + strconv.FormatUint(boot, 10)
	if err := callJSON(callCtx, c.unpooled, http.MethodDelete, to, nil, &reply); err != nil {
		return ladderattempt.Unreachable, noAnswer(err.Error())
	}
	switch {
	case reply.State == "never":
		return ladderattempt.NeverBegun, noAnswer("the task had not begun")
	case reply.State == "stopped":
		return ladderattempt.Stopped, noAnswer("the task was stopped")
	case reply.State == "restarted":
		return ladderattempt.Stopped, noAnswer("the worker restarted; the task may have run before")
	case reply.State != "ended" || reply.Length != len(reply.Body):
		return ladderattempt.Unreachable, noAnswer("the worker's answer makes no sense")
	case reply.Failed:
		return ladderattempt.Ended, ladderdispatch.Reply{Kind: ladderdispatch.Failed, Reason: "the endpoint failed"}
	}
	return ladderattempt.Ended, ladderdispatch.Reply{Kind: ladderdispatch.Answered, Body: reply.Body}
}

// Throttle lowers the processor time of a running task. If it returns no error, the
// worker has applied the new limit.
func (c *Client) Throttle(ctx context.Context, w laddermodel.Worker, task string, millicores int) error {
	var reply TaskStateReply
	to := callURL(w, "/throttle", task) + "&millicores=" + strconv.Itoa(millicores)
	return callJSON(ctx, c.unpooled, http.MethodPost, to, nil, &reply)
}

// Checkpoint makes a worker save the progress of a task.
func (c *Client) Checkpoint(ctx context.Context, w laddermodel.Worker, task string) error {
	var reply TaskStateReply
	return callJSON(ctx, c.pooled, http.MethodPost, callURL(w, "/checkpoint", task), nil, &reply)
}

// callURL returns the URL of a call to a worker. The task is left out if it is
// empty.
func callURL(w laddermodel.Worker, path, task string) string {
	u := url.URL{Scheme: "http", Host: w.Address.String(), Path: path}
	if task != "" {
		u.RawQuery = url.Values{"task": {task}}.Encode()
	}
	return u.String()
}

// callJSON sends a request with a JSON body, if any, and decodes the JSON answer.
func callJSON(ctx context.Context, client *http.Client, method, to string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.Unmarshal(data, into)
}
