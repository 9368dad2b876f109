package laddertrace

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"lacewingladder/ladderclock"
	"lacewingladder/laddermodel"
)

const (
	// requestTime bounds one exchange beyond the entry's run time.
	requestTime = 30 * time.Second
	// pollTime is the time between looks at a job.
	pollTime = 250 * time.Millisecond
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 16 << 20
)

// Replay sends a trace to a running system.
type Replay struct {
	Trace []Entry
	// Targets are the callers' addresses of entry VMs, used in turn.
	Targets []netip.AddrPort
	Clock   ladderclock.Clock
	// Tokens are the members' tokens, where the system wants them.
	Tokens map[string]string
	// Progress is called after each entry has ended.
	Progress func(done, all int)
}

// Result is what came of one entry.
type Result struct {
	Entry   Entry
	Outcome string
	// Took is the time to the final answer.
	Took time.Duration
	// Waited is Took less the run time.
	Waited time.Duration
	// Whole is true when the answer was the one made for this request.
	Whole  bool
	Reason string
}

// Run sends the trace and waits for all that comes of it.
func (r Replay) Run(ctx context.Context) Report {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	defer client.CloseIdleConnections()
	began := r.Clock.Now()
	results := make([]Result, len(r.Trace))
	var wait sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i, e := range r.Trace {
		if !sleep(ctx, e.At-r.Clock.Now().Sub(began)) {
			break
		}
		wait.Go(func() {
			s := sender{replay: r, client: client, to: r.Targets[i%len(r.Targets)], entry: e, number: i}
			results[i] = s.send(ctx)
			mu.Lock()
			defer mu.Unlock()
			done++
			if r.Progress != nil {
				r.Progress(done, len(r.Trace))
			}
		})
	}
	wait.Wait()
	return newReport(results, r.Clock.Now().Sub(began))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// sender sends one entry.
type sender struct {
	replay Replay
	client *http.Client
	to     netip.AddrPort
	entry  Entry
	number int
}

func (s sender) send(ctx context.Context) Result {
	sending, cancel := context.WithTimeout(ctx, requestTime+s.entry.Run*time.Duration(max(1, s.entry.Tasks)))
	defer cancel()
	began := s.replay.Clock.Now()
	result := Result{Entry: s.entry}
	if s.entry.Kind == laddermodel.Urgent {
		s.request(sending, &result)
	} else {
		s.job(sending, &result)
	}
	result.Took = s.replay.Clock.Now().Sub(began)
	result.Waited = max(0, result.Took-s.entry.Run)
	return result
}

// request sends an urgent request and checks that the answer is its own.
func (s sender) request(ctx context.Context, result *Result) {
	body := fmt.Sprintf("run=%s\nentry %d of %s", s.entry.Run, s.number, s.entry.Member)
	header := http.Header{"Ladder-Class": {s.entry.Class}}
	if s.entry.Deadline > 0 {
		header.Set("Ladder-Deadline", s.entry.Deadline.String())
	}
	if s.entry.Key != "" {
		header.Set("Idempotency-Key", s.key())
	}
	got, err := s.do(ctx, http.MethodPost, "/v1/requests", header, []byte(body))
	if err != nil {
		result.Outcome, result.Reason = laddermodel.Unknown.String(), err.Error()
		return
	}
	result.Outcome = got.header.Get("Ladder-Outcome")
	result.Whole = result.Outcome != "ran" || string(got.body) == "answer to "+body
	if result.Outcome != "ran" {
		result.Reason = string(bytes.TrimSpace(got.body))
	}
}

// key returns the entry's idempotency key, or a new one when it asks for that.
func (s sender) key() string {
	if s.entry.Key != MintKey {
		return s.entry.Key
	}
	return ulid.MustNew(ulid.Timestamp(s.replay.Clock.Now()), ulid.DefaultEntropy()).String()
}

// jobWire is what a replay needs of a job in the callers' interface.
type jobWire struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Reason string `json:"reason"`
}

// job submits a job and waits for its end. A service counts as done once it runs.
func (s sender) job(ctx context.Context, result *Result) {
	result.Whole = true
	body, err := json.Marshal(map[string]any{
		"member": s.entry.Member, "team": s.entry.Team, "kind": s.entry.Kind.String(), "tasks": s.entry.Tasks,
		"estimate": s.entry.Estimate.String(), "body": "run=" + s.entry.Run.String(),
		"size": map[string]any{
			"slots": s.entry.Size.Slots, "cores": fmt.Sprintf("%dm", s.entry.Size.Millicores),
			"memory": fmt.Sprintf("%dB", s.entry.Size.Memory), "accelerators": s.entry.Size.Accelerators,
		},
	})
	if err != nil {
		result.Outcome, result.Reason = "refused", err.Error()
		return
	}
	got, err := s.do(ctx, http.MethodPost, "/v1/jobs", nil, body)
	if err != nil || got.status != http.StatusAccepted {
		result.Outcome, result.Reason = "refused", fmt.Sprint(string(bytes.TrimSpace(got.body)), err)
		return
	}
	var job jobWire
	if err := json.Unmarshal(got.body, &job); err != nil {
		result.Outcome, result.Reason = "refused", err.Error()
		return
	}
	s.follow(ctx, job, result)
}

// follow looks at a job until it has ended.
func (s sender) follow(ctx context.Context, job jobWire, result *Result) {
	for sleep(ctx, pollTime) {
		got, err := s.do(ctx, http.MethodGet, "/v1/jobs/"+job.ID, nil, nil)
		if err != nil || got.status != http.StatusOK || json.Unmarshal(got.body, &job) != nil {
			continue
		}
		result.Outcome, result.Reason = job.State, job.Reason
		running := job.State == "running" && s.entry.Kind == laddermodel.Service
		if running || job.State == "done" || job.State == "failed" || job.State == "cancelled" {
			return
		}
	}
}

// reply is an HTTP answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (s sender) do(ctx context.Context, method, path string, header http.Header, body []byte) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.to.String()+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for k, v := range header {
		request.Header[k] = v
	}
	request.Header.Set("Ladder-Member", s.entry.Member)
	if token, ok := s.replay.Tokens[s.entry.Member]; ok {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	return reply{status: response.StatusCode, header: response.Header, body: answer}, err
}
