package laddergate_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderconfig"
	"lacewingladder/laddergate"
	"lacewingladder/ladderjob"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermodel"
)

var now = time.Unix(1_800_000_000, 0)

// echoRequests answers a request with its own body. The bodies "full" and "lost"
// get other outcomes.
type echoRequests struct{}

func (echoRequests) Do(_ context.Context, r laddermodel.Request) laddermodel.Answer {
	switch string(r.Body) {
	case "full":
		return laddermodel.Answer{Outcome: laddermodel.NotRun, Reason: "no room", RetryAfter: 1200 * time.Millisecond}
	case "lost":
		return laddermodel.Answer{Outcome: laddermodel.Unknown, Reason: "no answer"}
	}
	return laddermodel.Answer{Outcome: laddermodel.Ran, Body: r.Body}
}

// fakeJobs contains one job, which belongs to member m.
type fakeJobs struct{}

func (fakeJobs) Submit(context.Context, ladderjob.Job, string) (string, error) { return "m.1", nil }

func (fakeJobs) View(_ context.Context, id string) (ladderjob.View, error) {
	if id != "m.1" {
		return ladderjob.View{}, laddergate.ErrJobNotFound
	}
	return ladderjob.View{Job: ladderjob.Job{ID: id, Member: "m"}, State: ladderjob.Queued, Reason: "the cell has no room"}, nil
}

func (fakeJobs) Cancel(_ context.Context, member, id string) error {
	if member != "m" || id != "m.1" {
		return laddergate.ErrJobNotFound
	}
	return nil
}

// newGate returns a gate with two members. Member m needs the token "secret" and
// has the classes check and book; requests of class book need a key.
func newGate(t testing.TB) http.Handler {
	t.Helper()
	config, err := ladderconfig.Parse("f", []byte(`defaults:
  limits: {body: 1KiB}
  zones: [{name: z, region: r, racks: [{name: k, seats: 1}]}]
  members: {m: {}, n: {}}
  classes:
    check: {member: m, size: {slots: 1}}
    book: {member: m, size: {slots: 1}, once: true}
`))
	require.NoError(t, err)
	return laddergate.New(laddergate.Options{
		Zone: "z", Clock: ladderclock.NewManual(now), Requests: echoRequests{}, Jobs: fakeJobs{},
		Config: func() *ladderconfig.Config { return config }, Ready: func() bool { return true },
		Tokens: map[string]string{"m": "secret"}, Entropy: rand.Reader, Log: ladderlog.Discard().Component("gate"),
	}).Handler()
}

