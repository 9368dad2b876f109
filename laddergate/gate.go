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

// The HTTP headers that callers send and receive.
const (
	HeaderMember   = "Ladder-Member"
	HeaderClass    = "Ladder-Class"
	HeaderDeadline = "Ladder-Deadline"
	HeaderKey      = "Idempotency-Key"
	HeaderRequest  = "Ladder-Request"
	HeaderOutcome  = "Ladder-Outcome"
)

// maxOpenRequests is the number of requests that one entry VM handles at the
// same time.
const maxOpenRequests = 8192

// Requests runs urgent requests.
type Requests interface {
	// Do runs a request and returns its final answer.
	Do(ctx context.Context, r laddermodel.Request) laddermodel.Answer
}

// Jobs stores and manages jobs.
type Jobs interface {
	// Submit stores a job durably and returns its ID. A job that is submitted
	// again with the same key gets the same ID. The key may be empty.
	Submit(ctx context.Context, j ladderjob.Job, key string) (string, error)
	// View returns the state of a job.
	View(ctx context.Context, id string) (ladderjob.View, error)
	// Cancel ends a job of the member, or prevents it from starting.
	Cancel(ctx context.Context, member, id string) error
}

// Log is the logger of a [Gate].
type Log interface {
	// Info writes a message with pairs of keys and values.
	Info(msg any, keyvals ...any)
}

// Options are the parameters of a [Gate].
type Options struct {
	// Zone is the zone of this entry VM. New keys have their home there.
	Zone     string
	Clock    ladderclock.Clock
	Requests Requests
	Jobs     Jobs
	// Config returns the current configuration, or nil if there is none yet.
	Config func() *ladderconfig.Config
	// Ready reports whether this entry VM accepts requests.
	Ready func() bool
	// Tokens contains the tokens of the members. A member that is not in the
	// map needs no token.
	Tokens map[string]string
	// Entropy is the source of randomness for IDs and keys.
	Entropy io.Reader
	Log     Log
}

// Gate is the HTTP interface for callers. Create one with [New].
type Gate struct {
	Options
	// openRequests is the number of urgent requests without a response.
	openRequests atomic.Int64
	ids          *idSource
}

// New returns a gate with the given options.
func New(o Options) *Gate {
	return &Gate{Options: o, ids: newIDSource(o.Clock, o.Entropy)}
}

// OpenRequests returns the number of urgent requests that are open.
func (g *Gate) OpenRequests() int64 { return g.openRequests.Load() }

// Handler returns the HTTP handler for all paths of the interface.
func (g *Gate) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", g.chain(g.runRequest, identifyCaller, readBody, parseHeaders, limitOpenRequests))
	mux.HandleFunc("POST /v1/keys", g.chain(g.mintKey, identifyCaller))
	mux.HandleFunc("POST /v1/jobs", g.chain(g.submitJob, identifyCaller, readBody))
	mux.HandleFunc("GET /v1/jobs/{id}", g.chain(g.viewJob, identifyCaller))
	mux.HandleFunc("DELETE /v1/jobs/{id}", g.chain(g.cancelJob, identifyCaller))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", g.readyz)
	return mux
}

// readyz reports to a load balancer whether this entry VM accepts requests.
func (g *Gate) readyz(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// runRequest runs an urgent request and writes the answer.
func (g *Gate) runRequest(x *exchange) *Refusal {
	defer g.openRequests.Add(-1)
	a := g.Requests.Do(x.httpRequest.Context(), x.request)
	x.writer.Header().Set(HeaderOutcome, a.Outcome.String())
	if a.Outcome == laddermodel.Ran {
		x.writeBody(http.StatusOK, "application/octet-stream", a.Body)
		return nil
	}
	return refusalFromAnswer(a)
}

// mintKey writes a new idempotency key whose home is in this zone.
func (g *Gate) mintKey(x *exchange) *Refusal {
	key, err := ladderkey.Mint(g.Clock.Now(), g.Zone, g.ids)
	if err != nil {
		return refuse(http.StatusInternalServerError, "no key could be made: %v", err)
	}
	x.writeBody(http.StatusOK, "text/plain; charset=utf-8", []byte(key+"\n"))
	return nil
}

// refusalFromAnswer returns the refusal for a request that did not run or may
// have run.
func refusalFromAnswer(a laddermodel.Answer) *Refusal {
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

// retrySeconds returns a Retry-After in seconds, rounded up and at least one.
func retrySeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}
