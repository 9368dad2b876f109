package laddergate

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderjob"
	"lacewingladder/ladderkey"
	"lacewingladder/laddermodel"
)

// The headers of the callers' interface.
const (
	HeaderMember   = "Ladder-Member"
	HeaderClass    = "Ladder-Class"
	HeaderDeadline = "Ladder-Deadline"
	HeaderKey      = "Idempotency-Key"
	HeaderRequest  = "Ladder-Request"
	HeaderOutcome  = "Ladder-Outcome"
)

// maxOpen bounds the requests that one entry VM carries at once.
const maxOpen = 8192

// Requests carries requests to their answers.
type Requests interface {
	Do(ctx context.Context, r laddermodel.Request) laddermodel.Answer
}

// Jobs keeps jobs.
type Jobs interface {
	// Submit keeps a job durably and returns its id. Key makes it idempotent.
	Submit(ctx context.Context, j ladderjob.Job, key string) (string, error)
	// View returns a job.
	View(ctx context.Context, id string) (ladderjob.View, error)
	// Cancel ends a job, or keeps it from beginning.
	Cancel(ctx context.Context, member, id string) error
}

// Log takes a line for each decision.
type Log interface {
	// Info writes a message with pairs of keys and values.
	Info(msg any, keyvals ...any)
}

// Options are the parts of a [Gate].
type Options struct {
	Zone     string
	Clock    ladderclock.Clock
	Requests Requests
	Jobs     Jobs
	// Config returns the configuration in force, or nil before there is one.
	Config func() *ladderconfig.Config
	// Ready reports whether the VM wants requests.
	Ready func() bool
	// Tokens are the members' tokens. Members without one need none.
	Tokens map[string]string
	// Entropy is read for ids.
	Entropy io.Reader
	Log     Log
}

// Gate is the callers' interface. Create one with [New].
type Gate struct {
	Options
	open atomic.Int64
	ids  *ids
}

// New returns a gate.
func New(o Options) *Gate {
	return &Gate{Options: o, ids: newIDs(o.Clock, o.Entropy)}
}

// Open returns the number of requests under way.
func (g *Gate) Open() int64 { return g.open.Load() }

// Handler returns the gate's HTTP interface.
func (g *Gate) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", g.chain(g.request, identify, bound, describe, admit))
	mux.HandleFunc("POST /v1/keys", g.chain(g.mint, identify))
	mux.HandleFunc("POST /v1/jobs", g.chain(g.submit, identify, bound))
	mux.HandleFunc("GET /v1/jobs/{id}", g.chain(g.view, identify))
	mux.HandleFunc("DELETE /v1/jobs/{id}", g.chain(g.cancel, identify))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", g.readyz)
	return mux
}

func (g *Gate) readyz(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// request carries one request to its answer.
func (g *Gate) request(x *exchange) *Refusal {
	defer g.open.Add(-1)
	a := g.Requests.Do(x.http.Context(), x.request)
	x.writer.Header().Set(HeaderOutcome, a.Outcome.String())
	if a.Outcome == laddermodel.Ran {
		x.writeBody(http.StatusOK, "application/octet-stream", a.Body)
		return nil
	}
	return fromAnswer(a)
}

// mint hands out a key whose home is in this zone.
func (g *Gate) mint(x *exchange) *Refusal {
	key, err := ladderkey.Mint(g.Clock.Now(), g.Zone, g.ids)
	if err != nil {
		return refuse(http.StatusInternalServerError, "no key could be made: %v", err)
	}
	x.writeBody(http.StatusOK, "text/plain; charset=utf-8", []byte(key+"\n"))
	return nil
}

// fromAnswer returns how a request that did not run, or may have, is refused.
func fromAnswer(a laddermodel.Answer) *Refusal {
	r := &Refusal{Outcome: a.Outcome, Reason: a.Reason, RetryAfter: a.RetryAfter}
	switch {
	case a.Conflict:
		r.Status = http.StatusUnprocessableEntity
	case a.Outcome == laddermodel.Unknown && a.RetryAfter > 0:
		r.Status = http.StatusGatewayTimeout
	case a.Outcome == laddermodel.Unknown:
		r.Status = http.StatusBadGateway
	default:
		r.Status = http.StatusServiceUnavailable
	}
	return r
}

// retrySeconds returns a Retry-After in whole seconds, at least one.
func retrySeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}