func TestRequests(t *testing.T) {
	future := ulid.MustNew(ulid.Timestamp(now.Add(2*time.Second)), rand.Reader).String()
	tests := map[string]struct {
		header  map[string]string
		body    string
		status  int
		outcome string
		answer  string
		retry   string
	}{
		"request ran":             {body: "whole", status: 200, outcome: "ran", answer: "whole"},
		"no capacity":             {body: "full", status: 503, outcome: "notrun", answer: "no room\n", retry: "2"},
		"outcome unknown":         {body: "lost", status: 502, outcome: "unknown", answer: "no answer\n"},
		"body too large":          {body: strings.Repeat("x", 1025), status: 413, outcome: "notrun", answer: "the body has more than 1024 bytes\n"},
		"token of another member": {header: map[string]string{"Authorization": "Bearer other"}, status: 401, outcome: "notrun", answer: "Authorization: the token is not that of member \"m\"\n"},
		"unknown member":          {header: map[string]string{"Ladder-Member": "x"}, status: 400, outcome: "notrun", answer: "Ladder-Member: member \"x\" is unknown\n"},
		"class of another member": {header: map[string]string{"Ladder-Member": "n"}, status: 400, outcome: "notrun", answer: "Ladder-Class: class \"check\" is not one of member \"n\"\n"},
		"class needs a key":       {header: map[string]string{"Ladder-Class": "book"}, status: 400, outcome: "notrun", answer: "Idempotency-Key: requests of this class must not be repeated and need a key\n"},
		"key from the future":     {header: map[string]string{"Idempotency-Key": future}, status: 400, outcome: "notrun", answer: "Idempotency-Key: the key was minted 2s in the future\n"},
		"key with a slash":        {header: map[string]string{"Idempotency-Key": "a/b"}, status: 400, outcome: "notrun", answer: "Idempotency-Key: the key may hold printable ASCII characters except spaces and slashes\n"},
		"all problems together":   {header: map[string]string{"Ladder-Class": "x", "Ladder-Deadline": "soon", "Idempotency-Key": strings.Repeat("k", 129)}, status: 400, outcome: "notrun", answer: "Idempotency-Key: the key has more than 128 bytes\nLadder-Class: class \"x\" is unknown\nLadder-Deadline: \"soon\" is not a duration such as 2s\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(tt.body))
			for k, v := range map[string]string{"Ladder-Member": "m", "Ladder-Class": "check", "Authorization": "Bearer secret"} {
				r.Header.Set(k, v)
			}
			for k, v := range tt.header {
				r.Header.Set(k, v)
			}
			w := httptest.NewRecorder()
			newGate(t).ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code)
			require.Equal(t, tt.outcome, w.Header().Get("Ladder-Outcome"))
			require.Equal(t, tt.answer, w.Body.String())
			require.Equal(t, tt.retry, w.Header().Get("Retry-After"))
			require.NotEmpty(t, w.Header().Get("Ladder-Request"))
		})
	}
}

func TestJobsBelongToTheirMembers(t *testing.T) {
	tests := map[string]struct {
		method string
		path   string
		member string
		body   string
		status int
	}{
		"own job":                      {method: http.MethodGet, path: "/v1/jobs/m.1", member: "m", status: 200},
		"job of another member":        {method: http.MethodGet, path: "/v1/jobs/m.1", member: "n", status: 404},
		"cancel job of another member": {method: http.MethodDelete, path: "/v1/jobs/m.1", member: "n", status: 404},
		"cancel own job":               {method: http.MethodDelete, path: "/v1/jobs/m.1", member: "m", status: 202},
		"submit for another member":    {method: http.MethodPost, path: "/v1/jobs", member: "n", body: "{member: m, team: t, kind: batch, size: {slots: 1}}", status: 403},
		"submit invalid job":           {method: http.MethodPost, path: "/v1/jobs", member: "n", body: "{kind: urgent}", status: 400},
		"submit without a token":       {method: http.MethodPost, path: "/v1/jobs", member: "m", status: 401},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
			r.Header.Set("Ladder-Member", tt.member)
			if tt.status != http.StatusUnauthorized {
				r.Header.Set("Authorization", "Bearer secret")
			}
			w := httptest.NewRecorder()
			newGate(t).ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code, w.Body.String())
		})
	}
}

// FuzzRequest checks that every response with an error status has a body, which
// states the reason.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/v1/requests", "m", "check", "2s", "key", []byte("body"))
	f.Add("POST", "/v1/jobs", "n", "", "", "", []byte("{member: n, kind: gang}"))
	f.Add("DELETE", "/v1/jobs/x", "m", "", "", "", []byte(nil))
	gate := newGate(f)
	f.Fuzz(func(t *testing.T, method, path, member, class, deadline, key string, body []byte) {
		r, err := http.NewRequest(method, path, bytes.NewReader(body))
		if err != nil || r.URL.Host != "" {
			return
		}
		r.Header.Set("Ladder-Member", member)
		r.Header.Set("Ladder-Class", class)
		r.Header.Set("Ladder-Deadline", deadline)
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("Authorization", "Bearer secret")
		w := httptest.NewRecorder()
		gate.ServeHTTP(w, r)
		if w.Code >= 400 && w.Body.Len() == 0 {
			t.Fatalf("status %d without a reason", w.Code)
		}
	})
}
