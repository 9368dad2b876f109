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
	// sendTimeout is the time within which an entry must end, in addition to the run
	// times of its tasks.
	sendTimeout = 30 * time.Second
	// pollInterval is the time between two queries for the state of a job.
	pollInterval = 250 * time.Millisecond
	// maxResponseBytes is the largest number of bytes that are read of a response's body.
	maxResponseBytes = 16 << 20
)

// Replay sends a trace to a running system.
type Replay struct {
	Trace []Entry
	// Targets holds the addresses at which entry VMs accept callers. They are used
	// in turn.
	Targets []netip.AddrPort
	Clock   ladderclock.Clock
	// Tokens holds the bearer tokens of the members that need one, by member.
	Tokens map[string]string
	// Progress, if not nil, is called after each entry has ended, with the number of
	// entries that have ended and the number of all entries.
	Progress func(done, all int)
}

// Result is the result of one entry.
type Result struct {
	Entry Entry
	// Outcome is the outcome of a request, or the last state of a job.
	Outcome string
	// Elapsed is the time from sending the entry to its final response.
	Elapsed time.Duration
	// Wait is Elapsed less the run time of one task, and at least zero.
	Wait time.Duration
	// OwnResponse is false if a request got no response, or if it ran and the response was
	// incomplete or that of another request. Otherwise it is true.
	OwnResponse bool
	// Reason is the reason for the outcome as given by the system, or the text of an
	// error. It may be empty.
	Reason string
}

// Run sends the entries of the trace and waits until all of them have ended.
func (r Replay) Run(ctx context.Context) Report {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	defer client.CloseIdleConnections()
	started := r.Clock.Now()
	results := make([]Result, len(r.Trace))
	var wait sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i, entry := range r.Trace {
		if !sleep(ctx, entry.At-r.Clock.Now().Sub(started)) {
			break
		}
		wait.Go(func() {
			s := sender{replay: r, client: client, target: r.Targets[i%len(r.Targets)], entry: entry, index: i}
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
	return newReport(results, r.Clock.Now().Sub(started))
}

// sleep waits for d or until the context is done, and reports whether the context
// is not done.
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

// sender sends one entry of a trace.
type sender struct {
	replay Replay
	client *http.Client
	target netip.AddrPort
	entry  Entry
	// index is the position of the entry in the trace.
	index int
}

// send sends the entry and waits until it has ended.
func (s sender) send(ctx context.Context) Result {
	limited, cancel := context.WithTimeout(ctx, sendTimeout+s.entry.Run*time.Duration(max(1, s.entry.Tasks)))
	defer cancel()
	started := s.replay.Clock.Now()
	result := Result{Entry: s.entry}
	if s.entry.Kind == laddermodel.Urgent {
		s.sendRequest(limited, &result)
	} else {
		s.runJob(limited, &result)
	}
	result.Elapsed = s.replay.Clock.Now().Sub(started)
	result.Wait = max(0, result.Elapsed-s.entry.Run)
	return result
}

// sendRequest sends an urgent request and checks that the response is complete and
// belongs to this request.
func (s sender) sendRequest(ctx context.Context, result *Result) {
	body := fmt.Sprintf("run=%s\nentry %d of %s", s.entry.Run, s.index, s.entry.Member)
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
	result.OwnResponse = result.Outcome != "ran" || string(got.body) == "answer to "+body
	if result.Outcome != "ran" {
		result.Reason = string(bytes.TrimSpace(got.body))
	}
}

// key returns the entry's idempotency key. If that is [GenerateKey], it returns a newly
// generated key.
func (s sender) key() string {
	if s.entry.Key != GenerateKey {
		return s.entry.Key
	}
	return ulid.MustNew(ulid.Timestamp(s.replay.Clock.Now()), ulid.DefaultEntropy()).String()
}

// jobStatus holds the fields that a replay reads of the JSON form of a job, as the
// callers' interface returns it.
type jobStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Reason string `json:"reason"`
}

// runJob submits a job and waits for its end. A service does not end by itself; its
// entry ends when the service is running.
func (s sender) runJob(ctx context.Context, result *Result) {
	result.OwnResponse = true
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
	var job jobStatus
	if err := json.Unmarshal(got.body, &job); err != nil {
		result.Outcome, result.Reason = "refused", err.Error()
		return
	}
	s.awaitEnd(ctx, job, result)
}

// awaitEnd queries the state of a job until the job has ended.
func (s sender) awaitEnd(ctx context.Context, job jobStatus, result *Result) {
	for sleep(ctx, pollInterval) {
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

// reply is an HTTP response whose body has been read.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends an HTTP request on behalf of the entry's member and reads the response.
func (s sender) do(ctx context.Context, method, path string, header http.Header, body []byte) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.target.String()+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for name, values := range header {
		request.Header[name] = values
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return reply{status: response.StatusCode, header: response.Header, body: data}, err
}
